// Package admission decides whether a node takes on a request: rate and
// concurrency limits of users and services, and each user's weighted fair share
// of the node.
//
// An upstream belongs to one service and so to one user: its slots and queue are
// never contended between users. What users share is the node itself, so the
// fair share stands here, where a request can still be refused as not run.
package admission

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/admission/bucket"
	"github.com/hawthorntack/hawthorntack/internal/reducer/admission/fairshare"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// metricRefused counts refusals by the limit that was met.
const metricRefused effect.Metric = "admission_refused_total"

// Settings bound what one node takes on.
type Settings struct {
	// InFlight is how many services' parts of requests a node has open at most.
	// Zero means DefaultInFlight.
	InFlight int
}

// DefaultInFlight bounds a node's open requests, counted once for each service.
const DefaultInFlight = 8192

// retryAfterShare is how long a request that met a concurrency limit should wait.
const retryAfterShare = 100 * time.Millisecond

// State counts the open requests of each user and service.
type State struct {
	share    *fairshare.Share
	users    map[model.UserID]*usage
	services map[model.ServiceName]*usage
}

// usage is what a user or a service has open, and its rate.
type usage struct {
	open int
	rate bucket.Bucket
}

// New returns an empty state with the default settings.
func New() *State { return NewWith(Settings{}) }

// NewWith returns an empty state.
func NewWith(settings Settings) *State {
	if settings.InFlight == 0 {
		settings.InFlight = DefaultInFlight
	}
	return &State{
		share:    fairshare.New(settings.InFlight),
		users:    make(map[model.UserID]*usage),
		services: make(map[model.ServiceName]*usage),
	}
}

// Refusal tells why a request is not taken on.
type Refusal struct {
	Failure    *model.Failure
	RetryAfter time.Duration
}

// Admit takes a request of one service on, or refuses it. Each admitted request
// is given back by one Release.
func (s *State) Admit(ctx *step.Context, service *model.Service) *Refusal {
	return s.AdmitAll(ctx, []*model.Service{service})
}

// AdmitAll takes a request on for all of its services, or for none. It counts
// once against the limits of each service and of each user that owns one. Each
// admitted request is given back by one ReleaseAll with the same services.
func (s *State) AdmitAll(ctx *step.Context, services []*model.Service) *Refusal {
	for i, service := range services {
		refusal := s.checkService(ctx, service)
		if refusal == nil && !ownerCounted(services[:i], service.User) {
			refusal = s.checkUser(ctx, s.user(ctx, service), len(services))
		}
		if refusal != nil {
			ctx.Count(metricRefused, string(refusal.Failure.Code))
			return refusal
		}
	}
	for i, service := range services {
		s.take(ctx, service, ownerCounted(services[:i], service.User))
	}
	return nil
}

// Release gives an admitted request back.
func (s *State) Release(ctx *step.Context, service *model.Service) {
	s.ReleaseAll(ctx, []*model.Service{service})
}

// ReleaseAll gives a request back that AdmitAll took on.
func (s *State) ReleaseAll(_ *step.Context, services []*model.Service) {
	for i, service := range services {
		s.share.Return(service.User)
		s.services[service.Name].open--
		if !ownerCounted(services[:i], service.User) {
			s.users[service.User].open--
		}
	}
}

// ownerCounted reports whether one of the services has the owner.
func ownerCounted(services []*model.Service, owner model.UserID) bool {
	for _, service := range services {
		if service.User == owner {
			return true
		}
	}
	return false
}

// checkService returns why a service's part of a request cannot be taken on, or
// nil.
func (s *State) checkService(ctx *step.Context, service *model.Service) *Refusal {
	rate := service.Policy.RequestsPerSecond
	if rate <= 0 {
		return nil
	}
	if wait := s.service(service.Name).rate.Wait(ctx.Now, rate); wait > 0 {
		return refuse(model.CodeRateLimited, wait, "service %s is over its rate", service.Name)
	}
	return nil
}

// checkUser returns why a request of a user with a number of parts cannot be
// taken on, or nil. The parts of other users in one request are counted along.
func (s *State) checkUser(ctx *step.Context, user model.User, parts int) *Refusal {
	used := s.usage(user.ID)
	if user.MaxInFlight > 0 && used.open >= user.MaxInFlight {
		return refuse(model.CodeRateLimited, retryAfterShare, "user %s has %d open requests", user.ID, used.open)
	}
	if user.RequestsPerSecond > 0 {
		if wait := used.rate.Wait(ctx.Now, user.RequestsPerSecond); wait > 0 {
			return refuse(model.CodeRateLimited, wait, "user %s is over its rate", user.ID)
		}
	}
	if !s.share.Allows(user.ID, user.Weight, parts) {
		return refuse(model.CodeOverloaded, retryAfterShare, "user %s has its share of the node", user.ID)
	}
	return nil
}

// refuse returns a refusal.
func refuse(code model.Code, retryAfter time.Duration, format string, arguments ...any) *Refusal {
	return &Refusal{Failure: model.Failf(code, format, arguments...), RetryAfter: retryAfter}
}

// take counts a service's part of a request that was allowed.
func (s *State) take(ctx *step.Context, service *model.Service, ownerCounted bool) {
	user := s.user(ctx, service)
	s.share.Take(user.ID)
	used := s.service(service.Name)
	used.open++
	if service.Policy.RequestsPerSecond > 0 {
		used.rate.Take()
	}
	if ownerCounted {
		return
	}
	owner := s.usage(user.ID)
	owner.open++
	if user.RequestsPerSecond > 0 {
		owner.rate.Take()
	}
}

// user returns the service's owner; one that is not configured has no limits.
func (s *State) user(ctx *step.Context, service *model.Service) model.User {
	if user := ctx.Config.User(service.User); user != nil {
		return *user
	}
	return model.User{ID: service.User, Weight: model.DefaultUserWeight}
}

// usage returns what a user has open.
func (s *State) usage(user model.UserID) *usage {
	used := s.users[user]
	if used == nil {
		used = &usage{}
		s.users[user] = used
	}
	return used
}

// service returns what a service has open.
func (s *State) service(name model.ServiceName) *usage {
	used := s.services[name]
	if used == nil {
		used = &usage{}
		s.services[name] = used
	}
	return used
}

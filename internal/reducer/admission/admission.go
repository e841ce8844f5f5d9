// Package admission decides whether a node admits a request. It applies the rate
// limits of users and services, the concurrency limits of users, and each user's
// weighted fair share of the node.
//
// An upstream belongs to one service and so to one user: users never compete for
// its slots and queue. Users share only the node itself, so the fair share is
// enforced here, where a request can still be refused as not run.
package admission

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/admission/bucket"
	"github.com/hawthorntack/hawthorntack/internal/reducer/admission/fairshare"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// metricRefused counts refusals by error code.
const metricRefused effect.Metric = "admission_refused_total"

// Settings limit the requests that one node admits.
type Settings struct {
	// MaxInFlight is the maximum number of open requests of a node, where a request
	// counts once for each of its services. Zero means DefaultMaxInFlight.
	MaxInFlight int
}

// DefaultMaxInFlight is the default of Settings.MaxInFlight.
const DefaultMaxInFlight = 8192

// concurrencyRetryAfter is the retry delay reported to callers refused by a
// concurrency limit or by the fair share.
const concurrencyRetryAfter = 100 * time.Millisecond

// State counts the open requests of each user and service.
type State struct {
	share    *fairshare.Share
	users    map[model.UserID]*usage
	services map[model.ServiceName]*usage
}

// usage holds the number of open requests and the rate limiter of a user or a
// service.
type usage struct {
	open int
	rate bucket.Bucket
}

// New returns an empty state with the default settings.
func New() *State { return NewWith(Settings{}) }

// NewWith returns an empty state with the given settings.
func NewWith(settings Settings) *State {
	if settings.MaxInFlight == 0 {
		settings.MaxInFlight = DefaultMaxInFlight
	}
	return &State{
		share:    fairshare.New(settings.MaxInFlight),
		users:    make(map[model.UserID]*usage),
		services: make(map[model.ServiceName]*usage),
	}
}

// Refusal states why a request is not admitted and when the caller may retry.
type Refusal struct {
	Failure    *model.Failure
	RetryAfter time.Duration
}

// Admit admits a request of one service, or returns why it is refused. Each
// admitted request must be released by one call of Release.
func (s *State) Admit(ctx *step.Context, service *model.Service) *Refusal {
	return s.AdmitAll(ctx, []*model.Service{service})
}

// AdmitAll admits a request for all of its services, or returns why it is refused.
// An admitted request counts once against the limits of each service and of each
// user that owns one, and once for each service against the fair share of its owner.
// It must be released by one call of ReleaseAll with the same services. A refused request does not count against any limit.
func (s *State) AdmitAll(ctx *step.Context, services []*model.Service) *Refusal {
	for i, service := range services {
		refusal := s.checkService(ctx, service)
		if refusal == nil && !hasOwner(services[:i], service.User) {
			refusal = s.checkUser(ctx, s.ownerOf(ctx, service), len(services))
		}
		if refusal != nil {
			ctx.Count(metricRefused, string(refusal.Failure.Code))
			return refusal
		}
	}
	for i, service := range services {
		s.recordAdmitted(ctx, service, hasOwner(services[:i], service.User))
	}
	return nil
}

// Release ends a request that Admit admitted.
func (s *State) Release(ctx *step.Context, service *model.Service) {
	s.ReleaseAll(ctx, []*model.Service{service})
}

// ReleaseAll ends a request that AdmitAll admitted.
func (s *State) ReleaseAll(_ *step.Context, services []*model.Service) {
	for i, service := range services {
		s.share.Return(service.User)
		s.services[service.Name].open--
		if !hasOwner(services[:i], service.User) {
			s.users[service.User].open--
		}
	}
}

// hasOwner reports whether the owner has at least one of the services.
func hasOwner(services []*model.Service, owner model.UserID) bool {
	for _, service := range services {
		if service.User == owner {
			return true
		}
	}
	return false
}

// checkService returns why a service's limits refuse a request, or nil.
func (s *State) checkService(ctx *step.Context, service *model.Service) *Refusal {
	rate := service.Policy.RequestsPerSecond
	if rate <= 0 {
		return nil
	}
	if wait := s.serviceUsage(service.Name).rate.Wait(ctx.Now, rate); wait > 0 {
		return newRefusal(model.CodeRateLimited, wait, "service %s exceeds its rate limit", service.Name)
	}
	return nil
}

// checkUser returns why a user's limits refuse a request, or nil.
// serviceCount is the number of services of the request, including those of other
// users.
func (s *State) checkUser(ctx *step.Context, user model.User, serviceCount int) *Refusal {
	used := s.userUsage(user.ID)
	if user.MaxInFlight > 0 && used.open >= user.MaxInFlight {
		return newRefusal(model.CodeRateLimited, concurrencyRetryAfter, "user %s has %d open requests", user.ID, used.open)
	}
	if user.RequestsPerSecond > 0 {
		if wait := used.rate.Wait(ctx.Now, user.RequestsPerSecond); wait > 0 {
			return newRefusal(model.CodeRateLimited, wait, "user %s exceeds its rate limit", user.ID)
		}
	}
	if !s.share.Allows(user.ID, user.Weight, serviceCount) {
		return newRefusal(model.CodeOverloaded, concurrencyRetryAfter, "user %s has reached its fair share of the node", user.ID)
	}
	return nil
}

// newRefusal returns a refusal with a formatted failure.
func newRefusal(code model.Code, retryAfter time.Duration, format string, arguments ...any) *Refusal {
	return &Refusal{Failure: model.Failf(code, format, arguments...), RetryAfter: retryAfter}
}

// recordAdmitted counts an admitted request for one of its services, and for the
// service's owner unless the owner was counted already.
func (s *State) recordAdmitted(ctx *step.Context, service *model.Service, ownerCounted bool) {
	user := s.ownerOf(ctx, service)
	s.share.Take(user.ID)
	used := s.serviceUsage(service.Name)
	used.open++
	if service.Policy.RequestsPerSecond > 0 {
		used.rate.Take()
	}
	if ownerCounted {
		return
	}
	owner := s.userUsage(user.ID)
	owner.open++
	if user.RequestsPerSecond > 0 {
		owner.rate.Take()
	}
}

// ownerOf returns the service's owner. A user that is not configured gets the
// default weight and no limits of its own.
func (s *State) ownerOf(ctx *step.Context, service *model.Service) model.User {
	if user := ctx.Config.User(service.User); user != nil {
		return *user
	}
	return model.User{ID: service.User, Weight: model.DefaultUserWeight}
}

// userUsage returns the usage of a user and creates it if needed.
func (s *State) userUsage(user model.UserID) *usage {
	used := s.users[user]
	if used == nil {
		used = &usage{}
		s.users[user] = used
	}
	return used
}

// serviceUsage returns the usage of a service and creates it if needed.
func (s *State) serviceUsage(name model.ServiceName) *usage {
	used := s.services[name]
	if used == nil {
		used = &usage{}
		s.services[name] = used
	}
	return used
}

// Package interest decides which nodes receive the dispatchers' reports on a service's
// upstreams. In a large fleet a dispatcher cannot report to every node: only the nodes
// of the service's subset always receive its reports, and any other node for a limited
// time after it has subscribed. A search at a node that has no recent reports of a
// service is parked for a moment while the node subscribes.
package interest

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// Metrics of subscriptions and parked searches.
const (
	metricSubscriptions  effect.Metric = "interest_asked_total"
	metricParkedSearches effect.Metric = "interest_parked_searches_total"
)

// Times and limits of subscriptions and parked searches.
const (
	// subscriptionTime is how long a dispatcher reports to a node after its last
	// subscription.
	subscriptionTime = 60 * time.Second
	// renewInterval is the age from which a subscription is renewed by the next search.
	renewInterval = 20 * time.Second
	// parkTime is how long a search waits for the first reports of a service.
	parkTime = 20 * time.Millisecond
	// maxParked bounds the searches that are parked at a time.
	maxParked = 1024
	// maxSubscribers bounds the subscribers of one service at a dispatcher.
	maxSubscribers = 512
)

// Placement selects the nodes that serve a service and those that dispatch for an
// upstream.
type Placement interface {
	Subset(service model.ServiceName, members []model.Member) []model.Member
	SubsetSize() int
	Dispatchers(upstream model.UpstreamID, members []model.Member) []model.HostID
}

// State holds a node's own subscriptions, its subscribers, and the parked searches.
type State struct {
	placement Placement
	// subscribedAt is when this node last subscribed to a service.
	subscribedAt map[model.ServiceName]model.Instant
	// subscribers holds the nodes that have subscribed at this one, by service.
	subscribers map[model.ServiceName][]subscriber
	parked      map[uint64]parkedSearch
	lastParked  uint64
}

// subscriber is a node that receives a service's reports until expiresAt.
type subscriber struct {
	host      model.HostID
	expiresAt model.Instant
}

// parkedSearch is a search that waits for reports.
type parkedSearch struct {
	search event.Search
	since  model.Instant
}

// New returns a state without subscriptions.
func New(placement Placement) *State {
	return &State{
		placement:    placement,
		subscribedAt: make(map[model.ServiceName]model.Instant),
		subscribers:  make(map[model.ServiceName][]subscriber),
		parked:       make(map[uint64]parkedSearch),
	}
}

// Recipients returns the other nodes that receive reports on a service's upstreams,
// ordered by host: all members if reports are not scoped, otherwise the service's
// subset and the current subscribers.
func (s *State) Recipients(ctx *step.Context, service model.ServiceName) []model.HostID {
	var hosts []model.HostID
	for _, member := range s.defaultRecipients(ctx, service) {
		hosts = append(hosts, member.Host)
	}
	if s.IsScoped(ctx) {
		for _, sub := range s.subscribers[service] {
			if ctx.Now.Before(sub.expiresAt) {
				hosts = append(hosts, sub.host)
			}
		}
	}
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	return slices.DeleteFunc(hosts, func(host model.HostID) bool { return host == ctx.Self.Host })
}

// defaultRecipients returns the members that receive a service's reports without a
// subscription.
func (s *State) defaultRecipients(ctx *step.Context, service model.ServiceName) []model.Member {
	if !s.IsScoped(ctx) {
		return ctx.View.Members()
	}
	return s.placement.Subset(service, ctx.View.Members())
}

// IsScoped reports whether there are more members than a service's subset has nodes, so
// that reports go to the subset and the subscribers only.
func (s *State) IsScoped(ctx *step.Context) bool {
	return len(ctx.View.Members()) > s.placement.SubsetSize()
}

// HandleInterest adds or renews a node's subscriptions to services.
func (s *State) HandleInterest(ctx *step.Context, from model.HostID, m message.IndexInterest) {
	for _, service := range m.Services {
		s.subscribers[service] = s.addSubscriber(ctx, s.subscribers[service], from)
	}
}

// addSubscriber adds or renews a subscriber and drops those that have expired. At the
// limit a new subscriber is ignored.
func (s *State) addSubscriber(ctx *step.Context, subscribers []subscriber, from model.HostID) []subscriber {
	subscribers = slices.DeleteFunc(subscribers, func(sub subscriber) bool { return sub.host == from || !ctx.Now.Before(sub.expiresAt) })
	if len(subscribers) >= maxSubscribers {
		return subscribers
	}
	return append(subscribers, subscriber{host: from, expiresAt: ctx.Now.Add(subscriptionTime)})
}

// SubscribeOrPark subscribes to those services of a search whose reports this node does
// not receive by default, unless its subscription is recent. If the node has never
// subscribed to one of them or the subscription has expired, the search is parked, unless
// maxParked are parked already. It reports whether the search was parked. There is no need
// to call it while reports are not scoped.
func (s *State) SubscribeOrPark(ctx *step.Context, search event.Search, services []*model.Service) bool {
	var stale []*model.Service
	lacksSubscription := false
	for _, service := range services {
		if s.isDefaultRecipient(ctx, service.Name) {
			continue
		}
		subscribedAt, ok := s.subscribedAt[service.Name]
		lacksSubscription = lacksSubscription || !ok || ctx.Now.Sub(subscribedAt) >= subscriptionTime
		if !ok || ctx.Now.Sub(subscribedAt) >= renewInterval {
			stale = append(stale, service)
		}
	}
	s.sendInterest(ctx, stale)
	if !lacksSubscription || len(s.parked) >= maxParked {
		return false
	}
	s.park(ctx, search)
	return true
}

// isDefaultRecipient reports whether this node receives a service's reports without a
// subscription.
func (s *State) isDefaultRecipient(ctx *step.Context, service model.ServiceName) bool {
	return slices.ContainsFunc(s.defaultRecipients(ctx, service), func(m model.Member) bool { return m.Host == ctx.Self.Host })
}

// sendInterest subscribes to the services with one message to each node that dispatches
// for any of them.
func (s *State) sendInterest(ctx *step.Context, services []*model.Service) {
	wanted := make(map[model.HostID][]model.ServiceName)
	var hosts []model.HostID
	for _, service := range services {
		s.subscribedAt[service.Name] = ctx.Now
		for _, host := range s.dispatchersOf(ctx, service) {
			if wanted[host] == nil {
				hosts = append(hosts, host)
			}
			wanted[host] = append(wanted[host], service.Name)
		}
	}
	for _, host := range hosts {
		ctx.Count(metricSubscriptions, "")
		ctx.Send(host, message.IndexInterest{Services: wanted[host]})
	}
}

// dispatchersOf returns the nodes that dispatch for a service's upstreams.
func (s *State) dispatchersOf(ctx *step.Context, service *model.Service) []model.HostID {
	var hosts []model.HostID
	for i := range service.Upstreams {
		hosts = append(hosts, s.placement.Dispatchers(service.Upstreams[i].ID, ctx.View.Members())...)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// park lets a search wait for the first reports.
func (s *State) park(ctx *step.Context, search event.Search) {
	s.lastParked++
	s.parked[s.lastParked] = parkedSearch{search: search, since: ctx.Now}
	ctx.Count(metricParkedSearches, "")
	ctx.After(parkTime, timer.Interest, s.lastParked)
}

// HandleTimer returns a parked search whose wait is over, with its timeout shortened by
// the wait, or false if its caller is gone.
func (s *State) HandleTimer(ctx *step.Context, id uint64) (event.Search, bool) {
	p, ok := s.parked[id]
	if !ok {
		return event.Search{}, false
	}
	delete(s.parked, id)
	if p.search.Timeout > 0 {
		p.search.Timeout = max(1, p.search.Timeout-ctx.Now.Sub(p.since))
	}
	return p.search, true
}

// HandleCallerGone drops the parked search of a call.
func (s *State) HandleCallerGone(call model.CallID) {
	for id, p := range s.parked {
		if p.search.Call == call {
			delete(s.parked, id)
			return
		}
	}
}

// HandleConfig drops the subscriptions to services that are no longer configured.
func (s *State) HandleConfig(ctx *step.Context) {
	known := make(map[model.ServiceName]bool, len(ctx.Config.Services))
	for i := range ctx.Config.Services {
		known[ctx.Config.Services[i].Name] = true
	}
	for name := range s.subscribedAt {
		if !known[name] {
			delete(s.subscribedAt, name)
		}
	}
	for name := range s.subscribers {
		if !known[name] {
			delete(s.subscribers, name)
		}
	}
}

// InFlight returns the number of parked searches.
func (s *State) InFlight() int { return len(s.parked) }

// Description describes the state in the state dump.
type Description struct {
	// OwnSubscriptions counts the services to which this node has subscribed, and
	// ServicesWithSubscribers those to which other nodes have subscribed at this one.
	OwnSubscriptions        int `json:"asked"`
	ServicesWithSubscribers int `json:"asking"`
	Parked                  int `json:"parked"`
}

// Describe returns a description for the state dump.
func (s *State) Describe() Description {
	return Description{OwnSubscriptions: len(s.subscribedAt), ServicesWithSubscribers: len(s.subscribers), Parked: len(s.parked)}
}

// Package interest decides which nodes hear of a service's upstreams. In a large
// fleet a dispatcher cannot report to every node: only the nodes of the service's
// subset hear of it always, and any other node for as long as it has asked. A
// search that reaches a node which knows nothing of a service yet waits for a
// moment while the node asks.
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

// Metrics of the interest in services.
const (
	metricAsked  effect.Metric = "interest_asked_total"
	metricParked effect.Metric = "interest_parked_searches_total"
)

// Times of an interest.
const (
	// keepFor is how long a dispatcher reports to a node that has asked.
	keepFor = 60 * time.Second
	// renewAfter is the age at which a node that still searches asks again.
	renewAfter = 20 * time.Second
	// parkFor is how long a search waits for the first reports of a service.
	parkFor = 20 * time.Millisecond
	// maxParked bounds the searches that wait.
	maxParked = 1024
	// maxAskers bounds the nodes that one service's dispatcher reports to beside
	// the subset.
	maxAskers = 512
)

// Placement tells which nodes serve a service, and which dispatch for an
// upstream.
type Placement interface {
	Subset(service model.ServiceName, members []model.Member) []model.Member
	SubsetSize() int
	Dispatchers(upstream model.UpstreamID, members []model.Member) []model.HostID
}

// State is what a node has asked for, and who has asked it.
type State struct {
	placement Placement
	// asked is when this node last asked for a service.
	asked map[model.ServiceName]model.Instant
	// askers holds the nodes that have asked this one, by service.
	askers map[model.ServiceName][]asker
	parked map[uint64]parked
	next   uint64
}

// asker is a node that wants a service's reports.
type asker struct {
	host  model.HostID
	until model.Instant
}

// parked is a search that waits for reports.
type parked struct {
	search event.Search
	since  model.Instant
}

// New returns a state without interest.
func New(placement Placement) *State {
	return &State{
		placement: placement,
		asked:     make(map[model.ServiceName]model.Instant),
		askers:    make(map[model.ServiceName][]asker),
		parked:    make(map[uint64]parked),
	}
}

// Recipients returns the other nodes that hear of a service's upstreams, ordered by
// host: all members while they are few, or else the subset and who has asked.
func (s *State) Recipients(ctx *step.Context, service model.ServiceName) []model.HostID {
	var hosts []model.HostID
	for _, member := range s.listeners(ctx, service) {
		hosts = append(hosts, member.Host)
	}
	if s.IsScoped(ctx) {
		for _, a := range s.askers[service] {
			if ctx.Now.Before(a.until) {
				hosts = append(hosts, a.host)
			}
		}
	}
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	return slices.DeleteFunc(hosts, func(host model.HostID) bool { return host == ctx.Self.Host })
}

// listeners returns the members that hear of a service without asking.
func (s *State) listeners(ctx *step.Context, service model.ServiceName) []model.Member {
	if !s.IsScoped(ctx) {
		return ctx.View.Members()
	}
	return s.placement.Subset(service, ctx.View.Members())
}

// IsScoped reports whether there are more members than a service's subset.
func (s *State) IsScoped(ctx *step.Context) bool {
	return len(ctx.View.Members()) > s.placement.SubsetSize()
}

// HandleInterest notes that a node wants to hear of services.
func (s *State) HandleInterest(ctx *step.Context, from model.HostID, m message.IndexInterest) {
	for _, service := range m.Services {
		s.askers[service] = s.noteAsker(ctx, s.askers[service], from)
	}
}

// noteAsker adds or renews an asker and drops those that have not renewed.
func (s *State) noteAsker(ctx *step.Context, askers []asker, from model.HostID) []asker {
	askers = slices.DeleteFunc(askers, func(a asker) bool { return a.host == from || !ctx.Now.Before(a.until) })
	if len(askers) >= maxAskers {
		return askers
	}
	return append(askers, asker{host: from, until: ctx.Now.Add(keepFor)})
}

// Seek asks for the services of a search that this node does not hear of. While
// reports are not scoped there are none, and it need not be called. It reports whether the search was parked, because the node knows nothing recent
// of one of them.
func (s *State) Seek(ctx *step.Context, search event.Search, services []*model.Service) bool {
	var stale []*model.Service
	unknown := false
	for _, service := range services {
		if s.hears(ctx, service.Name) {
			continue
		}
		at, ok := s.asked[service.Name]
		unknown = unknown || !ok || ctx.Now.Sub(at) >= keepFor
		if !ok || ctx.Now.Sub(at) >= renewAfter {
			stale = append(stale, service)
		}
	}
	s.ask(ctx, stale)
	if !unknown || len(s.parked) >= maxParked {
		return false
	}
	s.park(ctx, search)
	return true
}

// hears reports whether this node hears of a service without asking.
func (s *State) hears(ctx *step.Context, service model.ServiceName) bool {
	return slices.ContainsFunc(s.listeners(ctx, service), func(m model.Member) bool { return m.Host == ctx.Self.Host })
}

// ask sends one message to each node that dispatches for any of the services.
func (s *State) ask(ctx *step.Context, services []*model.Service) {
	wanted := make(map[model.HostID][]model.ServiceName)
	var hosts []model.HostID
	for _, service := range services {
		s.asked[service.Name] = ctx.Now
		for _, host := range s.dispatchersOf(ctx, service) {
			if wanted[host] == nil {
				hosts = append(hosts, host)
			}
			wanted[host] = append(wanted[host], service.Name)
		}
	}
	for _, host := range hosts {
		ctx.Count(metricAsked, "")
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
	s.next++
	s.parked[s.next] = parked{search: search, since: ctx.Now}
	ctx.Count(metricParked, "")
	ctx.After(parkFor, timer.Interest, s.next)
}

// HandleTimer returns a parked search that has waited long enough, with its own
// timeout shortened by the wait, and false if its caller is gone.
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

// HandleCallerGone forgets a parked search.
func (s *State) HandleCallerGone(call model.CallID) {
	for id, p := range s.parked {
		if p.search.Call == call {
			delete(s.parked, id)
			return
		}
	}
}

// HandleConfig forgets the interest in services that are no longer configured.
func (s *State) HandleConfig(ctx *step.Context) {
	known := make(map[model.ServiceName]bool, len(ctx.Config.Services))
	for i := range ctx.Config.Services {
		known[ctx.Config.Services[i].Name] = true
	}
	for name := range s.asked {
		if !known[name] {
			delete(s.asked, name)
		}
	}
	for name := range s.askers {
		if !known[name] {
			delete(s.askers, name)
		}
	}
}

// InFlight returns the number of parked searches.
func (s *State) InFlight() int { return len(s.parked) }

// Description is the state for the dump.
type Description struct {
	// Asked and Asking count the services that this node has asked for, and those
	// that others have asked it for.
	Asked  int `json:"asked"`
	Asking int `json:"asking"`
	Parked int `json:"parked"`
}

// Describe returns the state for the dump.
func (s *State) Describe() Description {
	return Description{Asked: len(s.asked), Asking: len(s.askers), Parked: len(s.parked)}
}

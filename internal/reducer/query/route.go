package query

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// lostPeerTime is how long a dispatcher whose stream ended is not used.
	lostPeerTime = 1 * time.Second
	// routeTime bounds the age of a computed route, in case a change of the
	// view was not told.
	routeTime = 1 * time.Second
)

// routes keeps the upstreams' dispatchers between changes of the view, because
// placement ranks all members.
type routes struct {
	hosts    map[model.UpstreamID][]model.HostID
	computed model.Instant
	// lost holds the dispatchers whose stream ended a short while ago.
	lost map[model.HostID]model.Instant
}

func newRoutes() routes {
	return routes{hosts: make(map[model.UpstreamID][]model.HostID), lost: make(map[model.HostID]model.Instant)}
}

// forget drops all computed routes.
func (r *routes) forget() { clear(r.hosts) }

// lose takes in that a peer's stream ended.
func (r *routes) lose(host model.HostID, now model.Instant) {
	r.lost[host] = now
	r.forget()
}

// expire drops routes and losses that are old.
func (r *routes) expire(now model.Instant) {
	if now.Sub(r.computed) > routeTime {
		r.computed = now
		r.forget()
	}
	for host, since := range r.lost {
		if now.Sub(since) > lostPeerTime {
			delete(r.lost, host)
			r.forget()
		}
	}
}

// members returns the members without the peers that were just lost, unless they
// were heard again and count as serving.
func (r *routes) members(ctx *step.Context) []model.Member {
	members := ctx.View.Members()
	if len(r.lost) == 0 {
		return members
	}
	return slices.DeleteFunc(slices.Clone(members), func(m model.Member) bool {
		_, lost := r.lost[m.Host]
		return lost && m.State != model.Serving
	})
}

// HandleView takes in that the membership has changed.
func (s *State) HandleView() { s.routes.forget() }

// dispatchers returns the nodes that dispatch for an upstream, best first.
func (s *State) dispatchers(ctx *step.Context, upstream model.UpstreamID) []model.HostID {
	s.routes.expire(ctx.Now)
	hosts, ok := s.routes.hosts[upstream]
	if !ok {
		hosts = s.parts.Placement.Dispatchers(upstream, s.routes.members(ctx))
		s.routes.hosts[upstream] = hosts
	}
	return hosts
}

// dispatcher returns the node to send an upstream's work to: this node if it is
// one of the upstream's dispatchers, else the first. The excepted host, if any,
// is out of the question.
func (s *State) dispatcher(ctx *step.Context, upstream model.UpstreamID, except model.HostID) (model.HostID, bool) {
	hosts := s.dispatchers(ctx, upstream)
	if except != ctx.Self.Host && slices.Contains(hosts, ctx.Self.Host) {
		return ctx.Self.Host, true
	}
	for _, host := range hosts {
		if host != except {
			return host, true
		}
	}
	return "", false
}

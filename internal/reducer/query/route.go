package query

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// lostPeerCooldown is how long a dispatcher is avoided after its stream ended.
	lostPeerCooldown = 1 * time.Second
	// routeTTL bounds the age of a cached route, in case a change of the membership
	// view was not notified.
	routeTTL = 1 * time.Second
)

// routes caches the upstreams' dispatchers between changes of the membership view,
// because placement ranks all members.
type routes struct {
	hosts      map[model.UpstreamID][]model.HostID
	computedAt model.Instant
	// lost maps each dispatcher whose stream ended within lostPeerCooldown to the
	// time of that event.
	lost map[model.HostID]model.Instant
}

func newRoutes() routes {
	return routes{hosts: make(map[model.UpstreamID][]model.HostID), lost: make(map[model.HostID]model.Instant)}
}

// invalidate drops all cached routes.
func (r *routes) invalidate() { clear(r.hosts) }

// markLost records that the stream of a peer has ended.
func (r *routes) markLost(host model.HostID, now model.Instant) {
	r.lost[host] = now
	r.invalidate()
}

// expire drops cached routes older than routeTTL and lost peers whose cooldown has
// passed.
func (r *routes) expire(now model.Instant) {
	if now.Sub(r.computedAt) > routeTTL {
		r.computedAt = now
		r.invalidate()
	}
	for host, since := range r.lost {
		if now.Sub(since) > lostPeerCooldown {
			delete(r.lost, host)
			r.invalidate()
		}
	}
}

// members returns the members without the peers lost within lostPeerCooldown. A lost
// peer in the serving state is kept.
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

// HandleView invalidates the cached routes after a membership change.
func (s *State) HandleView() { s.routes.invalidate() }

// dispatchers returns the nodes that dispatch for an upstream, best first.
func (s *State) dispatchers(ctx *step.Context, upstream model.UpstreamID) []model.HostID {
	s.routes.expire(ctx.Now)
	hosts, ok := s.routes.hosts[upstream]
	if !ok {
		hosts = s.deps.Placement.Dispatchers(upstream, s.routes.members(ctx))
		s.routes.hosts[upstream] = hosts
	}
	return hosts
}

// dispatcher returns the node to send an upstream's work to: this node if it is
// one of the upstream's dispatchers, else the first of them. It never returns the
// excepted host; an empty except excludes none.
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

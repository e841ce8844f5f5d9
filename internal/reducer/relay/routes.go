package relay

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/budget"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/latency"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// route is an active route with its latency statistics.
type route struct {
	config *model.Route
	// latency tracks the reply times of upstreams to the route's requests.
	latency latency.Tracker
	budget  callerBudget
	// credit holds the state of the smooth weighted round robin over the services of a
	// split.
	credit map[model.ServiceName]float64
}

// service is the set of upstreams that provide one service.
type service struct {
	name model.ServiceName
	// pools is ordered by upstream ID.
	pools []*upstreamPool
	// extraAttempts is the budget for attempts beyond the first of each request.
	extraAttempts budget.Bucket
	// slackGranted is true once the initial slack was granted.
	slackGranted bool
	// recentAttempts counts the first and the extra attempts of this node within the
	// budget's window. refilledAt is when the slack was last refilled.
	recentAttempts budget.Window
	refilledAt     model.Instant
}

// overloadedTTL is how long an upstream counts as overloaded after a report: several times
// the service time of a request, so that hedging does not toggle with each reply.
const overloadedTTL = 500 * time.Millisecond

// isOverloaded reports whether most of the service's upstreams have more work than slots.
// A hedge would then take the slot of a request that has none yet. If only some are
// overloaded they are merely slow, and hedges avoid them.
func (s *service) isOverloaded(now model.Instant) bool {
	overloaded, usable := 0, 0
	for _, pool := range s.pools {
		if !pool.usable() {
			continue
		}
		usable++
		if pool.overloadedAt != 0 && now.Sub(pool.overloadedAt) < overloadedTTL {
			overloaded++
		}
	}
	return 2*overloaded > usable
}

// ensureService returns the service with a name, and adds it if it does not exist.
func (s *State) ensureService(name model.ServiceName) *service {
	found := s.services[name]
	if found == nil {
		found = &service{name: name}
		s.services[name] = found
	}
	return found
}

// HandleRoutes activates another version of the route table. Open requests keep the
// version that they started with.
func (s *State) HandleRoutes(ctx *step.Context, table *model.RouteTable) {
	routes := make(map[string]*route, len(table.Routes))
	hosts := make(map[string][]*route)
	for i := range table.Routes {
		configured := &table.Routes[i]
		known := s.routes[configured.Name]
		if known == nil {
			known = &route{}
		}
		// Open requests keep their own pointer to the configuration.
		known.config = configured
		routes[configured.Name] = known
		hosts[configured.Host] = append(hosts[configured.Host], known)
	}
	for _, list := range hosts {
		slices.SortFunc(list, func(a, b *route) int {
			return cmp.Or(cmp.Compare(len(b.config.Prefix), len(a.config.Prefix)), cmp.Compare(a.config.Name, b.config.Name))
		})
	}
	s.table, s.routes, s.hosts = table, routes, hosts
	s.deleteUnusedServices()
	for _, pool := range s.pools {
		s.updatePoolLimits(pool)
	}
	ctx.Log(effect.Info, component, "routes in force",
		countField("version", int(table.Version)), countField("routes", len(table.Routes)))
}

// deleteUnusedServices deletes the services that no route uses and that have no
// upstreams. Open requests keep their references.
func (s *State) deleteUnusedServices() {
	named := make(map[model.ServiceName]bool)
	for _, r := range s.routes {
		for _, name := range r.config.Services() {
			named[name] = true
		}
	}
	for name, found := range s.services {
		if !named[name] && len(found.pools) == 0 {
			delete(s.services, name)
		}
	}
}

// WouldLoseRoutes reports whether another version of the route table would make a route
// unservable that can be served now, because the upstreams of its services are not known
// yet.
func (s *State) WouldLoseRoutes(table *model.RouteTable) bool {
	for i := range table.Routes {
		next := &table.Routes[i]
		if known := s.routes[next.Name]; known != nil && s.isServable(known.config) && !s.isServable(next) {
			return true
		}
	}
	return false
}

// isServable reports whether enough services of a route have upstreams.
func (s *State) isServable(config *model.Route) bool {
	names := config.Services()
	known := 0
	for _, name := range names {
		if found := s.services[name]; found != nil && len(found.pools) > 0 {
			known++
		}
	}
	if len(config.Gather) == 0 {
		return known == len(names)
	}
	r := request{config: config, parts: make([]part, len(names))}
	return r.isSufficient(known)
}

// lookup returns the route with the longest matching prefix for a host and path, or nil.
func (s *State) lookup(host, path string) *route {
	for _, candidate := range s.hosts[host] {
		if strings.HasPrefix(path, candidate.config.Prefix) {
			return candidate
		}
	}
	return nil
}

// pickService selects a service of a split by smooth weighted round robin, which keeps
// the shares exact over short periods too.
func (r *route) pickService() model.ServiceName {
	if r.credit == nil {
		r.credit = make(map[model.ServiceName]float64, len(r.config.Split))
	}
	total := 0.0
	best := r.config.Split[0].Service
	for _, weighted := range r.config.Split {
		total += weighted.Weight
		r.credit[weighted.Service] += weighted.Weight
		if r.credit[weighted.Service] > r.credit[best] {
			best = weighted.Service
		}
	}
	r.credit[best] -= total
	return best
}

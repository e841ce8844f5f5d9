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

// route is a route in force with what was learned of its requests.
type route struct {
	config *model.Route
	// latency holds the times of the upstreams' replies to the route's requests.
	latency latency.Tracker
	// credit holds the parts of a split by the smooth weighted round robin.
	credit map[model.ServiceName]float64
}

// service is the set of upstreams that may answer for one service.
type service struct {
	name model.ServiceName
	// lanes is ordered by upstream.
	lanes []*lane
	// extra bounds the arrivals beyond the first of each request.
	extra budget.Bucket
}

// crowdedTime is how long an upstream counts as crowded: several times the work of
// one request, so that hedges do not come and go with each reply.
const crowdedTime = 500 * time.Millisecond

// isCrowded reports whether most of the service's upstreams have more work than
// slots. A hedge would take the slot of a request that has none yet. One crowded
// upstream is merely slow, and hedges go round it.
func (s *service) isCrowded(now model.Instant) bool {
	crowded, usable := 0, 0
	for _, l := range s.lanes {
		if !l.usable() {
			continue
		}
		usable++
		if l.crowded != 0 && now.Sub(l.crowded) < crowdedTime {
			crowded++
		}
	}
	return 2*crowded > usable
}

// firstExtraShare is the part of its share of the slack that a node may use from
// its start: the nodes' restarts would add up otherwise.
const firstExtraShare = 0.5

// Safety of the shared budget: the nodes' counts of each other differ for seconds.
const (
	extraShareUsed = 0.85
	extraSlackUsed = 0.7
)

// extraLimits returns this node's part of a service's budget.
func (s *State) extraLimits() budget.Limits {
	return budget.Limits{
		Share: s.settings.ExtraAttemptBudget * extraShareUsed,
		Burst: s.settings.ExtraAttemptSlack * extraSlackUsed / float64(s.nodes),
	}
}

// serviceOf returns a service, and adds it when it is new.
func (s *State) serviceOf(name model.ServiceName) *service {
	found := s.services[name]
	if found == nil {
		found = &service{name: name}
		found.extra.Grant(s.extraLimits().Burst * firstExtraShare)
		s.services[name] = found
	}
	return found
}

// HandleRoutes puts another version of the routes in force. Open requests go on
// by the version that they began with.
func (s *State) HandleRoutes(ctx *step.Context, table *model.RouteTable) {
	routes := make(map[string]*route, len(table.Routes))
	hosts := make(map[string][]*route)
	for i := range table.Routes {
		configured := &table.Routes[i]
		known := s.routes[configured.Name]
		if known == nil {
			known = &route{}
		}
		// Open requests hold their own pointer to the configuration.
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
	s.forgetServices()
	for _, l := range s.lanes {
		s.shareLane(l)
	}
	ctx.Log(effect.Info, component, "routes in force",
		countField("version", int(table.Version)), countField("routes", len(table.Routes)))
}

// forgetServices drops what is known of services that no route names and that have no
// upstreams. Open requests keep theirs.
func (s *State) forgetServices() {
	named := make(map[model.ServiceName]bool)
	for _, r := range s.routes {
		for _, name := range r.config.Services() {
			named[name] = true
		}
	}
	for name, found := range s.services {
		if !named[name] && len(found.lanes) == 0 {
			delete(s.services, name)
		}
	}
}

// WouldLoseRoutes reports whether a route that can be served now could not be by another
// version of the routes, because the upstreams of its services are not known yet.
func (s *State) WouldLoseRoutes(table *model.RouteTable) bool {
	for i := range table.Routes {
		next := &table.Routes[i]
		if known := s.routes[next.Name]; known != nil && s.servable(known.config) && !s.servable(next) {
			return true
		}
	}
	return false
}

// servable reports whether enough services of a route have upstreams.
func (s *State) servable(config *model.Route) bool {
	names := config.Services()
	known := 0
	for _, name := range names {
		if found := s.services[name]; found != nil && len(found.lanes) > 0 {
			known++
		}
	}
	if len(config.Gather) == 0 {
		return known == len(names)
	}
	r := request{config: config, parts: make([]part, len(names))}
	return r.covered(known)
}

// lookup returns the route of a host and path: the one with the longest prefix.
func (s *State) lookup(host, path string) *route {
	for _, candidate := range s.hosts[host] {
		if strings.HasPrefix(path, candidate.config.Prefix) {
			return candidate
		}
	}
	return nil
}

// pick chooses the service of a split by smooth weighted round robin, which keeps
// the shares exact over short spans too.
func (r *route) pick() model.ServiceName {
	if r.credit == nil {
		r.credit = make(map[model.ServiceName]float64, len(r.config.Split))
	}
	total := 0.0
	best := r.config.Split[0].Service
	for _, part := range r.config.Split {
		total += part.Weight
		r.credit[part.Service] += part.Weight
		if r.credit[part.Service] > r.credit[best] {
			best = part.Service
		}
	}
	r.credit[best] -= total
	return best
}

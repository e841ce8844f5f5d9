// Package deployment describes sets of services with the shapes of their
// upstreams: the demo's, and the two users' of today. The descriptions make both
// the stand-in upstreams and the configuration that names them.
package deployment

import (
	"fmt"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Deployment is a user with its hosts and services.
type Deployment struct {
	User model.UserID
	// FailureDomains hold hosts and upstreams in turn.
	FailureDomains []model.FailureDomain
	// Delay is the one-way delay between two hosts.
	Delay  time.Duration
	Groups []Group
}

// Group is a number of services of one shape.
type Group struct {
	// Name is the service's name, or its prefix when Services is over one.
	Name     string
	Services int
	Shape    Shape
	Policy   model.Policy
}

// Shape is what the upstreams of a service are like.
type Shape struct {
	Upstreams   int
	Slots       int
	Connections int
	// ConnectTime is the cost of a new connection for the upstream.
	ConnectTime time.Duration
	// ServiceTime is the mean time of one attempt.
	ServiceTime time.Duration
}

// ServiceNames returns the names of the group's services.
func (g Group) ServiceNames() []model.ServiceName {
	if g.Services == 1 {
		return []model.ServiceName{model.ServiceName(g.Name)}
	}
	names := make([]model.ServiceName, 0, g.Services)
	for i := range g.Services {
		names = append(names, model.ServiceName(fmt.Sprintf("%s-%d", g.Name, i+1)))
	}
	return names
}

// Placement tells where an upstream of a deployment listens.
type Placement func(id model.UpstreamID, shape Shape, holdings []model.Holding) (address string, err error)

// Configure makes the configuration of a deployment, placing each upstream. It
// returns the placement's error.
func (d Deployment) Configure(place Placement) (*model.Config, error) {
	config := &model.Config{Users: []model.User{{ID: d.User, Weight: model.DefaultUserWeight}}}
	for _, group := range d.Groups {
		for _, name := range group.ServiceNames() {
			service, err := d.service(name, group, place)
			if err != nil {
				return nil, err
			}
			config.Services = append(config.Services, service)
		}
	}
	return config, nil
}

// service makes one service.
func (d Deployment) service(name model.ServiceName, group Group, place Placement) (model.Service, error) {
	service := model.Service{Name: name, User: d.User, Policy: group.Policy}
	for i := range group.Shape.Upstreams {
		id := model.UpstreamID(fmt.Sprintf("%s/u%d", name, i+1))
		address, err := place(id, group.Shape, Holdings(name, FirstVersion))
		if err != nil {
			return model.Service{}, fmt.Errorf("place upstream %s: %w", id, err)
		}
		service.Upstreams = append(service.Upstreams, model.Upstream{
			ID:             id,
			Address:        address,
			FailureDomain:  d.FailureDomains[i%len(d.FailureDomains)],
			Slots:          group.Shape.Slots,
			MaxConnections: group.Shape.Connections,
		})
	}
	return service, nil
}

// FirstVersion is the snapshot that stand-ins hold at their start.
const FirstVersion model.Version = 1

// Holdings returns what a replica of a service with a single shard holds of the
// given versions.
func Holdings(service model.ServiceName, versions ...model.Version) []model.Holding {
	shard := model.Shard{ID: model.ShardID(service), Low: 0, High: model.KeySpace}
	var holdings []model.Holding
	for _, version := range versions {
		holdings = append(holdings, model.Holding{
			Version: version, Shards: []model.Shard{shard}, HeldShards: []model.ShardID{shard.ID},
		})
	}
	return holdings
}

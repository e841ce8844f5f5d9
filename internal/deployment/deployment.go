// Package deployment describes sets of services and the properties of their
// upstreams: the demo's set and those of two users. Both the stand-in upstreams
// and the configuration that names them are generated from a description.
package deployment

import (
	"fmt"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Deployment describes a user's hosts and services.
type Deployment struct {
	User model.UserID
	// FailureDomains are assigned to hosts and upstreams round-robin.
	FailureDomains []model.FailureDomain
	// Delay is the one-way delay between two hosts.
	Delay  time.Duration
	Groups []Group
}

// Group is a set of services with the same shape and policy.
type Group struct {
	// Name is the service's name, or the prefix of the names if Services is
	// greater than one.
	Name     string
	Services int
	Shape    Shape
	Policy   model.Policy
}

// Shape describes the upstreams of a service: their number, limits and latency.
type Shape struct {
	Upstreams      int
	Slots          int
	MaxConnections int
	// ConnectTime is the time that an upstream needs to accept a new connection.
	ConnectTime time.Duration
	// ServiceTime is the mean processing time of one attempt.
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

// Placement returns the address on which an upstream of a deployment listens.
type Placement func(id model.UpstreamID, shape Shape, holdings []model.Holding) (address string, err error)

// Configure returns the configuration of a deployment. It calls place to obtain the
// address of each upstream. An error of place is returned wrapped.
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

// service returns the configuration of one service and places its upstreams.
func (d Deployment) service(name model.ServiceName, group Group, place Placement) (model.Service, error) {
	service := model.Service{Name: name, User: d.User, Policy: group.Policy}
	for i := range group.Shape.Upstreams {
		id := model.NewUpstreamID(name, fmt.Sprintf("u%d", i+1))
		address, err := place(id, group.Shape, Holdings(name, FirstVersion))
		if err != nil {
			return model.Service{}, fmt.Errorf("place upstream %s: %w", id, err)
		}
		service.Upstreams = append(service.Upstreams, model.Upstream{
			ID:             id,
			Address:        address,
			FailureDomain:  d.FailureDomains[i%len(d.FailureDomains)],
			Slots:          group.Shape.Slots,
			MaxConnections: group.Shape.MaxConnections,
		})
	}
	return service, nil
}

// FirstVersion is the snapshot version that stand-in upstreams hold when they
// start.
const FirstVersion model.Version = 1

// Holdings returns the holdings of a replica that has the given snapshot versions
// of a service with a single shard.
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

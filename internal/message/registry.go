package message

import "github.com/hawthorntack/hawthorntack/internal/model"

// RegistrySubscribe subscribes to a node's registry view for a few seconds. It carries
// the version and hashes of the sender's own view, so that the node sends only the
// parts that differ.
type RegistrySubscribe struct {
	// Address is the address at which the sender receives messages.
	Address       string
	RoutesVersion model.Revision
	UpstreamsHash uint64
	MembersHash   uint64
	// Observations are the sender's observations of upstreams since its last message.
	Observations []model.Observation
	// Era is the newest era of the registry that the sender has seen, zero if it has seen none.
	Era uint64
}

// RegistryUpdate carries a node's registry view, or the parts of it that have changed.
// An age is the time in nanoseconds since the part was last known to be up to date; it
// is negative if the sender does not have the part.
type RegistryUpdate struct {
	RoutesVersion model.Revision
	RoutesAge     int64
	// Routes is nil if the receiver already has RoutesVersion.
	Routes        *model.RouteTable
	UpstreamsHash uint64
	UpstreamsAge  int64
	// UpstreamsRevision is the registry revision up to which the sender's list holds all
	// changes, zero if that is unknown. The same applies to MembersRevision.
	UpstreamsRevision uint64
	// Upstreams is nil if the receiver already has the list with the hash
	// UpstreamsHash. The same applies to Members and MembersHash.
	Upstreams       []model.Registration
	MembersHash     uint64
	MembersAge      int64
	MembersRevision uint64
	Members         []model.Member
	Suspicions      []Suspicion
	// Observations are the upstream observations of the nodes in the sender's failure
	// domain.
	Observations []model.Observation
	// Era is the registry's era to which the revisions and lists belong, zero if unknown, and
	// EraAge how long ago it may have begun, in nanoseconds.
	Era    uint64
	EraAge int64
}

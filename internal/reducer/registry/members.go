package registry

import (
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// maxReports bounds the suspicions that wait to be reported.
const maxReports = 64

// members are the nodes that have announced themselves.
type members struct {
	known map[model.HostID]model.Member
	list  []model.Member
	// sum identifies the list.
	sum uint64
}

func newMembers() members { return members{known: make(map[model.HostID]model.Member)} }

// Members returns the announced nodes, ordered by host. The slice must not be
// changed.
func (s *State) Members() []model.Member { return s.members.list }

// takeMembers takes in a reading of all announcements, or the changes that a
// watch has seen. A reading after an outage may lack nodes whose leases lapsed
// with the store; they announce themselves again, and until then the node names
// only those that are there.
func (s *State) takeMembers(_ *step.Context, e event.RegistryResult) Changes {
	l := &s.loops[taskMembers]
	l.after = e.Revision
	if l.verb == effect.ReadMembers {
		clear(s.members.known)
	}
	for _, member := range e.Members {
		s.members.known[member.Host] = member
	}
	for _, host := range e.RemovedMembers {
		delete(s.members.known, host)
		if host == s.lease.member.Host {
			s.lease.lost = true
		}
	}
	if l.verb == effect.WatchMembers && len(e.Members) == 0 && len(e.RemovedMembers) == 0 {
		return Changes{Suspicions: e.Suspicions}
	}
	s.members.sort()
	return Changes{Members: true, Suspicions: e.Suspicions}
}

// lease keeps the node's own announcement in the registry.
type lease struct {
	// member is what the node announces; its host is empty before the first
	// announcement.
	member model.Member
	// id is the lease, zero if none is known to hold.
	id uint64
	// dirty is set while the announcement differs from the registry's.
	dirty bool
	// lost is set when the registry has dropped the announcement.
	lost bool
	// ending is set once the announcement is to be taken back.
	ending bool
}

// Announce writes the node's description into the registry and keeps it there.
func (s *State) Announce(ctx *step.Context, member model.Member) {
	if s.lease.member == member {
		return
	}
	s.lease.member = member
	s.lease.dirty = true
	s.call(ctx, taskLease)
}

// Withdraw takes the announcement back.
func (s *State) Withdraw(ctx *step.Context) {
	s.lease.ending = true
	s.call(ctx, taskLease)
}

// nextLeaseCall returns the next call that keeps or ends the announcement.
func (s *State) nextLeaseCall() (effect.CallRegistry, bool) {
	n := &s.lease
	if n.lost {
		n.lost, n.id = false, 0
	}
	switch {
	case n.ending && n.id == 0, n.member.Host == "":
		return effect.CallRegistry{}, false
	case n.ending:
		return effect.CallRegistry{Verb: effect.Withdraw, Lease: n.id}, true
	case n.id == 0 || n.dirty:
		n.dirty = false
		return effect.CallRegistry{Verb: effect.Announce, Member: n.member, Lease: n.id, LeaseTime: s.settings.LeaseTime}, true
	default:
		return effect.CallRegistry{Verb: effect.RenewLease, Lease: n.id}, true
	}
}

// takeLease takes in a good reply of the lease's calls.
func (s *State) takeLease(e event.RegistryResult) {
	switch s.loops[taskLease].verb {
	case effect.Announce:
		s.lease.id = e.Lease
	case effect.Withdraw:
		s.lease.id = 0
	}
}

// leaseFailed takes in a failed call: after a conflict the lease is known to be
// gone, else the announcement is written again under the one that may still hold.
func (s *State) leaseFailed(e event.RegistryResult) {
	if e.Status == event.StoreConflict {
		s.lease.id = 0
	}
	if s.loops[taskLease].verb == effect.Announce {
		s.lease.dirty = true
	}
}

// ReportSuspicion tells the other nodes of a request that crashed an upstream.
func (s *State) ReportSuspicion(ctx *step.Context, suspicion message.Suspicion) {
	if len(s.reports) >= maxReports {
		return
	}
	s.reports = append(s.reports, suspicion)
	s.call(ctx, taskReport)
}

// nextReport returns the call that reports the oldest suspicion.
func (s *State) nextReport() (effect.CallRegistry, bool) {
	if len(s.reports) == 0 {
		return effect.CallRegistry{}, false
	}
	return effect.CallRegistry{Verb: effect.ReportSuspicion, Suspicion: s.reports[0]}, true
}

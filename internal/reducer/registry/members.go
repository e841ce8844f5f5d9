package registry

import (
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// maxPendingReports bounds the suspicions that wait to be reported; further ones are
// dropped.
const maxPendingReports = 64

// members holds the nodes that have announced themselves in the registry.
type members struct {
	byHost map[model.HostID]model.Member
	list   []model.Member
	// hash identifies the contents of list.
	hash uint64
	// doubtfulUntil is the time until which the registry may list nodes whose leases were
	// paused by an outage.
	doubtfulUntil model.Instant
}

func newMembers() members { return members{byHost: make(map[model.HostID]model.Member)} }

// Members returns the announced nodes, ordered by host. Callers must not modify the
// slice.
func (s *State) Members() []model.Member { return s.members.list }

// Limits of the doubt about the members.
const (
	// maxMemberFailures is the number of failed calls in a row from which the registry
	// counts as away.
	maxMemberFailures = 3
	// leaseMargin is added to the longest lease after an outage.
	leaseMargin = 1 * time.Second
)

// MembersDoubtful reports whether the members may include nodes that have long been off: the
// list is too old, or leases were paused by an outage of the registry.
func (s *State) MembersDoubtful(now model.Instant) bool {
	confirmed := s.tasks[taskMembers].confirmedAt
	return confirmed != 0 && (now < s.members.doubtfulUntil || s.membersUnconfirmed(now))
}

// MembersAge is like UpstreamsAge, for the nodes.
func (s *State) MembersAge(now model.Instant) time.Duration {
	return now.Sub(s.tasks[taskMembers].confirmedAt)
}

// membersUnconfirmed reports whether the members are older than the longest time between two
// confirmations, or cannot be read.
func (s *State) membersUnconfirmed(now model.Instant) bool {
	return s.memberFailures(now) >= maxMemberFailures || s.MembersAge(now) > s.settings.MemberWait+2*WatchMargin
}

// RespondsToMembers reports whether the registry answers the calls for the members of this
// node or its reader.
func (s *State) RespondsToMembers(now model.Instant) bool { return s.memberFailures(now) == 0 }

// memberFailures returns the number of failed calls for the members in a row. The node makes
// none while it uses the updates of its reader.
func (s *State) memberFailures(now model.Instant) int {
	if now < s.sharing.sharedUntil[taskMembers] {
		return 0
	}
	return s.tasks[taskMembers].failures
}

// noteMembersRegained begins the time of doubt after an outage. It is called before a
// confirmation of the members is applied.
func (s *State) noteMembersRegained(now model.Instant) {
	if s.tasks[taskMembers].confirmedAt != 0 && s.membersUnconfirmed(now) {
		s.members.doubtfulUntil = now.Add(s.settings.SpareLeaseTime + leaseMargin)
	}
}

// applyMembers applies a read of all announcements, or the changes that a watch has
// returned. A read after a store outage may lack nodes whose leases have expired
// meanwhile. They announce themselves again; until then they are not listed.
func (s *State) applyMembers(e event.RegistryResult) Changes {
	task := &s.tasks[taskMembers]
	if task.verb == effect.ReadMembers {
		clear(s.members.byHost)
	}
	for _, member := range e.Members {
		s.members.byHost[member.Host] = member
	}
	for _, host := range e.RemovedMembers {
		delete(s.members.byHost, host)
		if host == s.lease.member.Host {
			s.lease.lost = true
		}
	}
	if task.verb == effect.WatchMembers && len(e.Members) == 0 && len(e.RemovedMembers) == 0 {
		return Changes{Suspicions: e.Suspicions}
	}
	s.members.rebuildList()
	return Changes{Members: true, Suspicions: e.Suspicions}
}

// lease is the state of the node's own announcement in the registry.
type lease struct {
	// member is the announced description; its host is empty before the first
	// announcement.
	member model.Member
	// time is the duration of the lease, and isEntry is true while callers are told to
	// use the node.
	time    time.Duration
	isEntry bool
	// id is the registry's lease identifier, zero if no lease is known to be valid.
	id uint64
	// needsWrite is set while the announcement differs from the registry's.
	needsWrite bool
	// lost is set when the registry no longer has the announcement.
	lost bool
	// withdrawing is set once the announcement is to be removed.
	withdrawing bool
}

// Announce writes the node's description to the registry and keeps its lease renewed.
func (s *State) Announce(ctx *step.Context, member model.Member) {
	if s.lease.member == member {
		return
	}
	s.lease.member = member
	s.lease.needsWrite = true
	s.startCall(ctx, taskLease)
}

// SetEntry states whether callers are told to use the node. An entry node replaces a
// long lease by one of LeaseTime.
func (s *State) SetEntry(ctx *step.Context, isEntry bool) {
	s.lease.isEntry = isEntry
	if isEntry && s.lease.id != 0 && s.lease.time > s.settings.LeaseTime && !s.lease.withdrawing {
		s.lease.lost = true
		s.startCall(ctx, taskLease)
	}
}

// Withdraw removes the announcement by ending its lease.
func (s *State) Withdraw(ctx *step.Context) {
	s.lease.withdrawing = true
	s.startCall(ctx, taskLease)
}

// nextLeaseCall returns the next call that writes, renews or withdraws the
// announcement, and false if there is none to make.
func (s *State) nextLeaseCall() (effect.CallRegistry, bool) {
	lease := &s.lease
	if lease.lost {
		lease.lost, lease.id = false, 0
	}
	switch {
	case lease.withdrawing && lease.id == 0, lease.member.Host == "":
		return effect.CallRegistry{}, false
	case lease.withdrawing:
		return effect.CallRegistry{Verb: effect.Withdraw, Lease: lease.id}, true
	case lease.id == 0 || lease.needsWrite:
		lease.needsWrite = false
		if lease.id == 0 {
			lease.time = s.leaseTime()
		}
		return effect.CallRegistry{Verb: effect.Announce, Member: lease.member, Lease: lease.id, LeaseTime: lease.time}, true
	default:
		return effect.CallRegistry{Verb: effect.RenewLease, Lease: lease.id}, true
	}
}

// leaseTime returns the duration of a new lease.
func (s *State) leaseTime() time.Duration {
	if s.lease.isEntry {
		return s.settings.LeaseTime
	}
	return s.settings.SpareLeaseTime
}

// applyLease applies a successful result of a lease call.
func (s *State) applyLease(e event.RegistryResult) {
	switch s.tasks[taskLease].verb {
	case effect.Announce:
		s.lease.id = e.Lease
	case effect.Withdraw:
		s.lease.id = 0
	}
}

// handleLeaseFailure handles a failed lease call. After a conflict the lease is known
// to have ended. After any other failure it may still be valid, so that a failed
// announcement is written again under the same lease.
func (s *State) handleLeaseFailure(e event.RegistryResult) {
	if e.Status == event.StoreConflict {
		s.lease.id = 0
	}
	if s.tasks[taskLease].verb == effect.Announce {
		s.lease.needsWrite = true
	}
}

// writtenReport is a suspicion that was written to the registry.
type writtenReport struct {
	suspicion message.Suspicion
	at        model.Instant
}

// noteWritten moves the oldest pending report to those that were written.
func (s *State) noteWritten(now model.Instant) {
	if len(s.written) == maxPendingReports {
		s.written = s.written[1:]
	}
	s.written = append(s.written, writtenReport{suspicion: s.reports[0], at: now})
	s.reports = s.reports[1:]
}

// writeReportsAgain queues the reports that a copy of the registry may lack.
func (s *State) writeReportsAgain(ctx *step.Context) {
	for _, report := range s.written {
		age := ctx.Now.Sub(report.at)
		again := report.suspicion
		again.TimeLeft -= int64(age)
		if age <= maxCopyAge && again.TimeLeft > 0 && len(s.reports) < maxPendingReports {
			s.reports = append(s.reports, again)
		}
	}
	s.written = nil
	if len(s.reports) > 0 {
		s.scheduleCall(ctx, taskReport, announceDelay(ctx))
	}
}

// ReportSuspicion reports a request that crashed an upstream to the other nodes through
// the registry.
func (s *State) ReportSuspicion(ctx *step.Context, suspicion message.Suspicion) {
	if len(s.reports) >= maxPendingReports {
		ctx.Log(effect.Warning, component, "suspicion dropped",
			effect.Field{Name: "service", Value: string(suspicion.Service)},
			effect.Field{Name: "fingerprint", Value: suspicion.Fingerprint.String()},
			effect.Field{Name: "pending", Value: strconv.Itoa(len(s.reports))})
		return
	}
	s.reports = append(s.reports, suspicion)
	s.startCall(ctx, taskReport)
}

// nextReportCall returns the call that reports the oldest pending suspicion, and false
// if none is pending.
func (s *State) nextReportCall() (effect.CallRegistry, bool) {
	if len(s.reports) == 0 {
		return effect.CallRegistry{}, false
	}
	return effect.CallRegistry{Verb: effect.ReportSuspicion, Suspicion: s.reports[0]}, true
}

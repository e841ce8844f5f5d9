package registry

import (
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// The store may come back from an older copy of its data. It then begins a new era: what it has
// acknowledged since the copy was made is gone, and revisions and leases are given out again. All
// revisions and leases in the state belong to the newest era that the node knows; nothing of an
// older era is compared with them.

// metricEras counts the changes of era.
const metricEras effect.Metric = "registry_eras_total"

const (
	// readerFirst is how long a node waits in a new era for the lists of its reader before it
	// reads for itself.
	readerFirst = 400 * time.Millisecond
	// announceSpread is the range of the random delay of what the nodes write again in a new era.
	announceSpread = 500 * time.Millisecond
	// maxCopyAge is the age of a copy from which the registry may come back.
	maxCopyAge = 30 * time.Second
	// maxOlderResults is the number of results of older eras in a row that count as late ones. After
	// more of them the stated eras are taken to be wrong.
	maxOlderResults = 8
)

// era is the era of the registry that the node follows.
type era struct {
	// number is zero until a result or another node has stated one.
	number uint64
	// changed is true once the node has seen two eras.
	changed bool
	// knownAt is when the registry was last known to be in the era, or to be away.
	knownAt model.Instant
	// isUnconfirmed is true from a change until the first list of upstreams of the era, and
	// notBefore is the time before which it cannot have begun.
	isUnconfirmed bool
	notBefore     model.Instant
	// heardAt is when the node heard of the change.
	heardAt model.Instant
	// olderResults counts the results of older eras since the last one of this era.
	olderResults int
	// isIgnored is true once the stated eras have proved wrong.
	isIgnored bool
}

// admitResult begins the era of a result if that is a newer one, and reports whether the result still
// means something: it does not if it belongs to an older era, or to a call that began in one and
// whose revision or lease stands for something else now.
func (s *State) admitResult(ctx *step.Context, call *taskState, e event.RegistryResult) bool {
	if s.isOlderEra(e.Era) {
		s.countOlder(ctx, call, e.Era)
		return false
	}
	if e.Era != 0 {
		// The call was answered, so its start is no evidence of an earlier era or an outage.
		call.startedAt = 0
	}
	s.followEra(ctx, e.Era)
	if e.Era != 0 && !call.allowStale {
		s.era.olderResults, s.era.knownAt = 0, ctx.Now
	}
	return call.era == 0 || call.era == s.era.number || call.isRead()
}

// countOlder counts a result of an older era. An era never falls, but a store that states it wrongly
// must not stop the node from following it. Stale reads may be of an older era for long.
func (s *State) countOlder(ctx *step.Context, call *taskState, number uint64) {
	if call.allowStale {
		return
	}
	if s.era.olderResults++; s.era.olderResults <= maxOlderResults {
		return
	}
	s.beginEra(ctx, number)
	s.era.isIgnored = true
	ctx.Log(effect.Error, component, "the registry states eras that fall; they are ignored from now on",
		effect.Field{Name: "era", Value: strconv.FormatUint(number, 10)})
}

// isRead reports whether the last call was a read, whose result does not depend on anything that the
// node knew before.
func (t *taskState) isRead() bool {
	return t.verb == effect.ReadRoutes || t.verb == effect.ReadUpstreams || t.verb == effect.ReadMembers
}

// followEra makes the node follow an era that a result or another node has stated. Zero states none.
func (s *State) followEra(ctx *step.Context, number uint64) {
	switch {
	case s.era.isIgnored, number <= s.era.number:
	case s.era.number == 0:
		s.era.number = number
	default:
		s.beginEra(ctx, number)
	}
}

// isOlderEra reports whether a result, or another node's view, belongs to an older era.
func (s *State) isOlderEra(number uint64) bool {
	return number != 0 && number < s.era.number && !s.era.isIgnored
}

// statedEra returns the era that the node tells others, zero if it follows none.
func (s *State) statedEra() uint64 {
	if s.era.isIgnored {
		return 0
	}
	return s.era.number
}

// beginEra drops the revisions and the lease of the era before and reads everything anew. The view
// stays in use meanwhile, as in an outage.
func (s *State) beginEra(ctx *step.Context, number uint64) {
	ctx.Count(metricEras, "")
	ctx.Log(effect.Warning, component, "the registry has come back from an older copy",
		effect.Field{Name: "era", Value: strconv.FormatUint(number, 10)},
		effect.Field{Name: "era_before", Value: strconv.FormatUint(s.era.number, 10)},
		effect.Field{Name: "upstreams_revision", Value: strconv.FormatUint(s.tasks[taskUpstreams].revision, 10)},
		effect.Field{Name: "upstreams", Value: strconv.Itoa(len(s.upstreams.list))},
		effect.Field{Name: "members", Value: strconv.Itoa(len(s.members.list))})
	s.era = era{number: number, changed: true, isUnconfirmed: true, notBefore: s.earliestBegin(ctx.Now), heardAt: ctx.Now}
	s.upstreams.markGone()
	if s.tasks[taskMembers].confirmedAt != 0 {
		s.members.doubtfulUntil = ctx.Now.Add(s.settings.SpareLeaseTime + leaseMargin)
	}
	for _, t := range []task{taskRoutes, taskUpstreams, taskMembers} {
		s.readInNewEra(ctx, t)
	}
	s.writeReportsAgain(ctx)
	if s.lease.member.Host != "" {
		s.lease.lost = true
		s.scheduleCall(ctx, taskLease, announceDelay(ctx))
	}
}

// earliestBegin returns the time before which an era cannot have begun of which the node hears now:
// the store was still in the era before then, or has left a call unanswered that began then.
func (s *State) earliestBegin(now model.Instant) model.Instant {
	begin := s.era.knownAt
	for t := range s.tasks {
		call := &s.tasks[t]
		if call.operation != 0 && now.Sub(call.dueAt) >= minSilence {
			begin = max(begin, call.startedAt)
		}
	}
	return begin
}

// announceDelay returns the random delay of a write that all nodes make.
func announceDelay(ctx *step.Context) time.Duration {
	return time.Duration(ctx.Random.Int64N(int64(announceSpread)))
}

// readInNewEra makes a task read anew: at once if the node reads for itself, and otherwise unless
// its reader sends a list soon.
func (s *State) readInNewEra(ctx *step.Context, t task) {
	state := &s.tasks[t]
	state.revision, state.watchRevision = 0, 0
	state.stale = state.confirmedAt != 0
	s.sharing.sharedUntil[t] = 0
	if state.operation != 0 {
		// Its result is discarded, or is that of the read.
		return
	}
	if s.sharing.reader != "" && s.sharing.reader != ctx.Self.Host {
		s.scheduleCall(ctx, t, readerFirst)
		return
	}
	s.startCall(ctx, t)
}

// discardResult continues a task whose result was not admitted. The lists are read anew, the node is
// announced under a new lease, and a report is written again.
func (s *State) discardResult(ctx *step.Context, t task) {
	state := &s.tasks[t]
	switch t {
	case taskRoutes, taskUpstreams, taskMembers:
		state.revision, state.watchRevision = 0, 0
		if state.era == s.era.number {
			s.scheduleCall(ctx, t, s.retryDelay(ctx, t))
			return
		}
		s.startCall(ctx, t)
	case taskLease:
		s.lease.lost = true
		s.scheduleCall(ctx, t, announceDelay(ctx))
	default:
		s.scheduleCall(ctx, t, s.retryDelay(ctx, t))
	}
}

// markGone marks the instances that were found to have left. In a new era their entries may be there
// again, as they were.
func (u *upstreams) markGone() {
	for _, seen := range u.seen {
		if seen.removedAt != 0 {
			seen.isGone, seen.rejected = true, model.Registration{}
		}
	}
}

// Era returns the newest era of the registry that the node knows, zero if it knows none.
func (s *State) Era() uint64 { return s.era.number }

// takeFirstOfEra returns whether a list of upstreams is the first since a change of era, and the
// time until which registrations that it lacks are kept: live upstreams write them again, and the
// node's view of that may be maxSharedAge old. The time counts from the earliest begin of the era,
// since upstreams may have left as soon as it began.
func (s *State) takeFirstOfEra() (until model.Instant, first bool) {
	first = s.era.isUnconfirmed && s.tasks[taskUpstreams].confirmedAt != 0
	s.era.isUnconfirmed = false
	return s.era.notBefore.Add(s.maxSharedAge(taskUpstreams) + s.settings.ReregisterTime), first
}

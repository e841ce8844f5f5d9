package kv

import (
	"slices"
	"strings"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// pendingCall is a call with a later effect: a waiting watch, a delayed reply, the
// unknown result of a call whose reply is lost, or a delayed write.
type pendingCall struct {
	ticket Ticket
	call   effect.CallStore
	due    model.Instant
	// endsOnChange marks a waiting watch, which ends before due if a matching key
	// changes or the store goes down.
	endsOnChange bool
	// delayedWrite marks a write that takes effect when it is due. Its ticket is not
	// returned to the caller.
	delayedWrite bool
	result       event.StoreResult
}

// watch replies with the changes after the call's revision, or waits until there are
// some. The status is StoreTruncated if the history no longer reaches back so far.
func (s *Store) watch(now model.Instant, call effect.CallStore) Reply {
	if call.FromRevision < s.compacted {
		return Reply{Result: event.StoreResult{
			Operation: call.Operation, Status: event.StoreTruncated, StoreRevision: s.revision,
		}}
	}
	if items := s.changesAfter(call); len(items) > 0 {
		return Reply{Result: s.watchResult(call, items)}
	}
	reply := s.addPending(pendingCall{call: call, due: now.Add(call.Timeout), endsOnChange: true})
	s.reserveForWatches(now)
	return reply
}

// changesAfter returns the changes in the history that match a watch.
func (s *Store) changesAfter(call effect.CallStore) []event.StoreItem {
	var items []event.StoreItem
	for _, item := range s.history {
		if item.ModRevision > call.FromRevision && strings.HasPrefix(item.Key, call.Key) {
			items = append(items, item)
		}
	}
	return items
}

// watchResult returns the result of a watch; without items the watch timed out.
func (s *Store) watchResult(call effect.CallStore, items []event.StoreItem) event.StoreResult {
	return event.StoreResult{
		Operation:     call.Operation,
		Status:        event.StoreOK,
		Items:         items,
		StoreRevision: s.revision,
	}
}

// addPending adds a pending call and returns its ticket.
func (s *Store) addPending(p pendingCall) Reply {
	s.lastTicket++
	p.ticket = s.lastTicket
	s.pending = append(s.pending, p)
	return Reply{Ticket: p.ticket}
}

// Cancel drops the reply to a call whose caller is gone. A delayed write still takes
// effect.
func (s *Store) Cancel(ticket Ticket) {
	s.pending = slices.DeleteFunc(s.pending, func(p pendingCall) bool { return p.ticket == ticket })
}

// Advance applies the delayed writes that are due and returns the replies that are
// due, in ticket order.
func (s *Store) Advance(now model.Instant) []Reply {
	s.applyDelayedWrites(now)
	var replies []Reply
	s.pending = slices.DeleteFunc(s.pending, func(p pendingCall) bool {
		reply, ended := s.resolve(now, p)
		if ended {
			replies = append(replies, reply)
		}
		return ended
	})
	s.reserveForWatches(now)
	return replies
}

// resolve returns the reply to a pending call, and whether the call has ended.
func (s *Store) resolve(now model.Instant, p pendingCall) (Reply, bool) {
	due := p.due <= now
	if !p.endsOnChange {
		return Reply{Ticket: p.ticket, Result: p.result}, due
	}
	if s.isDown(now) {
		result := event.StoreResult{Operation: p.call.Operation, Status: event.StoreUnknown}
		return Reply{Ticket: p.ticket, Result: result}, true
	}
	items := s.changesAfter(p.call)
	return Reply{Ticket: p.ticket, Result: s.watchResult(p.call, items)}, due || len(items) > 0
}

// applyDelayedWrites runs the delayed writes that are due, earliest first.
func (s *Store) applyDelayedWrites(now model.Instant) {
	var dueWrites []pendingCall
	s.pending = slices.DeleteFunc(s.pending, func(p pendingCall) bool {
		isDue := p.delayedWrite && p.due <= now
		if isDue {
			dueWrites = append(dueWrites, p)
		}
		return isDue
	})
	slices.SortStableFunc(dueWrites, func(a, b pendingCall) int { return int(a.due.Sub(b.due)) })
	for _, p := range dueWrites {
		s.run(p.call)
	}
}

// NextDue returns the earliest time at which a pending reply or write is due, and
// false if there is none.
func (s *Store) NextDue() (model.Instant, bool) {
	if len(s.pending) == 0 {
		return 0, false
	}
	next := s.pending[0].due
	for _, p := range s.pending[1:] {
		next = min(next, p.due)
	}
	return next, true
}

// waitingWatches returns the number of waiting watches.
func (s *Store) waitingWatches() int {
	count := 0
	for _, p := range s.pending {
		if p.endsOnChange {
			count++
		}
	}
	return count
}

package kv

import (
	"slices"
	"strings"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// parked is a call whose reply comes later: a waiting watch, a slow reply, or
// the unknown end of a call whose reply was lost.
type parked struct {
	ticket Ticket
	call   effect.CallStore
	due    model.Instant
	// waiting marks a watch that ends early when something changes.
	waiting bool
	// delayed marks a write that takes effect only when it is due; its caller
	// has no ticket.
	delayed bool
	result  event.StoreResult
}

// watch answers with the changes after the call's revision, or parks the call
// until there are some.
func (s *Store) watch(now model.Instant, call effect.CallStore) Reply {
	if call.FromRevision < s.compacted {
		return Reply{Result: event.StoreResult{
			Operation: call.Operation, Status: event.StoreTruncated, StoreRevision: s.revision,
		}}
	}
	if items := s.changes(call); len(items) > 0 {
		return Reply{Result: s.watched(call, items)}
	}
	reply := s.park(parked{call: call, due: now.Add(call.Timeout), waiting: true})
	s.reserveForWatches(now)
	return reply
}

// changes returns the remembered changes that a watch waits for.
func (s *Store) changes(call effect.CallStore) []event.StoreItem {
	var items []event.StoreItem
	for _, item := range s.history {
		if item.ModRevision > call.FromRevision && strings.HasPrefix(item.Key, call.Key) {
			items = append(items, item)
		}
	}
	return items
}

// watched is the result of a watch; without items its time has run out.
func (s *Store) watched(call effect.CallStore, items []event.StoreItem) event.StoreResult {
	return event.StoreResult{
		Operation:     call.Operation,
		Status:        event.StoreOK,
		Items:         items,
		StoreRevision: s.revision,
	}
}

// park keeps a call for a later reply.
func (s *Store) park(p parked) Reply {
	s.lastTicket++
	p.ticket = s.lastTicket
	s.parked = append(s.parked, p)
	return Reply{Ticket: p.ticket}
}

// Cancel forgets a call whose caller is gone. A delayed write still lands.
func (s *Store) Cancel(ticket Ticket) {
	s.parked = slices.DeleteFunc(s.parked, func(p parked) bool { return p.ticket == ticket })
}

// Advance lets delayed writes land and returns the replies that are due, in the
// order of their tickets.
func (s *Store) Advance(now model.Instant) []Reply {
	s.landDelayed(now)
	var replies []Reply
	s.parked = slices.DeleteFunc(s.parked, func(p parked) bool {
		reply, ended := s.settle(now, p)
		if ended {
			replies = append(replies, reply)
		}
		return ended
	})
	s.reserveForWatches(now)
	return replies
}

// settle returns the reply of a parked call that has come to its end.
func (s *Store) settle(now model.Instant, p parked) (Reply, bool) {
	due := p.due <= now
	if !p.waiting {
		return Reply{Ticket: p.ticket, Result: p.result}, due
	}
	if s.isDown(now) {
		result := event.StoreResult{Operation: p.call.Operation, Status: event.StoreUnknown}
		return Reply{Ticket: p.ticket, Result: result}, true
	}
	items := s.changes(p.call)
	return Reply{Ticket: p.ticket, Result: s.watched(p.call, items)}, due || len(items) > 0
}

// landDelayed runs the delayed writes that are due, earliest first.
func (s *Store) landDelayed(now model.Instant) {
	var landing []parked
	s.parked = slices.DeleteFunc(s.parked, func(p parked) bool {
		lands := p.delayed && p.due <= now
		if lands {
			landing = append(landing, p)
		}
		return lands
	})
	slices.SortStableFunc(landing, func(a, b parked) int { return int(a.due.Sub(b.due)) })
	for _, p := range landing {
		s.run(p.call)
	}
}

// NextDue returns when Advance has something to do without another call, and
// false if never.
func (s *Store) NextDue() (model.Instant, bool) {
	if len(s.parked) == 0 {
		return 0, false
	}
	next := s.parked[0].due
	for _, p := range s.parked[1:] {
		next = min(next, p.due)
	}
	return next, true
}

// waiting returns the number of waiting watches.
func (s *Store) waiting() int {
	count := 0
	for _, p := range s.parked {
		if p.waiting {
			count++
		}
	}
	return count
}

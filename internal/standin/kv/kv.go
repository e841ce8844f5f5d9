// Package kv is a small in-memory stand-in for the platform's key-value
// service: compare-and-swap, watches, rate limits and scripted faults. It has no
// clock of its own, so that it serves real servers and virtual time alike.
//
// The caller's loop is:
//
//	reply := store.Apply(now, call)
//	if reply.Ticket == 0 { the result is final }
//	for _, reply := range store.Advance(now) { replies to earlier tickets }
//	at, ok := store.NextDue() // when Advance has something to do again
//
// Advance must be called after each Apply, because a write ends watches.
package kv

import (
	"slices"
	"strings"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Ticket names a call whose reply comes later; zero means none.
type Ticket uint64

// Reply is the reply to a call. While Ticket is set in the return value of
// Apply, the result comes later from Advance under the same ticket.
type Reply struct {
	Ticket Ticket
	Result event.StoreResult
}

// Store is the service's state. It is not safe for concurrent use.
type Store struct {
	limits   Limits
	meters   meters
	revision uint64
	keys     []string
	items    map[string]event.StoreItem
	// history holds the latest changes, oldest first, for watches.
	history []event.StoreItem
	// compacted is the revision of the newest change that history lost.
	compacted  uint64
	lastTicket Ticket
	parked     []parked
	faults     []Fault
	calls      Calls
}

// New returns an empty store.
func New(limits Limits) *Store {
	return &Store{limits: limits, meters: newMeters(limits), items: make(map[string]event.StoreItem)}
}

// Revision returns the revision of the newest change.
func (s *Store) Revision() uint64 { return s.revision }

// Apply takes in a call. Scripted faults strike first, then rate limits.
func (s *Store) Apply(now model.Instant, call effect.CallStore) Reply {
	s.calls.add(call.Verb)
	if fault, ok := s.strike(now, call); ok {
		return s.applyFaulty(now, call, fault)
	}
	return s.serve(now, call)
}

// serve runs a call that no fault strikes.
func (s *Store) serve(now model.Instant, call effect.CallStore) Reply {
	if !s.admit(now, call) {
		s.calls.Rejected++
		return Reply{Result: event.StoreResult{Operation: call.Operation, Status: event.StoreRejected}}
	}
	if call.Verb == effect.StoreWatch {
		return s.watch(now, call)
	}
	return Reply{Result: s.run(call)}
}

// run executes a call other than a watch.
func (s *Store) run(call effect.CallStore) event.StoreResult {
	result := event.StoreResult{Operation: call.Operation, Status: event.StoreOK}
	switch call.Verb {
	case effect.StoreGet:
		result.Items = s.current(call.Key)
	case effect.StoreList:
		result.Items = s.list(call)
	default:
		result = s.write(call)
	}
	result.StoreRevision = s.revision
	return result
}

// write executes a compare-and-swap: the key must be absent for a create, and
// have the expected revision otherwise.
func (s *Store) write(call effect.CallStore) event.StoreResult {
	result := event.StoreResult{Operation: call.Operation, Status: event.StoreOK}
	if len(call.Value) > s.limits.ValueBytes {
		result.Status = event.StoreRejected
		return result
	}
	item, exists := s.items[call.Key]
	matches := exists && item.ModRevision == call.Expect
	if call.Verb == effect.StoreCreate {
		matches = !exists
	}
	if !matches {
		result.Status = event.StoreConflict
		result.Items = s.current(call.Key)
		return result
	}
	result.Items = []event.StoreItem{s.put(call)}
	return result
}

// put records a change that has passed its comparison.
func (s *Store) put(call effect.CallStore) event.StoreItem {
	s.revision++
	item := event.StoreItem{Key: call.Key, Value: slices.Clone(call.Value), ModRevision: s.revision}
	at, found := slices.BinarySearch(s.keys, call.Key)
	if call.Verb == effect.StoreDelete {
		item.Value = nil
		item.Deleted = true
		delete(s.items, call.Key)
		s.keys = slices.Delete(s.keys, at, at+1)
	} else {
		s.items[call.Key] = item
		if !found {
			s.keys = slices.Insert(s.keys, at, call.Key)
		}
	}
	s.remember(item)
	return item
}

// remember keeps a change for watches, within the history's limit.
func (s *Store) remember(item event.StoreItem) {
	s.history = append(s.history, item)
	if excess := len(s.history) - s.limits.HistoryChanges; excess > 0 {
		s.compacted = s.history[excess-1].ModRevision
		s.history = slices.Delete(s.history, 0, excess)
	}
}

// current returns the key's item, if it exists.
func (s *Store) current(key string) []event.StoreItem {
	item, ok := s.items[key]
	if !ok {
		return nil
	}
	return []event.StoreItem{item}
}

// list returns the items with a prefix, in the order of their keys.
func (s *Store) list(call effect.CallStore) []event.StoreItem {
	from := max(call.Key, call.After)
	at, _ := slices.BinarySearch(s.keys, from)
	var items []event.StoreItem
	for _, key := range s.keys[at:] {
		if !strings.HasPrefix(key, call.Key) {
			break
		}
		if key == call.After && call.After != "" {
			continue
		}
		if call.Limit > 0 && len(items) == call.Limit {
			break
		}
		items = append(items, s.items[key])
	}
	return items
}

// Inspect returns the items with a prefix as they stand, past faults, limits and
// counters.
func (s *Store) Inspect(prefix string) []event.StoreItem {
	return s.list(effect.CallStore{Key: prefix})
}

// Package kv is an in-memory stand-in for the platform's key-value service, with
// compare-and-swap, watches, rate limits and simulated faults. It takes the time as
// an argument, so that it works with both real and virtual time.
//
// A caller uses it as follows:
//
//	reply := store.Apply(now, call)
//	if reply.Ticket == 0 { the result is final }
//	for _, reply := range store.Advance(now) { the result of an earlier call }
//	at, ok := store.NextDue() // the time at which to call Advance again
//
// Advance must be called after each Apply, because a write can end watches.
package kv

import (
	"slices"
	"strings"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Ticket identifies a call whose reply comes later; zero means none.
type Ticket uint64

// Reply is the reply to a call. If Apply returns a Reply with a Ticket, the result is
// not valid yet: Advance returns it later under the same ticket.
type Reply struct {
	Ticket Ticket
	Result event.StoreResult
}

// Store is the state of the key-value service. It is not safe for concurrent use.
type Store struct {
	limits   Limits
	limiters limiters
	revision uint64
	keys     []string
	items    map[string]event.StoreItem
	// history holds the latest changes, oldest first, for watches.
	history []event.StoreItem
	// compacted is the revision of the newest change removed from history.
	compacted  uint64
	lastTicket Ticket
	pending    []pendingCall
	faults     []Fault
	calls      Calls
}

// New returns an empty store.
func New(limits Limits) *Store {
	return &Store{limits: limits, limiters: newLimiters(limits), items: make(map[string]event.StoreItem)}
}

// Revision returns the revision of the newest change.
func (s *Store) Revision() uint64 { return s.revision }

// Apply handles a call. Faults are checked before rate limits.
func (s *Store) Apply(now model.Instant, call effect.CallStore) Reply {
	s.calls.add(call.Verb)
	if fault, ok := s.matchFault(now, call); ok {
		return s.applyFault(now, call, fault)
	}
	return s.serve(now, call)
}

// serve runs a call, or rejects it if it exceeds the rate limits.
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
		result.Items = s.lookup(call.Key)
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
		result.Items = s.lookup(call.Key)
		return result
	}
	result.Items = []event.StoreItem{s.put(call)}
	return result
}

// put applies a write whose precondition holds and returns the changed item.
func (s *Store) put(call effect.CallStore) event.StoreItem {
	s.revision++
	item := event.StoreItem{Key: call.Key, Value: slices.Clone(call.Value), ModRevision: s.revision}
	index, found := slices.BinarySearch(s.keys, call.Key)
	if call.Verb == effect.StoreDelete {
		item.Value = nil
		item.Deleted = true
		delete(s.items, call.Key)
		s.keys = slices.Delete(s.keys, index, index+1)
	} else {
		s.items[call.Key] = item
		if !found {
			s.keys = slices.Insert(s.keys, index, call.Key)
		}
	}
	s.appendHistory(item)
	return item
}

// appendHistory adds a change to the history and compacts it to its limit.
func (s *Store) appendHistory(item event.StoreItem) {
	s.history = append(s.history, item)
	if excess := len(s.history) - s.limits.HistoryChanges; excess > 0 {
		s.compacted = s.history[excess-1].ModRevision
		s.history = slices.Delete(s.history, 0, excess)
	}
}

// lookup returns the key's item as a slice, empty if the key does not exist.
func (s *Store) lookup(key string) []event.StoreItem {
	item, ok := s.items[key]
	if !ok {
		return nil
	}
	return []event.StoreItem{item}
}

// list returns the items with the call's key as a prefix, after the key call.After,
// at most call.Limit, in key order.
func (s *Store) list(call effect.CallStore) []event.StoreItem {
	from := max(call.Key, call.After)
	index, _ := slices.BinarySearch(s.keys, from)
	var items []event.StoreItem
	for _, key := range s.keys[index:] {
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

// Inspect returns the current items with a prefix. It bypasses faults and limits and
// is not counted as a call.
func (s *Store) Inspect(prefix string) []event.StoreItem {
	return s.list(effect.CallStore{Key: prefix})
}

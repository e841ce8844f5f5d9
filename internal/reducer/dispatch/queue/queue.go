// Package queue holds work that waits for a slot, earliest deadline first. Any
// entry can be taken back while it waits; the entry whose wait ends first and the
// one with the lowest priority are found without a search.
package queue

import (
	"container/heap"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Entry is waiting work. Its owner sets the exported fields before Push.
type Entry[T any] struct {
	// Deadline orders the queue.
	Deadline model.Instant
	// Expiry is when the wait ends.
	Expiry model.Instant
	// Priority decides which entry makes room for another: the lowest.
	Priority uint32
	Value    T
	// order keeps entries of one time in the order of arrival.
	order uint64
	// positions are the indexes in the heaps.
	positions [keys]int
	queued    bool
}

// Queued reports whether the entry is in a queue.
func (e *Entry[T]) Queued() bool { return e.queued }

// key is what a heap is ordered by.
type key int

const (
	byDeadline key = iota
	byExpiry
	byPriority
	keys
)

// at returns what a heap orders the entry by.
func (e *Entry[T]) at(k key) model.Instant {
	switch k {
	case byExpiry:
		return e.Expiry
	case byPriority:
		return model.Instant(e.Priority)
	default:
		return e.Deadline
	}
}

// Queue orders entries by deadline. Use New.
type Queue[T any] struct {
	heaps [keys]entryHeap[T]
	next  uint64
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	q := &Queue[T]{}
	for k := range q.heaps {
		q.heaps[k].key = key(k)
	}
	return q
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return len(q.heaps[byDeadline].entries) }

// Push adds an entry that is in no queue.
func (q *Queue[T]) Push(e *Entry[T]) {
	q.next++
	e.order = q.next
	e.queued = true
	for k := range q.heaps {
		heap.Push(&q.heaps[k], e)
	}
}

// First returns the entry with the earliest deadline, or nil.
func (q *Queue[T]) First() *Entry[T] { return q.heaps[byDeadline].first() }

// FirstExpiry returns the entry with the earliest expiry, or nil.
func (q *Queue[T]) FirstExpiry() *Entry[T] { return q.heaps[byExpiry].first() }

// Lowest returns the entry with the lowest priority, or nil.
func (q *Queue[T]) Lowest() *Entry[T] { return q.heaps[byPriority].first() }

// Remove takes an entry out. It reports false if the entry is not queued.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if !e.queued {
		return false
	}
	e.queued = false
	for k := range q.heaps {
		heap.Remove(&q.heaps[k], e.positions[k])
	}
	return true
}

// Ahead returns how many entries have a deadline no later than the given one.
func (q *Queue[T]) Ahead(deadline model.Instant) int {
	return q.heaps[byDeadline].ahead(0, deadline)
}

// Entries returns the entries in a repeatable order.
func (q *Queue[T]) Entries() []*Entry[T] {
	return append([]*Entry[T](nil), q.heaps[byDeadline].entries...)
}

// entryHeap implements heap.Interface.
type entryHeap[T any] struct {
	key     key
	entries []*Entry[T]
}

// first returns the least entry, or nil.
func (h *entryHeap[T]) first() *Entry[T] {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0]
}

// ahead counts the entries from position i downwards that are due by the
// deadline. It skips the subtrees of entries that are due later.
func (h *entryHeap[T]) ahead(i int, deadline model.Instant) int {
	if i >= len(h.entries) || h.entries[i].at(h.key) > deadline {
		return 0
	}
	return 1 + h.ahead(2*i+1, deadline) + h.ahead(2*i+2, deadline)
}

func (h *entryHeap[T]) Len() int { return len(h.entries) }

func (h *entryHeap[T]) Less(i, j int) bool {
	a, b := h.entries[i], h.entries[j]
	if a.at(h.key) != b.at(h.key) {
		return a.at(h.key) < b.at(h.key)
	}
	return a.order < b.order
}

func (h *entryHeap[T]) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].positions[h.key] = i
	h.entries[j].positions[h.key] = j
}

func (h *entryHeap[T]) Push(x any) {
	e := x.(*Entry[T])
	e.positions[h.key] = len(h.entries)
	h.entries = append(h.entries, e)
}

func (h *entryHeap[T]) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	return e
}

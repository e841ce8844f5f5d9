// Package queue implements an earliest-deadline-first queue. Any queued entry can
// be removed; the entry that expires first and the one with the lowest priority
// are found in constant time.
package queue

import (
	"container/heap"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Entry is an element of a queue. Its owner sets the exported fields before Push.
type Entry[T any] struct {
	// Deadline orders the queue.
	Deadline model.Instant
	// Expiry is the end of the entry's maximum wait.
	Expiry model.Instant
	// Priority decides which entry is evicted first: the one with the lowest value.
	Priority uint32
	Value    T
	// sequence breaks ties between equal keys in the order of arrival.
	sequence uint64
	// heapIndexes holds the entry's index in each heap.
	heapIndexes [numKeys]int
	queued      bool
}

// Queued reports whether the entry is in a queue.
func (e *Entry[T]) Queued() bool { return e.queued }

// key identifies the field that a heap is ordered by.
type key int

const (
	byDeadline key = iota
	byExpiry
	byPriority
	numKeys
)

// keyValue returns the entry's sort value for a key.
func (e *Entry[T]) keyValue(k key) model.Instant {
	switch k {
	case byExpiry:
		return e.Expiry
	case byPriority:
		return model.Instant(e.Priority)
	default:
		return e.Deadline
	}
}

// Queue orders entries by deadline. Create it with New.
type Queue[T any] struct {
	heaps        [numKeys]entryHeap[T]
	lastSequence uint64
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
	q.lastSequence++
	e.sequence = q.lastSequence
	e.queued = true
	for k := range q.heaps {
		heap.Push(&q.heaps[k], e)
	}
}

// First returns the entry with the earliest deadline, or nil if the queue is empty.
func (q *Queue[T]) First() *Entry[T] { return q.heaps[byDeadline].first() }

// FirstExpiry returns the entry with the earliest expiry, or nil if the queue is
// empty.
func (q *Queue[T]) FirstExpiry() *Entry[T] { return q.heaps[byExpiry].first() }

// Lowest returns the entry with the lowest priority, or nil if the queue is empty.
func (q *Queue[T]) Lowest() *Entry[T] { return q.heaps[byPriority].first() }

// Remove removes an entry. It returns false if the entry is not queued.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if !e.queued {
		return false
	}
	e.queued = false
	for k := range q.heaps {
		heap.Remove(&q.heaps[k], e.heapIndexes[k])
	}
	return true
}

// Ahead returns how many entries have a deadline no later than the given one.
func (q *Queue[T]) Ahead(deadline model.Instant) int {
	return q.heaps[byDeadline].ahead(0, deadline)
}

// Entries returns the entries in a deterministic but unsorted order.
func (q *Queue[T]) Entries() []*Entry[T] {
	return append([]*Entry[T](nil), q.heaps[byDeadline].entries...)
}

// entryHeap implements heap.Interface.
type entryHeap[T any] struct {
	key     key
	entries []*Entry[T]
}

// first returns the minimum, or nil if the heap is empty.
func (h *entryHeap[T]) first() *Entry[T] {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0]
}

// ahead counts the entries in the subtree at index i whose key is at most the
// deadline. It skips the subtrees of entries with a later key.
func (h *entryHeap[T]) ahead(i int, deadline model.Instant) int {
	if i >= len(h.entries) || h.entries[i].keyValue(h.key) > deadline {
		return 0
	}
	return 1 + h.ahead(2*i+1, deadline) + h.ahead(2*i+2, deadline)
}

func (h *entryHeap[T]) Len() int { return len(h.entries) }

func (h *entryHeap[T]) Less(i, j int) bool {
	a, b := h.entries[i], h.entries[j]
	if a.keyValue(h.key) != b.keyValue(h.key) {
		return a.keyValue(h.key) < b.keyValue(h.key)
	}
	return a.sequence < b.sequence
}

func (h *entryHeap[T]) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].heapIndexes[h.key] = i
	h.entries[j].heapIndexes[h.key] = j
}

func (h *entryHeap[T]) Push(x any) {
	e := x.(*Entry[T])
	e.heapIndexes[h.key] = len(h.entries)
	h.entries = append(h.entries, e)
}

func (h *entryHeap[T]) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	return e
}

// Package queue holds work that waits for a slot, earliest deadline first. Any
// entry can be taken back while it waits.
package queue

import (
	"container/heap"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Entry is waiting work. Its owner sets Deadline and Value before Push.
type Entry[T any] struct {
	// Deadline orders the queue.
	Deadline model.Instant
	Value    T
	// order keeps entries of one deadline in the order of arrival.
	order uint64
	// position is the index in the heap plus one; zero when not queued.
	position int
}

// Queued reports whether the entry is in a queue.
func (e *Entry[T]) Queued() bool { return e.position > 0 }

// Queue orders entries by deadline. The zero value is empty.
type Queue[T any] struct {
	entries entryHeap[T]
	next    uint64
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Push adds an entry that is in no queue.
func (q *Queue[T]) Push(e *Entry[T]) {
	q.next++
	e.order = q.next
	heap.Push(&q.entries, e)
}

// Peek returns the entry with the earliest deadline, or nil.
func (q *Queue[T]) Peek() *Entry[T] {
	if len(q.entries) == 0 {
		return nil
	}
	return q.entries[0]
}

// Pop removes and returns the entry with the earliest deadline, or nil.
func (q *Queue[T]) Pop() *Entry[T] {
	if len(q.entries) == 0 {
		return nil
	}
	return heap.Pop(&q.entries).(*Entry[T])
}

// Remove takes an entry back. It reports false if the entry is not queued.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	if !e.Queued() {
		return false
	}
	heap.Remove(&q.entries, e.position-1)
	return true
}

// Ahead returns how many entries have a deadline no later than the given one,
// counted up to limit.
func (q *Queue[T]) Ahead(deadline model.Instant, limit int) int {
	return q.entries.ahead(0, deadline, limit)
}

// Each calls visit for every entry, in no particular but a repeatable order.
func (q *Queue[T]) Each(visit func(*Entry[T])) {
	for _, e := range q.entries {
		visit(e)
	}
}

// entryHeap implements heap.Interface.
type entryHeap[T any] []*Entry[T]

// ahead counts the entries below position i that are due by the deadline. It
// skips the subtrees of entries that are due later.
func (h entryHeap[T]) ahead(i int, deadline model.Instant, limit int) int {
	if i >= len(h) || limit <= 0 || h[i].Deadline > deadline {
		return 0
	}
	count := 1
	count += h.ahead(2*i+1, deadline, limit-count)
	count += h.ahead(2*i+2, deadline, limit-count)
	return count
}

func (h entryHeap[T]) Len() int { return len(h) }

func (h entryHeap[T]) Less(i, j int) bool {
	if h[i].Deadline != h[j].Deadline {
		return h[i].Deadline < h[j].Deadline
	}
	return h[i].order < h[j].order
}

func (h entryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i + 1
	h[j].position = j + 1
}

func (h *entryHeap[T]) Push(x any) {
	e := x.(*Entry[T])
	*h = append(*h, e)
	e.position = len(*h)
}

func (h *entryHeap[T]) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.position = 0
	return e
}

// Package timer holds the reducer's pending timers in a heap. A timer cannot be
// cancelled: its owner ignores a timer whose subject is gone or was put off.
package timer

import (
	"container/heap"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Owner is the part of the reducer that a timer wakes.
type Owner uint8

// The owners of timers.
const (
	Query Owner = iota + 1
	Dispatch
	Session
	Quarantine
	Config
	Membership
	Entry
	Admission
	Lifecycle
	Interest
	Relay
	Registry
)

// Timer wakes its owner at a time.
type Timer struct {
	At    model.Instant
	Owner Owner
	// ID is the owner's own key, such as a query's number.
	ID uint64
	// order keeps timers of one instant in the order in which they were set.
	order uint64
}

// Queue holds pending timers, earliest first. The zero value is empty.
type Queue struct {
	timers timerHeap
	next   uint64
}

// Set adds a timer.
func (q *Queue) Set(at model.Instant, owner Owner, id uint64) {
	q.next++
	heap.Push(&q.timers, Timer{At: at, Owner: owner, ID: id, order: q.next})
}

// Next returns the time of the earliest timer, and false if there is none.
func (q *Queue) Next() (model.Instant, bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].At, true
}

// PopDue removes and returns the earliest timer if it is due at now.
func (q *Queue) PopDue(now model.Instant) (Timer, bool) {
	if len(q.timers) == 0 || q.timers[0].At > now {
		return Timer{}, false
	}
	return heap.Pop(&q.timers).(Timer), true
}

// Len returns the number of pending timers.
func (q *Queue) Len() int { return len(q.timers) }

// timerHeap implements heap.Interface.
type timerHeap []Timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].At != h[j].At {
		return h[i].At < h[j].At
	}
	return h[i].order < h[j].order
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(Timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

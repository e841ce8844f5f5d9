// Package timer implements the queue of the reducer's pending timers. A timer cannot
// be cancelled; its owner ignores a timer that is no longer needed or was superseded
// by a later one.
package timer

import (
	"container/heap"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Owner is the part of the reducer that handles a timer.
type Owner uint8

// Owners of timers.
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

// Timer is a pending call of its owner's timer handler.
type Timer struct {
	// At is the time at which the timer is due.
	At    model.Instant
	Owner Owner
	// ID is a key chosen by the owner, such as the number of a query.
	ID uint64
	// sequence orders timers that are due at the same instant by the time at which
	// they were set.
	sequence uint64
}

// Queue holds pending timers, earliest first. The zero value is empty.
type Queue struct {
	timers       timerHeap
	lastSequence uint64
}

// Set adds a timer.
func (q *Queue) Set(at model.Instant, owner Owner, id uint64) {
	q.lastSequence++
	heap.Push(&q.timers, Timer{At: at, Owner: owner, ID: id, sequence: q.lastSequence})
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
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(Timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

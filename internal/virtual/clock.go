package virtual

import (
	"container/heap"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// task is something to do at a time.
type task struct {
	at    model.Instant
	order uint64
	run   func()
}

// taskHeap implements heap.Interface, earliest first, in the order of
// scheduling within one instant.
type taskHeap []task

func (h taskHeap) Len() int { return len(h) }

func (h taskHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *taskHeap) Push(x any) { *h = append(*h, x.(task)) }

func (h *taskHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = task{}
	*h = old[:len(old)-1]
	return last
}

// clock runs tasks in the order of their times.
type clock struct {
	now   model.Instant
	tasks taskHeap
	order uint64
}

// at schedules a task; a time in the past means now.
func (c *clock) at(t model.Instant, run func()) {
	c.order++
	heap.Push(&c.tasks, task{at: max(t, c.now), order: c.order, run: run})
}

// after schedules a task d from now.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// runUntil runs all tasks up to and including t and moves the clock to t.
func (c *clock) runUntil(t model.Instant) {
	for len(c.tasks) > 0 && c.tasks[0].at <= t {
		next := heap.Pop(&c.tasks).(task)
		c.now = next.at
		next.run()
	}
	c.now = t
}

package virtual

import (
	"container/heap"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// task is a function scheduled for a point in virtual time.
type task struct {
	at       model.Instant
	sequence uint64
	run      func()
}

// taskHeap implements heap.Interface. It orders tasks by time; tasks of the same
// instant keep the order in which they were scheduled.
type taskHeap []task

func (h taskHeap) Len() int { return len(h) }

func (h taskHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
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

// clock is a virtual clock that runs scheduled tasks in order of time.
type clock struct {
	now          model.Instant
	tasks        taskHeap
	lastSequence uint64
}

// at schedules run for time t; a time in the past is treated as now.
func (c *clock) at(t model.Instant, run func()) {
	c.lastSequence++
	heap.Push(&c.tasks, task{at: max(t, c.now), sequence: c.lastSequence, run: run})
}

// after schedules run for d from now.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// runUntil runs all tasks due up to and including t and advances the clock to t.
func (c *clock) runUntil(t model.Instant) {
	for len(c.tasks) > 0 && c.tasks[0].at <= t {
		next := heap.Pop(&c.tasks).(task)
		c.now = next.at
		next.run()
	}
	c.now = t
}

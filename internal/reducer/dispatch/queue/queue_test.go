package queue

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// TestQueueMatchesListModel compares the queue with a plain list over random
// pushes and removals.
func TestQueueMatchesListModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int]()
		var list []*Entry[int]
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(list) > 0 && rapid.Bool().Draw(t, "remove") {
				i := rapid.IntRange(0, len(list)-1).Draw(t, "index")
				if !q.Remove(list[i]) || q.Remove(list[i]) {
					t.Fatal("an entry was not removed exactly once")
				}
				list = append(list[:i], list[i+1:]...)
			} else {
				e := &Entry[int]{
					Deadline: model.Instant(rapid.IntRange(0, 20).Draw(t, "deadline")),
					Expiry:   model.Instant(rapid.IntRange(0, 20).Draw(t, "expiry")),
					Priority: rapid.Uint32Range(0, 20).Draw(t, "priority"),
				}
				q.Push(e)
				list = append(list, e)
			}
			checkAgainstList(t, q, list)
		}
	})
}

// checkAgainstList compares the queue's results with a linear search of the list.
func checkAgainstList(t *rapid.T, q *Queue[int], list []*Entry[int]) {
	if q.Len() != len(list) {
		t.Fatalf("%d entries, want %d", q.Len(), len(list))
	}
	var first, firstExpiry, lowest *Entry[int]
	ahead := 0
	const probe = model.Instant(10)
	for _, e := range list {
		if first == nil || e.Deadline < first.Deadline {
			first = e
		}
		if firstExpiry == nil || e.Expiry < firstExpiry.Expiry {
			firstExpiry = e
		}
		if lowest == nil || e.Priority < lowest.Priority {
			lowest = e
		}
		if e.Deadline <= probe {
			ahead++
		}
	}
	if first != nil && q.First().Deadline != first.Deadline {
		t.Fatalf("first deadline %d, want %d", q.First().Deadline, first.Deadline)
	}
	if firstExpiry != nil && q.FirstExpiry().Expiry != firstExpiry.Expiry {
		t.Fatalf("first expiry %d, want %d", q.FirstExpiry().Expiry, firstExpiry.Expiry)
	}
	if lowest != nil && q.Lowest().Priority != lowest.Priority {
		t.Fatalf("lowest priority %d, want %d", q.Lowest().Priority, lowest.Priority)
	}
	if got := q.Ahead(probe); got != ahead {
		t.Fatalf("%d entries ahead, want %d", got, ahead)
	}
}

func TestArrivalOrderAmongEqualDeadlines(t *testing.T) {
	q := New[int]()
	for i := range 20 {
		q.Push(&Entry[int]{Deadline: 5, Value: i})
	}
	for i := range 20 {
		e := q.First()
		q.Remove(e)
		if e.Value != i {
			t.Fatalf("entry %d came at position %d", e.Value, i)
		}
	}
}

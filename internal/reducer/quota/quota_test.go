package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// baseBytes is what the connections of the tests hold when they open.
const baseBytes = 10

// newState returns an account of which callers and entry lookups have half each.
func newState(bytes int64, connections int) *State {
	return New(Limits{Bytes: 2 * bytes, Connections: 2 * connections}, map[Listener]float64{Callers: 0.5, Entry: 0.5})
}

// mustOpen opens a connection of a caller.
func mustOpen(t *testing.T, s *State, now model.Instant) ID {
	t.Helper()
	id, decision := s.Open(now, Callers, baseBytes)
	if !decision.Granted {
		t.Fatal("no room for a connection")
	}
	return id
}

// TestSlowRequestGoesFirst guards against the eviction of clients that wait for the host, or have
// their answers on the way, while others do not finish their requests.
func TestSlowRequestGoesFirst(t *testing.T) {
	s := newState(1000, 6)
	ids := make(map[Phase]ID)
	for _, phase := range []Phase{Busy, Answer, Idle, Body, Head} {
		ids[phase] = mustOpen(t, s, 0)
		s.Enter(0, ids[phase], phase)
	}
	young := mustOpen(t, s, model.Instant(time.Minute))
	for _, want := range []Phase{Head, Body, Idle, Answer} {
		_, decision := s.Open(model.Instant(time.Minute), Callers, baseBytes)
		if !decision.Granted || len(decision.Evict) != 1 || decision.Evict[0] != ids[want] {
			t.Fatalf("want the eviction of %v (%v): %+v", ids[want], want, decision)
		}
		s.Close(ids[want])
	}
	if _, decision := s.Open(model.Instant(time.Minute), Callers, baseBytes); decision.Granted || len(decision.Evict) > 0 {
		t.Errorf("want a refusal, since the host works on %v and %v has just begun: %+v", ids[Busy], young, decision)
	}
}

// TestSlowestIsRefused guards against a slow client that makes room for itself at the cost of others.
func TestSlowestIsRefused(t *testing.T) {
	s := newState(100, 10)
	slow := mustOpen(t, s, 0)
	other := mustOpen(t, s, 1)
	s.Take(1, other, 60)
	if decision := s.Take(model.Instant(time.Minute), slow, 30); decision.Granted || len(decision.Evict) > 0 {
		t.Errorf("the slowest connection gets room: %+v", decision)
	}
	if decision := s.Take(model.Instant(time.Minute), other, 30); !decision.Granted || len(decision.Evict) != 1 || decision.Evict[0] != slow {
		t.Errorf("the slowest connection is not evicted: %+v", decision)
	}
}

// TestLargeRequestsLeaveRoom guards against large requests that leave no room for ordinary ones.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	const limit = 10 * smallBytes
	s := newState(limit, 100)
	for {
		id := mustOpen(t, s, 0)
		s.Enter(0, id, Busy)
		if !s.Take(0, id, 2*smallBytes).Granted {
			break
		}
	}
	if decision := s.Take(0, mustOpen(t, s, 0), smallBytes/2); !decision.Granted {
		t.Errorf("no room for an ordinary request beside large ones: %+v", decision)
	}
}

// TestListenersAreApart guards against a crowd on one listener that takes the room of another.
func TestListenersAreApart(t *testing.T) {
	s := newState(100, 2)
	mustOpen(t, s, 0)
	mustOpen(t, s, 0)
	if _, decision := s.Open(0, Callers, baseBytes); decision.Granted {
		t.Error("a third connection is granted")
	}
	if _, decision := s.Open(0, Entry, baseBytes); !decision.Granted {
		t.Error("an entry lookup finds no room beside callers")
	}
}

// TestRetryAfterIsTrue checks that a client that comes back when it was told to finds room, and that
// one for which there never is room is not told to come back.
func TestRetryAfterIsTrue(t *testing.T) {
	s := newState(100, 10)
	held := mustOpen(t, s, 0)
	s.Take(0, held, 50)
	asking := mustOpen(t, s, 0)
	now := model.Instant(100 * time.Millisecond)
	decision := s.Take(now, asking, 50)
	if decision.Granted || decision.RetryAfter <= 0 {
		t.Fatalf("want a refusal with a time: %+v", decision)
	}
	s.Close(asking)
	asking = mustOpen(t, s, now.Add(decision.RetryAfter))
	if decision := s.Take(now.Add(decision.RetryAfter), asking, 50); !decision.Granted {
		t.Errorf("no room for a client that came back when it was told to: %+v", decision)
	}
	if decision := s.Take(now, asking, 200); decision.Granted || decision.RetryAfter != 0 {
		t.Errorf("a client is told to come back although there never is room: %+v", decision)
	}
}

// TestAccountIsKept checks, for random sequences of events, that what is held stays within the limits
// and the bound on evicted connections, that it is the sum over the connections, that a connection on
// which the host works is never evicted, and that nothing is left once all are closed.
func TestAccountIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bytes, connections = 1000, 8
		s := newState(bytes, connections)
		now := model.Instant(0)
		open := make(map[ID]int64)
		busy := make(map[ID]bool)
		evicted := make(map[ID]bool)
		apply := func(d Decision) {
			for _, id := range d.Evict {
				if busy[id] || evicted[id] {
					t.Fatalf("connection %d is evicted: busy %v, evicted before %v", id, busy[id], evicted[id])
				}
				evicted[id] = true
			}
		}
		pick := func() ID {
			var ids []ID
			for id := ID(1); id <= s.lastID; id++ {
				if _, found := open[id]; found {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return 0
			}
			return rapid.SampledFrom(ids).Draw(t, "connection")
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				id, d := s.Open(now, Callers, baseBytes)
				apply(d)
				if d.Granted {
					open[id] = baseBytes
				}
			case 2:
				id, n := pick(), int64(rapid.IntRange(1, 400).Draw(t, "bytes"))
				d := s.Take(now, id, n)
				apply(d)
				if d.Granted {
					open[id] += n
				}
			case 3:
				if id := pick(); id != 0 {
					n := rapid.Int64Range(0, open[id]).Draw(t, "bytes")
					s.Give(id, n)
					open[id] -= n
				}
			case 4:
				id, phase := pick(), Phase(rapid.IntRange(0, int(phaseCount)-1).Draw(t, "phase"))
				if s.Enter(now, id, phase) == evicted[id] && id != 0 {
					t.Fatalf("connection %d, evicted %v, enters a phase: %v", id, evicted[id], !evicted[id])
				}
				busy[id] = phase == Busy
			default:
				id := pick()
				s.Close(id)
				delete(open, id)
			}
			var sum int64
			for _, held := range open {
				sum += held
			}
			u := s.Usage()[0]
			if u.Bytes != sum || u.Connections != len(open) {
				t.Fatalf("held: %+v, want %d bytes of %d connections", u, sum, len(open))
			}
			closing := s.listeners[Callers].closing
			if u.Bytes-closing.bytes > bytes || u.Connections-closing.connections > connections {
				t.Fatalf("over the limit: %+v, closing %+v", u, closing)
			}
		}
		for id := range open {
			s.Close(id)
		}
		if l := s.listeners[Callers]; l.used != (holding{}) || l.closing != (holding{}) {
			t.Fatalf("held after the end: %+v, closing %+v", l.used, l.closing)
		}
	})
}

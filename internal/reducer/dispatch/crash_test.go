package dispatch

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// endAll ends the open connections of an upstream as the death of its process
// does.
func (b *bench) endAll(id model.UpstreamID) {
	for _, c := range append([]*connection(nil), b.state.byUpstream[id].connections...) {
		e := event.ConnectionClosed{Connection: c.id}
		if c.job != nil {
			e.Attempt = c.job.request.Attempt
			e.Written = true
		}
		b.closed(e)
	}
}

// resultsAfter lets time pass and returns the results that it brought.
func (b *bench) resultsAfter(d time.Duration) []message.DispatchResult {
	b.effects = b.advance(d)
	return b.results()
}

func TestCrashMarksAllThatWasInFlight(t *testing.T) {
	b := ready(t, 2)
	b.dispatch(nil)
	b.dispatch(nil)
	b.endAll(upstreamA)
	if len(b.results()) != 0 {
		t.Fatal("the loss was reported before the signs were clear")
	}
	results := b.resultsAfter(collapseWindow)
	if len(results) != 2 {
		t.Fatalf("results = %+v", results)
	}
	for _, r := range results {
		if r.Status != message.StatusLost || !r.Crash || r.RanAlone {
			t.Errorf("result = %+v, want a crash that each may have caused", r)
		}
	}
}

func TestCrashAloneIsMarked(t *testing.T) {
	b := ready(t, 2)
	b.dispatch(func(m *message.Dispatch) { m.Isolate = true })
	b.endAll(upstreamA)
	results := b.resultsAfter(collapseWindow)
	if len(results) != 1 || !results[0].Crash || !results[0].RanAlone {
		t.Errorf("results = %+v, want a crash alone", results)
	}
}

func TestOneLostConnectionIsNoCrash(t *testing.T) {
	b := ready(t, 2)
	attempt := b.dispatch(nil)
	b.closed(event.ConnectionClosed{Connection: b.sent().Connection, Attempt: attempt, Written: true})
	results := b.resultsAfter(collapseWindow)
	if len(results) != 1 || results[0].Status != message.StatusLost || results[0].Crash {
		t.Errorf("results = %+v, want lost without a crash", results)
	}
}

// twoUpstreams returns a dispatcher with a second upstream on another host, both
// with a sub-request in flight.
func twoUpstreams(t *testing.T, bodyA, bodyB string) (b *bench, other model.UpstreamID) {
	t.Helper()
	b = ready(t, 1)
	other = "counter-1/b"
	b.config.Services[0].Upstreams = append(b.config.Services[0].Upstreams,
		model.Upstream{ID: other, Address: "10.0.0.2:80", Slots: 1, MaxConnections: 25})
	b.configure()
	b.connect()
	b.dispatch(func(m *message.Dispatch) { m.Body = []byte(bodyA) })
	b.dispatch(func(m *message.Dispatch) { m.Body, m.Upstream = []byte(bodyB), other })
	return b, other
}

func TestNetworkLossIsNoCrash(t *testing.T) {
	b, other := twoUpstreams(t, "x", "y")
	b.endAll(upstreamA)
	b.endAll(other)
	results := b.resultsAfter(probeTimeout)
	if len(results) != 2 || results[0].Crash || results[1].Crash {
		t.Errorf("results = %+v, want no crash while reconnections get no reply", results)
	}
}

func TestTwoCrashesAtOnceAreProvedByRefusedReconnections(t *testing.T) {
	b, other := twoUpstreams(t, "x", "y")
	b.endAll(upstreamA)
	b.endAll(other)
	for _, c := range b.state.connections {
		if c.state == connecting && c.lane.upstream.ID == upstreamA {
			b.closed(event.ConnectionClosed{Connection: c.id, Refused: true})
			break
		}
	}
	for _, r := range b.resultsAfter(probeTimeout) {
		if r.Crash != (r.Upstream == upstreamA) {
			t.Errorf("result = %+v", r)
		}
	}
}

func TestOneContentCrashesTwoUpstreams(t *testing.T) {
	b, other := twoUpstreams(t, "x", "x")
	b.endAll(upstreamA)
	b.endAll(other)
	results := b.resultsAfter(collapseWindow)
	if len(results) != 2 || !results[0].Crash || !results[1].Crash {
		t.Errorf("results = %+v, want two crashes", results)
	}
}

func TestReconnectsWithBackoff(t *testing.T) {
	b := ready(t, 1)
	b.endAll(upstreamA)
	attempts := 0
	for range 40 {
		for _, c := range b.state.byUpstream[upstreamA].connections {
			attempts++
			b.closed(event.ConnectionClosed{Connection: c.id, Refused: true})
		}
		b.advance(100 * time.Millisecond)
	}
	if attempts < 4 || attempts > 12 {
		t.Errorf("%d attempts to connect in 4 s", attempts)
	}
	b.dispatch(nil)
	if got := b.result(); got.Status != message.StatusRefused || got.Reason != model.CodeUnavailable {
		t.Errorf("result = %+v, want an immediate refusal while unreachable", got)
	}
}

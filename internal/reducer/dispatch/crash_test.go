package dispatch

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// closeAllConnections closes the connections of an upstream as the death of its
// process does.
func (h *harness) closeAllConnections(id model.UpstreamID) {
	for _, c := range append([]*connection(nil), h.state.byUpstream[id].connections...) {
		e := event.ConnectionClosed{Connection: c.id}
		if c.job != nil {
			e.Attempt = c.job.request.Attempt
			e.Written = true
		}
		h.closeConnection(e)
	}
}

// resultsAfter advances the time and returns the results sent meanwhile.
func (h *harness) resultsAfter(d time.Duration) []message.DispatchResult {
	h.effects = h.advance(d)
	return h.results()
}

func TestCrashMarksAllJobsInFlight(t *testing.T) {
	h := readyHarness(t, 2)
	h.dispatch(nil)
	h.dispatch(nil)
	h.closeAllConnections(upstreamA)
	if len(h.results()) != 0 {
		t.Fatal("the loss was reported before the disconnect was classified")
	}
	results := h.resultsAfter(disconnectWindow)
	if len(results) != 2 {
		t.Fatalf("results = %+v", results)
	}
	for _, r := range results {
		if r.Status != message.StatusLost || !r.Crash || r.RanAlone {
			t.Errorf("result = %+v, want a crash that each job may have caused", r)
		}
	}
}

func TestCrashOfIsolatedJobIsMarkedAsRunAlone(t *testing.T) {
	h := readyHarness(t, 2)
	h.dispatch(func(m *message.Dispatch) { m.Isolate = true })
	h.closeAllConnections(upstreamA)
	results := h.resultsAfter(disconnectWindow)
	if len(results) != 1 || !results[0].Crash || !results[0].RanAlone {
		t.Errorf("results = %+v, want a crash of a job that ran alone", results)
	}
}

func TestOneLostConnectionIsNoCrash(t *testing.T) {
	h := readyHarness(t, 2)
	attempt := h.dispatch(nil)
	h.closeConnection(event.ConnectionClosed{Connection: h.sent().Connection, Attempt: attempt, Written: true})
	results := h.resultsAfter(disconnectWindow)
	if len(results) != 1 || results[0].Status != message.StatusLost || results[0].Crash {
		t.Errorf("results = %+v, want lost without a crash", results)
	}
}

// twoUpstreams returns a dispatcher with a second upstream on another host. Both
// upstreams have a sub-request in flight.
func twoUpstreams(t *testing.T, bodyA, bodyB string) (h *harness, other model.UpstreamID) {
	t.Helper()
	h = readyHarness(t, 1)
	other = "counter-1/b"
	h.config.Services[0].Upstreams = append(h.config.Services[0].Upstreams,
		model.Upstream{ID: other, Address: "10.0.0.2:80", Slots: 1, MaxConnections: 25})
	h.configure()
	h.connect()
	h.dispatch(func(m *message.Dispatch) { m.Body = []byte(bodyA) })
	h.dispatch(func(m *message.Dispatch) { m.Body, m.Upstream = []byte(bodyB), other })
	return h, other
}

func TestNetworkLossIsNoCrash(t *testing.T) {
	h, other := twoUpstreams(t, "x", "y")
	h.closeAllConnections(upstreamA)
	h.closeAllConnections(other)
	results := h.resultsAfter(reconnectTimeout)
	if len(results) != 2 || results[0].Crash || results[1].Crash {
		t.Errorf("results = %+v, want no crash while reconnections get no reply", results)
	}
}

func TestRefusedReconnectionIsACrash(t *testing.T) {
	h, other := twoUpstreams(t, "x", "y")
	h.closeAllConnections(upstreamA)
	h.closeAllConnections(other)
	for _, c := range h.state.connections {
		if c.state == connecting && c.pool.upstream.ID == upstreamA {
			h.closeConnection(event.ConnectionClosed{Connection: c.id, Refused: true})
			break
		}
	}
	for _, r := range h.resultsAfter(reconnectTimeout) {
		if r.Crash != (r.Upstream == upstreamA) {
			t.Errorf("result = %+v", r)
		}
	}
}

func TestSameBodyCrashesTwoUpstreams(t *testing.T) {
	h, other := twoUpstreams(t, "x", "x")
	h.closeAllConnections(upstreamA)
	h.closeAllConnections(other)
	results := h.resultsAfter(disconnectWindow)
	if len(results) != 2 || !results[0].Crash || !results[1].Crash {
		t.Errorf("results = %+v, want two crashes", results)
	}
}

func TestReconnectsWithBackoff(t *testing.T) {
	h := readyHarness(t, 1)
	h.closeAllConnections(upstreamA)
	attempts := 0
	for range 40 {
		for _, c := range h.state.byUpstream[upstreamA].connections {
			attempts++
			h.closeConnection(event.ConnectionClosed{Connection: c.id, Refused: true})
		}
		h.advance(100 * time.Millisecond)
	}
	if attempts < 4 || attempts > 12 {
		t.Errorf("%d attempts to connect in 4 s", attempts)
	}
	h.dispatch(nil)
	if got := h.result(); got.Status != message.StatusRefused || got.Reason != model.CodeUnavailable {
		t.Errorf("result = %+v, want an immediate refusal while unreachable", got)
	}
}

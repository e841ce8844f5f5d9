package dispatch

import (
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// refusesWork reports whether the dispatcher refuses a new sub-request.
func (h *harness) refusesWork() bool {
	h.dispatch(nil)
	for _, result := range h.results() {
		if result.Status == message.StatusRefused {
			return true
		}
	}
	h.reply(h.sent(), nil)
	return false
}

func TestDrainByPlatformList(t *testing.T) {
	h := readyHarness(t, 1)
	list := func(e event.HostList) {
		h.step(func(ctx *step.Context) { h.state.HandleHostList(ctx, e) })
	}
	list(event.HostList{DrainingUpstreams: []model.UpstreamID{upstreamA}})
	if !h.reportedTo(coordinator) || !h.refusesWork() {
		t.Fatal("a draining upstream got work, or the drain was not reported")
	}
	list(event.HostList{Failed: true})
	if !h.refusesWork() {
		t.Fatal("a list that could not be read ended the drain")
	}
	list(event.HostList{})
	if h.refusesWork() {
		t.Error("the drain continues although the upstream is no longer listed")
	}
}

func TestDrainByReplyOutlastsAStaleStatus(t *testing.T) {
	h := readyHarness(t, 1)
	h.dispatch(nil)
	h.reply(h.sent(), func(e *event.UpstreamReply) { e.Draining = true })
	h.advance(statusInterval)
	h.connect()
	if !h.refusesWork() {
		t.Fatal("a stale status ended the drain")
	}
	for range drainHold/statusInterval + 1 {
		h.advance(statusInterval)
		h.connect()
	}
	if h.refusesWork() {
		t.Error("the drain continues after drainHold although the status does not report it")
	}
}

func TestStatusReadTimeoutClosesItsConnection(t *testing.T) {
	h := readyHarness(t, 1)
	h.advance(statusInterval)
	reads := effectsOf[effect.ReadUpstreamStatus](h.effects)
	if len(reads) != 1 {
		t.Fatalf("%d status reads", len(reads))
	}
	h.advance(statusTimeout + statusInterval)
	for _, e := range effectsOf[effect.CloseConnection](h.effects) {
		if e.Connection == reads[0].Connection {
			return
		}
	}
	t.Error("the connection was kept")
}

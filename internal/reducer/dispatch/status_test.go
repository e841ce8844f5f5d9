package dispatch

import (
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// refusesWork reports whether a new sub-request is refused as not run.
func (b *bench) refusesWork() bool {
	b.dispatch(nil)
	for _, result := range b.results() {
		if result.Status == message.StatusRefused {
			return true
		}
	}
	b.reply(b.sent(), nil)
	return false
}

func TestDrainByPlatformList(t *testing.T) {
	b := ready(t, 1)
	list := func(e event.HostList) {
		b.step(func(ctx *step.Context) { b.state.HandleHostList(ctx, e) })
	}
	list(event.HostList{DrainingUpstreams: []model.UpstreamID{upstreamA}})
	if !b.hasTo(coordinator) || !b.refusesWork() {
		t.Fatal("a listed upstream got work, or nobody was told")
	}
	list(event.HostList{Failed: true})
	if !b.refusesWork() {
		t.Fatal("a list that could not be read lifted the drain")
	}
	list(event.HostList{})
	if b.refusesWork() {
		t.Error("the drain goes on though the list no longer says so")
	}
}

func TestDrainByReplyHoldsAgainstALaggingStatus(t *testing.T) {
	b := ready(t, 1)
	b.dispatch(nil)
	b.reply(b.sent(), func(e *event.UpstreamReply) { e.Draining = true })
	b.advance(statusInterval)
	b.connect()
	if !b.refusesWork() {
		t.Fatal("a status that lags lifted the drain")
	}
	for range drainHold/statusInterval + 1 {
		b.advance(statusInterval)
		b.connect()
	}
	if b.refusesWork() {
		t.Error("the drain goes on though the status has long not said so")
	}
}

func TestHangingStatusReadEndsWithItsConnection(t *testing.T) {
	b := ready(t, 1)
	b.advance(statusInterval)
	reads := of[effect.ReadUpstreamStatus](b.effects)
	if len(reads) != 1 {
		t.Fatalf("%d status reads", len(reads))
	}
	b.advance(statusTimeout + statusInterval)
	for _, e := range of[effect.CloseConnection](b.effects) {
		if e.Connection == reads[0].Connection {
			return
		}
	}
	t.Error("the connection was kept")
}

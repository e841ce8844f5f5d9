package dispatch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// fleet returns a connected dispatcher of many upstreams and a step to call it
// with. The step's timers are dropped.
func fleet(upstreams int) (*State, *step.Context) {
	b := &bench{
		self:      model.Serving,
		placement: &fixedPlacement{hosts: []model.HostID{self}},
		view:      &fakeView{members: []model.Member{{Host: self, State: model.Serving}}},
		now:       model.Instant(time.Hour),
		random:    rand.New(rand.NewPCG(1, 1)),
	}
	b.config = &model.Config{Services: []model.Service{{Name: "counter-1", Policy: model.DefaultPolicy()}}}
	for i := range upstreams {
		b.config.Services[0].Upstreams = append(b.config.Services[0].Upstreams, model.Upstream{
			ID: benchUpstream(i), Address: "10.0.0.1:80", Slots: 2, MaxConnections: 25,
		})
	}
	b.state = New(b.placement)
	b.configure()
	b.connect()
	ctx := &step.Context{Now: b.now, Random: b.random, Self: b.view.members[0], Config: b.config, View: b.view, Timers: &b.timers}
	return b.state, ctx
}

// benchUpstream returns the name of the i-th upstream.
func benchUpstream(i int) model.UpstreamID {
	return model.UpstreamID(fmt.Sprintf("counter-1/u%05d", i))
}

// BenchmarkSubRequest is one sub-request from its dispatch to its result.
func BenchmarkSubRequest(b *testing.B) {
	state, ctx := fleet(30)
	m := message.Dispatch{Kind: message.KindSearch, TimeLeft: int64(time.Second), MaxQueueWait: int64(time.Second), Repeatable: true}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ctx.Effects = ctx.Effects[:0]
		ctx.Now = ctx.Now.Add(time.Microsecond)
		m.Attempt = model.AttemptID{Host: self, Number: uint64(i)}
		m.Upstream = state.lanes[i%30].upstream.ID
		state.HandleDispatch(ctx, self, m)
		sent := ctx.Effects[len(ctx.Effects)-1].(effect.SendUpstream)
		state.HandleReply(ctx, event.UpstreamReply{Connection: sent.Connection, Attempt: m.Attempt, Status: event.UpstreamAnswered})
	}
}

// BenchmarkQueuedSubRequest is one sub-request that finds a queue of 63.
func BenchmarkQueuedSubRequest(b *testing.B) {
	state, ctx := fleet(1)
	m := message.Dispatch{Kind: message.KindSearch, TimeLeft: int64(time.Hour), MaxQueueWait: int64(time.Hour), Repeatable: true, Upstream: benchUpstream(0)}
	sent := make([]effect.SendUpstream, 0, 1024)
	dispatch := func(i int) {
		ctx.Effects = ctx.Effects[:0]
		m.Attempt = model.AttemptID{Host: self, Number: uint64(i)}
		state.HandleDispatch(ctx, self, m)
		sent = append(sent, of[effect.SendUpstream](ctx.Effects)...)
	}
	for i := range 64 {
		dispatch(i)
	}
	b.ReportAllocs()
	for i := 64; b.Loop(); i++ {
		dispatch(i)
		ctx.Effects = ctx.Effects[:0]
		ctx.Now = ctx.Now.Add(time.Microsecond)
		first := sent[0]
		sent = append(sent[:0], sent[1:]...)
		state.HandleReply(ctx, event.UpstreamReply{Connection: first.Connection, Attempt: first.Attempt, Status: event.UpstreamAnswered})
		sent = append(sent, of[effect.SendUpstream](ctx.Effects)...)
	}
}

// BenchmarkLaneMemory reports the bytes that a connected upstream takes.
func BenchmarkLaneMemory(b *testing.B) {
	const upstreams = 10000
	for b.Loop() {
		before := heapBytes()
		state, _ := fleet(upstreams)
		after := heapBytes()
		b.ReportMetric(float64(after-before)/upstreams, "B/upstream")
		runtime.KeepAlive(state)
	}
}

// heapBytes returns the bytes in use after a collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

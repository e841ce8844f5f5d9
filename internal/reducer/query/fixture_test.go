package query

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/admission"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// selfHost coordinates and peerHost dispatches in these tests.
const (
	selfHost model.HostID = "a"
	peerHost model.HostID = "b"
)

// fakeView is a fixed membership.
type fakeView []model.Member

func (v fakeView) Members() []model.Member { return v }

func (v fakeView) Member(host model.HostID) (model.Member, bool) {
	for _, m := range v {
		if m.Host == host {
			return m, true
		}
	}
	return model.Member{}, false
}

// fakePlacement names the first host of a list that is a member.
type fakePlacement []model.HostID

func (p fakePlacement) Dispatchers(_ model.UpstreamID, members []model.Member) []model.HostID {
	var hosts []model.HostID
	for _, host := range p {
		for _, m := range members {
			if m.Host == host {
				hosts = append(hosts, host)
			}
		}
	}
	return hosts
}

// fakeSink keeps the outcomes of orders.
type fakeSink struct{ answers []model.Answer }

func (s *fakeSink) OrderDone(_ *step.Context, _ Order, answer model.Answer) {
	s.answers = append(s.answers, answer)
}

// bench drives a coordinator with fakes around it.
type bench struct {
	state   *State
	catalog *snapshot.Catalog
	sink    *fakeSink
	config  *model.Config
	timers  timer.Queue
	now     model.Instant
	steps   uint64
	// sent holds the messages in the order in which they were sent.
	sent    []effect.SendPeer
	replies []effect.ReplyCaller
	counts  map[effect.Metric]int
}

func newBench(config *model.Config) *bench {
	b := &bench{
		catalog: snapshot.NewCatalog(),
		sink:    &fakeSink{},
		config:  config,
		now:     model.Instant(time.Hour),
		counts:  make(map[effect.Metric]int),
	}
	b.state = New(Dependencies{
		Catalog:    b.catalog,
		Placement:  fakePlacement{peerHost, "c"},
		Admission:  admission.New(),
		Quarantine: quarantine.New(),
	})
	b.state.SetSink(b.sink)
	return b
}

// step runs one action as a step of the reducer and keeps what it emits.
func (b *bench) step(action func(ctx *step.Context)) {
	b.steps++
	members := fakeView{{Host: selfHost, Incarnation: 1, FailureDomain: "d1"}, {Host: peerHost, Incarnation: 1}, {Host: "c", Incarnation: 1}}
	ctx := &step.Context{
		Now:    b.now,
		Random: rand.New(rand.NewPCG(b.steps, 7)),
		Self:   members[0],
		Config: b.config,
		View:   members,
		Timers: &b.timers,
	}
	action(ctx)
	for _, e := range ctx.Effects {
		switch e := e.(type) {
		case effect.SendPeer:
			b.sent = append(b.sent, e)
		case effect.ReplyCaller:
			b.replies = append(b.replies, e)
		case effect.Count:
			b.counts[e.Metric]++
		}
	}
}

// advance moves the time and fires the timers on the way.
func (b *bench) advance(d time.Duration) {
	end := b.now.Add(d)
	for {
		at, ok := b.timers.Next()
		if !ok || at > end {
			break
		}
		b.now = max(b.now, at)
		due, _ := b.timers.PopDue(b.now)
		b.step(func(ctx *step.Context) { b.state.HandleTimer(ctx, due.ID) })
	}
	b.now = end
}

func (b *bench) search(call model.CallID, services ...string) {
	b.step(func(ctx *step.Context) {
		b.state.HandleSearch(ctx, event.Search{Call: call, Services: services, Query: fmt.Appendf(nil, `"q%d"`, call)})
	})
}

func (b *bench) report(report model.IndexReport) {
	report.Observed = b.now
	b.step(func(ctx *step.Context) { b.catalog.HandleReport(ctx, report) })
}

func (b *bench) result(from model.HostID, m message.DispatchResult) {
	b.step(func(ctx *step.Context) { b.state.HandleResult(ctx, from, m) })
}

// dispatches returns the dispatches sent so far.
func (b *bench) dispatches() []message.Dispatch {
	var out []message.Dispatch
	for _, send := range b.sent {
		if d, ok := send.Message.(message.Dispatch); ok {
			out = append(out, d)
		}
	}
	return out
}

// cancels returns the attempts that were cancelled.
func (b *bench) cancels() map[model.AttemptID]bool {
	out := make(map[model.AttemptID]bool)
	for _, send := range b.sent {
		if c, ok := send.Message.(message.Cancel); ok {
			out[c.Attempt] = true
		}
	}
	return out
}

// row is the row of the stand-in upstream.
type row struct {
	Shard   string          `json:"shard"`
	Query   json.RawMessage `json:"query"`
	Version model.Version   `json:"version"`
}

// answered returns the reply of an upstream that did as it was asked.
func answered(d message.Dispatch) message.DispatchResult {
	m := message.DispatchResult{Attempt: d.Attempt, Upstream: d.Upstream, Status: message.StatusAnswered, FreeSlots: 2}
	if d.Kind == message.KindOrder {
		m.Rows = []model.Row{[]byte(`{"execution":1}`)}
		return m
	}
	m.Version = d.Version
	m.RowShards = d.Shards
	for _, shard := range d.Shards {
		encoded, err := json.Marshal(row{Shard: string(d.Upstream.Service()) + "/" + string(shard), Query: d.Body, Version: d.Version})
		if err != nil {
			panic(err)
		}
		m.Rows = append(m.Rows, encoded)
	}
	return m
}

// ended returns a result with a status alone.
func ended(d message.Dispatch, status message.DispatchStatus) message.DispatchResult {
	return message.DispatchResult{Attempt: d.Attempt, Upstream: d.Upstream, Status: status, Reason: model.CodeOverloaded, FreeSlots: 2}
}

// wholeMap is a partition map of one shard.
func wholeMap(version model.Version) model.Holding {
	return model.Holding{
		Version:    version,
		Shards:     []model.Shard{{ID: "s0", Low: 0, High: model.KeySpace}},
		HeldShards: []model.ShardID{"s0"},
	}
}

// benchWith returns a bench with services of three replicas each at version 1.
func benchWith(t testing.TB, policy model.Policy, names ...model.ServiceName) *bench {
	t.Helper()
	config := &model.Config{Revision: 1}
	for _, name := range names {
		service := model.Service{Name: name, User: "u", Policy: policy}
		for i := range 3 {
			service.Upstreams = append(service.Upstreams, model.Upstream{
				ID:            model.UpstreamID(fmt.Sprintf("%s/u%d", name, i)),
				FailureDomain: model.FailureDomain(fmt.Sprintf("d%d", i)),
				Slots:         2,
			})
		}
		config.Services = append(config.Services, service)
	}
	b := newBench(config)
	for _, service := range config.Services {
		for _, upstream := range service.Upstreams {
			b.report(model.IndexReport{Upstream: upstream.ID, Reachable: true, FreeSlots: 2, Limit: 2, Holdings: []model.Holding{wholeMap(1)}})
		}
	}
	return b
}

// searchPolicy permits repeats and asks for everything.
func searchPolicy() model.Policy {
	policy := model.DefaultPolicy()
	policy.Repeatable = true
	policy.Deadline = 200 * time.Millisecond
	return policy
}

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

// selfHost is the coordinating node and peerHost the preferred dispatcher.
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

// fakePlacement is a list of the dispatchers of all upstreams, best first. Hosts that
// are not members are left out.
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

// fakeSink records the outcomes of orders.
type fakeSink struct{ answers []model.Answer }

func (s *fakeSink) OrderDone(_ *step.Context, _ Order, answer model.Answer) {
	s.answers = append(s.answers, answer)
}

// fixture runs a coordinator with fake dependencies and a simulated clock.
type fixture struct {
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

func newFixture(config *model.Config) *fixture {
	f := &fixture{
		catalog: snapshot.NewCatalog(),
		sink:    &fakeSink{},
		config:  config,
		now:     model.Instant(time.Hour),
		counts:  make(map[effect.Metric]int),
	}
	f.state = New(Dependencies{
		Catalog:    f.catalog,
		Placement:  fakePlacement{peerHost, "c"},
		Admission:  admission.New(),
		Quarantine: quarantine.New(),
	})
	f.state.SetSink(f.sink)
	return f
}

// step runs one action as a step of the reducer and records its effects.
func (f *fixture) step(action func(ctx *step.Context)) {
	f.steps++
	members := fakeView{{Host: selfHost, Incarnation: 1, FailureDomain: "d1"}, {Host: peerHost, Incarnation: 1}, {Host: "c", Incarnation: 1}}
	ctx := &step.Context{
		Now:    f.now,
		Random: rand.New(rand.NewPCG(f.steps, 7)),
		Self:   members[0],
		Config: f.config,
		View:   members,
		Timers: &f.timers,
	}
	action(ctx)
	for _, e := range ctx.Effects {
		switch e := e.(type) {
		case effect.SendPeer:
			f.sent = append(f.sent, e)
		case effect.ReplyCaller:
			f.replies = append(f.replies, e)
		case effect.Count:
			f.counts[e.Metric]++
		}
	}
}

// advance moves the clock forward and fires the timers that become due.
func (f *fixture) advance(d time.Duration) {
	end := f.now.Add(d)
	for {
		at, ok := f.timers.Next()
		if !ok || at > end {
			break
		}
		f.now = max(f.now, at)
		due, _ := f.timers.PopDue(f.now)
		f.step(func(ctx *step.Context) { f.state.HandleTimer(ctx, due.ID) })
	}
	f.now = end
}

func (f *fixture) search(call model.CallID, services ...string) {
	f.step(func(ctx *step.Context) {
		f.state.HandleSearch(ctx, event.Search{Call: call, Services: services, Query: fmt.Appendf(nil, `"q%d"`, call)})
	})
}

func (f *fixture) report(report model.IndexReport) {
	report.Observed = f.now
	f.step(func(ctx *step.Context) { f.catalog.HandleReport(ctx, report) })
}

func (f *fixture) result(from model.HostID, m message.DispatchResult) {
	f.step(func(ctx *step.Context) { f.state.HandleResult(ctx, from, m) })
}

// dispatches returns the dispatches sent so far.
func (f *fixture) dispatches() []message.Dispatch {
	var out []message.Dispatch
	for _, send := range f.sent {
		if d, ok := send.Message.(message.Dispatch); ok {
			out = append(out, d)
		}
	}
	return out
}

// cancels returns the attempts for which a Cancel was sent.
func (f *fixture) cancels() map[model.AttemptID]bool {
	out := make(map[model.AttemptID]bool)
	for _, send := range f.sent {
		if c, ok := send.Message.(message.Cancel); ok {
			out[c.Attempt] = true
		}
	}
	return out
}

// row is a result row of the fake upstream.
type row struct {
	Shard   string          `json:"shard"`
	Query   json.RawMessage `json:"query"`
	Version model.Version   `json:"version"`
}

// answeredResult returns the result of a correct upstream.
func answeredResult(d message.Dispatch) message.DispatchResult {
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

// resultWithStatus returns a result with a status and no reply.
func resultWithStatus(d message.Dispatch, status message.DispatchStatus) message.DispatchResult {
	return message.DispatchResult{Attempt: d.Attempt, Upstream: d.Upstream, Status: status, Reason: model.CodeOverloaded, FreeSlots: 2}
}

// singleShardHolding returns a holding of a partition map with one shard.
func singleShardHolding(version model.Version) model.Holding {
	return model.Holding{
		Version:    version,
		Shards:     []model.Shard{{ID: "s0", Low: 0, High: model.KeySpace}},
		HeldShards: []model.ShardID{"s0"},
	}
}

// newServiceFixture returns a fixture with the named services, each with three
// replicas at version 1.
func newServiceFixture(t testing.TB, policy model.Policy, names ...model.ServiceName) *fixture {
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
	f := newFixture(config)
	for _, service := range config.Services {
		for _, upstream := range service.Upstreams {
			f.report(model.IndexReport{Upstream: upstream.ID, Reachable: true, FreeSlots: 2, Limit: 2, Holdings: []model.Holding{singleShardHolding(1)}})
		}
	}
	return f
}

// searchPolicy returns the default policy with repeats permitted and a deadline of
// 200 ms.
func searchPolicy() model.Policy {
	policy := model.DefaultPolicy()
	policy.Repeatable = true
	policy.Deadline = 200 * time.Millisecond
	return policy
}

package query

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// targetShards is the number of upstreams that a query goes to at the users'
// target.
const targetShards = 76

// BenchmarkSubRequest measures the coordinator's part of one sub-request of a
// search over targetShards services: choosing, sending, merging, answering.
func BenchmarkSubRequest(b *testing.B) {
	names := make([]model.ServiceName, targetShards)
	for i := range names {
		names[i] = model.ServiceName(fmt.Sprintf("v%02d", i))
	}
	coordinator := benchWith(b, searchPolicy(), names...)
	ctx := &step.Context{
		Now:    coordinator.now,
		Random: rand.New(rand.NewPCG(1, 2)),
		Self:   model.Member{Host: selfHost, Incarnation: 1},
		Config: coordinator.config,
		View:   fakeView{{Host: selfHost}, {Host: peerHost}, {Host: "c"}},
		Timers: &coordinator.timers,
	}
	results := make([]message.DispatchResult, 0, targetShards)
	query := []byte(`"q"`)
	rows := []model.Row{[]byte(`{"shard":"s0"}`)}
	b.ReportAllocs()
	for n := 0; n < b.N; n += targetShards {
		ctx.Now += 1000
		ctx.Effects = ctx.Effects[:0]
		coordinator.state.HandleSearch(ctx, event.Search{Call: model.CallID(n + 1), Services: []string{"v*"}, Query: query})
		results = results[:0]
		for _, e := range ctx.Effects {
			if send, ok := e.(effect.SendPeer); ok {
				d := send.Message.(message.Dispatch)
				results = append(results, message.DispatchResult{
					Attempt: d.Attempt, Upstream: d.Upstream, Status: message.StatusAnswered,
					Version: d.Version, RowShards: d.Shards, Rows: rows, FreeSlots: 2,
				})
			}
		}
		for _, m := range results {
			coordinator.state.HandleResult(ctx, peerHost, m)
		}
	}
	if coordinator.state.InFlight() != 0 {
		b.Fatal("searches are left open")
	}
}

// targetUpstreams is the number of upstreams at the users' target.
const targetUpstreams = 14_000

// BenchmarkCatalogMemory measures the memory of the catalog at the users' target,
// in bytes an upstream, with two versions held.
func BenchmarkCatalogMemory(b *testing.B) {
	config := targetConfig()
	var before, after runtime.MemStats
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		catalog := snapshot.NewCatalog()
		ctx := &step.Context{Now: 1, Config: config}
		for _, service := range config.Services {
			for _, upstream := range service.Upstreams {
				catalog.HandleReport(ctx, model.IndexReport{
					Upstream: upstream.ID, Observed: 1, Reachable: true,
					Holdings: []model.Holding{wholeMap(1), wholeMap(2)},
				})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(catalog)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/targetUpstreams, "B/upstream")
}

// targetConfig returns a configuration of the users' target.
func targetConfig() *model.Config {
	config := &model.Config{Revision: 1}
	for i := range targetUpstreams / 3 {
		service := model.Service{Name: model.ServiceName(fmt.Sprintf("service-%d", i))}
		for j := range 3 {
			service.Upstreams = append(service.Upstreams, model.Upstream{ID: model.UpstreamID(fmt.Sprintf("%s/u%d", service.Name, j))})
		}
		config.Services = append(config.Services, service)
	}
	return config
}

// BenchmarkResolve measures the matching of a pattern at the users' target.
func BenchmarkResolve(b *testing.B) {
	catalog := snapshot.NewCatalog()
	ctx := &step.Context{Now: 1, Config: targetConfig()}
	b.ReportAllocs()
	for range b.N {
		if _, failure := catalog.Resolve(ctx, []string{"service-12?"}); failure != nil {
			b.Fatal(failure)
		}
	}
}

// BenchmarkConfigChange measures the catalog's part of a configuration change at
// the users' target.
func BenchmarkConfigChange(b *testing.B) {
	catalog := snapshot.NewCatalog()
	ctx := &step.Context{Now: 1, Config: targetConfig()}
	for _, service := range ctx.Config.Services {
		for _, upstream := range service.Upstreams {
			catalog.HandleReport(ctx, model.IndexReport{Upstream: upstream.ID, Reachable: true, Holdings: []model.Holding{wholeMap(1)}})
		}
	}
	b.ResetTimer()
	for range b.N {
		changed := *ctx.Config
		ctx.Config = &changed
		catalog.Service(ctx, "service-1")
	}
}

// BenchmarkReport measures one unchanged report of an upstream.
func BenchmarkReport(b *testing.B) {
	coordinator := benchWith(b, searchPolicy(), "v0")
	ctx := &step.Context{Now: coordinator.now, Config: coordinator.config}
	report := model.IndexReport{Upstream: "v0/u0", Reachable: true, Holdings: []model.Holding{wholeMap(1)}}
	b.ReportAllocs()
	for range b.N {
		report.Observed++
		report.Observed = max(report.Observed, coordinator.now)
		coordinator.catalog.HandleReport(ctx, report)
	}
}

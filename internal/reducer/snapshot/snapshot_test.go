package snapshot

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// TestMain sets a fixed seed for the property tests, so that runs are reproducible.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// newTestCatalog returns a catalog and a context for one service with n upstreams.
func newTestCatalog(n int) (*Catalog, *step.Context) {
	service := model.Service{Name: "s"}
	for i := range n {
		service.Upstreams = append(service.Upstreams, model.Upstream{ID: model.UpstreamID(fmt.Sprintf("s/u%d", i))})
	}
	config := &model.Config{Revision: 1, Services: []model.Service{service}}
	return NewCatalog(), &step.Context{Now: model.Instant(time.Hour), Config: config}
}

func countMetric(ctx *step.Context, metric effect.Metric) int {
	n := 0
	for _, e := range ctx.Effects {
		if c, ok := e.(effect.Count); ok && c.Metric == metric {
			n++
		}
	}
	return n
}

func twoShards(names ...model.ShardID) []model.Shard {
	return []model.Shard{{ID: names[0], Low: 0, High: 100}, {ID: names[1], Low: 100, High: model.KeySpace}}
}

func newReport(i int, observed model.Instant, holdings ...model.Holding) model.IndexReport {
	return model.IndexReport{
		Upstream: model.UpstreamID(fmt.Sprintf("s/u%d", i)), Observed: observed,
		Reachable: true, FreeSlots: 1, Limit: 1, Holdings: holdings,
	}
}

func TestNewMapRequiresTiledKeySpace(t *testing.T) {
	tests := map[string][]model.Shard{
		"empty":    {},
		"gap":      {{ID: "a", Low: 0, High: 10}, {ID: "b", Low: 11, High: model.KeySpace}},
		"overlap":  {{ID: "a", Low: 0, High: 12}, {ID: "b", Low: 11, High: model.KeySpace}},
		"short":    {{ID: "a", Low: 0, High: 10}},
		"repeated": {{ID: "a", Low: 0, High: 10}, {ID: "a", Low: 10, High: model.KeySpace}},
		"no name":  {{Low: 0, High: model.KeySpace}},
	}
	for name, shards := range tests {
		if _, err := NewMap("s", 1, shards); err == nil {
			t.Errorf("%s: invalid map accepted", name)
		}
	}
	if _, err := NewMap("s", 1, twoShards("a", "b")); err != nil {
		t.Error(err)
	}
}

func TestPinChoosesNewestVersionOfGreatestCoverage(t *testing.T) {
	both := []model.ShardID{"a", "b"}
	tests := []struct {
		name    string
		reports []model.IndexReport
		want    model.Version
		total   int
	}{
		{"newest of equal", []model.IndexReport{
			newReport(0, 1, model.Holding{Version: 1, Shards: twoShards("a", "b"), HeldShards: both}, model.Holding{Version: 2, Shards: twoShards("a", "b"), HeldShards: both}),
		}, 2, 2},
		{"older with greater coverage", []model.IndexReport{
			newReport(0, 1, model.Holding{Version: 1, Shards: twoShards("a", "b"), HeldShards: both}, model.Holding{Version: 2, Shards: twoShards("a", "b"), HeldShards: both[:1]}),
		}, 1, 2},
		{"more keys, not more shards", []model.IndexReport{
			newReport(0, 1, model.Holding{Version: 1, Shards: twoShards("a", "b"), HeldShards: both[:1]}, model.Holding{Version: 2, Shards: twoShards("a", "b"), HeldShards: both[1:]}),
		}, 2, 2},
		{"versions more than half of the number range apart", []model.IndexReport{
			newReport(0, 1, model.Holding{Version: 1, Shards: twoShards("a", "b"), HeldShards: both}, model.Holding{Version: math.MaxUint64, Shards: twoShards("a", "b"), HeldShards: both}),
		}, math.MaxUint64, 2},
		{"nothing known", nil, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, ctx := newTestCatalog(2)
			for _, r := range test.reports {
				c.HandleReport(ctx, r)
			}
			pin := c.Pin(ctx, []*model.Service{&ctx.Config.Services[0]}, WidelyHeld)
			if pin.Version() != test.want || pin.Len() != test.total {
				t.Fatalf("pinned %d with %d shards", pin.Version(), pin.Len())
			}
		})
	}
}

func TestPinWaitsUntilVersionIsWidelyHeld(t *testing.T) {
	all := []model.ShardID{"a", "b"}
	older := model.Holding{Version: 1, Shards: twoShards("a", "b"), HeldShards: all}
	newer := model.Holding{Version: 2, Shards: twoShards("a", "b"), HeldShards: all}
	want := []model.Version{1, 1, 2, 2}
	for updated, version := range want {
		c, ctx := newTestCatalog(3)
		for i := range 3 {
			if i < updated {
				c.HandleReport(ctx, newReport(i, 1, newer))
			} else {
				c.HandleReport(ctx, newReport(i, 1, older))
			}
		}
		services := []*model.Service{&ctx.Config.Services[0]}
		if got := c.Pin(ctx, services, WidelyHeld).Version(); got != version {
			t.Errorf("pinned %d when %d of 3 upstreams hold the newer version, want %d", got, updated, version)
		}
		if got := c.Pin(ctx, services, Newest).Version(); updated > 0 && got != 2 {
			t.Errorf("Newest pinned %d when %d of 3 upstreams hold the newer version, want 2", got, updated)
		}
	}
}

func TestCatalogAppliesConfigChanges(t *testing.T) {
	c, ctx := newTestCatalog(2)
	whole := model.Holding{Version: 1, Shards: twoShards("a", "b"), HeldShards: []model.ShardID{"a", "b"}}
	for i := range 3 {
		c.HandleReport(ctx, newReport(i, 1, whole))
	}
	checkHolders := func(want int) {
		t.Helper()
		pin := c.Pin(ctx, []*model.Service{&ctx.Config.Services[0]}, WidelyHeld)
		if got := len(pin.Target(0).Holders); got != want {
			t.Errorf("%d holders, want %d", got, want)
		}
	}
	checkHolders(2)
	first := ctx.Config.Services[0]
	setUpstreams := func(upstreams ...model.Upstream) {
		changed := first
		changed.Upstreams = upstreams
		ctx.Config = &model.Config{Services: []model.Service{changed}}
	}
	setUpstreams(first.Upstreams[0], first.Upstreams[1], model.Upstream{ID: "s/u2"})
	checkHolders(3)
	setUpstreams(first.Upstreams[0])
	checkHolders(1)
	ctx.Config = &model.Config{}
	if _, failure := c.Resolve(ctx, []string{"s"}); failure == nil {
		t.Error("a removed service still resolves")
	}
	setUpstreams(first.Upstreams...)
	checkHolders(2)
	ctx.Now = ctx.Now.Add(2 * orphanTimeout)
	setUpstreams(first.Upstreams...)
	checkHolders(2)
	if _, ok := c.Report("s/u2"); ok {
		t.Error("the report of an upstream that is not in the configuration is kept after orphanTimeout")
	}
}

func TestDrainingUpstreamIsNotSearchable(t *testing.T) {
	c, ctx := newTestCatalog(1)
	r := newReport(0, 1, model.Holding{Version: 1, Shards: twoShards("a", "b"), HeldShards: []model.ShardID{"a", "b"}})
	r.Draining = true
	c.HandleReport(ctx, r)
	if pin := c.Pin(ctx, []*model.Service{&ctx.Config.Services[0]}, WidelyHeld); pin.SearchableShards() != 0 {
		t.Fatalf("%d shards of a draining upstream are searchable", pin.SearchableShards())
	}
}

func TestStaleReportIsIgnoredUntilObserverTimeout(t *testing.T) {
	c, ctx := newTestCatalog(1)
	c.HandleReport(ctx, newReport(0, 10))
	older := newReport(0, 5)
	older.Queued = 7
	c.HandleReport(ctx, older)
	if got, _ := c.Report("s/u0"); got.Queued != 0 || countMetric(ctx, metricStaleReports) != 1 {
		t.Fatal("a stale report was applied")
	}
	ctx.Now = ctx.Now.Add(observerTimeout)
	c.HandleReport(ctx, older)
	if got, _ := c.Report("s/u0"); got.Queued != 7 {
		t.Fatal("the next dispatcher's report was not applied after observerTimeout")
	}
}

func TestConflictingMapsResolveIndependentlyOfReportOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []model.IndexReport
		for i := range 4 {
			names := rapid.SampledFrom([][]model.ShardID{{"a", "b"}, {"c", "d"}, {"e", "f"}}).Draw(t, "names")
			reports = append(reports, newReport(i, 1, model.Holding{Version: 1, Shards: twoShards(names...), HeldShards: names}))
		}
		var chosen []string
		for range 2 {
			c, ctx := newTestCatalog(4)
			for _, r := range rapid.Permutation(reports).Draw(t, "order") {
				c.HandleReport(ctx, r)
			}
			pin := c.Pin(ctx, []*model.Service{&ctx.Config.Services[0]}, WidelyHeld)
			chosen = append(chosen, pin.Target(0).Name)
			for i := range pin.Len() {
				if len(pin.Target(i).Holders) == 0 {
					t.Fatal("a shard of the chosen map has no holders")
				}
			}
		}
		if chosen[0] != chosen[1] {
			t.Fatalf("chose %v depending on the order of the reports", chosen)
		}
	})
}

func TestMergeAcceptsOnlyPartsOfItsPin(t *testing.T) {
	c, ctx := newTestCatalog(1)
	c.HandleReport(ctx, newReport(0, 1, model.Holding{Version: 3, Shards: twoShards("a", "b"), HeldShards: []model.ShardID{"a", "b"}}))
	services := []*model.Service{&ctx.Config.Services[0]}
	pin, other := c.Pin(ctx, services, WidelyHeld), c.Pin(ctx, services, WidelyHeld)
	row := []model.Row{[]byte("1")}
	for name, part := range map[string]func() (Part, error){
		"version": func() (Part, error) { return pin.Part(0, 2, []model.ShardID{"a"}, row) },
		"shard":   func() (Part, error) { return pin.Part(0, 3, []model.ShardID{"b"}, row) },
		"rows":    func() (Part, error) { return pin.Part(0, 3, []model.ShardID{"a"}, nil) },
	} {
		if _, err := part(); err == nil {
			t.Errorf("%s: invalid part accepted", name)
		}
	}
	merge := NewMerge(pin)
	foreign, _ := other.Part(0, 3, []model.ShardID{"a"}, row)
	if merge.Add(foreign) == nil || merge.Add(Part{}) == nil {
		t.Error("a part of another query was merged")
	}
	good, _ := pin.Part(1, 3, []model.ShardID{"b"}, row)
	if err := merge.Add(good); err != nil {
		t.Fatal(err)
	}
	if merge.Add(good) == nil {
		t.Error("a shard was merged twice")
	}
	coverage := merge.Coverage()
	if coverage.Searched != 1 || coverage.Total != 2 || !slices.Equal(coverage.Missing, []string{"s/a"}) {
		t.Errorf("got %+v", coverage)
	}
}

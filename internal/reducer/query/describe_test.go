package query

import (
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

func TestExplain(t *testing.T) {
	f := newServiceFixture(t, searchPolicy(), "v0")
	f.warm("v0", 40)
	f.report(model.IndexReport{Upstream: "v0/u1", Reachable: false, Holdings: []model.Holding{singleShardHolding(1)}})
	f.step(func(ctx *step.Context) {
		got, failure := f.state.Explain(ctx, "v0")
		if failure != nil {
			t.Fatal(failure)
		}
		if got.Version != 1 || got.Searchable != 1 || len(got.Shards) != 1 || got.HedgeTokens < 1 {
			t.Fatalf("got %+v", got)
		}
		shard := got.Shards[0]
		if shard.HedgeSource != hedgeByShard || shard.HedgeDelay < typicalTime/2 || shard.HedgeDelay > 2*typicalTime {
			t.Errorf("hedge after %v by %s", shard.HedgeDelay, shard.HedgeSource)
		}
		verdicts := []string{"eligible", "unreachable", "eligible"}
		for i, replica := range shard.Replicas {
			if replica.Verdict != verdicts[i] || replica.Dispatchers[0] != peerHost {
				t.Errorf("got %+v", replica)
			}
		}
		if _, failure := f.state.Explain(ctx, "nothing"); failure == nil || failure.Code != model.CodeUnknownService {
			t.Errorf("got %v", failure)
		}
	})
}

func TestDescribeListsOpenRequests(t *testing.T) {
	f := newServiceFixture(t, searchPolicy(), "v0", "v1")
	f.search(1, "v*")
	f.step(func(ctx *step.Context) {
		got := f.state.Describe(ctx)
		if got.OpenRequests != 1 || got.OpenAttempts != 2 || len(got.Oldest) != 1 || got.Oldest[0].Shards != 2 || len(got.Services) != 2 {
			t.Fatalf("got %+v", got)
		}
	})
}

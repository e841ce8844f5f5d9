package relay

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// usual are the limits of today's deployments.
var usual = Settings{ExtraAttemptBudget: 20, ExtraAttemptSlack: 56}

// noExtra permits neither hedges nor retries: the baseline of the load patterns.
var noExtra = Settings{}

const target = 80 * time.Millisecond

// pausing lets every replica pause in turn, each at its own time.
func pausing(w *world, every, pause time.Duration) {
	for _, id := range sortedIDs(w) {
		u := w.upstreams[id]
		var next func()
		next = func() {
			u.pausedUntil = w.now.Add(pause)
			w.at(every, next)
		}
		w.at(time.Duration(w.random.Int64N(int64(every))), next)
	}
}

// playPattern plays a load on ten shards and returns the figures after a warm-up.
func playPattern(t *testing.T, settings Settings, seed uint64, trouble func(w *world)) figures {
	w := newWorld(t, seed, settings, 4)
	w.register(w.gatherTable(10, 7500*time.Microsecond))
	w.load("/wide/x", 400*time.Millisecond, 180, 10*time.Second)
	w.play(3 * time.Second)
	w.forget()
	trouble(w)
	w.play(8 * time.Second)
	if len(w.calls) != 0 {
		t.Fatalf("%d requests got no answer", len(w.calls))
	}
	return w.sum(target)
}

// TestPausesOfEveryReplica replays the pattern "one replica in 24 pauses at any
// moment": the slowest of ten shards decides, and a hedge gets round it.
func TestPausesOfEveryReplica(t *testing.T) {
	pauses := func(w *world) { pausing(w, 2400*time.Millisecond, 100*time.Millisecond) }
	before := playPattern(t, noExtra, 1, pauses)
	after := playPattern(t, usual, 1, pauses)
	t.Logf("without hedges %+v", before)
	t.Logf("with hedges %+v", after)
	if after.worth < 0.97 {
		t.Errorf("worth %.3f, want 0.97", after.worth)
	}
	if after.worth <= before.worth {
		t.Errorf("hedges lower the worth from %.3f to %.3f", before.worth, after.worth)
	}
	if extra := float64(after.attempts)/float64(10*after.asked) - 1; extra > 0.2 {
		t.Errorf("%.3f extra attempts a first one, want at most 0.2", extra)
	}
}

// TestSlowReplicasAcrossShards replays "one replica of half of the shards becomes
// eight times slower".
func TestSlowReplicasAcrossShards(t *testing.T) {
	slow := func(w *world) {
		for i := range 5 {
			w.replica("s"+string(rune('0'+i)), 0).slow = 8
		}
	}
	before := playPattern(t, noExtra, 2, slow)
	after := playPattern(t, usual, 2, slow)
	t.Logf("without hedges %+v, with %+v", before, after)
	if after.worth < 0.97 || after.worth <= before.worth {
		t.Errorf("worth %.3f without hedges, %.3f with them, want 0.97", before.worth, after.worth)
	}
}

// TestShardDown replays "all replicas of one shard are down": nine of ten shards are
// an answer, on time; with two shards down the request is refused at once as not
// run.
func TestShardDown(t *testing.T) {
	down := func(shards ...string) func(w *world) {
		return func(w *world) {
			for _, name := range shards {
				w.leave(w.upstreamID(name, 0), w.upstreamID(name, 1), w.upstreamID(name, 2))
			}
		}
	}
	one := playPattern(t, usual, 3, down("s3"))
	t.Logf("one shard down %+v", one)
	if one.answered < one.asked*98/100 || one.worth < 0.78 {
		t.Errorf("%d of %d answered, worth %.3f, want 0.81 less the first moments", one.answered, one.asked, one.worth)
	}
	two := playPattern(t, usual, 3, down("s3", "s7"))
	t.Logf("two shards down %+v", two)
	if two.longest > 400*time.Millisecond {
		t.Errorf("a request was held for %v", two.longest)
	}
	if two.notRun < two.asked*9/10 {
		t.Errorf("%d of %d were refused as not run", two.notRun, two.asked)
	}
}

// TestOverload replays "three times as many requests as slots": what is refused is
// refused early and has not run, and what is answered keeps the slots busy.
func TestOverload(t *testing.T) {
	w := newWorld(t, 4, usual, 4)
	w.service("single", 3, 2, 60*time.Millisecond)
	w.register(&model.RouteTable{Version: 1, Routes: []model.Route{{
		Name: "one", Host: "h", Prefix: "/one/", Service: "single", Repeatable: true, MaxAttempts: 2,
		Timeout: 1500 * time.Millisecond, TargetLatency: 250 * time.Millisecond,
	}}})
	w.load("/one/x", 1500*time.Millisecond, 300, 6*time.Second)
	w.play(8 * time.Second)
	f := w.sum(250 * time.Millisecond)
	t.Logf("%+v", f)
	capacity := 6 / 0.06 * 6
	if float64(f.inTarget) < 0.9*capacity {
		t.Errorf("%d answers on time, want nine tenths of %.0f", f.inTarget, capacity)
	}
	for _, c := range w.answers {
		if c.answer.Outcome == model.NotRun && c.runs["single"] > 0 {
			t.Errorf("%s was refused as not run and ran", c.id)
		}
		if c.answer.Outcome == model.NotRun && c.elapsed > 70*time.Millisecond {
			t.Errorf("%s was refused after %v, want a quarter of the target", c.id, c.elapsed)
		}
		if c.answer.Outcome == model.NotRun && c.answer.RetryAfter <= 0 {
			t.Errorf("%s was refused without a time to come back", c.id)
		}
	}
}

// TestGreyReplicas replays "a replica of half of the shards refuses half of its
// requests though it has free slots": the others take over, and the grey ones keep
// their limit for when they recover.
func TestGreyReplicas(t *testing.T) {
	grey := func(w *world) {
		for i := range 5 {
			w.replica("s"+string(rune('0'+i)), 0).shedShare = 0.5
		}
	}
	f := playPattern(t, usual, 5, grey)
	t.Logf("%+v", f)
	if f.worth < 0.97 {
		t.Errorf("worth %.3f, want 0.97", f.worth)
	}
}

// TestSilentReplicas replays "a replica of three shards falls silent with its
// connections open".
func TestSilentReplicas(t *testing.T) {
	silent := func(w *world) {
		for i := range 3 {
			w.replica("s"+string(rune('0'+i)), 0).silent = true
		}
	}
	f := playPattern(t, usual, 6, silent)
	t.Logf("%+v", f)
	if f.worth < 0.95 {
		t.Errorf("worth %.3f, want 0.95", f.worth)
	}
}

// playSeldom plays "16 nodes use thirty upstreams, each of them seldom, and one of three
// in every shard becomes eight times slower", with or without shared observations.
func playSeldom(t *testing.T, sharing bool) figures {
	w := newWorld(t, 7, usual, 16)
	w.register(w.gatherTable(10, 7500*time.Microsecond))
	if sharing {
		w.shareObservations()
	}
	w.load("/wide/x", 400*time.Millisecond, 40, 9*time.Second)
	w.play(4 * time.Second)
	w.forget()
	for i := range 10 {
		w.replica("s"+string(rune('0'+i)), 0).slow = 8
	}
	w.play(6 * time.Second)
	return w.sum(target)
}

// TestManyNodesSeldomUsed checks that nodes that tell each other what they see turn
// away from slow upstreams sooner than each by itself.
func TestManyNodesSeldomUsed(t *testing.T) {
	alone, together := playSeldom(t, false), playSeldom(t, true)
	t.Logf("alone %+v", alone)
	t.Logf("together %+v", together)
	if together.worth < 0.95 || together.worth <= alone.worth {
		t.Errorf("worth %.3f alone and %.3f together, want 0.95", alone.worth, together.worth)
	}
}

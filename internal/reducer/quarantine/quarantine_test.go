package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// members is a view of the hosts of a bench.
type members []model.Member

// Members implements step.View.
func (m members) Members() []model.Member { return m }

// Member implements step.View.
func (m members) Member(host model.HostID) (model.Member, bool) {
	for _, member := range m {
		if member.Host == host {
			return member, true
		}
	}
	return model.Member{}, false
}

// bench is a few nodes' quarantines with lossless news between them.
type bench struct {
	nodes  []*State
	view   members
	timers []timer.Queue
	now    model.Instant
	config model.Config
	crash  uint64
}

func newBench(nodes int) *bench {
	b := &bench{now: model.Instant(time.Hour), timers: make([]timer.Queue, nodes)}
	for n := range nodes {
		b.nodes = append(b.nodes, New())
		b.view = append(b.view, model.Member{Host: model.HostID(rune('a' + n)), Incarnation: 1})
	}
	return b
}

// step returns a context of one node.
func (b *bench) step(node int) *step.Context {
	return &step.Context{Now: b.now, Self: b.view[node], Config: &b.config, View: b.view, Timers: &b.timers[node]}
}

// carry delivers the news among effects.
func (b *bench) carry(effects []effect.Effect) {
	for _, e := range effects {
		send, ok := e.(effect.SendPeer)
		if !ok {
			continue
		}
		for n, member := range b.view {
			if member.Host == send.To {
				b.nodes[n].HandleSuspicion(b.step(n), send.Message.(message.Suspicion))
			}
		}
	}
}

// crashed reports a crash under a content at a node.
func (b *bench) crashed(node int, print model.Fingerprint, alone bool) {
	b.crash++
	ctx := b.step(node)
	result := message.DispatchResult{Attempt: model.AttemptID{Host: "a", Number: b.crash}, Crash: true, RanAlone: alone}
	b.nodes[node].HandleCrash(ctx, "s", print, result)
	b.carry(ctx.Effects)
}

// wait moves the time on and fires the timers.
func (b *bench) wait(d time.Duration) {
	end := b.now.Add(d)
	for n := range b.nodes {
		for {
			at, ok := b.timers[n].Next()
			if !ok || at > end {
				break
			}
			b.now = max(b.now, at)
			due, _ := b.timers[n].PopDue(b.now)
			b.nodes[n].HandleTimer(b.step(n), due.ID)
		}
	}
	b.now = end
}

// check returns a node's verdict.
func (b *bench) check(node int, print model.Fingerprint) Verdict {
	return b.nodes[node].Check(b.step(node), "s", print)
}

func TestSecondCrashAloneConvictsEverywhere(t *testing.T) {
	b := newBench(3)
	b.crashed(0, 7, false)
	for n := range b.nodes {
		if got := b.check(n, 7); got != Suspect {
			t.Fatalf("node %d: got %v", n, got)
		}
	}
	b.crashed(1, 7, true)
	for n := range b.nodes {
		if got := b.check(n, 7); got != Blocked {
			t.Fatalf("node %d: got %v", n, got)
		}
	}
}

func TestRepeatedNewsCountsOnce(t *testing.T) {
	b := newBench(1)
	news := message.Suspicion{Service: "s", Fingerprint: 7, Attempt: model.AttemptID{Host: "x", Number: 1}, RanAlone: true}
	for range 3 {
		b.nodes[0].HandleSuspicion(b.step(0), news)
	}
	if got := b.check(0, 7); got != Suspect {
		t.Fatalf("got %v", got)
	}
}

func TestConvictionLapsesAndRenews(t *testing.T) {
	b := newBench(2)
	b.crashed(0, 7, false)
	b.crashed(0, 7, true)
	b.wait(convictFor)
	if got := b.check(1, 7); got != Suspect {
		t.Fatalf("after a conviction a content is suspect, got %v", got)
	}
	b.crashed(1, 7, true)
	b.wait(2*convictFor - time.Second)
	if got := b.check(0, 7); got != Blocked {
		t.Fatalf("a renewed conviction holds twice as long, got %v", got)
	}
	b.wait(time.Hour)
	if got := b.check(0, 7); got != Clear || len(b.nodes[0].subjects) != 0 {
		t.Fatalf("got %v with %d subjects", got, len(b.nodes[0].subjects))
	}
}

func TestSurvivorIsClear(t *testing.T) {
	b := newBench(1)
	b.crashed(0, 7, false)
	b.nodes[0].HandleCompleted(b.step(0), "s", 7)
	if got := b.check(0, 7); got != Clear {
		t.Fatalf("got %v", got)
	}
}

// TestNeighboursAreNotConvicted runs crashing contents beside random others: a
// content that never crashes an upstream by itself is never convicted, however
// often it was in flight when another one did.
func TestNeighboursAreNotConvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(2)
		culprits := rapid.IntRange(1, 3).Draw(t, "culprits")
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			node := rapid.IntRange(0, 1).Draw(t, "node")
			running := rapid.SliceOfNDistinct(rapid.Uint64Range(0, 12), 1, 5, rapid.ID[uint64]).Draw(t, "running")
			b.round(node, running, uint64(culprits))
		}
		for n := range b.nodes {
			for print := culprits; print <= 12; print++ {
				if b.check(n, model.Fingerprint(print)) == Blocked {
					t.Fatalf("innocent content %d is convicted on node %d", print, n)
				}
			}
		}
	})
}

// round runs contents beside each other on one upstream, suspects alone, and
// reports the crashes. Contents below culprits crash.
func (b *bench) round(node int, running []uint64, culprits uint64) {
	var together []model.Fingerprint
	crash := false
	for _, number := range running {
		print := model.Fingerprint(number)
		switch b.check(node, print) {
		case Clear:
			together = append(together, print)
			crash = crash || number < culprits
		case Suspect:
			b.runAlone(node, print, number < culprits)
		}
	}
	if !crash {
		return
	}
	for _, print := range together {
		b.crashed(node, print, len(together) == 1)
	}
}

// runAlone runs a suspect by itself.
func (b *bench) runAlone(node int, print model.Fingerprint, crash bool) {
	if crash {
		b.crashed(node, print, true)
		return
	}
	b.nodes[node].HandleCompleted(b.step(node), "s", print)
}

func TestDigestBringsConvictionsToANewNode(t *testing.T) {
	b := newBench(2)
	b.crashed(0, 7, false)
	b.crashed(0, 7, true)
	b.nodes[1] = New()
	ctx := b.step(0)
	b.nodes[0].HandleDigest(ctx, "b", message.Digest{BlocksHash: b.nodes[1].Hash()})
	b.carry(ctx.Effects)
	if got := b.check(1, 7); got != Blocked {
		t.Fatalf("got %v", got)
	}
	if b.nodes[0].Hash() != b.nodes[1].Hash() {
		t.Fatal("the hashes must agree")
	}
	ctx = b.step(0)
	b.nodes[0].HandleDigest(ctx, "b", message.Digest{BlocksHash: b.nodes[1].Hash()})
	if len(ctx.Effects) != 0 {
		t.Fatal("nothing is left to send")
	}
}

func TestPardonLiftsAndOutranksOldNews(t *testing.T) {
	b := newBench(2)
	b.crashed(0, 7, false)
	b.crashed(0, 7, true)
	old := b.nodes[0].news(b.step(0), content{"s", 7}, "", b.nodes[0].subjects[content{"s", 7}].convicting, true)
	b.config.Revision = 5
	b.config.Unblocks = []model.Unblock{{Service: "s", Fingerprint: 7, Revision: 5}}
	b.nodes[0] = New()
	for n := range b.nodes {
		b.nodes[n].HandleConfig(b.step(n))
		b.nodes[n].HandleSuspicion(b.step(n), old)
		if got := b.check(n, 7); got != Clear {
			t.Fatalf("node %d: got %v", n, got)
		}
	}
	b.crashed(0, 7, false)
	b.crashed(0, 7, true)
	if got := b.check(1, 7); got != Blocked {
		t.Fatalf("crashes after the pardon count, got %v", got)
	}
}

func TestOperatorsConviction(t *testing.T) {
	b := newBench(1)
	b.config.Blocks = []model.Block{{Service: "s", Fingerprint: 7, Until: b.now.Add(time.Minute)}}
	b.nodes[0].HandleConfig(b.step(0))
	if got := b.check(0, 7); got != Blocked {
		t.Fatalf("got %v", got)
	}
	b.wait(time.Minute)
	if got := b.check(0, 7); got != Clear {
		t.Fatalf("got %v", got)
	}
}

func TestSubjectsAreBounded(t *testing.T) {
	b := newBench(1)
	for print := range 2 * maxSubjects {
		b.crashed(0, model.Fingerprint(print), false)
	}
	if len(b.nodes[0].subjects) > maxSubjects {
		t.Fatalf("%d subjects", len(b.nodes[0].subjects))
	}
}

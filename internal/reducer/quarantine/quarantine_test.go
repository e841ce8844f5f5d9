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

// fixedView is a membership view that does not change by itself.
type fixedView []model.Member

// Members implements step.View.
func (m fixedView) Members() []model.Member { return m }

// Member implements step.View.
func (m fixedView) Member(host model.HostID) (model.Member, bool) {
	for _, member := range m {
		if member.Host == host {
			return member, true
		}
	}
	return model.Member{}, false
}

// testCluster holds the quarantine states of several nodes and delivers every
// message between them.
type testCluster struct {
	nodes       []*State
	view        fixedView
	timers      []timer.Queue
	now         model.Instant
	config      model.Config
	lastAttempt uint64
}

func newTestCluster(nodes int) *testCluster {
	c := &testCluster{now: model.Instant(time.Hour), timers: make([]timer.Queue, nodes)}
	for n := range nodes {
		c.nodes = append(c.nodes, New())
		c.view = append(c.view, model.Member{Host: model.HostID(rune('a' + n)), Incarnation: 1})
	}
	return c
}

// step returns a step context of one node.
func (c *testCluster) step(node int) *step.Context {
	return &step.Context{Now: c.now, Self: c.view[node], Config: &c.config, View: c.view, Timers: &c.timers[node]}
}

// deliver passes the suspicions among effects to their receivers.
func (c *testCluster) deliver(effects []effect.Effect) {
	for _, e := range effects {
		send, ok := e.(effect.SendPeer)
		if !ok {
			continue
		}
		for n, member := range c.view {
			if member.Host == send.To {
				c.nodes[n].HandleSuspicion(c.step(n), send.Message.(message.Suspicion))
			}
		}
	}
}

// reportCrash reports to a node a crash of an upstream that ran the request content
// with the fingerprint.
func (c *testCluster) reportCrash(node int, fingerprint model.Fingerprint, alone bool) {
	c.lastAttempt++
	ctx := c.step(node)
	result := message.DispatchResult{Attempt: model.AttemptID{Host: "a", Number: c.lastAttempt}, Crash: true, RanAlone: alone}
	c.nodes[node].HandleCrash(ctx, "s", fingerprint, result)
	c.deliver(ctx.Effects)
}

// advance moves the clock forward and fires the timers that are due.
func (c *testCluster) advance(d time.Duration) {
	end := c.now.Add(d)
	for n := range c.nodes {
		for {
			at, ok := c.timers[n].Next()
			if !ok || at > end {
				break
			}
			c.now = max(c.now, at)
			due, _ := c.timers[n].PopDue(c.now)
			c.nodes[n].HandleTimer(c.step(n), due.ID)
		}
	}
	c.now = end
}

// check returns a node's classification.
func (c *testCluster) check(node int, fingerprint model.Fingerprint) Classification {
	return c.nodes[node].Check(c.step(node), "s", fingerprint)
}

func TestSecondCrashAloneBlocksOnAllNodes(t *testing.T) {
	c := newTestCluster(3)
	c.reportCrash(0, 7, false)
	for n := range c.nodes {
		if got := c.check(n, 7); got != Suspect {
			t.Fatalf("node %d: got %v", n, got)
		}
	}
	c.reportCrash(1, 7, true)
	for n := range c.nodes {
		if got := c.check(n, 7); got != Blocked {
			t.Fatalf("node %d: got %v", n, got)
		}
	}
}

func TestDuplicateSuspicionCountsOnce(t *testing.T) {
	c := newTestCluster(1)
	suspicion := message.Suspicion{Service: "s", Fingerprint: 7, Attempt: model.AttemptID{Host: "x", Number: 1}, RanAlone: true}
	for range 3 {
		c.nodes[0].HandleSuspicion(c.step(0), suspicion)
	}
	if got := c.check(0, 7); got != Suspect {
		t.Fatalf("got %v", got)
	}
}

func TestBlockExpiresAndRenewsForLonger(t *testing.T) {
	c := newTestCluster(2)
	c.reportCrash(0, 7, false)
	c.reportCrash(0, 7, true)
	c.advance(initialBlockDuration)
	if got := c.check(1, 7); got != Suspect {
		t.Fatalf("content must be suspect after its block expires, got %v", got)
	}
	c.reportCrash(1, 7, true)
	c.advance(2*initialBlockDuration - time.Second)
	if got := c.check(0, 7); got != Blocked {
		t.Fatalf("a renewed block must last twice as long, got %v", got)
	}
	c.advance(time.Hour)
	if got := c.check(0, 7); got != Clear || len(c.nodes[0].records) != 0 {
		t.Fatalf("got %v with %d records", got, len(c.nodes[0].records))
	}
}

func TestCompletedSuspectIsClear(t *testing.T) {
	c := newTestCluster(1)
	c.reportCrash(0, 7, false)
	c.nodes[0].HandleCompleted(c.step(0), "s", 7)
	if got := c.check(0, 7); got != Clear {
		t.Fatalf("got %v", got)
	}
}

// TestConcurrentContentIsNotBlocked runs crashing request content concurrently with
// random other content. Content that never crashes an upstream by itself must not be
// blocked, however often it was in flight when other content crashed one.
func TestConcurrentContentIsNotBlocked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(2)
		crashBelow := rapid.IntRange(1, 3).Draw(t, "crashing contents")
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			node := rapid.IntRange(0, 1).Draw(t, "node")
			running := rapid.SliceOfNDistinct(rapid.Uint64Range(0, 12), 1, 5, rapid.ID[uint64]).Draw(t, "running")
			c.runRound(node, running, uint64(crashBelow))
		}
		for n := range c.nodes {
			for fingerprint := crashBelow; fingerprint <= 12; fingerprint++ {
				if c.check(n, model.Fingerprint(fingerprint)) == Blocked {
					t.Fatalf("content %d never crashed an upstream and is blocked on node %d", fingerprint, n)
				}
			}
		}
	})
}

// runRound runs request content concurrently on one upstream, suspects alone, and
// reports the crashes. Content with a fingerprint below crashBelow crashes.
func (c *testCluster) runRound(node int, running []uint64, crashBelow uint64) {
	var concurrent []model.Fingerprint
	crash := false
	for _, number := range running {
		fingerprint := model.Fingerprint(number)
		switch c.check(node, fingerprint) {
		case Clear:
			concurrent = append(concurrent, fingerprint)
			crash = crash || number < crashBelow
		case Suspect:
			c.runAlone(node, fingerprint, number < crashBelow)
		}
	}
	if !crash {
		return
	}
	for _, fingerprint := range concurrent {
		c.reportCrash(node, fingerprint, len(concurrent) == 1)
	}
}

// runAlone runs a suspect alone on an upstream.
func (c *testCluster) runAlone(node int, fingerprint model.Fingerprint, crash bool) {
	if crash {
		c.reportCrash(node, fingerprint, true)
		return
	}
	c.nodes[node].HandleCompleted(c.step(node), "s", fingerprint)
}

func TestDigestSendsBlocksToNewNode(t *testing.T) {
	c := newTestCluster(2)
	c.reportCrash(0, 7, false)
	c.reportCrash(0, 7, true)
	c.nodes[1] = New()
	ctx := c.step(0)
	c.nodes[0].HandleDigest(ctx, "b", message.Digest{BlocksHash: c.nodes[1].Hash()})
	c.deliver(ctx.Effects)
	if got := c.check(1, 7); got != Blocked {
		t.Fatalf("got %v", got)
	}
	if c.nodes[0].Hash() != c.nodes[1].Hash() {
		t.Fatal("the hashes must be equal")
	}
	ctx = c.step(0)
	c.nodes[0].HandleDigest(ctx, "b", message.Digest{BlocksHash: c.nodes[1].Hash()})
	if len(ctx.Effects) != 0 {
		t.Fatal("nodes with equal hashes must not send blocks")
	}
}

func TestUnblockOverridesOlderSuspicions(t *testing.T) {
	c := newTestCluster(2)
	c.reportCrash(0, 7, false)
	c.reportCrash(0, 7, true)
	old := c.nodes[0].suspicionMessage(c.step(0), content{"s", 7}, "", c.nodes[0].records[content{"s", 7}].blockingCrash, true)
	c.config.Revision = 5
	c.config.Unblocks = []model.Unblock{{Service: "s", Fingerprint: 7, Revision: 5}}
	c.nodes[0] = New()
	for n := range c.nodes {
		c.nodes[n].HandleConfig(c.step(n))
		c.nodes[n].HandleSuspicion(c.step(n), old)
		if got := c.check(n, 7); got != Clear {
			t.Fatalf("node %d: got %v", n, got)
		}
	}
	c.reportCrash(0, 7, false)
	c.reportCrash(0, 7, true)
	if got := c.check(1, 7); got != Blocked {
		t.Fatalf("crashes after the unblocking must count, got %v", got)
	}
}

func TestOperatorBlockExpires(t *testing.T) {
	c := newTestCluster(1)
	c.config.Blocks = []model.Block{{Service: "s", Fingerprint: 7, Until: c.now.Add(time.Minute)}}
	c.nodes[0].HandleConfig(c.step(0))
	if got := c.check(0, 7); got != Blocked {
		t.Fatalf("got %v", got)
	}
	c.advance(time.Minute)
	if got := c.check(0, 7); got != Clear {
		t.Fatalf("got %v", got)
	}
}

func TestRecordsAreBounded(t *testing.T) {
	c := newTestCluster(1)
	for fingerprint := range 2 * maxRecords {
		c.reportCrash(0, model.Fingerprint(fingerprint), false)
	}
	if len(c.nodes[0].records) > maxRecords {
		t.Fatalf("%d records", len(c.nodes[0].records))
	}
}

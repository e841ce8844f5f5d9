package blame

import (
	"fmt"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// court is a state with a clock.
type court struct {
	*State
	now      model.Instant
	attempts uint64
}

func newCourt() *court { return &court{State: New(), now: model.Instant(time.Hour)} }

var suspect = Content{Route: "r", Fingerprint: 7}

// crash reports the crash of an upstream under an attempt of this node, and returns whether it is
// evidence.
func (c *court) crash(content Content, upstream int) bool {
	c.attempts++
	return c.RecordCrash(c.now, Crash{
		Content: content, Upstream: upstreamID(upstream), Attempt: model.AttemptID{Number: c.attempts},
		Suspected: c.IsSuspect(c.now, content), SentAt: c.now,
	})
}

func upstreamID(i int) model.UpstreamID { return model.UpstreamID(fmt.Sprintf("s/u%d", i)) }

// verdict waits for the verdict on the latest crash, and reports whether the content is condemned.
func (c *court) verdict() bool {
	c.now = c.now.Add(VerdictDelay)
	for _, v := range c.Judge(c.now) {
		if v.Condemned {
			c.SetBlocked(c.now, v.Crash.Content, v.Crash.Upstream, c.now.Add(time.Minute))
			return true
		}
	}
	return false
}

// try waits until the content may be tried by a node of rank 0.
func (c *court) try(t *testing.T) {
	t.Helper()
	for range 100 {
		wait := c.Admit(c.now, suspect, 0)
		if wait == 0 {
			return
		}
		c.now = c.now.Add(wait)
	}
	t.Fatal("the content is never tried")
}

func TestSecondCrashWithoutOtherCauseCondemns(t *testing.T) {
	c := newCourt()
	c.crash(suspect, 1)
	c.now = c.now.Add(20 * time.Millisecond)
	c.crash(suspect, 2)
	if !c.verdict() {
		t.Error("not condemned")
	}
}

// TestCrashBesideOthersIsDoubtful guards against content that is condemned although an upstream
// that did not run it crashed at the time.
func TestCrashBesideOthersIsDoubtful(t *testing.T) {
	c := newCourt()
	c.crash(suspect, 1)
	c.now = c.now.Add(20 * time.Millisecond)
	c.crash(suspect, 2)
	c.now = c.now.Add(20 * time.Millisecond)
	c.RecordUpstreamCrash(c.now, upstreamID(3))
	if c.verdict() {
		t.Fatal("condemned beside another crash")
	}
	// The first trial is still close to the crash of the other upstream.
	for i, want := range []bool{false, false, true} {
		c.try(t)
		c.crash(suspect, 4+i)
		if condemned := c.verdict(); condemned != want {
			t.Errorf("trial %d: condemned %t", i+1, condemned)
		}
	}
}

// TestContentThatRanIsNoSuspect guards against suspicion of content that ran to its end a moment
// before its upstream crashed, and checks that this ends if it does not run to its end any more.
func TestContentThatRanIsNoSuspect(t *testing.T) {
	c := newCourt()
	c.RecordRun(c.now, suspect, "s")
	if c.crash(suspect, 1) || c.IsSuspect(c.now, suspect) {
		t.Error("suspected although it has just run to its end")
	}
	if !c.crash(Content{Route: "r", Fingerprint: 8}, 1) {
		t.Error("other content is not suspected")
	}
	c.now = c.now.Add(2 * recentRun)
	if !c.crash(suspect, 2) {
		t.Error("not suspected long after it last ran to its end")
	}
}

// TestRunClearsHeldContent checks that one run to the end clears content, and that the other nodes
// are to be told.
func TestRunClearsHeldContent(t *testing.T) {
	c := newCourt()
	c.crash(suspect, 1)
	c.crash(suspect, 2)
	if !c.IsHeld(c.now, suspect) || c.Admit(c.now, suspect, 0) == 0 {
		t.Fatal("not held after two crashes")
	}
	c.try(t)
	if !c.RecordRun(c.now, suspect, "s") || c.IsSuspect(c.now, suspect) {
		t.Error("not cleared")
	}
}

// TestCrashesOfOtherShardsDoNotClear checks that a run on one shard does not clear content that
// crashes another.
func TestCrashesOfOtherShardsDoNotClear(t *testing.T) {
	c := newCourt()
	c.crash(suspect, 1)
	if c.RecordRun(c.now, suspect, "other"); !c.IsSuspect(c.now, suspect) {
		t.Error("cleared by a run on another service")
	}
}

// TestOneTrialAtATime checks that neither another content of the route nor another node tries while
// a trial is under way.
func TestOneTrialAtATime(t *testing.T) {
	c := newCourt()
	other := Content{Route: "r", Fingerprint: 8}
	for _, content := range []Content{suspect, other} {
		c.crash(content, 1)
		c.crash(content, 2)
	}
	c.try(t)
	if c.Admit(c.now, suspect, 0) == 0 || c.Admit(c.now, other, 0) == 0 {
		t.Error("a second trial is admitted")
	}
	c.Clear(suspect)
	if c.Admit(c.now, other, 1) == 0 {
		t.Error("the second node may try as soon as the first")
	}
	if c.Admit(c.now, other, 0) != 0 {
		t.Error("the next trial is not admitted after the end of the first")
	}
}

// TestRepeatedReportCountsOnce checks that one crash that is reported twice is one crash.
func TestRepeatedReportCountsOnce(t *testing.T) {
	c := newCourt()
	crash := Crash{Content: suspect, Upstream: upstreamID(1), Attempt: model.AttemptID{Host: "x", Number: 1}, Suspected: true}
	if !c.RecordCrash(c.now, crash) || c.RecordCrash(c.now, crash) {
		t.Error("counted twice")
	}
}

func TestRecordsAreBounded(t *testing.T) {
	c := newCourt()
	for i := range 2 * maxRecords {
		c.crash(Content{Route: "r", Fingerprint: model.Fingerprint(i)}, i)
	}
	if len(c.records) > maxRecords || len(c.seen) > maxSeen+1 || len(c.log.events) > maxEvents {
		t.Errorf("%d records, %d attempts, %d crashes", len(c.records), len(c.seen), len(c.log.events))
	}
}

package kv

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

const testTimeout = time.Second

// createCall returns a call that creates a key.
func createCall(key, value string) effect.CallStore {
	return effect.CallStore{Verb: effect.StoreCreate, Key: key, Value: []byte(value), Timeout: testTimeout}
}

// wantStatus fails the test unless a reply is immediate and has the given status.
func wantStatus(t *testing.T, reply Reply, want event.StoreStatus) {
	t.Helper()
	if reply.Ticket != 0 || reply.Result.Status != want {
		t.Fatalf("reply = %+v, want status %d at once", reply, want)
	}
}

func TestCreateOnlyIfAbsent(t *testing.T) {
	s := New(DefaultLimits())
	wantStatus(t, s.Apply(0, createCall("a", "1")), event.StoreOK)
	reply := s.Apply(0, createCall("a", "2"))
	wantStatus(t, reply, event.StoreConflict)
	if got := string(reply.Result.Items[0].Value); got != "1" {
		t.Errorf("conflict returns value %q, want the existing value 1", got)
	}
}

func TestListIsOrderedAndPaged(t *testing.T) {
	s := New(DefaultLimits())
	for _, key := range []string{"a/3", "b", "a/1", "a/2"} {
		s.Apply(0, createCall(key, key))
	}
	reply := s.Apply(0, effect.CallStore{Verb: effect.StoreList, Key: "a/", After: "a/1", Limit: 1})
	if len(reply.Result.Items) != 1 || reply.Result.Items[0].Key != "a/2" {
		t.Errorf("page = %+v, want a/2 only", reply.Result.Items)
	}
}

func TestWatchEndsWithChangeTimeoutOrTruncation(t *testing.T) {
	limits := DefaultLimits()
	limits.HistoryChanges = 2
	s := New(limits)
	watch := effect.CallStore{Verb: effect.StoreWatch, Key: "a", Timeout: testTimeout}
	reply := s.Apply(0, watch)
	s.Apply(0, createCall("other", ""))
	if got := s.Advance(1); len(got) != 0 {
		t.Fatalf("a change of another key ended the watch: %+v", got)
	}
	s.Apply(1, createCall("a", "1"))
	ended := s.Advance(1)
	if len(ended) != 1 || ended[0].Ticket != reply.Ticket || len(ended[0].Result.Items) != 1 {
		t.Fatalf("ended = %+v, want the watch with one change", ended)
	}
	watch.FromRevision = s.Revision()
	s.Apply(1, watch)
	ended = s.Advance(model.Instant(1).Add(testTimeout))
	if len(ended) != 1 || ended[0].Result.Status != event.StoreOK || len(ended[0].Result.Items) != 0 {
		t.Fatalf("ended = %+v, want an empty reply at the timeout", ended)
	}
	s.Apply(2, createCall("b", ""))
	watch.FromRevision = 0
	wantStatus(t, s.Apply(2, watch), event.StoreTruncated)
}

func TestLimitsCountWaitingWatches(t *testing.T) {
	limits := Limits{WritesPerSecond: 10, ReadsPerSecond: 10, Burst: 100 * time.Millisecond, ValueBytes: 1, HistoryChanges: 10}
	s := New(limits)
	wantStatus(t, s.Apply(0, createCall("a", "1")), event.StoreOK)
	wantStatus(t, s.Apply(0, createCall("b", "1")), event.StoreRejected)
	wantStatus(t, s.Apply(model.Instant(time.Second), createCall("c", "22")), event.StoreRejected)
	now := model.Instant(0)
	for range 10 {
		now = now.Add(time.Second)
		s.Apply(now, effect.CallStore{Verb: effect.StoreWatch, Key: "x", Timeout: time.Hour})
	}
	wantStatus(t, s.Apply(now.Add(time.Second), effect.CallStore{Verb: effect.StoreGet, Key: "a"}), event.StoreRejected)
}

func TestFaults(t *testing.T) {
	s := New(DefaultLimits())
	until := model.Instant(0).Add(time.Second)
	s.Schedule(Fault{Kind: LoseReply, Until: until, Count: 1, WritesOnly: true})
	s.Apply(0, createCall("lost", "1"))
	if s.Revision() != 1 {
		t.Error("a write whose reply was lost did not take effect")
	}
	s.Schedule(Fault{Kind: DelayWrite, Until: until, Count: 1, Delay: 5 * time.Second})
	s.Apply(0, createCall("late", "1"))
	unknown := s.Advance(until)
	if len(unknown) != 2 || unknown[0].Result.Status != event.StoreUnknown || s.Revision() != 1 {
		t.Fatalf("replies = %+v at revision %d, want two unknown results and the delayed write not applied yet", unknown, s.Revision())
	}
	s.Advance(model.Instant(0).Add(5 * time.Second))
	if s.Revision() != 2 {
		t.Error("the delayed write did not take effect")
	}
	s.Schedule(Fault{Kind: Down, Until: model.Instant(0).Add(time.Minute)})
	wantStatus(t, s.Apply(until, effect.CallStore{Verb: effect.StoreGet, Key: "lost"}), event.StoreRejected)
}

// TestOneSwapPerRevisionSucceeds checks that at most one of several compare-and-swap
// calls with the same expected revision succeeds.
func TestOneSwapPerRevisionSucceeds(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		s := New(Limits{WritesPerSecond: 1e9, ReadsPerSecond: 1e9, Burst: time.Second, ValueBytes: 10, HistoryChanges: 10})
		s.Apply(0, createCall("k", "0"))
		successes := make(map[uint64]int)
		for range rapid.IntRange(1, 30).Draw(t, "swaps") {
			expect := rapid.Uint64Range(1, 10).Draw(t, "expect")
			reply := s.Apply(0, effect.CallStore{Verb: effect.StoreSwap, Key: "k", Expect: expect})
			if reply.Result.Status == event.StoreOK {
				successes[expect]++
			}
		}
		for expect, count := range successes {
			if count > 1 {
				t.Fatalf("%d swaps from revision %d succeeded, want at most 1", count, expect)
			}
		}
	})
}

package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// wideDomains are the failure domains of a deployment with more domains than replicas.
var wideDomains = []model.FailureDomain{"a", "b", "c", "d"}

// wideTarget is the target latency of their route.
const wideTarget = 120 * time.Millisecond

// newWideWorld returns a world of eight nodes in four domains over shards with three
// replicas each, so that a quarter of the shards have none in a node's domain.
func newWideWorld(t *testing.T, seed uint64, shards int, delegation bool) *world {
	w := newWorld(t, seed, usual, 8)
	for i, n := range w.nodes {
		n.ctx.Self.FailureDomain = wideDomains[i%len(wideDomains)]
		if delegation {
			n.ctx.Self.PeerAddress = string(n.ctx.Self.Host)
		}
	}
	w.setMembers()
	table := w.gatherTable(shards, 5*time.Millisecond)
	table.Routes[0].TargetLatency = wideTarget
	for _, n := range w.nodes {
		n.step(func(ctx *step.Context) {
			n.state.HandleRoutes(ctx, table)
			n.state.HandleUpstreams(ctx, w.wideRegistrations(shards))
		})
	}
	return w
}

// wideRegistrations spreads three replicas of each shard over four domains in turn.
func (w *world) wideRegistrations(shards int) []model.Registration {
	var list []model.Registration
	for shard := range shards {
		for i := range 3 {
			id := w.upstreamID(fmt.Sprintf("s%d", shard), i)
			list = append(list, model.Registration{
				Upstream: model.Upstream{
					ID: model.UpstreamID(id), Address: id, FailureDomain: wideDomains[(shard+i)%len(wideDomains)], Slots: 2, MaxConnections: 62,
				},
				Instance: id,
			})
		}
	}
	return list
}

// countRemote counts the requests that nodes send to upstreams of other domains.
func (w *world) countRemote(count *int) {
	for _, n := range w.nodes {
		n.sent = func(e effect.SendForward) {
			l := n.state.connections[e.Connection].lane
			if l.replica.Domain != n.ctx.Self.FailureDomain {
				*count++
			}
		}
	}
}

// checkGathered checks that an answer holds each of its parts once.
func checkGathered(t *testing.T, c *call, shards, top int) {
	t.Helper()
	g := c.answer.Gathered
	if g == nil {
		return
	}
	if len(g.Signatures)+g.Missing != shards {
		t.Fatalf("%s: %d parts and %d missing of %d", c.id, len(g.Signatures), g.Missing, shards)
	}
	var records []string
	seen := make(map[string]bool)
	for _, signature := range g.Signatures {
		service, rest, _ := strings.Cut(signature, "/")
		if seen[service] || !strings.HasSuffix(rest, ":"+c.id) {
			t.Fatalf("%s: signatures %v", c.id, g.Signatures)
		}
		seen[service] = true
		records = append(records, fmt.Sprintf("%-16s", service))
	}
	slices.Sort(records)
	slices.Reverse(records)
	if want := strings.Join(records[:min(top, len(records))], ""); want != string(g.Records) {
		t.Fatalf("%s: records %q, want %q", c.id, g.Records, want)
	}
}

// playWide plays a load on 24 shards and returns the figures and the requests that
// crossed between domains.
func playWide(t *testing.T, delegation bool, trouble func(w *world)) (f figures, remote int) {
	const shards = 24
	w := newWideWorld(t, 31, shards, delegation)
	w.countRemote(&remote)
	w.load("/wide/x", 400*time.Millisecond, 100, 6*time.Second)
	w.play(2 * time.Second)
	w.forget()
	remote = 0
	trouble(w)
	w.play(6 * time.Second)
	if len(w.calls) != 0 {
		t.Fatalf("%d requests got no answer", len(w.calls))
	}
	for _, c := range w.answers {
		checkGathered(t, c, shards, 5)
	}
	for _, n := range w.nodes {
		if len(n.state.delegations)+len(n.state.subqueries)+len(n.state.requests) != 0 {
			t.Errorf("%s keeps %d delegations, %d subqueries and %d requests", n.ctx.Self.Host,
				len(n.state.delegations), len(n.state.subqueries), len(n.state.requests))
		}
	}
	return w.sum(wideTarget), remote
}

// TestDelegatedShards replays "a quarter of the shards have no replica in the node's
// domain": their parts cross between domains as one message.
func TestDelegatedShards(t *testing.T) {
	for name, trouble := range map[string]func(w *world){
		"calm":   func(*world) {},
		"pauses": func(w *world) { pausing(w, 2400*time.Millisecond, 100*time.Millisecond) },
		"grey": func(w *world) {
			for i := range 8 {
				w.replica(fmt.Sprintf("s%d", i), 0).shedShare = 0.5
				w.replica(fmt.Sprintf("s%d", i), 1).loseShare = 0.2
			}
		},
		"frozen helper": func(w *world) { w.nodes[1].frozen = true },
	} {
		t.Run(name, func(t *testing.T) {
			direct, before := playWide(t, false, trouble)
			delegated, after := playWide(t, true, trouble)
			t.Logf("direct %+v, %d remote", direct, before)
			t.Logf("delegated %+v, %d remote", delegated, after)
			if after >= before || name == "calm" && after > 0 {
				t.Errorf("%d requests crossed between domains, %d without delegation", after, before)
			}
			if delegated.worth < direct.worth-0.01 {
				t.Errorf("worth %.3f, %.3f without delegation", delegated.worth, direct.worth)
			}
			if extra := float64(delegated.attempts)/float64(24*delegated.asked) - 1; extra > 0.2 {
				t.Errorf("%.3f extra attempts a first one", extra)
			}
		})
	}
}

// TestSubqueryOfAnotherLife checks that a report to an earlier life of the node, whose
// numbers begin anew, is not taken for one of its own.
func TestSubqueryOfAnotherLife(t *testing.T) {
	w := newWideWorld(t, 5, 24, true)
	n := w.nodes[0]
	c := w.ask(n, "/wide/x", 400*time.Millisecond)
	if len(n.state.delegations) != 1 {
		t.Fatalf("%d delegations", len(n.state.delegations))
	}
	d := n.state.delegations[1]
	for _, m := range []message.SubqueryReport{
		{Number: 1, RequestID: "another", Answered: []message.SubqueryPart{{Index: 0, Signature: "forged"}}, Records: []byte("zzzzzzzzzzzzzzzz")},
		{Number: 1, RequestID: c.id, Answered: []message.SubqueryPart{{Index: 99, Signature: "forged"}}},
		{Number: 1, RequestID: c.id, Answered: []message.SubqueryPart{{Index: 0, Signature: "a"}, {Index: 0, Signature: "b"}}},
		{Number: 1, RequestID: c.id, Answered: []message.SubqueryPart{{Index: 0}}},
	} {
		n.step(func(ctx *step.Context) { n.state.HandleSubqueryReport(ctx, d.helper, m) })
	}
	if d.heard {
		t.Error("a report was taken in that does not fit")
	}
	w.play(time.Second)
	checkGathered(t, c, 24, 5)
	if c.answer.Outcome != model.Answered {
		t.Errorf("got %+v", c.answer)
	}
}

// TestDelegationEndsWithCaller checks that a helper stops when the caller has left.
func TestDelegationEndsWithCaller(t *testing.T) {
	w := newWideWorld(t, 6, 24, true)
	for _, u := range w.upstreams {
		u.work = 2 * time.Second
	}
	n := w.nodes[0]
	w.ask(n, "/wide/x", 3*time.Second)
	w.play(50 * time.Millisecond)
	n.step(func(ctx *step.Context) { n.state.HandleCallerGone(ctx, w.next) })
	clear(w.calls)
	w.play(450 * time.Millisecond)
	for _, other := range w.nodes {
		if len(other.state.subqueries) != 0 {
			t.Errorf("%s goes on with a subquery", other.ctx.Self.Host)
		}
		for _, l := range other.state.lanes {
			if len(l.inFlight) != 0 {
				t.Errorf("%s keeps %s at work", other.ctx.Self.Host, l.record.Upstream.ID)
			}
		}
	}
}

// TestQuickRoutesAreNotDelegated checks that a route whose target latency is short against
// the ways between domains asks each shard itself.
func TestQuickRoutesAreNotDelegated(t *testing.T) {
	w := newWideWorld(t, 7, 24, true)
	for _, n := range w.nodes {
		n.state.routes["wide"].config.TargetLatency = 60 * time.Millisecond
	}
	w.ask(w.nodes[0], "/wide/x", 400*time.Millisecond)
	if len(w.nodes[0].state.delegations) != 0 {
		t.Error("a quick route was delegated")
	}
}

// TestLostHelper checks that the parts of a helper that ends are offered to upstreams at
// once.
func TestLostHelper(t *testing.T) {
	w := newWideWorld(t, 8, 24, true)
	w.load("/wide/x", 400*time.Millisecond, 100, time.Second)
	w.play(time.Second)
	n := w.nodes[0]
	c := w.ask(n, "/wide/last", 400*time.Millisecond)
	var d *delegation
	for _, open := range n.state.delegations {
		d = open
	}
	if d == nil {
		t.Fatal("nothing was delegated")
	}
	for _, other := range w.nodes {
		other.frozen = other.ctx.Self.Host == d.helper
	}
	n.step(func(ctx *step.Context) { n.state.HandlePeerLost(ctx, d.helper) })
	w.play(50 * time.Millisecond)
	if c.answer.Outcome != model.Answered || c.answer.Gathered.Missing != 0 || c.elapsed > 30*time.Millisecond {
		t.Errorf("got %+v after %v", c.answer, c.elapsed)
	}
	checkGathered(t, c, 24, 5)
}

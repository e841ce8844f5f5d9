package session

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// testCluster is a stopping home "a" and two members that may succeed it.
type testCluster struct {
	t     *testing.T
	nodes map[model.HostID]*testNode
	// drop reports whether a message is lost; nil loses none.
	drop func(from, to model.HostID, m message.Message) bool
	// replies collects the answers to callers.
	replies map[model.CallID]model.Answer
}

func newTestCluster(t *testing.T) *testCluster {
	return &testCluster{
		t:       t,
		nodes:   map[model.HostID]*testNode{"a": newTestNodeFor("a"), "b": newTestNodeFor("b"), "c": newTestNodeFor("c")},
		replies: make(map[model.CallID]model.Answer),
	}
}

// handleEffects records replies and delivers messages, with all that follow from
// them.
func (c *testCluster) handleEffects(from model.HostID, effects []effect.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.ReplyCaller:
			c.replies[e.Call] = e.Answer
		case effect.SendPeer:
			if c.drop == nil || !c.drop(from, e.To, e.Message) {
				c.deliver(from, e.To, e.Message)
			}
		}
	}
}

// deliver passes one message to a node.
func (c *testCluster) deliver(from, to model.HostID, m message.Message) {
	node := c.nodes[to]
	if node == nil {
		return
	}
	ctx := node.step()
	switch m := m.(type) {
	case message.OrderForward:
		node.HandleForward(ctx, from, m)
	case message.OrderOutcome:
		node.HandleOutcome(ctx, from, m)
	case message.SessionHandover:
		node.HandleHandover(ctx, from, m)
	case message.HandoverAck:
		node.HandleHandoverAck(ctx, from, m)
	case message.SessionMoved:
		node.HandleMoved(ctx, m)
	}
	c.handleEffects(to, ctx.Effects)
}

// submit sends a caller's order to a node.
func (c *testCluster) submit(host model.HostID, call model.CallID, id model.RequestID) {
	c.handleEffects(host, c.nodes[host].submit(call, id, `"card"`))
}

// completeLast completes the latest order that a node started.
func (c *testCluster) completeLast(host model.HostID) {
	c.handleEffects(host, c.nodes[host].completeLast(successAnswer))
}

// seal seals the home "a".
func (c *testCluster) seal() {
	ctx := c.nodes["a"].step()
	c.nodes["a"].Seal(ctx)
	c.handleEffects("a", ctx.Effects)
}

// advance moves the clocks of all nodes forward.
func (c *testCluster) advance(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		for _, host := range []model.HostID{"a", "b", "c"} {
			if node := c.nodes[host]; node != nil {
				c.handleEffects(host, node.advance(100*time.Millisecond))
			}
		}
	}
}

// started returns the number of orders that all nodes started.
func (c *testCluster) started() int {
	n := 0
	for _, node := range c.nodes {
		n += len(node.runner.started)
	}
	return n
}

// successor returns the node that took over the sessions of "a".
func (c *testCluster) successor() model.HostID {
	c.t.Helper()
	for _, host := range []model.HostID{"b", "c"} {
		if node := c.nodes[host]; node != nil && node.homes[origin{"a", 1}] != nil {
			return host
		}
	}
	c.t.Fatal("no node took over the sessions")
	return ""
}

func TestSuccessorKeepsOutcomesAndRunsNewOrders(t *testing.T) {
	c := newTestCluster(t)
	c.submit("a", 1, requestID(1, 1))
	c.completeLast("a")
	c.submit("a", 2, requestID(1, 2))
	c.seal()
	if c.nodes["a"].HandedOver() {
		t.Fatal("handed over while an order runs")
	}
	c.submit("a", 3, requestID(1, 3))
	c.completeLast("a")
	c.advance(200 * time.Millisecond)
	if !c.nodes["a"].HandedOver() {
		t.Fatal("not handed over")
	}
	next := c.successor()
	c.completeLast(next)
	if got := c.replies[3]; got.Outcome != model.Answered {
		t.Fatalf("the order that came during the handover must run at the successor, got %v", got)
	}
	if n := c.started(); n != 3 {
		t.Fatalf("started %d orders", n)
	}
	delete(c.nodes, "a")
	c.submit("b", 4, requestID(1, 1))
	c.submit("c", 5, requestID(1, 2))
	c.submit("b", 6, requestID(1, 3))
	c.submit("c", 7, requestID(2, 1))
	c.completeLast(next)
	for call := model.CallID(4); call <= 7; call++ {
		if got := c.replies[call]; got.Outcome != model.Answered {
			t.Errorf("call %d: got %v", call, got)
		}
	}
	if n := c.started(); n != 1+1 {
		t.Fatalf("the successor started %d orders", n)
	}
}

func TestUnfinishedHandoverLeavesOutcomesUnknown(t *testing.T) {
	c := newTestCluster(t)
	c.submit("a", 1, requestID(1, 1))
	c.completeLast("a")
	c.drop = func(_, _ model.HostID, m message.Message) bool {
		_, end := m.(message.SessionMoved)
		return end
	}
	c.seal()
	c.submit("a", 2, requestID(1, 2))
	c.advance(time.Second)
	delete(c.nodes, "a")
	for _, host := range []model.HostID{"b", "c"} {
		c.nodes[host].view[0].State = model.Failed
	}
	c.submit("b", 3, requestID(1, 1))
	c.submit("c", 4, requestID(1, 2))
	c.advance(2 * time.Second)
	for call := model.CallID(3); call <= 4; call++ {
		if got := c.replies[call]; got.Outcome != model.Unknown {
			t.Errorf("call %d: got %v", call, got)
		}
	}
	if n := c.started(); n != 0 {
		t.Fatalf("started %d orders although the handover did not end", n)
	}
}

func TestNoSecondSuccessorAfterEnd(t *testing.T) {
	c := newTestCluster(t)
	c.submit("a", 1, requestID(1, 1))
	c.completeLast("a")
	c.drop = func(_, to model.HostID, m message.Message) bool {
		ack, ok := m.(message.HandoverAck)
		return to == "a" && ok && ack.Part == 0
	}
	c.seal()
	next := c.successor()
	for i := range c.nodes["a"].view {
		if c.nodes["a"].view[i].Host == next {
			c.nodes["a"].view[i].Incarnation++
		}
	}
	delete(c.nodes, next)
	c.advance(time.Second)
	c.submit("a", 2, requestID(1, 2))
	c.advance(2 * time.Second)
	if got := c.replies[2]; got.Outcome != model.Unknown {
		t.Fatalf("the lost successor may have started the order, got %v", got)
	}
}

func TestLostSuccessorIsReplacedBeforeEnd(t *testing.T) {
	c := newTestCluster(t)
	c.submit("a", 1, requestID(1, 1))
	c.completeLast("a")
	first := model.HostID("")
	c.drop = func(_, to model.HostID, m message.Message) bool {
		if _, part := m.(message.SessionHandover); part && first == "" {
			first = to
		}
		return to == first
	}
	c.seal()
	for i := range c.nodes["a"].view {
		if c.nodes["a"].view[i].Host == first {
			c.nodes["a"].view[i].State = model.Failed
		}
	}
	c.advance(time.Second)
	if next := c.successor(); next == first {
		t.Fatalf("%s cannot have taken over", next)
	}
}

func TestOrdersAreRefusedWithoutSuccessor(t *testing.T) {
	node := newTestNode()
	node.view = node.view[:1]
	node.submit(1, requestID(1, 1), `1`)
	node.completeLast(successAnswer)
	ctx := node.step()
	node.Seal(ctx)
	if !node.HandedOver() {
		t.Fatal("the handover must end when there is no other member")
	}
	got := replies(t, node.submit(2, requestID(1, 2), `1`))
	if got[2].Outcome != model.NotRun || got[2].Failure.Code != model.CodeStopping {
		t.Fatalf("got %v", got[2])
	}
	if got := replies(t, node.submit(3, requestID(1, 1), `1`)); got[3].Outcome != model.Answered {
		t.Fatalf("a sealed home must still return outcomes, got %v", got[3])
	}
}

func TestHandoverInParts(t *testing.T) {
	c := newTestCluster(t)
	for n := uint64(1); n <= openedSessions; n++ {
		for sequence := uint64(1); sequence <= 20; sequence++ {
			c.submit("a", 1, requestID(n, sequence))
			c.completeLast("a")
		}
	}
	parts := 0
	c.drop = func(_, _ model.HostID, m message.Message) bool {
		part, ok := m.(message.SessionHandover)
		if ok {
			parts++
		}
		// The first send of every second part is lost.
		return ok && part.Part%2 == 0 && parts <= int(part.Parts)
	}
	c.seal()
	c.advance(time.Second)
	if parts < 3 {
		t.Fatalf("%d parts are too few for this test", parts)
	}
	next := c.nodes[c.successor()]
	if next.sessions != openedSessions {
		t.Fatalf("handed over %d sessions", next.sessions)
	}
	if got := replies(t, next.submit(9, requestID(openedSessions, 20), `"card"`)); got[9].Outcome != model.Answered {
		t.Fatalf("got %v", got[9])
	}
}

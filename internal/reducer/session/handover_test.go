package session

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// pair is a stopping home "a" and the two members that may succeed it.
type pair struct {
	t     *testing.T
	nodes map[model.HostID]*bench
	// drop decides which messages are lost; nil loses none.
	drop func(from, to model.HostID, m message.Message) bool
	// replies collects the answers to callers.
	replies map[model.CallID]model.Answer
}

func newPair(t *testing.T) *pair {
	return &pair{
		t:       t,
		nodes:   map[model.HostID]*bench{"a": newBenchOf("a"), "b": newBenchOf("b"), "c": newBenchOf("c")},
		replies: make(map[model.CallID]model.Answer),
	}
}

// carry delivers the messages among effects until there are none.
func (p *pair) carry(from model.HostID, effects []effect.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case effect.ReplyCaller:
			p.replies[e.Call] = e.Answer
		case effect.SendPeer:
			if p.drop == nil || !p.drop(from, e.To, e.Message) {
				p.deliver(from, e.To, e.Message)
			}
		}
	}
}

// deliver passes one message to a node.
func (p *pair) deliver(from, to model.HostID, m message.Message) {
	node := p.nodes[to]
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
	p.carry(to, ctx.Effects)
}

// order sends a caller's order to a node.
func (p *pair) order(host model.HostID, call model.CallID, id model.RequestID) {
	p.carry(host, p.nodes[host].order(call, id, `"card"`))
}

// finish ends the latest order that a node started.
func (p *pair) finish(host model.HostID) {
	p.carry(host, p.nodes[host].done(printed))
}

// seal seals the home "a".
func (p *pair) seal() {
	ctx := p.nodes["a"].step()
	p.nodes["a"].Seal(ctx)
	p.carry("a", ctx.Effects)
}

// wait moves the time of all nodes on.
func (p *pair) wait(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		for _, host := range []model.HostID{"a", "b", "c"} {
			if node := p.nodes[host]; node != nil {
				p.carry(host, node.wait(100*time.Millisecond))
			}
		}
	}
}

// started counts the orders that all nodes started.
func (p *pair) started() int {
	n := 0
	for _, node := range p.nodes {
		n += len(node.runner.started)
	}
	return n
}

// successorOf returns the node that took the sessions of "a" over.
func (p *pair) successor() model.HostID {
	p.t.Helper()
	for _, host := range []model.HostID{"b", "c"} {
		if node := p.nodes[host]; node != nil && node.homes[origin{"a", 1}] != nil {
			return host
		}
	}
	p.t.Fatal("nobody took the sessions over")
	return ""
}

func TestSuccessorKeepsOutcomesAndRunsNewOrders(t *testing.T) {
	p := newPair(t)
	p.order("a", 1, requestID(1, 1))
	p.finish("a")
	p.order("a", 2, requestID(1, 2))
	p.seal()
	if p.nodes["a"].HandedOver() {
		t.Fatal("handed over while an order runs")
	}
	p.order("a", 3, requestID(1, 3))
	p.finish("a")
	p.wait(200 * time.Millisecond)
	if !p.nodes["a"].HandedOver() {
		t.Fatal("not handed over")
	}
	next := p.successor()
	p.finish(next)
	if got := p.replies[3]; got.Outcome != model.Answered {
		t.Fatalf("the order that came during the handover must run at the successor, got %v", got)
	}
	if n := p.started(); n != 3 {
		t.Fatalf("started %d orders", n)
	}
	delete(p.nodes, "a")
	p.order("b", 4, requestID(1, 1))
	p.order("c", 5, requestID(1, 2))
	p.order("b", 6, requestID(1, 3))
	p.order("c", 7, requestID(2, 1))
	p.finish(next)
	for call := model.CallID(4); call <= 7; call++ {
		if got := p.replies[call]; got.Outcome != model.Answered {
			t.Errorf("call %d: got %v", call, got)
		}
	}
	if n := p.started(); n != 1+1 {
		t.Fatalf("the successor started %d orders", n)
	}
}

func TestLostEndOfHandoverIsUnknown(t *testing.T) {
	p := newPair(t)
	p.order("a", 1, requestID(1, 1))
	p.finish("a")
	p.drop = func(_, _ model.HostID, m message.Message) bool {
		_, end := m.(message.SessionMoved)
		return end
	}
	p.seal()
	p.order("a", 2, requestID(1, 2))
	p.wait(time.Second)
	delete(p.nodes, "a")
	for _, host := range []model.HostID{"b", "c"} {
		p.nodes[host].view[0].State = model.Failed
	}
	p.order("b", 3, requestID(1, 1))
	p.order("c", 4, requestID(1, 2))
	p.wait(2 * time.Second)
	for call := model.CallID(3); call <= 4; call++ {
		if got := p.replies[call]; got.Outcome != model.Unknown {
			t.Errorf("call %d: got %v", call, got)
		}
	}
	if n := p.started(); n != 0 {
		t.Fatalf("started %d orders without an end of the handover", n)
	}
}

func TestNoSecondSuccessorAfterTheEnd(t *testing.T) {
	p := newPair(t)
	p.order("a", 1, requestID(1, 1))
	p.finish("a")
	p.drop = func(_, to model.HostID, m message.Message) bool {
		ack, ok := m.(message.HandoverAck)
		return to == "a" && ok && ack.Part == 0
	}
	p.seal()
	next := p.successor()
	for i := range p.nodes["a"].view {
		if p.nodes["a"].view[i].Host == next {
			p.nodes["a"].view[i].Incarnation++
		}
	}
	delete(p.nodes, next)
	p.wait(time.Second)
	p.order("a", 2, requestID(1, 2))
	p.wait(2 * time.Second)
	if got := p.replies[2]; got.Outcome != model.Unknown {
		t.Fatalf("the lost successor may have started the order, got %v", got)
	}
}

func TestAnotherSuccessorBeforeTheEnd(t *testing.T) {
	p := newPair(t)
	p.order("a", 1, requestID(1, 1))
	p.finish("a")
	first := model.HostID("")
	p.drop = func(_, to model.HostID, m message.Message) bool {
		if _, part := m.(message.SessionHandover); part && first == "" {
			first = to
		}
		return to == first
	}
	p.seal()
	for i := range p.nodes["a"].view {
		if p.nodes["a"].view[i].Host == first {
			p.nodes["a"].view[i].State = model.Failed
		}
	}
	p.wait(time.Second)
	if next := p.successor(); next == first {
		t.Fatalf("%s cannot have taken over", next)
	}
}

func TestNoSuccessorRefusesWhatWaits(t *testing.T) {
	b := newBench()
	b.view = b.view[:1]
	b.order(1, requestID(1, 1), `1`)
	b.done(printed)
	ctx := b.step()
	b.Seal(ctx)
	if !b.HandedOver() {
		t.Fatal("there is nobody to hand over to")
	}
	got := replies(t, b.order(2, requestID(1, 2), `1`))
	if got[2].Outcome != model.NotRun || got[2].Failure.Code != model.CodeStopping {
		t.Fatalf("got %v", got[2])
	}
	if got := replies(t, b.order(3, requestID(1, 1), `1`)); got[3].Outcome != model.Answered {
		t.Fatalf("a sealed home still gives outcomes, got %v", got[3])
	}
}

func TestHandoverInParts(t *testing.T) {
	p := newPair(t)
	for n := uint64(1); n <= opened; n++ {
		for sequence := uint64(1); sequence <= 20; sequence++ {
			p.order("a", 1, requestID(n, sequence))
			p.finish("a")
		}
	}
	parts := 0
	p.drop = func(_, _ model.HostID, m message.Message) bool {
		part, ok := m.(message.SessionHandover)
		if ok {
			parts++
		}
		// Every other part is lost at its first sending.
		return ok && part.Part%2 == 0 && parts <= int(part.Parts)
	}
	p.seal()
	p.wait(time.Second)
	if parts < 3 {
		t.Fatalf("%d parts are too few for this test", parts)
	}
	next := p.nodes[p.successor()]
	if next.sessions != opened {
		t.Fatalf("handed over %d sessions", next.sessions)
	}
	if got := replies(t, next.order(9, requestID(opened, 20), `"card"`)); got[9].Outcome != model.Answered {
		t.Fatalf("got %v", got[9])
	}
}

package liveness

import (
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// others are two nodes beside the one under test.
var others = []model.Member{{Host: "n2", PeerAddress: "n2:2"}, {Host: "n3", PeerAddress: "n3:2"}}

// greet runs rounds of greetings in which the responding hosts answer, and returns the number
// of greetings sent.
func greet(s *State, rounds int, registryResponds bool, responding ...model.HostID) int {
	sent := 0
	for range rounds {
		ctx := &step.Context{Self: model.Member{Host: "n1", PeerAddress: "n1:2"}}
		s.Greet(ctx, others, registryResponds)
		for _, e := range ctx.Effects {
			if _, ok := e.(effect.SendPeer); ok {
				sent++
			}
		}
		for _, host := range responding {
			s.Heard(host)
		}
	}
	return sent
}

// TestUnresponsiveHostIsDown checks that a host is down after maxUnanswered greetings, and up
// again with its first answer.
func TestUnresponsiveHostIsDown(t *testing.T) {
	s := New()
	greet(s, maxUnanswered, false, "n2")
	if s.IsDown("n3") {
		t.Error("down while the last greeting is still open")
	}
	if sent := greet(s, 1, false, "n2"); sent != len(others) {
		t.Errorf("%d greetings in a round, want %d", sent, len(others))
	}
	if !s.IsDown("n3") || s.IsDown("n2") {
		t.Errorf("n3 down %v, n2 down %v", s.IsDown("n3"), s.IsDown("n2"))
	}
	s.Heard("n3")
	if s.IsDown("n3") {
		t.Error("down after an answer")
	}
	greet(s, 2*maxUnanswered, false, "n2")
	s.Stop()
	if s.IsDown("n3") {
		t.Error("down although the registry can tell again")
	}
}

// TestIsolation checks that a node that hears from nobody takes the others to be down only if
// the registry answers it.
func TestIsolation(t *testing.T) {
	s := New()
	greet(s, 2*maxUnanswered, false)
	if s.IsDown("n2") || s.IsDown("n3") {
		t.Error("an isolated node takes all others to be down")
	}
	greet(s, 1, true)
	if !s.IsDown("n2") || !s.IsDown("n3") {
		t.Error("hosts that do not respond are up although the registry answers")
	}
}

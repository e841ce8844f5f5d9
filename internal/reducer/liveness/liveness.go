// Package liveness finds the nodes that do not respond, at times when the registry cannot tell
// which nodes are off.
//
// The registry drops a node once its lease has run out. It cannot do that while it is away,
// and leases may pause meanwhile, so that a node that went off is listed for a whole lease
// after the registry is back. For that time the nodes greet each other.
package liveness

import (
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const component = "liveness"

// maxUnanswered is the number of greetings in a row without any message from a node after
// which it counts as down. They are counted, not timed, so that a node that was paused
// does not take the others to be down.
const maxUnanswered = 3

// State holds the unanswered greetings to each node. It is empty while the registry tells which
// nodes are off.
type State struct {
	unanswered map[model.HostID]int
	// isolated is true if no node responds and the registry neither: the cause is then
	// probably this node's own connection.
	isolated bool
}

// New returns a state in which no node is down.
func New() *State { return &State{unanswered: make(map[model.HostID]int)} }

// Greet sends a greeting to each of the members. It is called in equal intervals while the
// registry cannot tell which nodes are off. registryResponds reports whether the registry
// answers this node.
func (s *State) Greet(ctx *step.Context, members []model.Member, registryResponds bool) {
	previous := s.unanswered
	s.unanswered = make(map[model.HostID]int, len(members))
	responding := 0
	for _, member := range members {
		if member.Host == ctx.Self.Host || member.PeerAddress == "" {
			continue
		}
		count := previous[member.Host]
		if count < maxUnanswered {
			responding++
		}
		if count == maxUnanswered {
			ctx.Log(effect.Warning, component, "host does not respond", effect.Field{Name: "host", Value: string(member.Host)})
		}
		s.unanswered[member.Host] = count + 1
		ctx.Emit(effect.SendPeer{To: member.Host, Address: member.PeerAddress, Message: message.Subquery{Address: ctx.Self.PeerAddress}})
	}
	s.isolated = responding == 0 && !registryResponds
}

// Stop forgets all greetings. It is called when the registry can tell again which nodes are off.
func (s *State) Stop() {
	if len(s.unanswered) > 0 {
		clear(s.unanswered)
	}
	s.isolated = false
}

// Heard records that a message from a host has arrived.
func (s *State) Heard(host model.HostID) {
	if _, greeted := s.unanswered[host]; greeted {
		s.unanswered[host] = 0
	}
}

// IsDown reports whether a host has not responded for long enough to count as down.
func (s *State) IsDown(host model.HostID) bool {
	return !s.isolated && s.unanswered[host] > maxUnanswered
}

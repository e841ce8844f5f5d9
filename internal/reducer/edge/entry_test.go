package edge

import (
	"slices"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// entryViewBound is the time after which the users no longer accept the address of a host
// that is off in an entry reply, for the smallest deployments.
const entryViewBound = 7 * time.Second

// namedHosts returns the hosts that an entry reply names.
func (f *fixture) namedHosts() []model.HostID {
	f.apply(event.Entry{Call: 9})
	reply, _ := last[effect.ReplyEntry](f)
	var hosts []model.HostID
	for _, address := range reply.Addresses {
		hosts = append(hosts, address.Host)
	}
	return hosts
}

// runWithoutRegistry advances the clock while every registry call is rejected. The running
// nodes answer messages.
func (f *fixture) runWithoutRegistry(d time.Duration, running ...model.HostID) {
	for end := f.now.Add(d); f.now < end; {
		f.advance(50 * time.Millisecond)
		for verb, call := range f.open {
			delete(f.open, verb)
			f.apply(event.RegistryResult{Operation: call.Operation, Status: event.StoreRejected})
		}
		f.answerGreetings(running)
	}
}

// answerGreetings answers the greetings sent to the running nodes since the last call.
func (f *fixture) answerGreetings(running []model.HostID) {
	sent := f.effects
	f.effects = nil
	for _, e := range sent {
		if m, ok := e.(effect.SendPeer); ok && slices.Contains(running, m.To) {
			if _, greeting := m.Message.(message.Subquery); greeting {
				f.apply(event.PeerMessage{From: m.To, Incarnation: 1, Message: message.SubqueryReport{}})
			}
		}
	}
}

// startAmong starts the node among other serving nodes.
func (f *fixture) startAmong(hosts ...model.HostID) {
	f.startServing()
	var members []model.Member
	for _, host := range hosts {
		members = append(members, model.Member{
			Host: host, FailureDomain: "a", CallerAddress: string(host) + ":1", PeerAddress: string(host) + ":2", State: model.Serving, Incarnation: 1,
		})
	}
	f.answer(effect.ReadMembers, event.RegistryResult{Revision: 5, Members: members})
}

// TestEntryNamesHostLostDuringOutage guards against entry replies that name a host for as long
// as the registry is away, although it went off at the start of the outage.
func TestEntryNamesHostLostDuringOutage(t *testing.T) {
	f := newFixture(t)
	f.startAmong("n2", "n3", "n4")
	f.runWithoutRegistry(entryViewBound, "n2", "n4")
	if got, want := f.namedHosts(), []model.HostID{"n1", "n2", "n4"}; !slices.Equal(got, want) {
		t.Errorf("named %v after %v, want %v", got, entryViewBound, want)
	}
	f.runWithoutRegistry(2*time.Second, "n2", "n3", "n4")
	if got := f.namedHosts(); len(got) != 4 {
		t.Errorf("named %v once the host has returned, want all four", got)
	}
}

// TestEntryNamesHostWhoseLeasePaused guards against entry replies that name a host for a whole
// lease after an outage in which it went off, because leases do not run out meanwhile.
func TestEntryNamesHostWhoseLeasePaused(t *testing.T) {
	f := newFixture(t)
	f.startAmong("n2", "n3", "n4")
	f.runWithoutRegistry(entryViewBound, "n2", "n4")
	members := slices.Clone(f.state.registry.Members())
	for range 20 {
		f.advance(100 * time.Millisecond)
		if _, found := f.open[effect.ReadMembers]; found {
			f.answer(effect.ReadMembers, event.RegistryResult{Revision: 5, Members: members})
		}
		f.answerGreetings([]model.HostID{"n2", "n4"})
	}
	if got := f.namedHosts(); slices.Contains(got, "n3") {
		t.Errorf("named %v after the outage, want no host that has not answered", got)
	}
}

// TestIsolatedNodeNamesAllHosts checks that a node that hears from nobody takes its own
// connection for the cause, and names the hosts that it knows.
func TestIsolatedNodeNamesAllHosts(t *testing.T) {
	f := newFixture(t)
	f.startAmong("n2", "n3", "n4")
	f.runWithoutRegistry(2 * entryViewBound)
	if got := f.namedHosts(); len(got) != 4 {
		t.Errorf("named %v, want all four", got)
	}
}

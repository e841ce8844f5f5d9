package registry

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// draining returns the registrations with one of them marked as draining.
func draining(list []model.Registration, instance string) []model.Registration {
	for i := range list {
		if list[i].Instance == instance {
			list[i].Upstream.Draining = true
		}
	}
	return list
}

// drainingNames returns the names of the draining upstreams in the view.
func (f *fixture) drainingNames() string {
	text := ""
	for _, r := range f.state.Upstreams() {
		if r.Upstream.Draining {
			text += r.Instance + " "
		}
	}
	return text
}

// TestOlderListOfAnotherNodeIsIgnored guards against a node that sends requests to an
// upstream after its drain time. The node's own watch reports that the upstream drains,
// and then an update arrives from its former reader, whose list is older although it was
// confirmed later by the clock. The node's next watch continues after the change, so a
// node that takes the older list does not hear of it again.
func TestOlderListOfAnotherNodeIsIgnored(t *testing.T) {
	f := newFixture(t, "n1")
	answerInitialReads(f, 1, "u1", "u2")
	f.advance(DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 20, Upstreams: registrations("u1", "u2")})
	f.advance(DefaultPollInterval / 2)
	f.answer(effect.WatchUpstreams, event.RegistryResult{Revision: 22, Upstreams: draining(registrations("u1"), "u1")})
	if got := f.drainingNames(); got != "u1 " {
		t.Fatalf("draining after the watch: %s", got)
	}
	f.advance(10 * time.Millisecond)
	older := registrations("u1", "u2")
	f.step(func() {
		f.state.HandleUpdate(&f.ctx, message.RegistryUpdate{
			Upstreams: older, UpstreamsHash: hashRegistrations(older), UpstreamsRevision: 21,
			UpstreamsAge: int64(time.Millisecond), RoutesAge: -1, MembersAge: -1,
		})
	})
	if got := f.drainingNames(); got != "u1 " {
		t.Errorf("draining after the older list: %q, want u1", got)
	}
}

// TestWatchContinuesFromSharedList checks that a node which takes another node's list
// watches from its revision, and ignores the result of an own call that is older.
func TestWatchContinuesFromSharedList(t *testing.T) {
	f := newFixture(t, "n1")
	f.advance(50 * time.Millisecond)
	shared := registrations("u1", "u3")
	f.step(func() {
		f.state.HandleUpdate(&f.ctx, message.RegistryUpdate{
			Upstreams: shared, UpstreamsHash: hashRegistrations(shared), UpstreamsRevision: 30, RoutesAge: -1, MembersAge: -1,
		})
	})
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 29, Upstreams: registrations("u1", "u2")})
	if got := f.upstreamNames(); got != "u1 u3 " {
		t.Errorf("upstreams after the older read: %s", got)
	}
	f.advance(2 * DefaultPollInterval)
	if call := f.open[effect.WatchUpstreams]; call.After != 30 {
		t.Errorf("the watch continues from revision %d, want 30", call.After)
	}
}

// TestIncompleteWatchIsNotCurrent guards against a reader that falls behind. When hundreds
// of upstreams change at once, the store cuts the reply to a watch. The rest must be
// requested without a delay, and subscribers must not be told that the list is current.
func TestIncompleteWatchIsNotCurrent(t *testing.T) {
	f := newFixture(t, "n1")
	answerInitialReads(f, 1, "u1", "u2")
	f.advance(DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 20, Upstreams: registrations("u1", "u2")})
	f.advance(DefaultPollInterval / 2)
	f.answer(effect.WatchUpstreams, event.RegistryResult{Revision: 22, Incomplete: true, Upstreams: registrations("u3")})
	if got := f.upstreamNames(); got != "u1 u2 u3 " {
		t.Errorf("upstreams after the first part: %s", got)
	}
	if age := time.Duration(f.requestUpdate(t).UpstreamsAge); age != DefaultPollInterval/2 {
		t.Errorf("age of the upstreams %v, want that of the last complete reply, %v", age, DefaultPollInterval/2)
	}
	if call := f.open[effect.WatchUpstreams]; call.After != 22 {
		t.Fatalf("calls in flight %v, want a watch from revision 22", f.open)
	}
	f.answer(effect.WatchUpstreams, event.RegistryResult{Revision: 24, Upstreams: draining(registrations("u1"), "u1")})
	if update := f.requestUpdate(t); update.UpstreamsAge != 0 || update.UpstreamsRevision != 24 || f.drainingNames() != "u1 " {
		t.Errorf("after the rest: age %d, revision %d, draining %s", update.UpstreamsAge, update.UpstreamsRevision, f.drainingNames())
	}
}

// listStore is a registry of upstreams whose history is kept.
type listStore struct {
	revision uint64
	// changedAt holds the revision of each upstream's drain.
	changedAt map[string]uint64
	names     []string
}

// list returns the registrations as of a revision.
func (s *listStore) list(revision uint64) []model.Registration {
	list := registrations(s.names...)
	for name, at := range s.changedAt {
		if at <= revision {
			list = draining(list, name)
		}
	}
	return list
}

// result returns the result of a call as of the store's present revision.
func (s *listStore) result(call effect.CallRegistry) event.RegistryResult {
	result := event.RegistryResult{Operation: call.Operation, Status: event.StoreOK, Revision: s.revision}
	switch call.Verb {
	case effect.ReadUpstreams:
		result.Upstreams = s.list(s.revision)
	case effect.WatchUpstreams:
		for _, r := range s.list(s.revision) {
			if at, drains := s.changedAt[r.Instance]; drains && at > call.After {
				result.Upstreams = append(result.Upstreams, r)
			}
		}
	}
	return result
}

// TestDrainsAreNeverForgotten checks that two nodes that share their lists never take back
// that an upstream drains, in any order of results and updates with any delays.
func TestDrainsAreNeverForgotten(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		store := &listStore{revision: 10, changedAt: make(map[string]uint64), names: []string{"u1", "u2", "u3", "u4", "u5", "u6"}}
		nodes := []*fixture{newFixture(t, "n1"), newFixture(t, "n2")}
		seen := []map[string]bool{make(map[string]bool), make(map[string]bool)}
		late := make([][]event.RegistryResult, len(nodes))
		var updates [2][]message.RegistryUpdate
		for step := range rapid.IntRange(20, 120).Draw(r, "steps") {
			at := rapid.IntRange(0, 1).Draw(r, "node")
			f := nodes[at]
			switch rapid.IntRange(0, 6).Draw(r, "kind") {
			case 0:
				store.revision++
				if name := rapid.SampledFrom(store.names).Draw(r, "drains"); store.changedAt[name] == 0 {
					store.changedAt[name] = store.revision
				}
			case 1:
				for _, verb := range []effect.RegistryVerb{effect.ReadUpstreams, effect.WatchUpstreams} {
					if call, found := f.open[verb]; found {
						late[at] = append(late[at], store.result(call))
						delete(f.open, verb)
					}
				}
			case 2:
				for _, result := range late[at] {
					f.step(func() { f.state.HandleResult(&f.ctx, result) })
				}
				late[at] = nil
			case 3:
				updates[1-at] = append(updates[1-at], f.requestUpdate(t))
			case 4:
				for _, update := range updates[at] {
					f.step(func() { f.state.HandleUpdate(&f.ctx, update) })
				}
				updates[at] = nil
			default:
				delay := time.Duration(rapid.IntRange(1, 700).Draw(r, "delay")) * time.Millisecond
				for _, node := range nodes {
					node.advance(delay)
				}
			}
			for i, node := range nodes {
				drains := strings.Fields(node.drainingNames())
				for name := range seen[i] {
					if !slices.Contains(drains, name) {
						r.Fatalf("step %d: node %d has forgotten that %s drains", step, i+1, name)
					}
				}
				for _, name := range store.names {
					if slices.Contains(drains, name) {
						seen[i][name] = true
					}
				}
			}
		}
	})
}

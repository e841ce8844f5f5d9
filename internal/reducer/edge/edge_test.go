package edge

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/registry"
	"github.com/hawthorntack/hawthorntack/internal/reducer/relay"
)

// fixture runs one node's state under virtual time.
type fixture struct {
	t     *testing.T
	state *State
	now   model.Instant
	seen  []effect.Effect
	open  map[effect.RegistryVerb]effect.CallRegistry
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, now: model.Instant(1000 * time.Second), open: make(map[effect.RegistryVerb]effect.CallRegistry)}
	f.state = New(Settings{
		Self:       model.Member{Host: "n1", FailureDomain: "a", CallerAddress: "n1:1", PeerAddress: "n1:2", Incarnation: 1},
		Registry:   registry.DefaultSettings(),
		Relay:      relay.Settings{ExtraAttemptBudget: 20, ExtraAttemptSlack: 56},
		AdoptDelay: time.Second,
		EntryTTL:   5 * time.Second,
		StopGrace:  6 * time.Second,
	})
	f.give(event.Start{})
	return f
}

// give applies an event and keeps its effects.
func (f *fixture) give(e event.Event) {
	for _, made := range f.state.Reduce(event.Envelope{Now: f.now, Random: 1, Event: e}) {
		f.seen = append(f.seen, made)
		if call, ok := made.(effect.CallRegistry); ok {
			f.open[call.Verb] = call
		}
	}
}

// pass lets time pass.
func (f *fixture) pass(d time.Duration) {
	end := f.now.Add(d)
	for {
		at, ok := f.state.NextWake()
		if !ok || at > end {
			break
		}
		f.now = max(f.now, at)
		f.give(event.Wake{})
	}
	f.now = end
}

// answer gives an open call its result.
func (f *fixture) answer(verb effect.RegistryVerb, result event.RegistryResult) {
	f.t.Helper()
	call, there := f.open[verb]
	if !there {
		f.t.Fatalf("no open call of verb %d", verb)
	}
	delete(f.open, verb)
	result.Operation, result.Status = call.Operation, event.StoreOK
	f.give(result)
}

// last returns the last effect of a type.
func last[E effect.Effect](f *fixture) (E, bool) {
	for i := len(f.seen) - 1; i >= 0; i-- {
		if e, ok := f.seen[i].(E); ok {
			return e, true
		}
	}
	var none E
	return none, false
}

// serve brings the node to serving.
func (f *fixture) serve() {
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: []model.Registration{{
		Instance: "u1", Upstream: model.Upstream{ID: "s/u1", Address: "u1", Slots: 1, MaxConnections: 26},
	}}})
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 5, Routes: &model.RouteTable{Version: 1, Routes: []model.Route{{
		Name: "r", Host: "h", Prefix: "/", Service: "s", MaxAttempts: 1, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
	}}}})
}

// TestServesOnceKnown checks that a node is ready only with routes and upstreams, and
// answers entry questions for itself then.
func TestServesOnceKnown(t *testing.T) {
	f := newFixture(t)
	f.give(event.Entry{Call: 1})
	if e, _ := last[effect.ReplyEntry](f); e.Failure == nil {
		t.Errorf("a node that knows nothing answers %+v", e)
	}
	if _, ready := last[effect.PublishReady](f); ready {
		t.Error("ready without knowledge")
	}
	f.serve()
	if e, _ := last[effect.PublishReady](f); !e.Ready {
		t.Error("not ready")
	}
	f.give(event.Entry{Call: 2})
	if e, _ := last[effect.ReplyEntry](f); len(e.Addresses) != 1 || e.Addresses[0].Address != "n1:1" {
		t.Errorf("entry %+v", e)
	}
}

// TestEntryNamesServingNodes checks that starting and leaving nodes are not named.
func TestEntryNamesServingNodes(t *testing.T) {
	f := newFixture(t)
	f.serve()
	f.answer(effect.ReadMembers, event.RegistryResult{Revision: 5, Members: []model.Member{
		{Host: "n2", CallerAddress: "n2:1", State: model.Serving},
		{Host: "n3", CallerAddress: "n3:1", State: model.Leaving},
		{Host: "n4", CallerAddress: "n4:1", State: model.Starting},
	}})
	f.give(event.Entry{Call: 1})
	e, _ := last[effect.ReplyEntry](f)
	if len(e.Addresses) != 2 || e.Addresses[0].Host != "n1" || e.Addresses[1].Host != "n2" {
		t.Errorf("entry %+v", e)
	}
}

// TestPlannedStop checks the order of a graceful stop: not ready at once, no new
// connections after a while, and the exit only when the open request has its answer.
func TestPlannedStop(t *testing.T) {
	f := newFixture(t)
	f.serve()
	f.give(event.StopRequested{})
	if e, _ := last[effect.PublishReady](f); e.Ready {
		t.Error("still ready")
	}
	request := &model.ForwardRequest{ID: "a", Method: "GET", Host: "h", Path: "/x", URI: "/x", Timeout: 3 * time.Second}
	f.pass(1900 * time.Millisecond)
	f.give(event.Forward{Call: 1, Request: request})
	open, sent := last[effect.OpenConnection](f)
	if !sent {
		t.Fatal("a stopping node does not serve what still arrives")
	}
	f.give(event.ConnectionOpened{Connection: open.Connection})
	f.pass(500 * time.Millisecond)
	if _, closed := last[effect.CloseCallerListeners](f); !closed {
		t.Error("the entrance is open")
	}
	if _, exited := last[effect.Exit](f); exited {
		t.Fatal("exit with an open request")
	}
	send, _ := last[effect.SendForward](f)
	f.give(event.ForwardReply{Connection: open.Connection, Attempt: send.Attempt, Status: event.ForwardAnswered, Reply: &model.ForwardedReply{Status: 200}})
	f.pass(500 * time.Millisecond)
	if e, exited := last[effect.Exit](f); !exited || e.OpenRequests != 0 {
		t.Errorf("exit %v %+v", exited, e)
	}
}

// TestSecondStop checks that a second request to stop ends the node at once.
func TestSecondStop(t *testing.T) {
	f := newFixture(t)
	f.serve()
	f.give(event.StopRequested{})
	f.give(event.StopRequested{})
	if _, exited := last[effect.Exit](f); !exited {
		t.Error("no exit")
	}
}

// TestStopEndsWithinGrace checks that a request that hangs does not hold the exit
// beyond the grace.
func TestStopEndsWithinGrace(t *testing.T) {
	f := newFixture(t)
	f.serve()
	f.give(event.Forward{Call: 1, Request: &model.ForwardRequest{ID: "a", Method: "GET", Host: "h", Path: "/x", URI: "/x"}})
	f.give(event.StopRequested{})
	f.pass(6 * time.Second)
	if _, exited := last[effect.Exit](f); !exited {
		t.Error("no exit within the grace")
	}
}

// TestDump checks that the state dump is JSON with the node's beliefs.
func TestDump(t *testing.T) {
	f := newFixture(t)
	f.serve()
	f.give(event.DumpRequest{Call: 9})
	e, ok := last[effect.ReplyDump](f)
	if !ok || len(e.JSON) < 100 {
		t.Errorf("dump %s", e.JSON)
	}
}

// gatherRoutes returns a version whose only route gathers from services.
func gatherRoutes(version model.Revision, services ...model.ServiceName) *model.RouteTable {
	return &model.RouteTable{Version: version, Routes: []model.Route{{
		Name: "wide", Host: "h", Prefix: "/", Gather: services, MinCoverage: 100, MaxAttempts: 1, Repeatable: true,
		Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
	}}}
}

// upstreamsOf returns one registration of each service.
func upstreamsOf(services ...string) []model.Registration {
	var list []model.Registration
	for _, name := range services {
		list = append(list, model.Registration{Instance: name, Upstream: model.Upstream{
			ID: model.UpstreamID(name + "/u"), Address: name, Slots: 1, MaxConnections: 26,
		}})
	}
	return list
}

// inForce returns the version that the relay has put in force last.
func (f *fixture) inForce() string {
	version := ""
	for _, made := range f.seen {
		if line, ok := made.(effect.Log); ok && line.Message == "routes in force" {
			version = line.Fields[0].Value
		}
	}
	return version
}

// TestRoutesWaitForUpstreams replays seconds 10 to 12 of trouble-3 of
// hcm-kyushu-grown: after an outage a version names shards whose upstreams have not
// registered again. The old shards serve until they have, or until the version is due.
func TestRoutesWaitForUpstreams(t *testing.T) {
	f := newFixture(t)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: upstreamsOf("a", "b")})
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 5, Routes: gatherRoutes(1, "a", "b")})
	f.pass(100 * time.Millisecond)
	f.answer(effect.WatchRoutes, event.RegistryResult{Revision: 6, Routes: gatherRoutes(2, "c", "d")})
	if f.inForce() != "1" {
		t.Errorf("version %s in force without upstreams", f.inForce())
	}
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: upstreamsOf("a", "b", "c", "d")})
	if f.inForce() != "2" {
		t.Errorf("version %s in force with upstreams", f.inForce())
	}
	f.pass(100 * time.Millisecond)
	f.answer(effect.WatchRoutes, event.RegistryResult{Revision: 7, Routes: gatherRoutes(3, "e")})
	f.pass(900 * time.Millisecond)
	if f.inForce() != "2" {
		t.Errorf("version %s in force before its time", f.inForce())
	}
	f.pass(200 * time.Millisecond)
	if f.inForce() != "3" {
		t.Errorf("version %s in force when the newest is due", f.inForce())
	}
}

// TestStormDoesNotHoldRoutesBack checks that versions in quick succession do not
// lengthen the wait of the first one.
func TestStormDoesNotHoldRoutesBack(t *testing.T) {
	f := newFixture(t)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: upstreamsOf("a")})
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 5, Routes: gatherRoutes(1, "a")})
	for version := model.Revision(2); version < 10; version++ {
		f.pass(150 * time.Millisecond)
		f.answer(effect.WatchRoutes, event.RegistryResult{Revision: uint64(version) + 5, Routes: gatherRoutes(version, "c")})
	}
	if f.inForce() == "1" {
		t.Error("the first version is in force after more than its time")
	}
}

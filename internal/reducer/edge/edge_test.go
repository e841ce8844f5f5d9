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

// fixture runs one node's state in virtual time.
type fixture struct {
	t       *testing.T
	state   *State
	now     model.Instant
	effects []effect.Effect
	// open holds the latest registry call of each verb that has no result yet.
	open map[effect.RegistryVerb]effect.CallRegistry
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, now: model.Instant(1000 * time.Second), open: make(map[effect.RegistryVerb]effect.CallRegistry)}
	registrySettings := registry.DefaultSettings()
	registrySettings.BootstrapTime = 0
	f.state = New(Settings{
		Self:       model.Member{Host: "n1", FailureDomain: "a", CallerAddress: "n1:1", PeerAddress: "n1:2", Incarnation: 1},
		Registry:   registrySettings,
		Relay:      relay.Settings{ExtraAttemptBudget: 20, ExtraAttemptSlack: 56},
		AdoptDelay: time.Second,
		EntryTTL:   5 * time.Second,
		StopGrace:  6 * time.Second,
	})
	f.apply(event.Start{})
	return f
}

// apply applies an event and records its effects.
func (f *fixture) apply(e event.Event) {
	for _, emitted := range f.state.Reduce(event.Envelope{Now: f.now, Random: 1, Event: e}) {
		f.effects = append(f.effects, emitted)
		if call, ok := emitted.(effect.CallRegistry); ok {
			f.open[call.Verb] = call
		}
	}
}

// advance moves the clock and applies the wakes that fall due.
func (f *fixture) advance(d time.Duration) {
	end := f.now.Add(d)
	for {
		at, ok := f.state.NextWake()
		if !ok || at > end {
			break
		}
		f.now = max(f.now, at)
		f.apply(event.Wake{})
	}
	f.now = end
}

// answer applies a successful result to the call in flight with the verb.
func (f *fixture) answer(verb effect.RegistryVerb, result event.RegistryResult) {
	f.t.Helper()
	call, found := f.open[verb]
	if !found {
		f.t.Fatalf("no call of verb %d in flight", verb)
	}
	delete(f.open, verb)
	result.Operation, result.Status = call.Operation, event.StoreOK
	f.apply(result)
}

// last returns the latest effect of type E, and false if there is none.
func last[E effect.Effect](f *fixture) (E, bool) {
	for i := len(f.effects) - 1; i >= 0; i-- {
		if e, ok := f.effects[i].(E); ok {
			return e, true
		}
	}
	var none E
	return none, false
}

// startServing gives the node the upstreams and routes that it needs to serve.
func (f *fixture) startServing() {
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: []model.Registration{{
		Instance: "u1", Upstream: model.Upstream{ID: "s/u1", Address: "u1", Slots: 1, MaxConnections: 26},
	}}})
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 5, Routes: &model.RouteTable{Version: 1, Routes: []model.Route{{
		Name: "r", Host: "h", Prefix: "/", Service: "s", MaxAttempts: 1, Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
	}}}})
}

// TestServesOnceReady checks that a node is ready only once it has routes and
// upstreams, and that it names itself in entry replies from then on.
func TestServesOnceReady(t *testing.T) {
	f := newFixture(t)
	f.apply(event.Entry{Call: 1})
	if e, _ := last[effect.ReplyEntry](f); e.Failure == nil {
		t.Errorf("a node without routes and upstreams answers %+v", e)
	}
	if _, ready := last[effect.PublishReady](f); ready {
		t.Error("ready without routes and upstreams")
	}
	f.startServing()
	if e, _ := last[effect.PublishReady](f); !e.Ready {
		t.Error("not ready with routes and upstreams")
	}
	f.apply(event.Entry{Call: 2})
	if e, _ := last[effect.ReplyEntry](f); len(e.Addresses) != 1 || e.Addresses[0].Address != "n1:1" {
		t.Errorf("entry reply %+v", e)
	}
}

// TestEntryNamesServingNodes checks that entry replies leave out starting and leaving
// nodes.
func TestEntryNamesServingNodes(t *testing.T) {
	f := newFixture(t)
	f.startServing()
	f.answer(effect.ReadMembers, event.RegistryResult{Revision: 5, Members: []model.Member{
		{Host: "n2", CallerAddress: "n2:1", State: model.Serving},
		{Host: "n3", CallerAddress: "n3:1", State: model.Leaving},
		{Host: "n4", CallerAddress: "n4:1", State: model.Starting},
	}})
	f.apply(event.Entry{Call: 1})
	e, _ := last[effect.ReplyEntry](f)
	if len(e.Addresses) != 2 || e.Addresses[0].Host != "n1" || e.Addresses[1].Host != "n2" {
		t.Errorf("entry reply %+v", e)
	}
}

// TestGracefulShutdown checks the order of a graceful shutdown: not ready at once, no new
// connections after a while, and the exit only when the open request is answered.
func TestGracefulShutdown(t *testing.T) {
	f := newFixture(t)
	f.startServing()
	f.apply(event.StopRequested{})
	if e, _ := last[effect.PublishReady](f); e.Ready {
		t.Error("ready after the stop request")
	}
	request := &model.ForwardRequest{ID: "a", Method: "GET", Host: "h", Path: "/x", URI: "/x", Timeout: 3 * time.Second}
	f.advance(1900 * time.Millisecond)
	f.apply(event.Forward{Call: 1, Request: request})
	open, sent := last[effect.OpenConnection](f)
	if !sent {
		t.Fatal("a stopping node does not serve a request that still arrives")
	}
	f.apply(event.ConnectionOpened{Connection: open.Connection})
	f.advance(500 * time.Millisecond)
	if _, closed := last[effect.CloseCallerListeners](f); !closed {
		t.Error("the node still listens after its share of the grace period")
	}
	if _, exited := last[effect.Exit](f); exited {
		t.Fatal("exit with an open request")
	}
	send, _ := last[effect.SendForward](f)
	f.apply(event.ForwardReply{Connection: open.Connection, Attempt: send.Attempt, Status: event.ForwardAnswered, Reply: &model.ForwardedReply{Status: 200}})
	f.advance(500 * time.Millisecond)
	if e, exited := last[effect.Exit](f); !exited || e.OpenRequests != 0 {
		t.Errorf("exited %v with %+v after the last answer", exited, e)
	}
}

// TestSecondStop checks that a second stop request ends the node at once.
func TestSecondStop(t *testing.T) {
	f := newFixture(t)
	f.startServing()
	f.apply(event.StopRequested{})
	f.apply(event.StopRequested{})
	if _, exited := last[effect.Exit](f); !exited {
		t.Error("no exit at the second stop request")
	}
}

// TestStopEndsWithinGrace checks that a hanging request does not delay the exit beyond
// the grace period.
func TestStopEndsWithinGrace(t *testing.T) {
	f := newFixture(t)
	f.startServing()
	f.apply(event.Forward{Call: 1, Request: &model.ForwardRequest{ID: "a", Method: "GET", Host: "h", Path: "/x", URI: "/x"}})
	f.apply(event.StopRequested{})
	f.advance(6 * time.Second)
	if _, exited := last[effect.Exit](f); !exited {
		t.Error("no exit within the grace period")
	}
}

// TestDump checks that the node answers a dump request with its state.
func TestDump(t *testing.T) {
	f := newFixture(t)
	f.startServing()
	f.apply(event.DumpRequest{Call: 9})
	e, ok := last[effect.ReplyDump](f)
	if !ok || len(e.JSON) < 100 {
		t.Errorf("dump %s", e.JSON)
	}
}

// gatherRoutes returns a version whose only route gathers from the services.
func gatherRoutes(version model.Revision, services ...model.ServiceName) *model.RouteTable {
	return &model.RouteTable{Version: version, Routes: []model.Route{{
		Name: "wide", Host: "h", Prefix: "/", Gather: services, MinCoverage: 100, MaxAttempts: 1, Repeatable: true,
		Timeout: time.Second, TargetLatency: 100 * time.Millisecond,
	}}}
}

// upstreamsOf returns one registration for each service.
func upstreamsOf(services ...string) []model.Registration {
	var list []model.Registration
	for _, name := range services {
		list = append(list, model.Registration{Instance: name, Upstream: model.Upstream{
			ID: model.UpstreamID(name + "/u"), Address: name, Slots: 1, MaxConnections: 26,
		}})
	}
	return list
}

// activeVersion returns the version of the routes that the relay put in force last,
// empty if there is none.
func (f *fixture) activeVersion() string {
	version := ""
	for _, emitted := range f.effects {
		if line, ok := emitted.(effect.Log); ok && line.Message == "routes in force" {
			version = line.Fields[0].Value
		}
	}
	return version
}

// TestRoutesWaitForUpstreams guards against a new version that takes effect after an
// outage although the upstreams of its shards have not registered again. The old shards
// serve until they have, or until the deadline of the new version.
func TestRoutesWaitForUpstreams(t *testing.T) {
	f := newFixture(t)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: upstreamsOf("a", "b")})
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 5, Routes: gatherRoutes(1, "a", "b")})
	f.advance(100 * time.Millisecond)
	f.answer(effect.WatchRoutes, event.RegistryResult{Revision: 6, Routes: gatherRoutes(2, "c", "d")})
	if f.activeVersion() != "1" {
		t.Errorf("version %s in force without upstreams", f.activeVersion())
	}
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: upstreamsOf("a", "b", "c", "d")})
	if f.activeVersion() != "2" {
		t.Errorf("version %s in force with upstreams", f.activeVersion())
	}
	f.advance(100 * time.Millisecond)
	f.answer(effect.WatchRoutes, event.RegistryResult{Revision: 7, Routes: gatherRoutes(3, "e")})
	f.advance(900 * time.Millisecond)
	if f.activeVersion() != "2" {
		t.Errorf("version %s in force before the deadline", f.activeVersion())
	}
	f.advance(200 * time.Millisecond)
	if f.activeVersion() != "3" {
		t.Errorf("version %s in force after the deadline, want 3", f.activeVersion())
	}
}

// TestFrequentVersionsDoNotDelayRoutes checks that versions in quick succession do not
// extend the wait of the first one.
func TestFrequentVersionsDoNotDelayRoutes(t *testing.T) {
	f := newFixture(t)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: upstreamsOf("a")})
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 5, Routes: gatherRoutes(1, "a")})
	for version := model.Revision(2); version < 10; version++ {
		f.advance(150 * time.Millisecond)
		f.answer(effect.WatchRoutes, event.RegistryResult{Revision: uint64(version) + 5, Routes: gatherRoutes(version, "c")})
	}
	if f.activeVersion() == "1" {
		t.Error("the first version is still in force after the deadline of the next one")
	}
}

// forward sends a caller's request for a path to the node.
func (f *fixture) forward(call model.CallID, path string) {
	f.apply(event.Forward{Call: call, Request: &model.ForwardRequest{ID: "id", Method: "POST", Host: "h", Path: path, URI: path}})
}

// answerTo returns the node's answer to a call, and false if there is none.
func (f *fixture) answerTo(call model.CallID) (model.ForwardAnswer, bool) {
	for _, e := range f.effects {
		if reply, ok := e.(effect.ReplyForward); ok && reply.Call == call {
			return reply.Answer, true
		}
	}
	return model.ForwardAnswer{}, false
}

// sentAttempts returns the number of requests that were sent to upstreams.
func (f *fixture) sentAttempts() int {
	count := 0
	for _, e := range f.effects {
		if _, ok := e.(effect.SendForward); ok {
			count++
		}
	}
	return count
}

// startServingRoutes is like startServing, with the given timeout of the routes "/once/" and
// "/any/", of which the second is repeatable.
func (f *fixture) startServingRoutes(timeout time.Duration) {
	f.startServing()
	f.advance(100 * time.Millisecond)
	table := &model.RouteTable{Version: 2}
	for name, repeatable := range map[string]bool{"once": false, "any": true} {
		table.Routes = append(table.Routes, model.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Service: "s", MaxAttempts: 1, Repeatable: repeatable,
			Timeout: timeout, TargetLatency: 100 * time.Millisecond,
		})
	}
	f.answer(effect.WatchRoutes, event.RegistryResult{Revision: 6, Routes: table})
}

// openConnections lets the connections that the node opens succeed.
func (f *fixture) openConnections() {
	for _, e := range f.effects {
		if open, ok := e.(effect.OpenConnection); ok {
			f.apply(event.ConnectionOpened{Connection: open.Connection})
		}
	}
}

// TestLateRequestIsCutByPlannedStop guards against requests that a stopping node takes and sends
// on although it will exit before they have to be answered, and then cuts without an answer.
func TestLateRequestIsCutByPlannedStop(t *testing.T) {
	f := newFixture(t)
	f.startServingRoutes(3 * time.Second)
	f.apply(event.StopRequested{})
	f.advance(4 * time.Second)
	f.forward(1, "/once/x")
	f.openConnections()
	f.advance(50 * time.Millisecond)
	if f.sentAttempts() > 0 {
		t.Error("a request that may run once was sent although the node exits before its timeout")
	}
	if answer, ok := f.answerTo(1); !ok || answer.Outcome != model.NotRun || answer.RetryAfter <= 0 {
		t.Errorf("answered %v %+v, want a refusal at once with a retry time", ok, answer)
	}
}

// TestOpenRequestIsAnsweredBeforeExit guards against requests that are open at the end of the
// grace period and end without an answer.
func TestOpenRequestIsAnsweredBeforeExit(t *testing.T) {
	for _, path := range []string{"/once/x", "/any/x"} {
		f := newFixture(t)
		f.startServingRoutes(20 * time.Second)
		f.forward(1, path)
		f.openConnections()
		if f.sentAttempts() != 1 {
			t.Fatalf("%s: %d attempts sent, want one", path, f.sentAttempts())
		}
		f.apply(event.StopRequested{})
		f.advance(6 * time.Second)
		answer, answered := f.answerTo(1)
		if !answered || answer.Outcome != model.Unknown {
			t.Errorf("%s: answered %v %+v, want an unknown outcome", path, answered, answer)
		}
		if e, exited := last[effect.Exit](f); !exited || e.OpenRequests != 0 {
			t.Errorf("%s: exit %v with %d open requests", path, exited, e.OpenRequests)
		}
	}
}

// TestShortRequestsAreServedWhileStopping checks that a stopping node serves what it can answer
// before its exit.
func TestShortRequestsAreServedWhileStopping(t *testing.T) {
	f := newFixture(t)
	f.startServingRoutes(500 * time.Millisecond)
	f.apply(event.StopRequested{})
	f.advance(1500 * time.Millisecond)
	f.forward(1, "/once/x")
	f.openConnections()
	f.forward(2, "/any/x")
	if _, refused := f.answerTo(1); refused || f.sentAttempts() == 0 {
		t.Error("a request that ends long before the exit was not served")
	}
}

package config_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// The length of a race: operators act for raceTime, then faults end and all
// that was delayed lands.
const (
	raceTime   = 10 * time.Second
	settleTime = 25 * time.Second
	noReply    = model.Instant(1) << 62
)

// attempt is what one operator asked and was told.
type attempt struct {
	client   int
	change   model.ChangeID
	base     model.Revision
	call     model.Instant
	ret      model.Instant
	outcome  effect.StatementOutcome
	revision model.Revision
}

// race is one run of operators that race each other under faults.
type race struct {
	*cluster
	random *rand.Rand
	// pause is the mean time between two changes of one operator.
	pause    time.Duration
	attempts []*attempt
	// seen is the highest revision observed on each life of a host, and the entry
	// that was seen at each revision.
	seen      map[string]model.Revision
	entries   map[model.Revision]model.LogEntry
	problems  []string
	attempted int
}

// newRace returns a race among the operators of a cluster.
func newRace(seed uint64, pause time.Duration, c *cluster) *race {
	return &race{
		cluster: c,
		pause:   pause,
		random:  rand.New(rand.NewPCG(seed, 1)),
		seen:    make(map[string]model.Revision),
		entries: make(map[model.Revision]model.LogEntry),
	}
}

func (r *race) problem(format string, arguments ...any) {
	r.problems = append(r.problems, fmt.Sprintf(format, arguments...))
}

// operate lets one operator make changes until the race is over.
func (r *race) operate(client int, end model.Instant) {
	if r.Now() >= end {
		return
	}
	r.attempted++
	a := &attempt{client: client, change: model.ChangeID(fmt.Sprintf("c%d", r.attempted)), call: r.Now(), ret: noReply, outcome: effect.ChangeUnknown}
	host := r.Hosts()[r.random.IntN(4)]
	text := fmt.Sprintf("create user u%d", r.attempted)
	if r.random.IntN(2) == 0 {
		if base := r.State(host).Config().Revision; base > 0 {
			a.base = base
			text += fmt.Sprintf(" if revision %d", base)
		}
	}
	r.attempts = append(r.attempts, a)
	again := time.Duration(r.random.Int64N(int64(2 * r.pause)))
	r.send(a, host, text, 0, func() { r.After(again, func() { r.operate(client, end) }) })
}

// send asks a node, and asks another one again when the outcome is not known.
func (r *race) send(a *attempt, host model.HostID, text string, tries int, done func()) {
	settled := false
	finish := func(result effect.StatementResult) {
		if settled {
			return
		}
		settled = true
		if result.Outcome != effect.ChangeUnknown {
			r.note(a, result)
			done()
			return
		}
		if tries == 3 {
			done()
			return
		}
		other := r.Hosts()[r.random.IntN(4)]
		r.After(100*time.Millisecond, func() { r.send(a, other, text, tries+1, done) })
	}
	patience := time.Duration(200+r.random.IntN(8000)) * time.Millisecond
	r.After(patience, func() { finish(effect.StatementResult{Outcome: effect.ChangeUnknown}) })
	if !r.Alive(host) {
		return
	}
	r.Statement(host, event.Statement{Text: text, Change: a.change, Operator: "op"}, func(result effect.StatementResult) {
		if settled && result.Outcome != effect.ChangeUnknown {
			r.note(a, result)
		}
		finish(result)
	})
}

// note records a definite outcome; two that differ are a problem.
func (r *race) note(a *attempt, result effect.StatementResult) {
	if a.ret != noReply {
		if a.outcome != result.Outcome || a.revision != result.Revision {
			r.problem("change %s: told %s at %d, then %s at %d", a.change, a.outcome, a.revision, result.Outcome, result.Revision)
		}
		return
	}
	a.ret, a.outcome, a.revision = r.Now(), result.Outcome, result.Revision
}

// watchNodes checks at short intervals that no node reverts and that no two
// nodes have different entries at one revision.
func (r *race) watchNodes() {
	for _, host := range r.Hosts() {
		if !r.Alive(host) {
			continue
		}
		life := fmt.Sprintf("%s-%d", host, r.Incarnation(host))
		state := r.State(host)
		if revision := state.Config().Revision; revision < r.seen[life] {
			r.problem("%s went back from %d to %d", life, r.seen[life], revision)
		} else {
			r.seen[life] = revision
		}
		for _, entry := range state.Log() {
			known, ok := r.entries[entry.Revision]
			if ok && known != entry {
				r.problem("%s has %+v at a revision where %+v was seen", life, entry, known)
			}
			r.entries[entry.Revision] = entry
		}
	}
	r.After(50*time.Millisecond, r.watchNodes)
}

// run lets four operators race and everything settle.
func (r *race) run() {
	r.watchNodes()
	r.RunFor(2 * time.Second)
	end := r.Now().Add(raceTime)
	for client := range 4 {
		r.operate(client, end)
	}
	r.RunFor(raceTime)
	r.store.Store.ClearFaults()
	r.fate = nil
	for _, host := range r.Hosts() {
		r.Restart(host)
	}
	r.RunFor(settleTime)
	r.finish()
}

// finish compares what operators were told with the log of a node that has only
// now read the store.
func (r *race) finish() {
	fresh := r.Hosts()[0]
	r.Kill(fresh)
	r.RunFor(time.Second)
	r.Restart(fresh)
	r.RunFor(5 * time.Second)
	users := r.State(fresh).Config().Users
	for _, host := range r.Hosts() {
		if got, want := r.State(host).Config().Revision, r.State(fresh).Config().Revision; got != want {
			r.problem("%s ended at revision %d, a fresh node at %d", host, got, want)
		}
	}
	for _, a := range r.attempts {
		r.compare(a, users)
	}
}

// compare checks one attempt against the final configuration.
func (r *race) compare(a *attempt, users []model.User) {
	user := model.UserID("u" + string(a.change[1:]))
	present := slices.ContainsFunc(users, func(u model.User) bool { return u.ID == user })
	switch {
	case a.outcome == effect.Accepted && !present:
		r.problem("change %s was accepted at %d and is not in force", a.change, a.revision)
	case a.outcome == effect.NotAccepted && present:
		r.problem("change %s was not accepted and is in force", a.change)
	case a.outcome == effect.ChangeUnknown && present:
		a.outcome = effect.Accepted
		a.revision = r.revisionOf(a.change)
	}
}

// revisionOf returns where a change stands in the log.
func (r *race) revisionOf(change model.ChangeID) model.Revision {
	lowest := model.Revision(0)
	for revision, entry := range r.entries {
		if entry.Change == change && !entry.IsFence() && (lowest == 0 || revision < lowest) {
			lowest = revision
		}
	}
	return lowest
}

// register models the log as a compare-and-swap register that holds the
// revision of the last change.
var register = porcupine.Model{
	Init: func() any { return model.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		last, a := state.(model.Revision), input.(*attempt)
		switch a.outcome {
		case effect.Accepted:
			return a.revision > last && (a.base == 0 || last <= a.base), a.revision
		case effect.NotAccepted:
			// Without a base each change here is valid: only a conflict, or the store,
			// may keep it out.
			return true, last
		default:
			return true, last
		}
	},
}

// linearizable reports whether the operators' history fits the register.
func (r *race) linearizable() bool {
	var operations []porcupine.Operation
	for _, a := range r.attempts {
		operations = append(operations, porcupine.Operation{
			ClientId: a.client, Input: a, Call: int64(a.call), Output: a, Return: int64(a.ret),
		})
	}
	return porcupine.CheckOperations(register, operations)
}

// drawFaults schedules faults of the store and the nodes.
func (r *race) drawFaults(t *rapid.T) {
	kinds := []kv.FaultKind{kv.Down, kv.Hang, kv.Slow, kv.LoseReply, kv.DelayWrite}
	for range rapid.IntRange(2, 10).Draw(t, "store faults") {
		from := r.Now().Add(time.Duration(rapid.IntRange(0, 10000).Draw(t, "from")) * time.Millisecond)
		r.store.Store.Schedule(kv.Fault{
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			From:  from,
			Until: from.Add(time.Duration(rapid.IntRange(100, 6000).Draw(t, "for")) * time.Millisecond),
			Delay: time.Duration(rapid.IntRange(100, 9000).Draw(t, "delay")) * time.Millisecond,
			Count: rapid.IntRange(0, 5).Draw(t, "count"),
		})
	}
	r.fate = r.lossyNetwork(rapid.IntRange(0, 15).Draw(t, "lost percent"))
	for range rapid.IntRange(0, 4).Draw(t, "node faults") {
		host := r.Hosts()[rapid.IntRange(0, 3).Draw(t, "host")]
		after := time.Duration(rapid.IntRange(2500, 11000).Draw(t, "after")) * time.Millisecond
		length := time.Duration(rapid.IntRange(500, 8000).Draw(t, "length")) * time.Millisecond
		r.drawNodeFault(t, host, after, length)
	}
}

// lossyNetwork loses, delays and doubles a share of the messages between nodes.
func (r *race) lossyNetwork(percent int) func() virtual.Delivery {
	return func() virtual.Delivery {
		if r.random.IntN(100) >= percent {
			return virtual.Delivery{}
		}
		switch r.random.IntN(4) {
		case 0:
			return virtual.Delivery{Lost: true}
		case 1:
			return virtual.Delivery{Silent: true}
		case 2:
			return virtual.Delivery{Delay: time.Duration(r.random.IntN(2000)) * time.Millisecond}
		default:
			return virtual.Delivery{Copies: 1}
		}
	}
}

// drawNodeFault pauses, restarts or cuts off a node.
func (r *race) drawNodeFault(t *rapid.T, host model.HostID, after, length time.Duration) {
	switch rapid.SampledFrom([]string{"pause", "restart", "cut"}).Draw(t, "fault") {
	case "pause":
		r.After(after, func() { r.Pause(host, length) })
	case "restart":
		r.After(after, func() { r.Kill(host) })
		r.After(after+length, func() { r.Restart(host) })
	case "cut":
		for _, other := range r.Hosts() {
			if other != host {
				r.After(after, func() { r.Cut(host, other) })
				r.After(after+length, func() { r.Heal(host, other) })
			}
		}
	}
}

func TestRacingOperatorsAreToldTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		r := newRace(seed, 75*time.Millisecond, newCluster(seed, 4))
		r.drawFaults(t)
		r.run()
		if len(r.problems) > 0 {
			t.Fatalf("%d problems, the first: %s", len(r.problems), r.problems[0])
		}
		if !r.linearizable() {
			t.Fatal("the operators' history is not linearizable")
		}
	})
}

// forgetfulStore loses fences a little after they were written, as if there were
// none.
type forgetfulStore struct{ *virtual.KeyValue }

// Call implements virtual.Store.
func (s forgetfulStore) Call(w *virtual.World, from model.HostID, call effect.CallStore, deliver func(event.StoreResult)) {
	var entry model.LogEntry
	isFence := call.Verb == effect.StoreCreate && json.Unmarshal(call.Value, &entry) == nil && entry.IsFence()
	s.KeyValue.Call(w, from, call, func(result event.StoreResult) {
		deliver(result)
		if isFence && result.Status == event.StoreOK {
			s.Store.Apply(w.Now(), effect.CallStore{Verb: effect.StoreDelete, Key: call.Key, Expect: result.Items[0].ModRevision})
		}
	})
}

// TestPlantedFaultIsFound checks that the checks above see a log without fences.
func TestPlantedFaultIsFound(t *testing.T) {
	for seed := range uint64(10) {
		r := newRace(seed, time.Second, newClusterWith(seed, 4, func(store *virtual.KeyValue) virtual.Store { return forgetfulStore{store} }))
		until := r.Now().Add(raceTime)
		r.store.Store.Schedule(kv.Fault{Kind: kv.DelayWrite, From: r.Now(), Until: until, Delay: 7 * time.Second, Count: 6})
		r.run()
		if len(r.problems) > 0 || !r.linearizable() {
			return
		}
	}
	t.Fatal("no seed found that the store loses fences")
}

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

// Durations of a run, and the return time of an attempt without a definite outcome.
const (
	// Operators send changes for operatorTime; then all faults end, and the cluster
	// gets recoveryTime for delayed writes to take effect.
	operatorTime = 10 * time.Second
	recoveryTime = 25 * time.Second
	noReply      = model.Instant(1) << 62
)

// changeAttempt is one operator's change and the outcome that was reported for it.
type changeAttempt struct {
	client   int
	change   model.ChangeID
	base     model.Revision
	call     model.Instant
	returned model.Instant
	outcome  effect.StatementOutcome
	revision model.Revision
}

// raceTest is one run with operators that change the configuration concurrently
// under faults.
type raceTest struct {
	*cluster
	random *rand.Rand
	// meanPause is the mean time between two changes of one operator.
	meanPause time.Duration
	attempts  []*changeAttempt
	// highestRevision is the highest revision observed per incarnation of a host,
	// and entries the entry observed at each revision.
	highestRevision map[string]model.Revision
	entries         map[model.Revision]model.LogEntry
	problems        []string
	attemptCount    int
}

// newRaceTest returns a run on a cluster.
func newRaceTest(seed uint64, pause time.Duration, c *cluster) *raceTest {
	return &raceTest{
		cluster:         c,
		meanPause:       pause,
		random:          rand.New(rand.NewPCG(seed, 1)),
		highestRevision: make(map[string]model.Revision),
		entries:         make(map[model.Revision]model.LogEntry),
	}
}

func (r *raceTest) addProblem(format string, arguments ...any) {
	r.problems = append(r.problems, fmt.Sprintf(format, arguments...))
}

// runOperator lets one operator send changes until the end time.
func (r *raceTest) runOperator(client int, end model.Instant) {
	if r.Now() >= end {
		return
	}
	r.attemptCount++
	a := &changeAttempt{client: client, change: model.ChangeID(fmt.Sprintf("c%d", r.attemptCount)), call: r.Now(), returned: noReply, outcome: effect.ChangeUnknown}
	host := r.Hosts()[r.random.IntN(4)]
	text := fmt.Sprintf("create user u%d", r.attemptCount)
	if r.random.IntN(2) == 0 {
		if base := r.State(host).Config().Revision; base > 0 {
			a.base = base
			text += fmt.Sprintf(" if revision %d", base)
		}
	}
	r.attempts = append(r.attempts, a)
	pause := time.Duration(r.random.Int64N(int64(2 * r.meanPause)))
	r.send(a, host, text, 0, func() { r.After(pause, func() { r.runOperator(client, end) }) })
}

// send sends a change to a node, and up to three times more to random nodes while
// the outcome is unknown.
func (r *raceTest) send(a *changeAttempt, host model.HostID, text string, tries int, done func()) {
	finished := false
	finish := func(result effect.StatementResult) {
		if finished {
			return
		}
		finished = true
		if result.Outcome != effect.ChangeUnknown {
			r.recordOutcome(a, result)
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
	timeout := time.Duration(200+r.random.IntN(8000)) * time.Millisecond
	r.After(timeout, func() { finish(effect.StatementResult{Outcome: effect.ChangeUnknown}) })
	if !r.Alive(host) {
		return
	}
	r.Statement(host, event.Statement{Text: text, Change: a.change, Operator: "op"}, func(result effect.StatementResult) {
		if finished && result.Outcome != effect.ChangeUnknown {
			r.recordOutcome(a, result)
		}
		finish(result)
	})
}

// recordOutcome records a definite outcome; two different ones are a problem.
func (r *raceTest) recordOutcome(a *changeAttempt, result effect.StatementResult) {
	if a.returned != noReply {
		if a.outcome != result.Outcome || a.revision != result.Revision {
			r.addProblem("change %s: reported as %s at %d, then as %s at %d", a.change, a.outcome, a.revision, result.Outcome, result.Revision)
		}
		return
	}
	a.returned, a.outcome, a.revision = r.Now(), result.Outcome, result.Revision
}

// watchNodes checks periodically that no node goes back to an older revision and
// that no two nodes have different entries at one revision.
func (r *raceTest) watchNodes() {
	for _, host := range r.Hosts() {
		if !r.Alive(host) {
			continue
		}
		incarnation := fmt.Sprintf("%s-%d", host, r.Incarnation(host))
		state := r.State(host)
		if revision := state.Config().Revision; revision < r.highestRevision[incarnation] {
			r.addProblem("%s reverted from revision %d to %d", incarnation, r.highestRevision[incarnation], revision)
		} else {
			r.highestRevision[incarnation] = revision
		}
		for _, entry := range state.Log() {
			known, ok := r.entries[entry.Revision]
			if ok && known != entry {
				r.addProblem("%s has %+v at a revision where %+v was seen", incarnation, entry, known)
			}
			r.entries[entry.Revision] = entry
		}
	}
	r.After(50*time.Millisecond, r.watchNodes)
}

// run lets four operators send changes concurrently, waits for recovery and checks
// the outcomes.
func (r *raceTest) run() {
	r.watchNodes()
	r.RunFor(2 * time.Second)
	end := r.Now().Add(operatorTime)
	for client := range 4 {
		r.runOperator(client, end)
	}
	r.RunFor(operatorTime)
	r.store.Store.ClearFaults()
	r.delivery = nil
	for _, host := range r.Hosts() {
		r.Restart(host)
	}
	r.RunFor(recoveryTime)
	r.checkOutcomes()
}

// checkOutcomes compares the reported outcomes with the log of a node that was
// restarted after the faults and has just read the store.
func (r *raceTest) checkOutcomes() {
	restarted := r.Hosts()[0]
	r.Kill(restarted)
	r.RunFor(time.Second)
	r.Restart(restarted)
	r.RunFor(5 * time.Second)
	users := r.State(restarted).Config().Users
	for _, host := range r.Hosts() {
		if got, want := r.State(host).Config().Revision, r.State(restarted).Config().Revision; got != want {
			r.addProblem("%s ended at revision %d, a restarted node at %d", host, got, want)
		}
	}
	for _, a := range r.attempts {
		r.checkAttempt(a, users)
	}
}

// checkAttempt compares one attempt with the final configuration.
func (r *raceTest) checkAttempt(a *changeAttempt, users []model.User) {
	user := model.UserID("u" + string(a.change[1:]))
	present := slices.ContainsFunc(users, func(u model.User) bool { return u.ID == user })
	switch {
	case a.outcome == effect.Accepted && !present:
		r.addProblem("change %s was accepted at %d and is not in force", a.change, a.revision)
	case a.outcome == effect.NotAccepted && present:
		r.addProblem("change %s was not accepted and is in force", a.change)
	case a.outcome == effect.ChangeUnknown && present:
		a.outcome = effect.Accepted
		a.revision = r.revisionOf(a.change)
	}
}

// revisionOf returns the lowest revision at which a change was observed.
func (r *raceTest) revisionOf(change model.ChangeID) model.Revision {
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
		last, a := state.(model.Revision), input.(*changeAttempt)
		switch a.outcome {
		case effect.Accepted:
			return a.revision > last && (a.base == 0 || last <= a.base), a.revision
		case effect.NotAccepted:
			// Without a base every change here is valid, so only a conflict or a
			// store failure can refuse it.
			return true, last
		default:
			return true, last
		}
	},
}

// isLinearizable reports whether the operators' history is linearizable for the
// register.
func (r *raceTest) isLinearizable() bool {
	var operations []porcupine.Operation
	for _, a := range r.attempts {
		operations = append(operations, porcupine.Operation{
			ClientId: a.client, Input: a, Call: int64(a.call), Output: a, Return: int64(a.returned),
		})
	}
	return porcupine.CheckOperations(register, operations)
}

// scheduleFaults schedules random faults of the store, the network and the nodes.
func (r *raceTest) scheduleFaults(t *rapid.T) {
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
	r.delivery = r.lossyNetwork(rapid.IntRange(0, 15).Draw(t, "lost percent"))
	for range rapid.IntRange(0, 4).Draw(t, "node faults") {
		host := r.Hosts()[rapid.IntRange(0, 3).Draw(t, "host")]
		after := time.Duration(rapid.IntRange(2500, 11000).Draw(t, "after")) * time.Millisecond
		length := time.Duration(rapid.IntRange(500, 8000).Draw(t, "length")) * time.Millisecond
		r.scheduleNodeFault(t, host, after, length)
	}
}

// lossyNetwork loses, delays or duplicates a percentage of the messages.
func (r *raceTest) lossyNetwork(percent int) func() virtual.Delivery {
	return func() virtual.Delivery {
		if r.random.IntN(100) >= percent {
			return virtual.Delivery{}
		}
		switch r.random.IntN(4) {
		case 0:
			return virtual.Delivery{BreakStream: true}
		case 1:
			return virtual.Delivery{Drop: true}
		case 2:
			return virtual.Delivery{Delay: time.Duration(r.random.IntN(2000)) * time.Millisecond}
		default:
			return virtual.Delivery{Copies: 1}
		}
	}
}

// scheduleNodeFault pauses, restarts or isolates a node.
func (r *raceTest) scheduleNodeFault(t *rapid.T, host model.HostID, after, length time.Duration) {
	switch rapid.SampledFrom([]string{"pause", "restart", "cut"}).Draw(t, "fault") {
	case "pause":
		r.After(after, func() { r.Pause(host, length) })
	case "restart":
		r.After(after, func() { r.Kill(host) })
		r.After(after+length, func() { r.Restart(host) })
	case "cut":
		for _, other := range r.Hosts() {
			if other != host {
				r.After(after, func() { r.Partition(host, other) })
				r.After(after+length, func() { r.Heal(host, other) })
			}
		}
	}
}

func TestRacingOperatorsGetTrueOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		r := newRaceTest(seed, 75*time.Millisecond, newCluster(seed, 4))
		r.scheduleFaults(t)
		r.run()
		if len(r.problems) > 0 {
			t.Fatalf("%d problems, the first: %s", len(r.problems), r.problems[0])
		}
		if !r.isLinearizable() {
			t.Fatal("the operators' history is not linearizable")
		}
	})
}

// fenceLosingStore deletes each fence right after it was written.
type fenceLosingStore struct{ *virtual.KeyValue }

// Call implements virtual.Store.
func (s fenceLosingStore) Call(w *virtual.World, from model.HostID, call effect.CallStore, deliver func(event.StoreResult)) {
	var entry model.LogEntry
	isFence := call.Verb == effect.StoreCreate && json.Unmarshal(call.Value, &entry) == nil && entry.IsFence()
	s.KeyValue.Call(w, from, call, func(result event.StoreResult) {
		deliver(result)
		if isFence && result.Status == event.StoreOK {
			s.Store.Apply(w.Now(), effect.CallStore{Verb: effect.StoreDelete, Key: call.Key, Expect: result.Items[0].ModRevision})
		}
	})
}

// This test guards the checks of raceTest. On a store that loses fences, a delayed
// write can take effect at a revision that nodes have already seen as fenced; with
// at least one seed the checks must find that.
func TestInjectedFaultIsDetected(t *testing.T) {
	for seed := range uint64(10) {
		r := newRaceTest(seed, time.Second, newClusterWith(seed, 4, func(store *virtual.KeyValue) virtual.Store { return fenceLosingStore{store} }))
		until := r.Now().Add(operatorTime)
		r.store.Store.Schedule(kv.Fault{Kind: kv.DelayWrite, From: r.Now(), Until: until, Delay: 7 * time.Second, Count: 6})
		r.run()
		if len(r.problems) > 0 || !r.isLinearizable() {
			return
		}
	}
	t.Fatal("the checks did not detect the lost fences with any seed")
}

package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// Parameters of experiment M7.
const (
	m7Nodes              = 4
	m7Operators          = 4
	m7ChangesPerOperator = 25
	m7Warmup             = 3 * time.Second
	// m7MeanThinkTime is the mean time between two changes of one operator.
	m7MeanThinkTime = 1 * time.Second
	// m7ResendTimeout is how long an operator waits for a reply before sending the
	// change again.
	m7ResendTimeout  = 7 * time.Second
	m7OutageDuration = 30 * time.Second
	// m7LostReplies is the number of writes that lose their replies, one in every
	// m7FaultInterval. Every third of them takes effect only after m7WriteDelay.
	m7LostReplies   = 24
	m7FaultInterval = 1500 * time.Millisecond
	m7WriteDelay    = 20 * time.Second
	m7MaxDuration   = 5 * time.Minute
	m7PollInterval  = 5 * time.Millisecond
	// m7MaxTimeToForce is the target for the time from the acceptance of a change
	// until it is in force on all nodes.
	m7MaxTimeToForce = 2 * time.Second
)

// changesExperiment returns experiment M7, which measures concurrent configuration
// changes under store faults.
func changesExperiment() Experiment {
	return Experiment{
		Name:    "m7-changes",
		Summary: "100 changes by 4 racing operators, replies lost, store down for 30 s",
		Run:     runChanges,
	}
}

// m7Fault is a named set of store faults; each row of the report uses one.
type m7Fault struct {
	name   string
	faults func(start model.Instant) []kv.Fault
}

// m7Faults returns the sets of store faults. Each set includes the faults of the
// previous one.
func m7Faults() []m7Fault {
	lost := func(start model.Instant) []kv.Fault {
		var faults []kv.Fault
		for i := range m7LostReplies {
			from := start.Add(time.Duration(i) * m7FaultInterval)
			kind := kv.LoseReply
			if i%3 == 2 {
				kind = kv.DelayWrite
			}
			faults = append(faults, kv.Fault{
				Kind: kind, From: from, Until: start.Add(m7MaxDuration), Delay: m7WriteDelay, WritesOnly: true, Count: 1,
			})
		}
		return faults
	}
	return []m7Fault{
		{name: "none", faults: func(model.Instant) []kv.Fault { return nil }},
		{name: "replies lost, writes late", faults: lost},
		{name: "and store down 30 s", faults: func(start model.Instant) []kv.Fault {
			down := start.Add(10 * time.Second)
			outage := kv.Fault{Kind: kv.Down, From: down, Until: down.Add(m7OutageDuration)}
			return append([]kv.Fault{outage}, lost(start)...)
		}},
	}
}

// m7Change is a change by an operator and the outcome reported to the operator.
type m7Change struct {
	id       model.ChangeID
	outcome  effect.StatementOutcome
	revision model.Revision
	failure  *model.Failure
}

// m7Run is the state of one row's run.
type m7Run struct {
	world   *virtual.World
	store   *virtual.KeyValue
	random  *rand.Rand
	changes []*m7Change
	// unknownReplies counts the replies, including missing ones, that left an
	// outcome unknown.
	unknownReplies int
	// reverted counts how often the revision of a node decreased.
	reverted int
	// acceptedAt holds the time at which each revision was first seen in the store,
	// and timeToForce the time from then until all nodes had the revision.
	acceptedAt        map[model.Revision]model.Instant
	timeToForce       map[model.Revision]time.Duration
	lastRevision      map[model.HostID]model.Revision
	finishedOperators int
}

// runChanges runs all rows.
func runChanges(seed uint64) (Report, error) {
	report := Report{Columns: []string{
		"faults", "changes", "accepted", "not accepted", "unknown replies", "never told", "untrue",
		"reverted", "fences", "in force p50 ms", "in force max ms", "over 2 s",
	}}
	for _, fault := range m7Faults() {
		run := newM7Run(seed, fault)
		run.run()
		report.Rows = append(report.Rows, append([]string{fault.name}, run.row()...))
	}
	report.Notes = []string{
		"target: in force on all 4 nodes within 2 s of acceptance, none reverted, every outcome told truly",
		"an operator sends a change again under the same id, to a random node, when its outcome is unknown; the time in force counts from the moment when the store holds the entry",
	}
	return report, nil
}

// newM7Run starts the nodes and schedules the faults of a row.
func newM7Run(seed uint64, fault m7Fault) *m7Run {
	store := virtual.NewKeyValue(kv.DefaultLimits())
	domains := []model.FailureDomain{"santiago-1", "santiago-2", "santiago-3"}
	r := &m7Run{
		store:        store,
		random:       rand.New(rand.NewPCG(seed, 7)),
		acceptedAt:   make(map[model.Revision]model.Instant),
		timeToForce:  make(map[model.Revision]time.Duration),
		lastRevision: make(map[model.HostID]model.Revision),
	}
	r.world = virtual.New(virtual.Options{Seed: seed, Hosts: virtual.Hosts(m7Nodes, domains), Store: store})
	r.world.RunFor(m7Warmup)
	for _, f := range fault.faults(r.world.Now()) {
		store.Store.Schedule(f)
	}
	return r
}

// run simulates the operators until all have finished or m7MaxDuration has passed,
// then clears the faults and lets the nodes catch up.
func (r *m7Run) run() {
	r.poll()
	for operator := range m7Operators {
		r.scheduleChange(operator, 0)
	}
	end := r.world.Now().Add(m7MaxDuration)
	for r.finishedOperators < m7Operators && r.world.Now().Before(end) {
		r.world.RunFor(time.Second)
	}
	r.store.Store.ClearFaults()
	r.world.RunFor(m7OutageDuration)
}

// scheduleChange schedules an operator's next change after a random pause.
func (r *m7Run) scheduleChange(operator, number int) {
	if number == m7ChangesPerOperator {
		r.finishedOperators++
		return
	}
	pause := time.Duration(r.random.Int64N(int64(2 * m7MeanThinkTime)))
	r.world.After(pause, func() {
		change := &m7Change{id: model.ChangeID(fmt.Sprintf("m7-%d-%d", operator, number)), outcome: effect.ChangeUnknown}
		r.changes = append(r.changes, change)
		r.send(change, r.changeText(operator, number), func() { r.scheduleChange(operator, number+1) })
	})
}

// changeText returns the statement of a change. Every third change requires the
// current revision of a random node, so it conflicts if another operator's change
// comes first.
func (r *m7Run) changeText(operator, number int) string {
	text := fmt.Sprintf("create user o%d-%d", operator, number)
	if revision := r.world.State(r.randomHost()).Config().Revision; number%3 == 0 && revision > 0 {
		text += fmt.Sprintf(" if revision %d", revision)
	}
	return text
}

// randomHost returns a random host.
func (r *m7Run) randomHost() model.HostID { return r.world.Hosts()[r.random.IntN(m7Nodes)] }

// send sends a change to a random node and repeats it until its outcome is known.
func (r *m7Run) send(change *m7Change, text string, done func()) {
	ended := false
	end := func(result effect.StatementResult) {
		if ended {
			return
		}
		ended = true
		if result.Outcome == effect.ChangeUnknown {
			r.unknownReplies++
			r.world.After(m7MeanThinkTime, func() { r.send(change, text, done) })
			return
		}
		change.outcome, change.revision, change.failure = result.Outcome, result.Revision, result.Failure
		done()
	}
	r.world.Statement(r.randomHost(), event.Statement{Text: text, Change: change.id, Operator: "operator"}, end)
	r.world.After(m7ResendTimeout, func() { end(effect.StatementResult{Outcome: effect.ChangeUnknown}) })
}

// poll records which revisions are in the store and on the nodes, every
// m7PollInterval.
func (r *m7Run) poll() {
	now := r.world.Now()
	newest := model.Revision(len(r.store.Store.Inspect("config/log/")))
	for revision := newest; revision > 0 && r.acceptedAt[revision] == 0; revision-- {
		r.acceptedAt[revision] = now
	}
	slowest := newest
	for _, host := range r.world.Hosts() {
		revision := r.world.State(host).Config().Revision
		if revision < r.lastRevision[host] {
			r.reverted++
		}
		r.lastRevision[host] = revision
		slowest = min(slowest, revision)
	}
	for revision := slowest; revision > 0; revision-- {
		if _, known := r.timeToForce[revision]; known {
			break
		}
		r.timeToForce[revision] = now.Sub(r.acceptedAt[revision])
	}
	r.world.After(m7PollInterval, r.poll)
}

// row formats the results as a row of the report.
func (r *m7Run) row() []string {
	counts := make(map[effect.StatementOutcome]int)
	for _, change := range r.changes {
		counts[change.outcome]++
	}
	var times []time.Duration
	overTarget := 0
	for revision := range r.acceptedAt {
		elapsed, reached := r.timeToForce[revision]
		if !reached || elapsed > m7MaxTimeToForce {
			overTarget++
		}
		times = append(times, elapsed)
	}
	slices.Sort(times)
	return []string{
		fmt.Sprint(len(r.changes)),
		fmt.Sprint(counts[effect.Accepted]),
		fmt.Sprint(counts[effect.NotAccepted]),
		fmt.Sprint(r.unknownReplies),
		fmt.Sprint(counts[effect.ChangeUnknown]),
		fmt.Sprint(r.countWrongOutcomes()),
		fmt.Sprint(r.reverted),
		fmt.Sprint(r.countFences()),
		fmt.Sprint(times[len(times)/2].Milliseconds()),
		fmt.Sprint(times[len(times)-1].Milliseconds()),
		fmt.Sprint(overTarget),
	}
}

// countWrongOutcomes returns the number of changes whose reported outcome contradicts
// the configuration.
func (r *m7Run) countWrongOutcomes() int {
	users := r.world.State(r.world.Hosts()[0]).Config().Users
	count := 0
	for _, change := range r.changes {
		user := model.UserID("o" + string(change.id[len("m7-"):]))
		present := slices.ContainsFunc(users, func(u model.User) bool { return u.ID == user })
		acceptedReported := change.outcome == effect.Accepted
		if change.outcome != effect.ChangeUnknown && acceptedReported != present {
			count++
		}
	}
	return count
}

// countFences returns the number of log entries that only occupy their revision.
func (r *m7Run) countFences() int {
	count := 0
	for _, entry := range r.world.State(r.world.Hosts()[0]).Log() {
		if entry.IsFence() && entry.Change == "" {
			count++
		}
	}
	return count
}

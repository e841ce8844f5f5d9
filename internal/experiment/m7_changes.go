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

// The sizes of experiment M7.
const (
	m7Nodes     = 4
	m7Operators = 4
	m7Changes   = 25 // each operator
	m7Warmup    = 3 * time.Second
	// m7Think is the mean time between two changes of one operator.
	m7Think = 1 * time.Second
	// m7Patience is how long an operator waits before sending a change again.
	m7Patience = 7 * time.Second
	m7Outage   = 30 * time.Second
	// m7LostReplies is how many writes lose their replies, one each
	// m7FaultSpacing; every third of them takes effect only after m7WriteDelay.
	m7LostReplies  = 24
	m7FaultSpacing = 1500 * time.Millisecond
	m7WriteDelay   = 20 * time.Second
	m7Limit        = 5 * time.Minute
	m7Step         = 5 * time.Millisecond
	// m7Target bounds the time from acceptance until in force on all nodes.
	m7Target = 2 * time.Second
)

// changes is experiment M7.
func changes() Experiment {
	return Experiment{
		Name:    "m7-changes",
		Summary: "100 changes by 4 racing operators, replies lost, store down for 30 s",
		Run:     runChanges,
	}
}

// m7Fault is what goes wrong in one row.
type m7Fault struct {
	name   string
	faults func(start model.Instant) []kv.Fault
}

// m7Faults returns the rows: each adds to the one before.
func m7Faults() []m7Fault {
	lost := func(start model.Instant) []kv.Fault {
		var faults []kv.Fault
		for i := range m7LostReplies {
			from := start.Add(time.Duration(i) * m7FaultSpacing)
			kind := kv.LoseReply
			if i%3 == 2 {
				kind = kv.DelayWrite
			}
			faults = append(faults, kv.Fault{
				Kind: kind, From: from, Until: start.Add(m7Limit), Delay: m7WriteDelay, WritesOnly: true, Count: 1,
			})
		}
		return faults
	}
	return []m7Fault{
		{name: "none", faults: func(model.Instant) []kv.Fault { return nil }},
		{name: "replies lost, writes late", faults: lost},
		{name: "and store down 30 s", faults: func(start model.Instant) []kv.Fault {
			down := start.Add(10 * time.Second)
			outage := kv.Fault{Kind: kv.Down, From: down, Until: down.Add(m7Outage)}
			return append([]kv.Fault{outage}, lost(start)...)
		}},
	}
}

// m7Change is one operator's change and what the operator was told.
type m7Change struct {
	id       model.ChangeID
	outcome  effect.StatementOutcome
	revision model.Revision
	failure  *model.Failure
}

// m7Run is one row under way.
type m7Run struct {
	world   *virtual.World
	store   *virtual.KeyValue
	random  *rand.Rand
	changes []*m7Change
	// unknown counts the replies that left an outcome open.
	unknown  int
	reverted int
	// accepted and inForce hold when each revision was in the store and on all
	// nodes.
	accepted map[model.Revision]model.Instant
	inForce  map[model.Revision]time.Duration
	seen     map[model.HostID]model.Revision
	done     int
}

// runChanges runs the rows.
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

// newM7Run starts four nodes and schedules a row's faults.
func newM7Run(seed uint64, fault m7Fault) *m7Run {
	store := virtual.NewKeyValue(kv.DefaultLimits())
	domains := []model.FailureDomain{"santiago-1", "santiago-2", "santiago-3"}
	r := &m7Run{
		store:    store,
		random:   rand.New(rand.NewPCG(seed, 7)),
		accepted: make(map[model.Revision]model.Instant),
		inForce:  make(map[model.Revision]time.Duration),
		seen:     make(map[model.HostID]model.Revision),
	}
	r.world = virtual.New(virtual.Options{Seed: seed, Hosts: virtual.Hosts(m7Nodes, domains), Store: store})
	r.world.RunFor(m7Warmup)
	for _, f := range fault.faults(r.world.Now()) {
		store.Store.Schedule(f)
	}
	return r
}

// run lets the operators work until all are done or the time is over.
func (r *m7Run) run() {
	r.look()
	for operator := range m7Operators {
		r.next(operator, 0)
	}
	end := r.world.Now().Add(m7Limit)
	for r.done < m7Operators && r.world.Now().Before(end) {
		r.world.RunFor(time.Second)
	}
	r.store.Store.ClearFaults()
	r.world.RunFor(m7Outage)
}

// next makes an operator's next change after a pause.
func (r *m7Run) next(operator, number int) {
	if number == m7Changes {
		r.done++
		return
	}
	pause := time.Duration(r.random.Int64N(int64(2 * m7Think)))
	r.world.After(pause, func() {
		change := &m7Change{id: model.ChangeID(fmt.Sprintf("m7-%d-%d", operator, number)), outcome: effect.ChangeUnknown}
		r.changes = append(r.changes, change)
		r.send(change, r.text(operator, number), func() { r.next(operator, number+1) })
	})
}

// text returns a change: every third one is based on the revision that a random
// node has, so that it conflicts if another operator was faster.
func (r *m7Run) text(operator, number int) string {
	text := fmt.Sprintf("create user o%d-%d", operator, number)
	if base := r.world.State(r.host()).Config().Revision; number%3 == 0 && base > 0 {
		text += fmt.Sprintf(" if revision %d", base)
	}
	return text
}

// host returns a random host.
func (r *m7Run) host() model.HostID { return r.world.Hosts()[r.random.IntN(m7Nodes)] }

// send sends a change, again and again until its outcome is known.
func (r *m7Run) send(change *m7Change, text string, done func()) {
	ended := false
	end := func(result effect.StatementResult) {
		if ended {
			return
		}
		ended = true
		if result.Outcome == effect.ChangeUnknown {
			r.unknown++
			r.world.After(m7Think, func() { r.send(change, text, done) })
			return
		}
		change.outcome, change.revision, change.failure = result.Outcome, result.Revision, result.Failure
		done()
	}
	r.world.Statement(r.host(), event.Statement{Text: text, Change: change.id, Operator: "operator"}, end)
	r.world.After(m7Patience, func() { end(effect.StatementResult{Outcome: effect.ChangeUnknown}) })
}

// look notes what is in the store and on the nodes, again and again.
func (r *m7Run) look() {
	now := r.world.Now()
	newest := model.Revision(len(r.store.Store.Inspect("config/log/")))
	for revision := newest; revision > 0 && r.accepted[revision] == 0; revision-- {
		r.accepted[revision] = now
	}
	slowest := newest
	for _, host := range r.world.Hosts() {
		revision := r.world.State(host).Config().Revision
		if revision < r.seen[host] {
			r.reverted++
		}
		r.seen[host] = revision
		slowest = min(slowest, revision)
	}
	for revision := slowest; revision > 0; revision-- {
		if _, known := r.inForce[revision]; known {
			break
		}
		r.inForce[revision] = now.Sub(r.accepted[revision])
	}
	r.world.After(m7Step, r.look)
}

// row formats the figures.
func (r *m7Run) row() []string {
	counts := make(map[effect.StatementOutcome]int)
	for _, change := range r.changes {
		counts[change.outcome]++
	}
	var times []time.Duration
	over := 0
	for revision := range r.accepted {
		elapsed, reached := r.inForce[revision]
		if !reached || elapsed > m7Target {
			over++
		}
		times = append(times, elapsed)
	}
	slices.Sort(times)
	return []string{
		fmt.Sprint(len(r.changes)),
		fmt.Sprint(counts[effect.Accepted]),
		fmt.Sprint(counts[effect.NotAccepted]),
		fmt.Sprint(r.unknown),
		fmt.Sprint(counts[effect.ChangeUnknown]),
		fmt.Sprint(r.untrue()),
		fmt.Sprint(r.reverted),
		fmt.Sprint(r.fences()),
		fmt.Sprint(times[len(times)/2].Milliseconds()),
		fmt.Sprint(times[len(times)-1].Milliseconds()),
		fmt.Sprint(over),
	}
}

// untrue counts the changes whose outcome was not what the log holds.
func (r *m7Run) untrue() int {
	users := r.world.State(r.world.Hosts()[0]).Config().Users
	count := 0
	for _, change := range r.changes {
		user := model.UserID("o" + string(change.id[len("m7-"):]))
		present := slices.ContainsFunc(users, func(u model.User) bool { return u.ID == user })
		told := change.outcome == effect.Accepted
		if change.outcome != effect.ChangeUnknown && told != present {
			count++
		}
	}
	return count
}

// fences counts the entries that only occupy their revisions.
func (r *m7Run) fences() int {
	count := 0
	for _, entry := range r.world.State(r.world.Hosts()[0]).Log() {
		if entry.IsFence() && entry.Change == "" {
			count++
		}
	}
	return count
}

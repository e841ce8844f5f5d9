package experiment

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/experiment/lab"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
)

// The sizes and times of experiment M6: the demo's services on four nodes.
const (
	m6Hosts = 4
	// m6Rate is in requests a second; three in four search all counters, the
	// others are orders.
	m6Rate     = 200
	m6Duration = 60 * time.Second
	m6Drain    = 5 * time.Second
	// m6CrashEvery is how many requests there are to one that crashes upstreams.
	m6CrashEvery = 1000
	// m6Resends is how often its caller sends it again, m6ResendWait after each
	// outcome.
	m6Resends    = 5
	m6ResendWait = 200 * time.Millisecond
	// m6Contents is the number of innocent contents that come again; as many
	// requests have a content of their own.
	m6Contents = 500
	// m6LossEvery is the mean time between two losses of upstreams that no
	// request causes, m6LossTime how long each lasts.
	m6LossEvery = 500 * time.Millisecond
	m6LossTime  = 2 * time.Second
	// m6Target is the most upstreams that one fingerprint may crash.
	m6Target = 2
)

// m6Situation is one run of the experiment.
type m6Situation struct {
	name string
	// crashing requests are sent; losses happen without a request's fault.
	crashing, losses bool
	tune             func(*reducer.Settings)
}

// m6Policy is one way to deal with crashing requests.
type m6Policy struct {
	name string
	tune func(*reducer.Settings)
}

// crashes is experiment M6.
func crashes() Experiment {
	return Experiment{
		Name:    "m6-crashes",
		Summary: "one request in 1,000 crashes each upstream that runs it and is sent again five times",
		Run:     runCrashes,
	}
}

// runCrashes measures plain retries beside the quarantine, with crashing
// requests, with upstreams that are lost at random, and with both.
func runCrashes(seed uint64) (Report, error) {
	plain := func(s *reducer.Settings) {
		s.Quarantine.Off = true
		s.Query.NoProbe = true
	}
	scatter := func(s *reducer.Settings) { s.Query.NoProbe = true }
	policies := []m6Policy{{"plain retry", plain}, {"quarantine, scatter at once", scatter}, {"quarantine, canary first", nil}}
	faults := []m6Situation{
		{name: "no fault"},
		{name: "crashing", crashing: true},
		{name: "random losses", losses: true},
		{name: "both", crashing: true, losses: true},
	}
	report := Report{
		Columns: []string{
			"fault", "policy", "crashing contents", "crashes", "most by a fingerprint", "most by one send",
			"innocent requests", "answered %", "whole %", "unknown", "not run", "convicted innocents", "p50 ms", "p99 ms",
		},
		Notes: []string{
			fmt.Sprintf("Targets: at most %d upstream crashes a fingerprint (service and content); a wide search takes down no more than its canary and one more; no innocent convicted.", m6Target),
			fmt.Sprintf("%d requests/s for %v, a quarter of them orders; random losses: one upstream every %v on average, for %v.", m6Rate, m6Duration, m6LossEvery, m6LossTime),
		},
	}
	for _, situation := range faults {
		for _, policy := range policies {
			situation.tune = policy.tune
			run, err := runM6(seed, situation)
			if err != nil {
				return Report{}, fmt.Errorf("%s, %s: %w", situation.name, policy.name, err)
			}
			report.Rows = append(report.Rows, run.row(situation.name, policy.name))
		}
	}
	return report, nil
}

// m6Run is the load of one situation and what came of it.
type m6Run struct {
	cluster  *lab.Cluster
	random   *rand.Rand
	number   int
	crashing int
	latency  *hdrhistogram.Histogram

	sent, answered, whole, unknown, notRun, convicted int
	// mostBySend is the most upstreams that one send of a crashing request took
	// down.
	mostBySend int
}

// crashMark is in the content of each crashing request.
var crashMark = []byte("crash")

// runM6 plays one situation.
func runM6(seed uint64, situation m6Situation) (*m6Run, error) {
	cluster, err := lab.StartDeployment(seed, m6Hosts, deployment.Demo(), situation.tune)
	if err != nil {
		return nil, err
	}
	run := &m6Run{
		cluster: cluster,
		random:  rand.New(rand.NewPCG(seed, 0x6)),
		latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	for _, u := range cluster.Upstreams() {
		u.Crashes = func(body []byte) bool { return bytes.Contains(body, crashMark) }
	}
	end := cluster.Now().Add(m6Duration)
	run.schedule(end, situation.crashing)
	if situation.losses {
		run.scheduleLosses(end)
	}
	cluster.RunFor(m6Duration + m6Drain)
	return run, nil
}

// schedule sends requests at random times until the end.
func (r *m6Run) schedule(end model.Instant, crashing bool) {
	if !r.cluster.Now().Before(end) {
		return
	}
	r.number++
	if crashing && r.number%m6CrashEvery == m6CrashEvery/2 {
		r.crashing++
		r.sendCrashing(fmt.Appendf(nil, `"crash %d"`, r.crashing), r.crashing%4 == 0, m6Resends)
	} else {
		r.sendInnocent()
	}
	gap := time.Duration(r.random.ExpFloat64() / m6Rate * float64(time.Second))
	r.cluster.After(gap, func() { r.schedule(end, crashing) })
}

// scheduleLosses ends upstreams at random times.
func (r *m6Run) scheduleLosses(end model.Instant) {
	if !r.cluster.Now().Before(end) {
		return
	}
	upstreams := r.cluster.Upstreams()
	lost := upstreams[r.random.IntN(len(upstreams))]
	if !lost.Down {
		lost.Crash(m6LossTime)
	}
	gap := time.Duration(r.random.ExpFloat64() * float64(m6LossEvery))
	r.cluster.After(gap, func() { r.scheduleLosses(end) })
}

// send sends a search or an order to a random node. An order goes under a new
// session's identifier, as a caller would that asks again.
func (r *m6Run) send(content []byte, order bool, reply func(model.Answer)) {
	hosts := r.cluster.Hosts()
	host := hosts[r.random.IntN(len(hosts))]
	if !order {
		r.cluster.Search(host, event.Search{Services: []string{"counter-*"}, Query: content}, reply)
		return
	}
	r.cluster.Entry(host, "print-room", func(entry effect.ReplyEntry) {
		id := model.RequestID{Session: entry.Session, Sequence: 1}
		r.cluster.Order(host, event.Order{RequestID: id, Service: "print-room", Body: content}, reply)
	})
}

// sendCrashing sends a crashing request and, after its outcome, again.
func (r *m6Run) sendCrashing(content []byte, order bool, resends int) {
	before := r.crashesBy(content)
	r.send(content, order, func(model.Answer) {
		r.cluster.After(m6ResendWait, func() {
			r.mostBySend = max(r.mostBySend, r.crashesBy(content)-before)
			if resends > 0 {
				r.sendCrashing(content, order, resends-1)
			}
		})
	})
}

// crashesBy counts the upstreams that a content has crashed.
func (r *m6Run) crashesBy(content []byte) int {
	n := 0
	for _, u := range r.cluster.Upstreams() {
		for i := range u.Runs {
			if bytes.Equal(u.Runs[i].Body, content) {
				n++
			}
		}
	}
	return n
}

// sendInnocent sends a request that crashes nothing.
func (r *m6Run) sendInnocent() {
	content := fmt.Appendf(nil, `"verse %d"`, r.random.IntN(m6Contents))
	if r.random.IntN(2) == 0 {
		content = fmt.Appendf(nil, `"new verse %d"`, r.number)
	}
	begin := r.cluster.Now()
	r.sent++
	r.send(content, r.random.IntN(4) == 0, func(answer model.Answer) {
		r.add(answer, r.cluster.Now().Sub(begin))
	})
}

// add counts the answer to an innocent request.
func (r *m6Run) add(answer model.Answer, latency time.Duration) {
	if answer.Outcome == model.NotRun && answer.Failure.Code == model.CodeQuarantined {
		r.convicted++
	}
	switch answer.Outcome {
	case model.Answered:
		r.answered++
		if answer.Coverage == nil || answer.Coverage.Complete() {
			r.whole++
		}
		// Latencies are far below the histogram's highest value.
		_ = r.latency.RecordValue(max(1, latency.Microseconds()))
	case model.Unknown:
		r.unknown++
	default:
		r.notRun++
	}
}

// m6Key is one fingerprint: a service and a content.
type m6Key struct {
	service model.ServiceName
	content string
}

// crashCounts returns all crashes by requests, and the most by one fingerprint.
func (r *m6Run) crashCounts() (all, most int) {
	counts := make(map[m6Key]int)
	for _, u := range r.cluster.Upstreams() {
		for i := range u.Runs {
			if !bytes.Contains(u.Runs[i].Body, crashMark) {
				continue
			}
			key := m6Key{u.ID.Service(), string(u.Runs[i].Body)}
			counts[key]++
			all++
			most = max(most, counts[key])
		}
	}
	return all, most
}

// row formats the result.
func (r *m6Run) row(fault, policy string) []string {
	all, most := r.crashCounts()
	percent := func(n int) string { return fmt.Sprintf("%.3f", 100*float64(n)/float64(r.sent)) }
	quantile := func(q float64) string {
		return milliseconds(time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond)
	}
	return []string{
		fault, policy, fmt.Sprint(r.crashing), fmt.Sprint(all), fmt.Sprint(most), fmt.Sprint(r.mostBySend),
		fmt.Sprint(r.sent), percent(r.answered), percent(r.whole), fmt.Sprint(r.unknown), fmt.Sprint(r.notRun),
		fmt.Sprint(r.convicted), quantile(50), quantile(99),
	}
}

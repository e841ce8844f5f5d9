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

// Parameters of experiment M6, which runs the demo's services on four nodes.
const (
	m6Hosts = 4
	// m6RequestRate is in requests per second. Three in four are searches of all
	// counter services, the others are orders.
	m6RequestRate = 200
	m6Duration    = 60 * time.Second
	m6Drain       = 5 * time.Second
	// m6RequestsPerCrash is the number of requests among which one crashes upstreams.
	m6RequestsPerCrash = 1000
	// m6ResendCount is how many times the caller of a crashing request sends it
	// again, each time m6ResendDelay after the outcome.
	m6ResendCount = 5
	m6ResendDelay = 200 * time.Millisecond
	// m6RepeatedContents is the number of contents that innocent requests repeat.
	// Half of the innocent requests draw one of them, the others have a unique
	// content.
	m6RepeatedContents = 500
	// m6MeanLossInterval is the mean time between two losses of upstreams that no
	// request causes, and m6LossDuration how long each lasts.
	m6MeanLossInterval = 500 * time.Millisecond
	m6LossDuration     = 2 * time.Second
	// m6MaxCrashes is the maximum number of upstreams that one fingerprint may
	// crash.
	m6MaxCrashes = 2
)

// m6Scenario is a combination of faults and settings.
type m6Scenario struct {
	name string
	// crashing adds requests that crash upstreams; losses adds crashes that no
	// request causes.
	crashing, losses bool
	tune             func(*reducer.Settings)
}

// m6Policy is a policy for handling crashing requests.
type m6Policy struct {
	name string
	tune func(*reducer.Settings)
}

// crashesExperiment returns experiment M6, which measures the effect of requests that
// crash upstreams.
func crashesExperiment() Experiment {
	return Experiment{
		Name:    "m6-crashes",
		Summary: "one request in 1,000 crashes each upstream that runs it and is sent again five times",
		Run:     runCrashes,
	}
}

// runCrashes compares plain retries with two variants of the quarantine, each without
// a fault, with crashing requests, with random losses of upstreams, and with both.
func runCrashes(seed uint64) (Report, error) {
	plain := func(s *reducer.Settings) {
		s.Quarantine.Disabled = true
		s.Query.NoCanary = true
	}
	scatter := func(s *reducer.Settings) { s.Query.NoCanary = true }
	policies := []m6Policy{{"plain retry", plain}, {"quarantine, scatter at once", scatter}, {"quarantine, canary first", nil}}
	scenarios := []m6Scenario{
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
			fmt.Sprintf("Targets: at most %d upstream crashes a fingerprint (service and content); a wide search takes down no more than its canary and one more; no innocent convicted.", m6MaxCrashes),
			fmt.Sprintf("%d requests/s for %v, a quarter of them orders; random losses: one upstream every %v on average, for %v.", m6RequestRate, m6Duration, m6MeanLossInterval, m6LossDuration),
		},
	}
	for _, scenario := range scenarios {
		for _, policy := range policies {
			scenario.tune = policy.tune
			run, err := runM6(seed, scenario)
			if err != nil {
				return Report{}, fmt.Errorf("%s, %s: %w", scenario.name, policy.name, err)
			}
			report.Rows = append(report.Rows, run.row(scenario.name, policy.name))
		}
	}
	return report, nil
}

// m6Run is the load of one scenario and its results.
type m6Run struct {
	cluster          *lab.Cluster
	random           *rand.Rand
	requestCount     int
	crashingContents int
	latency          *hdrhistogram.Histogram

	sent, answered, complete, unknown, notRun, blocked int
	// maxPerSend is the maximum number of upstreams that one send of a crashing
	// request crashed.
	maxPerSend int
}

// crashMarker is contained in the body of each crashing request.
var crashMarker = []byte("crash")

// runM6 runs a scenario.
func runM6(seed uint64, scenario m6Scenario) (*m6Run, error) {
	cluster, err := lab.StartDeployment(seed, m6Hosts, deployment.Demo(), scenario.tune)
	if err != nil {
		return nil, err
	}
	run := &m6Run{
		cluster: cluster,
		random:  rand.New(rand.NewPCG(seed, 0x6)),
		latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	for _, u := range cluster.Upstreams() {
		u.Crashes = func(body []byte) bool { return bytes.Contains(body, crashMarker) }
	}
	end := cluster.Now().Add(m6Duration)
	run.schedule(end, scenario.crashing)
	if scenario.losses {
		run.scheduleLosses(end)
	}
	cluster.RunFor(m6Duration + m6Drain)
	return run, nil
}

// schedule sends a request and schedules the next one at a random time, until end.
func (r *m6Run) schedule(end model.Instant, crashing bool) {
	if !r.cluster.Now().Before(end) {
		return
	}
	r.requestCount++
	if crashing && r.requestCount%m6RequestsPerCrash == m6RequestsPerCrash/2 {
		r.crashingContents++
		r.sendCrashing(fmt.Appendf(nil, `"crash %d"`, r.crashingContents), r.crashingContents%4 == 0, m6ResendCount)
	} else {
		r.sendInnocent()
	}
	gap := time.Duration(r.random.ExpFloat64() / m6RequestRate * float64(time.Second))
	r.cluster.After(gap, func() { r.schedule(end, crashing) })
}

// scheduleLosses crashes a random upstream and schedules the next loss at a random
// time, until end.
func (r *m6Run) scheduleLosses(end model.Instant) {
	if !r.cluster.Now().Before(end) {
		return
	}
	upstreams := r.cluster.Upstreams()
	lost := upstreams[r.random.IntN(len(upstreams))]
	if !lost.Down {
		lost.Crash(m6LossDuration)
	}
	gap := time.Duration(r.random.ExpFloat64() * float64(m6MeanLossInterval))
	r.cluster.After(gap, func() { r.scheduleLosses(end) })
}

// send sends a search or an order to a random node. Each order uses a newly issued
// session, as a caller that retries would.
func (r *m6Run) send(content []byte, isOrder bool, reply func(model.Answer)) {
	hosts := r.cluster.Hosts()
	host := hosts[r.random.IntN(len(hosts))]
	if !isOrder {
		r.cluster.Search(host, event.Search{Services: []string{"counter-*"}, Query: content}, reply)
		return
	}
	r.cluster.Entry(host, "print-room", func(entry effect.ReplyEntry) {
		id := model.RequestID{Session: entry.Session, Sequence: 1}
		r.cluster.Order(host, event.Order{RequestID: id, Service: "print-room", Body: content}, reply)
	})
}

// sendCrashing sends a crashing request and sends it again after each outcome, up to
// the given number of times.
func (r *m6Run) sendCrashing(content []byte, isOrder bool, resends int) {
	before := r.countCrashesBy(content)
	r.send(content, isOrder, func(model.Answer) {
		r.cluster.After(m6ResendDelay, func() {
			r.maxPerSend = max(r.maxPerSend, r.countCrashesBy(content)-before)
			if resends > 0 {
				r.sendCrashing(content, isOrder, resends-1)
			}
		})
	})
}

// countCrashesBy returns the number of upstream crashes that a crashing content has
// caused. Every run of such a content crashes its upstream, so it counts the runs.
func (r *m6Run) countCrashesBy(content []byte) int {
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

// sendInnocent sends a request that does not crash upstreams.
func (r *m6Run) sendInnocent() {
	content := fmt.Appendf(nil, `"verse %d"`, r.random.IntN(m6RepeatedContents))
	if r.random.IntN(2) == 0 {
		content = fmt.Appendf(nil, `"new verse %d"`, r.requestCount)
	}
	begin := r.cluster.Now()
	r.sent++
	r.send(content, r.random.IntN(4) == 0, func(answer model.Answer) {
		r.recordAnswer(answer, r.cluster.Now().Sub(begin))
	})
}

// recordAnswer counts the answer to an innocent request.
func (r *m6Run) recordAnswer(answer model.Answer, latency time.Duration) {
	if answer.Outcome == model.NotRun && answer.Failure.Code == model.CodeQuarantined {
		r.blocked++
	}
	switch answer.Outcome {
	case model.Answered:
		r.answered++
		if answer.Coverage == nil || answer.Coverage.Complete() {
			r.complete++
		}
		// RecordValue fails only for latencies above the histogram's maximum of one
		// minute, which do not occur.
		_ = r.latency.RecordValue(max(1, latency.Microseconds()))
	case model.Unknown:
		r.unknown++
	default:
		r.notRun++
	}
}

// m6Fingerprint identifies requests with the same service and content.
type m6Fingerprint struct {
	service model.ServiceName
	content string
}

// countCrashes returns the number of crashes caused by requests: the total and the
// maximum for one fingerprint.
func (r *m6Run) countCrashes() (total, maxPerFingerprint int) {
	counts := make(map[m6Fingerprint]int)
	for _, u := range r.cluster.Upstreams() {
		for i := range u.Runs {
			if !bytes.Contains(u.Runs[i].Body, crashMarker) {
				continue
			}
			key := m6Fingerprint{u.ID.Service(), string(u.Runs[i].Body)}
			counts[key]++
			total++
			maxPerFingerprint = max(maxPerFingerprint, counts[key])
		}
	}
	return total, maxPerFingerprint
}

// row formats the result as a row of the report.
func (r *m6Run) row(fault, policy string) []string {
	total, maxPerFingerprint := r.countCrashes()
	percent := func(n int) string { return fmt.Sprintf("%.3f", 100*float64(n)/float64(r.sent)) }
	quantile := func(q float64) string {
		return milliseconds(time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond)
	}
	return []string{
		fault, policy, fmt.Sprint(r.crashingContents), fmt.Sprint(total), fmt.Sprint(maxPerFingerprint), fmt.Sprint(r.maxPerSend),
		fmt.Sprint(r.sent), percent(r.answered), percent(r.complete), fmt.Sprint(r.unknown), fmt.Sprint(r.notRun),
		fmt.Sprint(r.blocked), quantile(50), quantile(99),
	}
}

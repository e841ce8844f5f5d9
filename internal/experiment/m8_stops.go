package experiment

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/experiment/lab"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// Parameters of experiment M8, which runs the demo's services on four nodes.
const (
	m8Hosts   = 4
	m8Callers = 60
	// m8MeanThinkTime is the mean time between two requests of one caller.
	m8MeanThinkTime = 200 * time.Millisecond
	// m8Pause is the time between the restart of one node and the stop of the next,
	// and m8RestartDelay the time from the exit of a node to its restart.
	m8Pause        = 3 * time.Second
	m8RestartDelay = 1 * time.Second
	// m8StopTimeout limits the wait for the exit of a node.
	m8StopTimeout = 40 * time.Second
	// m8ObservationTime is how long the load continues after an upstream starts to
	// leave.
	m8ObservationTime = 5 * time.Second
	// m8MaxNewWorkTime is the target for the time after which a leaving upstream
	// gets no new work.
	m8MaxNewWorkTime = 2 * time.Second
)

// stopsExperiment returns experiment M8, which measures rolling restarts and leaving
// upstreams.
func stopsExperiment() Experiment {
	return Experiment{
		Name:    "m8-stops",
		Summary: "rolling restart of four nodes under load, and upstreams that leave",
		Run:     runStops,
	}
}

// runStops restarts all nodes one after the other, first by kills and then by graceful
// shutdowns. It then makes an upstream leave with each kind of notice.
func runStops(seed uint64) (Report, error) {
	report := Report{
		Columns: []string{"situation", "requests", "answered", "not run", "unknown", "without reply", "refused connections", "run twice", "longest stop s", "new work until ms"},
		Notes: []string{
			fmt.Sprintf("Targets: with planned stops no request is cut (unknown or without reply) or run twice; a leaving upstream gets no new work after %v.", m8MaxNewWorkTime),
			fmt.Sprintf("%d callers that keep an entry answer for its time-to-live and a session until its outcomes are lost, one request every %v each; half of the requests are orders.", m8Callers, m8MeanThinkTime),
		},
	}
	for _, graceful := range []bool{false, true} {
		row, err := measureRollingRestart(seed, graceful)
		if err != nil {
			return Report{}, err
		}
		report.Rows = append(report.Rows, row)
	}
	for _, notice := range []leavingNotice{byReply, byStatement, byHostList} {
		row, err := measureLeavingUpstream(seed, notice)
		if err != nil {
			return Report{}, err
		}
		report.Rows = append(report.Rows, row)
	}
	return report, nil
}

// m8Counts counts the requests of the callers by outcome.
type m8Counts struct {
	sent, answered, notRun, unknown, refusedConnections int
}

// m8Caller is a caller that keeps an entry reply and a session.
type m8Caller struct {
	cluster           *lab.Cluster
	random            *rand.Rand
	counts            *m8Counts
	stopped           *bool
	addresses         []model.HostID
	addressesExpireAt model.Instant
	session           model.SessionID
	sequence          uint64
}

// startCallers starts the load, which ends when *stopped is set.
func startCallers(cluster *lab.Cluster, seed uint64, counts *m8Counts, stopped *bool) {
	for n := range m8Callers {
		c := &m8Caller{cluster: cluster, random: rand.New(rand.NewPCG(seed, uint64(n))), counts: counts, stopped: stopped}
		cluster.After(time.Duration(c.random.Int64N(int64(m8MeanThinkTime))), c.sendNext)
	}
}

// sendNext schedules the next call of itself and sends a request. If the cached
// addresses have expired, it refreshes them instead.
func (c *m8Caller) sendNext() {
	if *c.stopped {
		return
	}
	c.cluster.After(time.Duration(c.random.ExpFloat64()*float64(m8MeanThinkTime)), c.sendNext)
	if c.cluster.Now() >= c.addressesExpireAt {
		c.refreshAddresses()
		return
	}
	if c.random.IntN(2) == 0 {
		c.search()
		return
	}
	c.order()
}

// refreshAddresses asks the first running node, starting with the cached addresses,
// for an entry reply.
func (c *m8Caller) refreshAddresses() {
	hosts := append(append([]model.HostID{}, c.addresses...), c.cluster.Hosts()...)
	for _, host := range hosts {
		if !c.cluster.Alive(host) {
			continue
		}
		c.cluster.Entry(host, "print-room", func(reply effect.ReplyEntry) {
			c.addresses = nil
			for _, a := range reply.Addresses {
				c.addresses = append(c.addresses, a.Host)
			}
			c.addressesExpireAt = c.cluster.Now().Add(reply.TTL)
			if c.session.IsZero() {
				c.session = reply.Session
			}
		})
		return
	}
}

// randomHost returns a random host of the cached addresses. It returns false, and
// counts a refused connection, if the node on that host is not running.
func (c *m8Caller) randomHost() (model.HostID, bool) {
	if len(c.addresses) == 0 {
		return "", false
	}
	host := c.addresses[c.random.IntN(len(c.addresses))]
	if !c.cluster.Alive(host) {
		c.counts.refusedConnections++
		return "", false
	}
	return host, true
}

// search sends a search of all counter services.
func (c *m8Caller) search() {
	host, ok := c.randomHost()
	if !ok {
		return
	}
	c.counts.sent++
	e := event.Search{Services: []string{"counter-*"}, Query: []byte(`"verse"`)}
	c.cluster.Search(host, e, c.counts.add)
}

// order sends the next order of the session. If its outcome is lost, the caller drops
// the session and lets the cached addresses expire.
func (c *m8Caller) order() {
	host, ok := c.randomHost()
	if !ok || c.session.IsZero() {
		return
	}
	c.counts.sent++
	c.sequence++
	body, err := json.Marshal(fmt.Sprintf("card %d of %s", c.sequence, c.session))
	if err != nil {
		return
	}
	c.cluster.Order(host, event.Order{
		RequestID: model.RequestID{Session: c.session, Sequence: c.sequence},
		Service:   "print-room",
		Body:      body,
	}, func(answer model.Answer) {
		c.counts.add(answer)
		if answer.Failure != nil && answer.Failure.Code == model.CodeOutcomeLost {
			c.session = model.SessionID{}
			c.addressesExpireAt = 0
		}
	})
}

// add counts an answer by its outcome.
func (m *m8Counts) add(answer model.Answer) {
	switch answer.Outcome {
	case model.Answered:
		m.answered++
	case model.NotRun:
		m.notRun++
	default:
		m.unknown++
	}
}

// measureRollingRestart restarts all nodes one after the other under load.
func measureRollingRestart(seed uint64, graceful bool) ([]string, error) {
	cluster, err := lab.StartDeployment(seed, m8Hosts, deployment.Demo(), nil)
	if err != nil {
		return nil, fmt.Errorf("rolling restart: %w", err)
	}
	var counts m8Counts
	stopped := false
	startCallers(cluster, seed, &counts, &stopped)
	cluster.RunFor(m8Pause)
	longest := time.Duration(0)
	for _, host := range cluster.Hosts() {
		longest = max(longest, restart(cluster, host, graceful))
		cluster.RunFor(m8Pause)
	}
	stopped = true
	cluster.RunFor(m8Pause)
	name := "rolling restart, nodes killed"
	if graceful {
		name = "rolling restart, planned stops"
	}
	return m8Row(name, cluster, &counts, longest.Seconds(), 0), nil
}

// restart stops a node, gracefully or by a kill, and starts it again. It returns the
// time that the stop took.
func restart(cluster *lab.Cluster, host model.HostID, graceful bool) time.Duration {
	begin := cluster.Now()
	if graceful {
		cluster.Stop(host)
	} else {
		cluster.Kill(host)
	}
	for cluster.Alive(host) && cluster.Now().Sub(begin) < m8StopTimeout {
		cluster.RunFor(10 * time.Millisecond)
	}
	took := cluster.Now().Sub(begin)
	cluster.RunFor(m8RestartDelay)
	cluster.Restart(host)
	return took
}

// countRunTwice returns the number of orders that ran more than once.
func countRunTwice(cluster *lab.Cluster) int {
	runs := make(map[model.RequestID]int)
	twice := 0
	for _, u := range cluster.Upstreams() {
		for _, r := range u.Runs {
			if r.RequestID.IsZero() {
				continue
			}
			runs[r.RequestID]++
			if runs[r.RequestID] == 2 {
				twice++
			}
		}
	}
	return twice
}

// m8Row formats a result as a row of the report.
func m8Row(name string, cluster *lab.Cluster, m *m8Counts, stopSeconds, newWorkMillis float64) []string {
	return []string{
		name, fmt.Sprint(m.sent), fmt.Sprint(m.answered), fmt.Sprint(m.notRun), fmt.Sprint(m.unknown),
		fmt.Sprint(m.sent - m.answered - m.notRun - m.unknown), fmt.Sprint(m.refusedConnections),
		fmt.Sprint(countRunTwice(cluster)), fmt.Sprintf("%.1f", stopSeconds), fmt.Sprintf("%.0f", newWorkMillis),
	}
}

// leavingNotice is the way in which nodes are notified that an upstream leaves.
type leavingNotice string

// The kinds of notice.
const (
	byReply     leavingNotice = "reply"
	byStatement leavingNotice = "statement"
	byHostList  leavingNotice = "host list"
)

// measureLeavingUpstream makes a print-room upstream leave under load and measures how
// long it gets new work.
func measureLeavingUpstream(seed uint64, notice leavingNotice) ([]string, error) {
	cluster, err := lab.StartDeployment(seed, m8Hosts, deployment.Demo(), nil)
	if err != nil {
		return nil, fmt.Errorf("leaving upstream: %w", err)
	}
	var counts m8Counts
	stopped := false
	startCallers(cluster, seed, &counts, &stopped)
	cluster.RunFor(m8Pause)
	leaving := cluster.Upstream("print-room/u1")
	begin := cluster.Now()
	announceLeaving(cluster, notice, leaving)
	cluster.RunFor(m8ObservationTime)
	stopped = true
	cluster.RunFor(m8Pause)
	last := time.Duration(0)
	for _, r := range leaving.Runs {
		last = max(last, r.At.Sub(begin))
	}
	return m8Row("upstream leaves, told by "+string(notice), cluster, &counts, 0, float64(last.Milliseconds())), nil
}

// announceLeaving gives notice that an upstream leaves.
func announceLeaving(cluster *lab.Cluster, notice leavingNotice, leaving *virtual.Upstream) {
	switch notice {
	case byReply:
		leaving.Draining = true
	case byStatement:
		text := "drain upstream " + string(leaving.ID)
		cluster.Statement(cluster.Hosts()[0], event.Statement{Text: text}, func(effect.StatementResult) {})
	case byHostList:
		cluster.SetDrainingUpstreams([]model.UpstreamID{leaving.ID})
	}
}

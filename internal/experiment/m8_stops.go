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

// The sizes and times of experiment M8: the demo's services on four nodes.
const (
	m8Hosts   = 4
	m8Callers = 60
	// m8Think is the mean time between two requests of one caller.
	m8Think = 200 * time.Millisecond
	// m8Pause is the time between the return of one node and the stop of the
	// next, and the time that a stopped node takes to return.
	m8Pause  = 3 * time.Second
	m8Return = 1 * time.Second
	// m8MaxStop bounds the wait for one node's exit.
	m8MaxStop = 40 * time.Second
	m8Drain   = 5 * time.Second
	// m8Target is the longest time in which a leaving upstream may get new work.
	m8Target = 2 * time.Second
)

// stops is experiment M8.
func stops() Experiment {
	return Experiment{
		Name:    "m8-stops",
		Summary: "rolling restart of four nodes under load, and upstreams that leave",
		Run:     runStops,
	}
}

// runStops restarts all nodes one after the other, by planned stops and by
// kills, and then lets upstreams leave by each sign.
func runStops(seed uint64) (Report, error) {
	report := Report{
		Columns: []string{"situation", "requests", "answered", "not run", "unknown", "without reply", "refused connections", "run twice", "longest stop s", "new work until ms"},
		Notes: []string{
			fmt.Sprintf("Targets: with planned stops no request is cut (unknown or without reply) or run twice; a leaving upstream gets no new work after %v.", m8Target),
			fmt.Sprintf("%d callers that keep an entry answer for its time-to-live and a session until its outcomes are lost, one request every %v each; half of the requests are orders.", m8Callers, m8Think),
		},
	}
	for _, planned := range []bool{false, true} {
		row, err := rollingRestart(seed, planned)
		if err != nil {
			return Report{}, err
		}
		report.Rows = append(report.Rows, row)
	}
	for _, sign := range []leavingSign{byReply, byStatement, byHostList} {
		row, err := leavingUpstream(seed, sign)
		if err != nil {
			return Report{}, err
		}
		report.Rows = append(report.Rows, row)
	}
	return report, nil
}

// m8Counts is what the callers saw.
type m8Counts struct {
	sent, answered, notRun, unknown, refused int
}

// m8Caller is one caller with a session.
type m8Caller struct {
	cluster   *lab.Cluster
	random    *rand.Rand
	counts    *m8Counts
	stopped   *bool
	addresses []model.HostID
	validTo   model.Instant
	session   model.SessionID
	sequence  uint64
}

// startCallers begins the load; it ends when *stopped is set.
func startCallers(cluster *lab.Cluster, seed uint64, counts *m8Counts, stopped *bool) {
	for n := range m8Callers {
		c := &m8Caller{cluster: cluster, random: rand.New(rand.NewPCG(seed, uint64(n))), counts: counts, stopped: stopped}
		cluster.After(time.Duration(c.random.Int64N(int64(m8Think))), c.step)
	}
}

// step sends one request, after asking for addresses when the kept ones have run
// out.
func (c *m8Caller) step() {
	if *c.stopped {
		return
	}
	c.cluster.After(time.Duration(c.random.ExpFloat64()*float64(m8Think)), c.step)
	if c.cluster.Now() >= c.validTo {
		c.askEntry()
		return
	}
	if c.random.IntN(2) == 0 {
		c.search()
		return
	}
	c.order()
}

// askEntry asks the first live node it knows of.
func (c *m8Caller) askEntry() {
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
			c.validTo = c.cluster.Now().Add(reply.TTL)
			if c.session.IsZero() {
				c.session = reply.Session
			}
		})
		return
	}
}

// host returns an address of the kept answer to use.
func (c *m8Caller) host() (model.HostID, bool) {
	if len(c.addresses) == 0 {
		return "", false
	}
	host := c.addresses[c.random.IntN(len(c.addresses))]
	if !c.cluster.Alive(host) {
		c.counts.refused++
		return "", false
	}
	return host, true
}

// search sends a search to all counters.
func (c *m8Caller) search() {
	host, ok := c.host()
	if !ok {
		return
	}
	c.counts.sent++
	e := event.Search{Services: []string{"counter-*"}, Query: []byte(`"verse"`)}
	c.cluster.Search(host, e, c.counts.add)
}

// order sends the next order of the session.
func (c *m8Caller) order() {
	host, ok := c.host()
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
			c.validTo = 0
		}
	})
}

// add counts an answer.
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

// rollingRestart restarts all nodes under load.
func rollingRestart(seed uint64, planned bool) ([]string, error) {
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
		longest = max(longest, restart(cluster, host, planned))
		cluster.RunFor(m8Pause)
	}
	stopped = true
	cluster.RunFor(m8Pause)
	name := "rolling restart, nodes killed"
	if planned {
		name = "rolling restart, planned stops"
	}
	return m8Row(name, cluster, &counts, longest.Seconds(), 0), nil
}

// restart ends a node and starts it again; it returns how long the end took.
func restart(cluster *lab.Cluster, host model.HostID, planned bool) time.Duration {
	begin := cluster.Now()
	if planned {
		cluster.Stop(host)
	} else {
		cluster.Kill(host)
	}
	for cluster.Alive(host) && cluster.Now().Sub(begin) < m8MaxStop {
		cluster.RunFor(10 * time.Millisecond)
	}
	took := cluster.Now().Sub(begin)
	cluster.RunFor(m8Return)
	cluster.Restart(host)
	return took
}

// ranTwice counts the orders that ran more than once.
func ranTwice(cluster *lab.Cluster) int {
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

// m8Row formats one result.
func m8Row(name string, cluster *lab.Cluster, m *m8Counts, stopSeconds, newWork float64) []string {
	return []string{
		name, fmt.Sprint(m.sent), fmt.Sprint(m.answered), fmt.Sprint(m.notRun), fmt.Sprint(m.unknown),
		fmt.Sprint(m.sent - m.answered - m.notRun - m.unknown), fmt.Sprint(m.refused),
		fmt.Sprint(ranTwice(cluster)), fmt.Sprintf("%.1f", stopSeconds), fmt.Sprintf("%.0f", newWork),
	}
}

// leavingSign is how the nodes learn that an upstream leaves.
type leavingSign string

// The signs.
const (
	byReply     leavingSign = "reply"
	byStatement leavingSign = "statement"
	byHostList  leavingSign = "host list"
)

// leavingUpstream lets one print-room upstream leave under load and measures how
// long it gets new work.
func leavingUpstream(seed uint64, sign leavingSign) ([]string, error) {
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
	announce(cluster, sign, leaving)
	cluster.RunFor(m8Drain)
	stopped = true
	cluster.RunFor(m8Pause)
	last := time.Duration(0)
	for _, r := range leaving.Runs {
		last = max(last, r.At.Sub(begin))
	}
	return m8Row("upstream leaves, told by "+string(sign), cluster, &counts, 0, float64(last.Milliseconds())), nil
}

// announce gives the sign that an upstream leaves.
func announce(cluster *lab.Cluster, sign leavingSign, leaving *virtual.Upstream) {
	switch sign {
	case byReply:
		leaving.Draining = true
	case byStatement:
		text := "drain upstream " + string(leaving.ID)
		cluster.Statement(cluster.Hosts()[0], event.Statement{Text: text}, func(effect.StatementResult) {})
	case byHostList:
		cluster.SetUpstreamsLeaving([]model.UpstreamID{leaving.ID})
	}
}

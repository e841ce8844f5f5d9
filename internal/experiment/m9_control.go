package experiment

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// Parameters of experiment M9.
const (
	m9Warmup   = 60 * time.Second
	m9Duration = 30 * time.Second
	// m9NotReached is reported for an event that did not occur in the time for one
	// change, m9Duration / m9Changes, which it exceeds.
	m9NotReached   = 10 * time.Second
	m9PollInterval = 5 * time.Millisecond
	// m9Changes is the number of changes in the measured time. 15,000 changes per
	// day are 5.2 in 30 s.
	m9Changes           = 5
	m9MaxFailureDomains = 15
	// m9MessageOverhead is the overhead of gRPC, TLS and TCP/IP per message, in
	// bytes.
	m9MessageOverhead = 80
)

// Budget of a node for control traffic in a cluster of 3,300 nodes.
const (
	m9BytesPerSecondBudget = 10_000
	m9CPUBudget            = 15_000 // microseconds per second
	m9HeapBudgetKB         = 64 << 10
)

// m9Size is the size of the cluster of one row.
type m9Size struct{ nodes, services int }

// m9Figures holds the measurements of one cluster size.
type m9Figures struct {
	sentMessages   uint64
	sentBytes      uint64
	busiestBytes   uint64
	storeCalls     float64
	cpuTime        time.Duration
	heapBytes      uint64
	slowestInForce time.Duration
	slowestKnown   time.Duration
	revisionAges   []time.Duration
}

// controlExperiment returns experiment M9, which measures the cost of control traffic
// per node.
func controlExperiment() Experiment {
	return Experiment{
		Name:    "m9-control",
		Summary: "what control costs a node as nodes and upstreams grow",
		Run:     runControl,
	}
}

// runControl measures clusters of increasing size without upstreams, then 16 nodes
// with increasing numbers of upstreams.
func runControl(seed uint64) (Report, error) {
	report := Report{Columns: []string{
		"nodes", "upstreams", "messages/s", "bytes/s", "busiest bytes/s", "processor us/s", "heap KB",
		"store calls/s (all)", "slowest in force ms", "slowest known ms", "age p50 ms", "age max ms",
	}}
	sizes := []m9Size{{4, 0}, {16, 0}, {64, 0}, {256, 0}, {16, 16}, {16, 64}, {16, 256}}
	for _, size := range sizes {
		figures, err := measureControl(seed, size)
		if err != nil {
			return report, err
		}
		report.Rows = append(report.Rows, figures.row(size))
	}
	report.Notes = []string{
		fmt.Sprintf("budget of a node at 3,300 nodes: %d bytes/s, %d us of a core a second, %d KB", m9BytesPerSecondBudget, m9CPUBudget, m9HeapBudgetKB),
		fmt.Sprintf("bytes/s: sent and received by the mean node, each message with %d bytes for gRPC, TLS and TCP/IP", m9MessageOverhead),
		"processor: of the whole virtual run, harness included, so an upper bound; it and the heap differ from run to run",
		fmt.Sprintf("known: until the first node knows that all have the revision; %v means not within the time for one change", m9NotReached),
		"age: how old a node's knowledge of another host's revision is",
	}
	return report, nil
}

// row formats the measurements of one cluster size as a row of the report.
func (f m9Figures) row(size m9Size) []string {
	seconds := m9Duration.Seconds()
	perNode := func(total uint64) float64 { return float64(total) / seconds / float64(size.nodes) }
	slices.Sort(f.revisionAges)
	return []string{
		fmt.Sprint(size.nodes),
		fmt.Sprint(size.services * m9Shape.Upstreams),
		fmt.Sprintf("%.1f", perNode(f.sentMessages)),
		fmt.Sprintf("%.0f", 2*perNode(f.sentBytes)),
		fmt.Sprintf("%.0f", float64(f.busiestBytes)/seconds),
		fmt.Sprintf("%.0f", perNode(uint64(f.cpuTime.Microseconds()))),
		fmt.Sprint(f.heapBytes >> 10 / uint64(size.nodes)),
		fmt.Sprintf("%.1f", f.storeCalls/seconds),
		fmt.Sprint(f.slowestInForce.Milliseconds()),
		fmt.Sprint(f.slowestKnown.Milliseconds()),
		fmt.Sprint(f.revisionAges[len(f.revisionAges)/2].Milliseconds()),
		fmt.Sprint(f.revisionAges[len(f.revisionAges)-1].Milliseconds()),
	}
}

// m9Shape is the shape of each service, that of today's counter services.
var m9Shape = deployment.Shape{Upstreams: 3, Slots: 2, MaxConnections: 25, ServiceTime: time.Millisecond}

// measureControl runs a cluster size twice: once to count the messages, and once
// without counting to measure CPU time and memory.
func measureControl(seed uint64, size m9Size) (m9Figures, error) {
	meter := newControlMeter()
	metered, err := newControlRun(seed, size, meter.observe)
	if err != nil {
		return m9Figures{}, err
	}
	figures := metered.measure(func() { meter.reset() })
	meter.addTo(&figures)
	unmetered, err := newControlRun(seed, size, nil)
	if err != nil {
		return m9Figures{}, err
	}
	var cpuStart time.Duration
	unmetered.measure(func() { cpuStart = processCPUTime() })
	figures.cpuTime = processCPUTime() - cpuStart
	figures.heapBytes = heapBytes()
	runtime.KeepAlive(unmetered)
	return figures, nil
}

// controlRun is a simulated cluster of M9 with its store.
type controlRun struct {
	world *virtual.World
	store *virtual.KeyValue
}

// newControlRun starts a simulated cluster and waits until its configuration is in force.
func newControlRun(seed uint64, size m9Size, observe func(model.HostID, event.Envelope, []effect.Effect)) (*controlRun, error) {
	var domains []model.FailureDomain
	for i := range min(m9MaxFailureDomains, max(3, size.nodes/4)) {
		domains = append(domains, model.FailureDomain(fmt.Sprintf("domain-%d", i+1)))
	}
	store := virtual.NewKeyValue(kv.DefaultLimits())
	options := virtual.Options{Seed: seed, Store: store, Hosts: virtual.Hosts(size.nodes, domains), Observe: observe}
	description := deployment.Deployment{User: "aranguiz", FailureDomains: domains}
	if size.services > 0 {
		policy := model.DefaultPolicy()
		policy.Repeatable = true
		description.Groups = []deployment.Group{{
			Name: "counter", Services: size.services, Shape: m9Shape, Policy: policy,
		}}
	}
	world, err := virtual.Deploy(description, options)
	if err != nil {
		return nil, fmt.Errorf("M9 with %d nodes: %w", size.nodes, err)
	}
	return &controlRun{world: world, store: store}, nil
}

// measure warms up, calls begin, makes changes during the measured time, and returns
// the measurements that need no message counts.
func (c *controlRun) measure(begin func()) m9Figures {
	c.world.RunFor(m9Warmup)
	begin()
	calls := c.store.Store.Calls().Total()
	var figures m9Figures
	for i := range m9Changes {
		inForce, known := c.change(i)
		figures.slowestInForce = max(figures.slowestInForce, inForce)
		figures.slowestKnown = max(figures.slowestKnown, known)
	}
	figures.storeCalls = float64(c.store.Store.Calls().Total() - calls)
	for _, host := range c.world.Hosts() {
		for _, other := range c.world.State(host).HostRevisions(c.world.Now()) {
			if other.Host != host && other.Age >= 0 {
				figures.revisionAges = append(figures.revisionAges, other.Age)
			}
		}
	}
	return figures
}

// change makes a change on one node. It returns the time from its acceptance until it
// is in force on all nodes, and the time until it is in force on all nodes in the view
// of the first node. A time that is not reached is returned as m9NotReached. The call
// advances the clock by the change's share of the measured time.
func (c *controlRun) change(i int) (inForce, known time.Duration) {
	hosts := c.world.Hosts()
	var accepted model.Instant
	var revision model.Revision
	text := fmt.Sprintf("create user u%d", i)
	c.world.Statement(hosts[i*7%len(hosts)], event.Statement{Text: text}, func(r effect.StatementResult) {
		accepted, revision = c.world.Now(), r.Revision
	})
	end := c.world.Now().Add(m9Duration / m9Changes)
	inForce, known = m9NotReached, m9NotReached
	for c.world.Now().Before(end) {
		c.world.RunFor(m9PollInterval)
		if inForce == m9NotReached && accepted != 0 && c.isInForce(revision) {
			inForce = c.world.Now().Sub(accepted)
		}
		if known == m9NotReached && accepted != 0 && c.isInForceInView(hosts[0], revision) {
			known = c.world.Now().Sub(accepted)
		}
	}
	return inForce, known
}

// isInForceInView reports whether, in the view of a node, a revision is in force on all
// hosts.
func (c *controlRun) isInForceInView(host model.HostID, revision model.Revision) bool {
	for _, other := range c.world.State(host).HostRevisions(c.world.Now()) {
		if other.Revision < revision {
			return false
		}
	}
	return true
}

// isInForce reports whether all nodes have a revision or a later one.
func (c *controlRun) isInForce(revision model.Revision) bool {
	for _, host := range c.world.Hosts() {
		if c.world.State(host).Config().Revision < revision {
			return false
		}
	}
	return true
}

// controlMeter counts the messages and bytes between nodes.
type controlMeter struct {
	messages uint64
	bytes    map[model.HostID]uint64
}

// newControlMeter returns a meter at zero.
func newControlMeter() *controlMeter { return &controlMeter{bytes: make(map[model.HostID]uint64)} }

// reset sets the meter to zero.
func (m *controlMeter) reset() { *m = *newControlMeter() }

// observe counts the messages that a node sends. Their bytes are counted for the
// sender and for the receiver.
func (m *controlMeter) observe(host model.HostID, _ event.Envelope, effects []effect.Effect) {
	for _, e := range effects {
		send, ok := e.(effect.SendPeer)
		if !ok {
			continue
		}
		size, err := peer.FrameBytes(model.Member{Host: host, Incarnation: 1}, send.To, send.Message)
		if err != nil {
			continue
		}
		m.messages++
		m.bytes[host] += uint64(size + m9MessageOverhead)
		m.bytes[send.To] += uint64(size + m9MessageOverhead)
	}
}

// addTo sets the message counts of the figures. Each byte is counted for the sender
// and the receiver, so the sum of the bytes sent is half of the counts.
func (m *controlMeter) addTo(f *m9Figures) {
	f.sentMessages = m.messages
	for _, count := range m.bytes {
		f.sentBytes += count / 2
		f.busiestBytes = max(f.busiestBytes, count)
	}
}

// processCPUTime returns the user-mode CPU time of this process, or zero on an error.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano())
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

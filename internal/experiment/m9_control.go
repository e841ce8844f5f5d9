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

// The sizes of experiment M9.
const (
	m9Warmup   = 60 * time.Second
	m9Duration = 30 * time.Second
	m9Settle   = 10 * time.Second
	m9Step     = 5 * time.Millisecond
	// m9Changes is the number of changes in the measured time; 15,000 a day are
	// 5.2 in 30 s.
	m9Changes = 5
	m9Domains = 15
	// m9Overhead is what gRPC, TLS and TCP/IP add to one message, in bytes.
	m9Overhead = 80
)

// The budget of a node for control at 3,300 nodes.
const (
	m9BytesBudget = 10_000
	m9CoreBudget  = 15_000 // microseconds a second
	m9HeapBudget  = 64 << 10
)

// m9Size is one row of the experiment.
type m9Size struct{ nodes, services int }

// m9Figures are the measurements of one size.
type m9Figures struct {
	sent       uint64
	sentBytes  uint64
	busiest    uint64
	storeCalls float64
	processor  time.Duration
	heap       uint64
	slowest    time.Duration
	known      time.Duration
	ages       []time.Duration
}

// control is experiment M9.
func control() Experiment {
	return Experiment{
		Name:    "m9-control",
		Summary: "what control costs a node as nodes and upstreams grow",
		Run:     runControl,
	}
}

// runControl measures growing fleets without upstreams, then growing numbers of
// upstreams on 16 nodes.
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
		fmt.Sprintf("budget of a node at 3,300 nodes: %d bytes/s, %d us of a core a second, %d KB", m9BytesBudget, m9CoreBudget, m9HeapBudget),
		fmt.Sprintf("bytes/s: sent and received by the mean node, each message with %d bytes for gRPC, TLS and TCP/IP", m9Overhead),
		"processor: of the whole virtual run, harness included, so an upper bound; it and the heap differ from run to run",
		fmt.Sprintf("known: until the first node knows that all have the revision; %v means not within the time for one change", m9Settle),
		"age: how old a node's knowledge of another host's revision is",
	}
	return report, nil
}

// row formats the figures of one size.
func (f m9Figures) row(size m9Size) []string {
	seconds := m9Duration.Seconds()
	perNode := func(total uint64) float64 { return float64(total) / seconds / float64(size.nodes) }
	slices.Sort(f.ages)
	return []string{
		fmt.Sprint(size.nodes),
		fmt.Sprint(size.services * m9Shape.Upstreams),
		fmt.Sprintf("%.1f", perNode(f.sent)),
		fmt.Sprintf("%.0f", 2*perNode(f.sentBytes)),
		fmt.Sprintf("%.0f", float64(f.busiest)/seconds),
		fmt.Sprintf("%.0f", perNode(uint64(f.processor.Microseconds()))),
		fmt.Sprint(f.heap >> 10 / uint64(size.nodes)),
		fmt.Sprintf("%.1f", f.storeCalls/seconds),
		fmt.Sprint(f.slowest.Milliseconds()),
		fmt.Sprint(f.known.Milliseconds()),
		fmt.Sprint(f.ages[len(f.ages)/2].Milliseconds()),
		fmt.Sprint(f.ages[len(f.ages)-1].Milliseconds()),
	}
}

// m9Shape is the shape of the upstreams: the counter services of today.
var m9Shape = deployment.Shape{Upstreams: 3, Slots: 2, MaxConnections: 25, ServiceTime: time.Millisecond}

// measureControl runs one size twice: for the messages, and without looking at
// them for processor time and memory.
func measureControl(seed uint64, size m9Size) (m9Figures, error) {
	meter := newControlMeter()
	watched, err := newControlRun(seed, size, meter.observe)
	if err != nil {
		return m9Figures{}, err
	}
	figures := watched.measure(func() { meter.reset() })
	meter.collect(&figures)
	plain, err := newControlRun(seed, size, nil)
	if err != nil {
		return m9Figures{}, err
	}
	var began time.Duration
	plain.measure(func() { began = processorTime() })
	figures.processor = processorTime() - began
	figures.heap = heapBytes()
	runtime.KeepAlive(plain)
	return figures, nil
}

// controlRun is one world of M9.
type controlRun struct {
	world *virtual.World
	store *virtual.KeyValue
}

// newControlRun starts a world and brings its configuration in force.
func newControlRun(seed uint64, size m9Size, observe func(model.HostID, event.Envelope, []effect.Effect)) (*controlRun, error) {
	var domains []model.FailureDomain
	for i := range min(m9Domains, max(3, size.nodes/4)) {
		domains = append(domains, model.FailureDomain(fmt.Sprintf("domain-%d", i+1)))
	}
	store := virtual.NewKeyValue(kv.DefaultLimits())
	options := virtual.Options{Seed: seed, Store: store, Hosts: virtual.Hosts(size.nodes, domains), Observe: observe}
	described := deployment.Deployment{User: "aranguiz", FailureDomains: domains}
	if size.services > 0 {
		policy := model.DefaultPolicy()
		policy.Repeatable = true
		described.Groups = []deployment.Group{{
			Name: "counter", Services: size.services, Shape: m9Shape, Policy: policy,
		}}
	}
	world, err := virtual.Deploy(described, options)
	if err != nil {
		return nil, fmt.Errorf("M9 with %d nodes: %w", size.nodes, err)
	}
	return &controlRun{world: world, store: store}, nil
}

// measure warms up, makes changes during the measured time, and returns what can
// be read from outside.
func (c *controlRun) measure(begin func()) m9Figures {
	c.world.RunFor(m9Warmup)
	begin()
	calls := c.store.Store.Calls().Total()
	var figures m9Figures
	for i := range m9Changes {
		inForce, known := c.change(i)
		figures.slowest = max(figures.slowest, inForce)
		figures.known = max(figures.known, known)
	}
	figures.storeCalls = float64(c.store.Store.Calls().Total() - calls)
	for _, host := range c.world.Hosts() {
		for _, known := range c.world.State(host).HostRevisions(c.world.Now()) {
			if known.Host != host && known.Age >= 0 {
				figures.ages = append(figures.ages, known.Age)
			}
		}
	}
	return figures
}

// change makes one change on one node and returns the times from its acceptance
// until it is in force on all nodes, and until the first node knows so of all. It
// takes the change's share of the measured time.
func (c *controlRun) change(i int) (inForce, known time.Duration) {
	hosts := c.world.Hosts()
	var accepted model.Instant
	var revision model.Revision
	text := fmt.Sprintf("create user u%d", i)
	c.world.Statement(hosts[i*7%len(hosts)], event.Statement{Text: text}, func(r effect.StatementResult) {
		accepted, revision = c.world.Now(), r.Revision
	})
	end := c.world.Now().Add(m9Duration / m9Changes)
	inForce, known = m9Settle, m9Settle
	for c.world.Now().Before(end) {
		c.world.RunFor(m9Step)
		if inForce == m9Settle && accepted != 0 && c.inForce(revision) {
			inForce = c.world.Now().Sub(accepted)
		}
		if known == m9Settle && accepted != 0 && c.isKnown(hosts[0], revision) {
			known = c.world.Now().Sub(accepted)
		}
	}
	return inForce, known
}

// isKnown reports whether a node knows a revision to be in force on all hosts.
func (c *controlRun) isKnown(host model.HostID, revision model.Revision) bool {
	for _, known := range c.world.State(host).HostRevisions(c.world.Now()) {
		if known.Revision < revision {
			return false
		}
	}
	return true
}

// inForce reports whether all nodes have a revision.
func (c *controlRun) inForce(revision model.Revision) bool {
	for _, host := range c.world.Hosts() {
		if c.world.State(host).Config().Revision < revision {
			return false
		}
	}
	return true
}

// controlMeter counts the messages between nodes.
type controlMeter struct {
	messages uint64
	bytes    map[model.HostID]uint64
}

// newControlMeter returns a meter at zero.
func newControlMeter() *controlMeter { return &controlMeter{bytes: make(map[model.HostID]uint64)} }

// reset sets the meter to zero.
func (m *controlMeter) reset() { *m = *newControlMeter() }

// observe counts what a node sends, for the sender and the receiver.
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
		m.bytes[host] += uint64(size + m9Overhead)
		m.bytes[send.To] += uint64(size + m9Overhead)
	}
}

// collect adds the counts to the figures.
func (m *controlMeter) collect(f *m9Figures) {
	f.sent = m.messages
	for _, count := range m.bytes {
		f.sentBytes += count / 2
		f.busiest = max(f.busiest, count)
	}
}

// processorTime returns the processor time of this process in user mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano())
}

// heapBytes returns the live heap after a collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

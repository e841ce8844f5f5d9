package history

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// plan describes the faults and limits of a scenario. The rates of message faults
// are per thousand messages.
type plan struct {
	streamBreaksPerMille, droppedPerMille, delayedPerMille, duplicatedPerMille int
	slowUpstreams                                                              bool
	shortSessions, lowSessionLimits                                            bool
	queueLimit                                                                 int
	faults                                                                     []fault
}

// fault describes a fault of a node, an upstream or the connection of two nodes.
type fault struct {
	kind faultKind
	at   time.Duration
	// target is the index of a host or an upstream; other is the index of the second
	// host for partitionNodes.
	target, other int
	duration      time.Duration
}

// faultKind is a kind of fault.
type faultKind int

// The kinds of faults.
const (
	killNode faultKind = iota
	pauseNode
	stopNode
	partitionNodes
	crashUpstream
	faultKindCount
)

// String returns the kind's name in reports.
func (k faultKind) String() string {
	return [...]string{"kill", "pause", "stop", "cut", "crash"}[k]
}

// drawPlan draws the faults of a scenario at random. Some scenarios have message
// faults, some have node faults and most have both. Several nodes may be faulty at
// the same time.
func drawPlan(random *rand.Rand) plan {
	p := plan{
		slowUpstreams:    random.IntN(3) == 0,
		shortSessions:    random.IntN(5) == 0,
		lowSessionLimits: random.IntN(5) == 0,
		queueLimit:       1 + random.IntN(8),
	}
	if random.IntN(4) > 0 {
		p.streamBreaksPerMille = random.IntN(30)
		p.droppedPerMille = random.IntN(20)
		p.delayedPerMille = random.IntN(120)
		p.duplicatedPerMille = random.IntN(120)
	}
	for range random.IntN(5) {
		p.faults = append(p.faults, fault{
			kind:     faultKind(random.IntN(int(faultKindCount))),
			at:       time.Duration(random.IntN(int(faultDuration))),
			target:   random.IntN(hostCount),
			other:    random.IntN(hostCount),
			duration: time.Duration(random.IntN(int(3 * time.Second))),
		})
	}
	return p
}

// scheduleFaults schedules the planned faults and describes them in s.Faults.
func (s *Scenario) scheduleFaults() {
	for _, f := range s.plan.faults {
		s.Faults = append(s.Faults, fmt.Sprintf("%s %d at %s for %s", f.kind, f.target+1, f.at, f.duration))
		s.world.After(f.at, func() { s.injectFault(f) })
	}
}

// injectFault applies one fault now and schedules its end.
func (s *Scenario) injectFault(f fault) {
	hosts := s.world.Hosts()
	host, other := hosts[f.target], hosts[f.other]
	switch f.kind {
	case killNode:
		s.world.Kill(host)
		s.restartAfter(host, f.duration)
	case pauseNode:
		s.world.Pause(host, f.duration)
	case stopNode:
		if s.world.Alive(host) {
			s.world.Stop(host)
			s.restartAfter(host, f.duration+6*time.Second)
		}
	case partitionNodes:
		if host != other {
			s.world.Partition(host, other)
			s.world.After(f.duration, func() { s.world.Heal(host, other) })
		}
	case crashUpstream:
		upstreams := s.world.Upstreams()
		upstreams[f.target%len(upstreams)].Crash(f.duration)
	}
}

// restartAfter restarts a host's node after d, if it is not running by then.
func (s *Scenario) restartAfter(host model.HostID, d time.Duration) {
	s.world.After(d, func() { s.world.Restart(host) })
}

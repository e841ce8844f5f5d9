package history

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// plan is what a scenario's faults are like. The message faults are counted in
// thousandths of the messages.
type plan struct {
	lost, silent, delayed, duplicated int
	slowUpstreams                     bool
	shortSessions, narrowLimits       bool
	queueLimit                        int
	faults                            []fault
}

// fault is something that happens to a node or an upstream.
type fault struct {
	kind faultKind
	at   time.Duration
	// target indexes the hosts or upstreams, other a second host.
	target, other int
	length        time.Duration
}

// faultKind is a kind of fault.
type faultKind int

// The kinds of faults.
const (
	killNode faultKind = iota
	pauseNode
	stopNode
	cutNodes
	crashUpstream
	faultKinds
)

// String names the kind.
func (k faultKind) String() string {
	return [...]string{"kill", "pause", "stop", "cut", "crash"}[k]
}

// drawPlan draws the faults of a scenario. Some scenarios have message faults,
// some have node faults, most have both, and two nodes may fail at a time.
func drawPlan(random *rand.Rand) plan {
	p := plan{
		slowUpstreams: random.IntN(3) == 0,
		shortSessions: random.IntN(5) == 0,
		narrowLimits:  random.IntN(5) == 0,
		queueLimit:    1 + random.IntN(8),
	}
	if random.IntN(4) > 0 {
		p.lost = random.IntN(30)
		p.silent = random.IntN(20)
		p.delayed = random.IntN(120)
		p.duplicated = random.IntN(120)
	}
	for range random.IntN(5) {
		p.faults = append(p.faults, fault{
			kind:   faultKind(random.IntN(int(faultKinds))),
			at:     time.Duration(random.IntN(int(faultTime))),
			target: random.IntN(hostCount),
			other:  random.IntN(hostCount),
			length: time.Duration(random.IntN(int(3 * time.Second))),
		})
	}
	return p
}

// scheduleFaults makes the planned faults happen.
func (s *Scenario) scheduleFaults() {
	for _, f := range s.plan.faults {
		s.Faults = append(s.Faults, fmt.Sprintf("%s %d at %s for %s", f.kind, f.target+1, f.at, f.length))
		s.world.After(f.at, func() { s.strike(f) })
	}
}

// strike makes one fault happen.
func (s *Scenario) strike(f fault) {
	hosts := s.world.Hosts()
	host, other := hosts[f.target], hosts[f.other]
	switch f.kind {
	case killNode:
		s.world.Kill(host)
		s.restartAfter(host, f.length)
	case pauseNode:
		s.world.Pause(host, f.length)
	case stopNode:
		if s.world.Alive(host) {
			s.world.Stop(host)
			s.restartAfter(host, f.length+6*time.Second)
		}
	case cutNodes:
		if host != other {
			s.world.Cut(host, other)
			s.world.After(f.length, func() { s.world.Heal(host, other) })
		}
	case crashUpstream:
		upstreams := s.world.Upstreams()
		upstreams[f.target%len(upstreams)].Crash(f.length)
	}
}

// restartAfter starts a host's node again if it is dead by then.
func (s *Scenario) restartAfter(host model.HostID, d time.Duration) {
	s.world.After(d, func() { s.world.Restart(host) })
}

package registry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// drainTime is how long an upstream serves after its entry was removed, and stableTime how
	// long a node or the store must be undisturbed for that to hold.
	drainTime  = 3 * time.Second
	stableTime = 4 * time.Second
	// knownTime is the time after its start within which a node knows all upstreams.
	knownTime = 4500 * time.Millisecond
)

// TestViewOfNode checks, for any starts, ends and freezes of the nodes of a failure domain, any age
// of stale reads and any outage of the store, that no node uses an upstream for longer than that
// serves after its entry was removed, and that none loses an upstream that is there.
func TestViewOfNode(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := &timeline{t: t, entries: make(map[string][]span), outage: span{from: forever, to: forever}}
		l.staleAge = drawTime(r, "stale age", 0, 5*time.Second)
		l.isSilent = rapid.Bool().Draw(r, "silent")
		if rapid.Bool().Draw(r, "outage") {
			l.outage.from = drawTime(r, "outage", 0, 10*time.Second)
			l.outage.to = l.outage.from + drawTime(r, "outage length", 0, 6*time.Second)
		}
		left := drawTime(r, "left", 0, 14*time.Second)
		l.entries["leaves"] = []span{{from: -forever, to: left}}
		l.entries["stays"] = []span{{from: -forever, to: forever}}
		lapses := span{from: l.outage.from + drawTime(r, "lapses", 2400*time.Millisecond, 3600*time.Millisecond), to: l.outage.to + drawTime(r, "returns", 0, 2*time.Second)}
		l.entries["lapses"] = []span{{from: -forever, to: forever}}
		if lapses.from < l.outage.to {
			l.entries["lapses"] = []span{{from: -forever, to: lapses.from}, {from: lapses.to, to: forever}}
		}
		for _, name := range []string{"n1", "n2", "n3"}[:rapid.IntRange(1, 3).Draw(r, "nodes")] {
			alive := span{from: drawTime(r, "start", 0, 10*time.Second), to: forever}
			frozen := span{from: forever, to: forever}
			switch rapid.IntRange(0, 2).Draw(r, "end") {
			case 0:
				alive.to = alive.from + drawTime(r, "end", 0, 10*time.Second)
			case 1:
				frozen.from = alive.from + drawTime(r, "freeze", 0, 8*time.Second)
				frozen.to = frozen.from + drawTime(r, "freeze length", 0, 5*time.Second)
			}
			l.add(name, alive, frozen)
		}
		lastSeen := make(map[*timelineNode]map[string]time.Duration)
		l.run(20*time.Second, func() {
			isStable := l.now < l.outage.from || l.now >= l.outage.to+stableTime
			leftStable := left
			if left >= l.outage.from {
				leftStable = max(left, l.outage.to+stableTime)
			}
			for _, n := range l.nodes {
				if n.fixture == nil || !n.isRunning(l.now) {
					continue
				}
				if n.isUndisturbed(l.now, stableTime) && isStable && n.uses("leaves") && l.now > leftStable+drainTime {
					r.Fatalf("%v: %s uses an upstream that left at %v", l.now, n.name, left)
				}
				seen := lastSeen[n]
				if seen == nil {
					seen = make(map[string]time.Duration)
					lastSeen[n] = seen
				}
				for _, name := range []string{"stays", "lapses"} {
					if n.uses(name) {
						seen[name] = l.now
						continue
					}
					if seen["stays"] != 0 && name == "stays" {
						r.Fatalf("%v: %s has dropped an upstream that stays", l.now, n.name)
					}
					if isStable && n.isUndisturbed(l.now, knownTime) {
						r.Fatalf("%v: %s does not know %s", l.now, n.name, name)
					}
					sawOutage := n.alive.from+knownTime < l.outage.from && n.isUndisturbed(l.now, l.now-n.alive.from)
					if name == "lapses" && sawOutage && seen[name] != 0 {
						r.Fatalf("%v: %s has dropped an upstream whose entry lapsed in the outage", l.now, n.name)
					}
				}
			}
		})
	})
}

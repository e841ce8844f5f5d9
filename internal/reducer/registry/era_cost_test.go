package registry

import (
	"fmt"
	"testing"
	"time"
)

// TestNewEraCostsNoMoreThanStart guards against a fleet that overwhelms the store when it comes back from
// a copy, because every node reads every page: in the ten seconds after it, the nodes of a failure domain
// make no more calls than in the first ten seconds after they have started together.
func TestNewEraCostsNoMoreThanStart(t *testing.T) {
	for _, nodes := range []int{1, 2, 8, 24} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			l := &timeline{t: t, entries: map[string][]span{"u1": {{from: -forever, to: forever}}}, hasEras: true}
			l.restoredAt, l.rewrittenAt, l.copyAge = 20*time.Second, 21*time.Second, 5*time.Second
			l.outage = span{from: l.restoredAt - time.Second, to: l.restoredAt}
			for i := range nodes {
				l.add(fmt.Sprintf("n%d", i), span{from: 0, to: forever}, span{from: forever, to: forever})
			}
			counts := make(map[time.Duration]int)
			l.run(40*time.Second, func() {
				total := 0
				for _, n := range l.nodes {
					total += n.calls
				}
				counts[l.now] = total
			})
			start := counts[10*time.Second]
			calm := counts[18*time.Second] - counts[8*time.Second]
			drill := counts[l.restoredAt+10*time.Second] - counts[l.restoredAt]
			t.Logf("calls in ten seconds: %d from the start, %d in calm, %d in the new era", start, calm, drill)
			if drill > start {
				t.Errorf("%d calls in the new era, %d from the start", drill, start)
			}
		})
	}
}

package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/experiment/lab"
)

// Parameters of the simulated cluster.
const (
	clusterServices    = 3
	clusterReplicas    = 3
	clusterSlots       = 2
	clusterConnections = 25
	// clusterRate is the rate of searches per second, about a third of the capacity.
	clusterRate     = 1200
	clusterDuration = 6 * time.Second
)

// startCluster returns a cluster of 4 nodes that is ready for load.
func startCluster(t *testing.T, seed uint64) *lab.Cluster {
	t.Helper()
	cluster, err := lab.Start(lab.Spec{
		Seed: seed, Hosts: 4, Services: clusterServices, Replicas: clusterReplicas,
		Slots: clusterSlots, MaxConnections: clusterConnections,
		Policy: "answer at deadline deadline 300ms coverage at least 100% repeat yes hedge budget 0% retry budget 10% refuse queue 64 wait 200ms",
		ServiceTime: func(r *rand.Rand) time.Duration {
			return 2*time.Millisecond + time.Duration(2*r.ExpFloat64()*float64(time.Millisecond))
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return cluster
}

// drive sends searches of one service each and returns their outcomes.
func drive(cluster *lab.Cluster, seed uint64) []lab.Sample {
	draw := func(r *rand.Rand, _ int) event.Search {
		return event.Search{Services: []string{string(lab.Service(r.IntN(clusterServices)))}}
	}
	return cluster.Drive(seed, []lab.Phase{{Rate: clusterRate, Duration: clusterDuration}}, draw, nil)
}

// checkConnectionLimits checks that no upstream had more connections than it accepts,
// and that no search ran that was answered as not run.
func checkConnectionLimits(t *testing.T, cluster *lab.Cluster, samples []lab.Sample) {
	t.Helper()
	for _, u := range cluster.Upstreams() {
		if u.PeakConnections > clusterConnections {
			t.Errorf("%s had %d connections at its peak", u.ID, u.PeakConnections)
		}
	}
	if ran := cluster.RefusedThatRan(samples); ran != 0 {
		t.Errorf("%d searches ran and were answered as not run", ran)
	}
}

// TestSlotLimitUnderNodeChurn stops, kills and restarts nodes at random times. The
// upstreams never receive more requests than they have slots, so they shed none,
// and at least 99 % of the searches are answered completely.
func TestSlotLimitUnderNodeChurn(t *testing.T) {
	for _, seed := range []uint64{0, 1} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			cluster := startCluster(t, seed)
			for i, host := range cluster.Hosts()[:3] {
				at := time.Duration(1+2*i)*time.Second + time.Duration(cluster.Random.Int64N(int64(time.Second)))
				end := cluster.Kill
				if i%2 == 1 {
					end = cluster.Stop
				}
				cluster.After(at, func() { end(host) })
				cluster.After(at+time.Second, func() { cluster.Restart(host) })
			}
			samples := drive(cluster, seed)
			checkConnectionLimits(t, cluster, samples)
			for _, u := range cluster.Upstreams() {
				if u.Shed > 0 {
					t.Errorf("%s shed %d sub-requests", u.ID, u.Shed)
				}
			}
			if useful := float64(lab.CountUseful(samples)) / float64(len(samples)); useful < 0.99 {
				t.Errorf("%.4f of the searches were answered completely", useful)
			}
		})
	}
}

// TestPausedDispatcherKeepsTheConnectionLimit pauses a node, which then continues
// with a stale view. The slots may be exceeded briefly, but the connection limit
// holds and no search that ran is answered as not run.
func TestPausedDispatcherKeepsTheConnectionLimit(t *testing.T) {
	for _, seed := range []uint64{0, 7} {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			cluster := startCluster(t, seed)
			paused := cluster.Hosts()[seed%4]
			cluster.After(time.Second, func() { cluster.Pause(paused, 2*time.Second) })
			samples := drive(cluster, seed)
			checkConnectionLimits(t, cluster, samples)
			after := lab.Between(samples, 5*time.Second, clusterDuration)
			if useful := float64(lab.CountUseful(after)) / float64(len(after)); useful < 0.99 {
				t.Errorf("%.4f of the searches after the pause were answered completely", useful)
			}
		})
	}
}

package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

const largeFleet = 40

// newWorld returns a simulated fleet in which every node knows all members.
func newWorld(t *testing.T, seed uint64, nodes int) *virtual.World {
	t.Helper()
	var domains []model.FailureDomain
	for i := range min(nodes, 5) {
		domains = append(domains, model.FailureDomain(fmt.Sprintf("domain-%d", i+1)))
	}
	w := virtual.New(virtual.Options{
		Seed: seed, Hosts: virtual.Hosts(nodes, domains), Store: virtual.NewKeyValue(kv.DefaultLimits()),
	})
	w.RunFor(30 * time.Second)
	for _, host := range w.Hosts() {
		if got := len(w.State(host).Describe(w.Now()).Members); got != nodes {
			t.Fatalf("%s knows %d members, want %d", host, got, nodes)
		}
	}
	return w
}

// stateOf returns a host's state in another host's view; a host that is not a
// member counts as failed.
func stateOf(w *virtual.World, viewer, host model.HostID) model.MemberState {
	for _, m := range w.State(viewer).Describe(w.Now()).Members {
		if m.Host == host {
			return m.State
		}
	}
	return model.Failed
}

// wantEverywhere checks a host's state in the views of all other live hosts.
func wantEverywhere(t *testing.T, w *virtual.World, host model.HostID, want model.MemberState) {
	t.Helper()
	for _, viewer := range w.Hosts() {
		if viewer == host || !w.Alive(viewer) {
			continue
		}
		if got := stateOf(w, viewer, host); got != want {
			t.Errorf("%s sees %s as %s, want %s", viewer, host, got, want)
		}
	}
}

func TestFailedHostRejoins(t *testing.T) {
	for _, nodes := range []int{4, largeFleet} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			w := newWorld(t, 1, nodes)
			w.Kill("host-2")
			w.RunFor(18 * time.Second)
			wantEverywhere(t, w, "host-2", model.Failed)
			w.Restart("host-2")
			w.RunFor(15 * time.Second)
			wantEverywhere(t, w, "host-2", model.Serving)
			if got := len(w.State("host-2").Describe(w.Now()).Members); got != nodes {
				t.Errorf("the restarted host knows %d members, want %d", got, nodes)
			}
		})
	}
}

func TestPausedHostFailsAndRejoins(t *testing.T) {
	for _, nodes := range []int{4, largeFleet} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			w := newWorld(t, 2, nodes)
			w.Pause("host-3", 40*time.Second)
			w.RunFor(30 * time.Second)
			wantEverywhere(t, w, "host-3", model.Failed)
			w.RunFor(25 * time.Second)
			wantEverywhere(t, w, "host-3", model.Serving)
		})
	}
}

func TestPartitionHeals(t *testing.T) {
	for _, nodes := range []int{4, largeFleet} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			w := newWorld(t, 3, nodes)
			hosts := w.Hosts()
			left, right := hosts[:nodes/2], hosts[nodes/2:]
			for _, a := range left {
				for _, b := range right {
					w.Partition(a, b)
				}
			}
			w.RunFor(60 * time.Second)
			if got := stateOf(w, left[0], right[0]); got != model.Failed {
				t.Errorf("across the partition: %s, want failed", got)
			}
			for _, a := range left {
				for _, b := range right {
					w.Heal(a, b)
				}
			}
			w.RunFor(30 * time.Second)
			for _, host := range hosts {
				wantEverywhere(t, w, host, model.Serving)
			}
		})
	}
}

func TestLeavingStateReachesAllHosts(t *testing.T) {
	w := newWorld(t, 4, largeFleet)
	w.Stop("host-6")
	w.RunFor(3 * time.Second)
	wantEverywhere(t, w, "host-6", model.Leaving)
	w.SetHostLeaving("host-5", true)
	w.RunFor(3 * time.Second)
	wantEverywhere(t, w, "host-5", model.Leaving)
}

// With many hosts, each node must learn within the target of 18 s that a revision
// is in force on all hosts.
func TestRevisionInForceReachesAllHosts(t *testing.T) {
	w := newWorld(t, 5, largeFleet)
	w.Statement("host-7", event.Statement{Text: "create user u1"}, func(effect.StatementResult) {})
	w.RunFor(18 * time.Second)
	for _, host := range w.Hosts() {
		for _, known := range w.State(host).HostRevisions(w.Now()) {
			if known.Revision != 1 || known.Lag != 0 {
				t.Errorf("%s knows revision %d, lag %d of %s, want revision 1", host, known.Revision, known.Lag, known.Host)
			}
		}
	}
}

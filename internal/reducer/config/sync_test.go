package config_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// failStore makes the store unavailable for a time.
func (c *cluster) failStore(d time.Duration) {
	c.store.Store.Schedule(kv.Fault{Kind: kv.Down, From: c.Now(), Until: c.Now().Add(d)})
}

// isServing reports whether a node accepts requests.
func (c *cluster) isServing(host model.HostID) bool {
	return c.State(host).Describe(c.Now()).State == string(model.Serving)
}

// isolate cuts all streams between a host and the others.
func (c *cluster) isolate(host model.HostID) {
	for _, other := range c.Hosts() {
		if other != host {
			c.Partition(host, other)
		}
	}
}

func TestStartDuringStoreOutage(t *testing.T) {
	c := newCluster(1, 4)
	c.RunFor(2 * time.Second)
	c.applyStatement(t, "host-1", "create user u1")
	c.RunFor(time.Second)
	c.Kill("host-4")
	c.failStore(time.Hour)
	c.RunFor(5 * time.Second)
	c.Restart("host-4")
	c.RunFor(5 * time.Second)
	if got := c.State("host-4").Config().Revision; !c.isServing("host-4") || got != 1 {
		t.Errorf("host-4 serves: %v, at revision %d; want it to serve with its peers' revision 1", c.isServing("host-4"), got)
	}
}

func TestNoNodeServesWithoutConfiguration(t *testing.T) {
	for _, nodes := range []int{1, 4} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			c := newCluster(1, nodes)
			c.failStore(30 * time.Second)
			for _, host := range c.Hosts() {
				c.Kill(host)
				c.Restart(host)
			}
			c.RunFor(29 * time.Second)
			for _, host := range c.Hosts() {
				if c.isServing(host) {
					t.Errorf("%s serves although no node can know the configuration", host)
				}
			}
			c.RunFor(5 * time.Second)
			for _, host := range c.Hosts() {
				if !c.isServing(host) {
					t.Errorf("%s does not serve after the outage", host)
				}
			}
		})
	}
}

// partialStore is a store that some hosts cannot reach.
type partialStore struct {
	*virtual.KeyValue
	unreachable map[model.HostID]bool
}

// Call implements virtual.Store.
func (s partialStore) Call(w *virtual.World, from model.HostID, call effect.CallStore, deliver func(event.StoreResult)) {
	if s.unreachable[from] {
		w.After(time.Millisecond, func() { deliver(event.StoreResult{Status: event.StoreRejected}) })
		return
	}
	s.KeyValue.Call(w, from, call, deliver)
}

// newPartialStoreCluster returns a cluster and the set of hosts that cannot reach
// the store. The caller may change the set.
func newPartialStoreCluster(nodes int) (*cluster, map[model.HostID]bool) {
	unreachable := make(map[model.HostID]bool)
	return newClusterWith(1, nodes, func(store *virtual.KeyValue) virtual.Store {
		return partialStore{store, unreachable}
	}), unreachable
}

func TestNodeWithoutStoreFollowsPeers(t *testing.T) {
	c, unreachable := newPartialStoreCluster(4)
	c.RunFor(2 * time.Second)
	unreachable["host-2"], unreachable["host-3"], unreachable["host-4"] = true, true, true
	c.RunFor(6 * time.Second)
	c.applyStatement(t, "host-1", "create user u1")
	c.RunFor(2 * time.Second)
	for _, host := range c.Hosts() {
		if got := c.State(host).Config().Revision; got != 1 || !c.isServing(host) {
			t.Errorf("%s is at revision %d, serves: %v", host, got, c.isServing(host))
		}
	}
}

func TestIsolatedNodeStartsNoNewWork(t *testing.T) {
	c, unreachable := newPartialStoreCluster(4)
	c.RunFor(2 * time.Second)
	c.applyStatement(t, "host-1", "create user u1")
	unreachable["host-3"] = true
	c.isolate("host-3")
	c.RunFor(8 * time.Second)
	if !c.isServing("host-3") {
		t.Error("host-3 stopped serving before the isolation timeout")
	}
	c.RunFor(15 * time.Second)
	if c.isServing("host-3") {
		t.Error("host-3 serves although it has no contact with the store or any peer")
	}
	c.applyStatement(t, "host-1", "create user u2")
	delete(unreachable, "host-3")
	c.RunFor(5 * time.Second)
	if got := c.State("host-3").Config().Revision; !c.isServing("host-3") || got != 2 {
		t.Errorf("host-3 serves: %v at revision %d; want it to serve again from the store alone", c.isServing("host-3"), got)
	}
}

// The streams of an isolated node are restored while it cannot reach the store. It
// must not serve with its old revision in the meantime.
func TestReconnectedNodeCatchesUpBeforeServing(t *testing.T) {
	c, unreachable := newPartialStoreCluster(4)
	c.RunFor(2 * time.Second)
	c.applyStatement(t, "host-1", "create user u1")
	unreachable["host-3"] = true
	c.isolate("host-3")
	c.RunFor(20 * time.Second)
	c.applyStatement(t, "host-1", "create user u2")
	for _, other := range c.Hosts() {
		c.Heal("host-3", other)
	}
	for range 1000 {
		c.RunFor(10 * time.Millisecond)
		if got := c.State("host-3").Config().Revision; c.isServing("host-3") && got != 2 {
			t.Fatalf("host-3 serves at revision %d before it has caught up", got)
		}
	}
	if !c.isServing("host-3") {
		t.Error("host-3 does not serve after it was reconnected")
	}
}

func TestNodesServeDuringStoreOutage(t *testing.T) {
	c := newCluster(1, 4)
	c.RunFor(2 * time.Second)
	c.applyStatement(t, "host-1", "create user u1")
	c.failStore(10 * time.Minute)
	c.RunFor(5 * time.Minute)
	for _, host := range c.Hosts() {
		if !c.isServing(host) {
			t.Errorf("%s does not serve during a store outage", host)
		}
	}
}

func TestPausedNodeCatchesUpBeforeServing(t *testing.T) {
	c := newCluster(1, 4)
	c.RunFor(2 * time.Second)
	c.Pause("host-2", 20*time.Second)
	c.applyStatement(t, "host-1", "create user u1")
	var answer model.Answer
	c.Search("host-2", event.Search{Services: []string{"*"}}, func(a model.Answer) { answer = a })
	c.RunFor(25 * time.Second)
	if answer.Outcome != model.NotRun || answer.Failure == nil || answer.Failure.Code != model.CodeUnavailable {
		t.Errorf("a search received during the pause got %+v, want it refused until the node has caught up", answer)
	}
	if got := c.State("host-2").Config().Revision; got != 1 || !c.isServing("host-2") {
		t.Errorf("host-2 is at revision %d, serves: %v", got, c.isServing("host-2"))
	}
}

func TestCompactionBoundsLogLength(t *testing.T) {
	c := newCluster(1, 4)
	c.RunFor(2 * time.Second)
	const changes = 700
	for i := range changes {
		c.applyStatement(t, "host-1", fmt.Sprintf("create user u%d", i))
	}
	// Deletions are paced by minDeleteInterval.
	c.RunFor(5 * time.Minute)
	if got := len(c.store.Store.Inspect("config/log/")); got > 400 {
		t.Errorf("the log holds %d entries of %d changes", got, changes)
	}
	c.Kill("host-4")
	c.RunFor(time.Second)
	c.Restart("host-4")
	c.RunFor(5 * time.Second)
	config := c.State("host-4").Config()
	if config.Revision != changes || len(config.Users) != changes {
		t.Errorf("a new node has revision %d with %d users, want %d", config.Revision, len(config.Users), changes)
	}
}

// A delayed write takes effect at a revision that was truncated long ago. A paused
// node whose revision is just below it and that can only read from the store must
// ignore that entry.
func TestDelayedWriteOfTruncatedRevision(t *testing.T) {
	c := newCluster(1, 4)
	c.RunFor(2 * time.Second)
	c.applyStatement(t, "host-1", "create user u0")
	c.RunFor(time.Second)
	c.isolate("host-4")
	c.Pause("host-4", 100*time.Second)
	const changes = 400
	for i := 1; i < changes; i++ {
		c.applyStatement(t, "host-1", fmt.Sprintf("create user u%d", i))
	}
	c.RunFor(10 * time.Second)
	late, err := json.Marshal(model.LogEntry{Revision: 2, Change: "late", Text: "create user ghost"})
	if err != nil {
		t.Fatal(err)
	}
	written := c.store.Store.Apply(c.Now(), effect.CallStore{
		Verb: effect.StoreCreate, Key: "config/log/00000000000000000002", Value: late,
	})
	if written.Result.Status != event.StoreOK {
		t.Fatalf("the delayed write got %+v, want ok because the revision was truncated", written.Result)
	}
	c.RunFor(2 * time.Minute)
	config := c.State("host-4").Config()
	if config.User("ghost") != nil || config.Revision != changes {
		t.Errorf("host-4 is at revision %d, ghost: %v; want revision %d without it", config.Revision, config.User("ghost"), changes)
	}
}

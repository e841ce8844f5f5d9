package config_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// cluster simulates nodes in three failure domains with a store.
type cluster struct {
	*virtual.World
	store *virtual.KeyValue
	// delivery decides what happens to a message; nil delivers all.
	delivery func() virtual.Delivery
}

func newCluster(seed uint64, nodes int) *cluster {
	return newClusterWith(seed, nodes, func(store *virtual.KeyValue) virtual.Store { return store })
}

// newClusterWith returns a cluster whose nodes access the store through a wrapper.
func newClusterWith(seed uint64, nodes int, wrap func(*virtual.KeyValue) virtual.Store) *cluster {
	store := virtual.NewKeyValue(kv.DefaultLimits())
	c := &cluster{store: store}
	options := virtual.Options{Seed: seed, Store: wrap(store)}
	options.Deliver = func(model.HostID, model.HostID, message.Message) virtual.Delivery {
		if c.delivery == nil {
			return virtual.Delivery{}
		}
		return c.delivery()
	}
	for i := range nodes {
		options.Hosts = append(options.Hosts, virtual.HostSpec{
			Host:          model.HostID(fmt.Sprintf("host-%d", i+1)),
			FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", i%3+1)),
		})
	}
	c.World = virtual.New(options)
	return c
}

// applyStatement sends a statement and runs the cluster until it is answered.
func (c *cluster) applyStatement(t *testing.T, host model.HostID, text string) effect.StatementResult {
	t.Helper()
	var got *effect.StatementResult
	c.Statement(host, event.Statement{Text: text}, func(r effect.StatementResult) { got = &r })
	for range 500 {
		if got != nil {
			return *got
		}
		c.RunFor(20 * time.Millisecond)
	}
	t.Fatalf("no reply to %q", text)
	return effect.StatementResult{}
}

func TestChangeReachesAllNodes(t *testing.T) {
	c := newCluster(1, 4)
	c.RunFor(2 * time.Second)
	result := c.applyStatement(t, "host-2", "create user u1")
	if result.Outcome != effect.Accepted || result.Revision != 1 {
		t.Fatalf("result = %+v, want accepted at revision 1", result)
	}
	c.RunFor(time.Second)
	for _, host := range c.Hosts() {
		if got := c.State(host).Config().Revision; got != 1 {
			t.Errorf("%s has revision %d, want 1", host, got)
		}
	}
}

func TestConflictReportsEarlierChange(t *testing.T) {
	c := newCluster(1, 4)
	c.RunFor(2 * time.Second)
	c.applyStatement(t, "host-1", "create user u1")
	c.Statement("host-2", event.Statement{Text: "create user u2", Operator: "winner", Change: "first"}, func(effect.StatementResult) {})
	c.RunFor(time.Second)
	lost := c.applyStatement(t, "host-3", "create user u3 if revision 1")
	want := effect.Winner{Revision: 2, Operator: "winner", Change: "first"}
	if lost.Outcome != effect.NotAccepted || lost.Failure.Code != model.CodeConflict || lost.Winner == nil || *lost.Winner != want {
		t.Errorf("result = %+v, want a conflict lost to %+v", lost, want)
	}
	accepted := c.applyStatement(t, "host-3", "create user u3 if revision 2")
	if accepted.Outcome != effect.Accepted {
		t.Errorf("result = %+v, want accepted", accepted)
	}
}

func TestResentChangeIsAppliedOnce(t *testing.T) {
	c := newCluster(1, 4)
	c.RunFor(2 * time.Second)
	var results []effect.StatementResult
	for _, host := range c.Hosts() {
		e := event.Statement{Text: "create user u1", Change: "same"}
		if host == "host-4" {
			c.RunFor(3 * time.Second)
		}
		c.Statement(host, e, func(r effect.StatementResult) { results = append(results, r) })
	}
	c.RunFor(3 * time.Second)
	for _, r := range results {
		if r.Outcome != effect.Accepted || r.Revision != results[0].Revision {
			t.Errorf("results %+v and %+v of one change", results[0], r)
		}
	}
	if len(results) != 4 {
		t.Errorf("%d results, want 4", len(results))
	}
}

// The log holds entries that no node of this version would write: one with an
// invalid statement and one that is not JSON. All nodes must skip them alike.
func TestInvalidEntryOnlyOccupiesItsRevision(t *testing.T) {
	c := newCluster(1, 4)
	c.RunFor(2 * time.Second)
	entry, err := json.Marshal(model.LogEntry{Revision: 1, Change: "strange", Text: "create nothing"})
	if err != nil {
		t.Fatal(err)
	}
	for revision, value := range map[int][]byte{1: entry, 2: []byte("no entry at all")} {
		c.store.Store.Apply(c.Now(), effect.CallStore{
			Verb: effect.StoreCreate, Key: fmt.Sprintf("config/log/%020d", revision), Value: value,
		})
	}
	if got := c.applyStatement(t, "host-2", "create user u1"); got.Outcome != effect.Accepted || got.Revision != 3 {
		t.Errorf("result = %+v, want accepted at revision 3", got)
	}
	c.Statement("host-3", event.Statement{Text: "create user u2", Change: "strange"}, func(r effect.StatementResult) {
		if r.Outcome != effect.NotAccepted {
			t.Errorf("result = %+v, want the refused change not accepted", r)
		}
	})
	c.RunFor(time.Second)
	for _, host := range c.Hosts() {
		if got := c.State(host).Config().Revision; got != 3 {
			t.Errorf("%s is at revision %d, want 3", host, got)
		}
	}
}

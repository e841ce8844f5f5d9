package config_test

import (
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

// cluster is a world of four nodes in three failure domains with a store.
type cluster struct {
	*virtual.World
	store *virtual.KeyValue
	// fate decides what happens to a message; nil delivers all.
	fate func() virtual.Delivery
}

func newCluster(seed uint64, nodes int) *cluster {
	return newClusterWith(seed, nodes, func(store *virtual.KeyValue) virtual.Store { return store })
}

// newClusterWith returns a cluster whose nodes see the store through a wrapper.
func newClusterWith(seed uint64, nodes int, wrap func(*virtual.KeyValue) virtual.Store) *cluster {
	store := virtual.NewKeyValue(kv.DefaultLimits())
	c := &cluster{store: store}
	options := virtual.Options{Seed: seed, Store: wrap(store)}
	options.Deliver = func(model.HostID, model.HostID, message.Message) virtual.Delivery {
		if c.fate == nil {
			return virtual.Delivery{}
		}
		return c.fate()
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

// change sends a statement and runs until it is answered.
func (c *cluster) change(t *testing.T, host model.HostID, text string) effect.StatementResult {
	t.Helper()
	var got *effect.StatementResult
	c.Statement(host, event.Statement{Text: text}, func(r effect.StatementResult) { got = &r })
	for range 100 {
		if got != nil {
			return *got
		}
		c.RunFor(100 * time.Millisecond)
	}
	t.Fatalf("no reply to %q", text)
	return effect.StatementResult{}
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	c := newCluster(1, 4)
	c.RunFor(2 * time.Second)
	result := c.change(t, "host-2", "create user u1")
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

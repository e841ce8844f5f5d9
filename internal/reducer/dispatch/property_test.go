package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch"
	"github.com/hawthorntack/hawthorntack/internal/reducer/entry"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// viewOf is a fixed view of the members.
type viewOf []model.Member

func (v viewOf) Members() []model.Member { return v }

func (v viewOf) Member(host model.HostID) (model.Member, bool) {
	for _, m := range v {
		if m.Host == host {
			return m, true
		}
	}
	return model.Member{}, false
}

// node is one dispatcher with its own view and the connections that it holds.
type node struct {
	self   model.Member
	state  *dispatch.State
	timers timer.Queue
	held   map[model.ConnectionID]bool
}

// follow gives the node a view; connections open and close at once.
func (n *node) follow(config *model.Config, view viewOf) {
	ctx := &step.Context{
		Now:    model.Instant(time.Hour),
		Random: rand.New(rand.NewPCG(1, 1)),
		Self:   n.self,
		Config: config,
		View:   view,
		Timers: &n.timers,
	}
	n.state.HandleConfig(ctx)
	for i := 0; i < len(ctx.Effects); i++ {
		switch e := ctx.Effects[i].(type) {
		case effect.OpenConnection:
			n.held[e.Connection] = true
			n.state.HandleOpened(ctx, event.ConnectionOpened{Connection: e.Connection})
		case effect.CloseConnection:
			delete(n.held, e.Connection)
			n.state.HandleClosed(ctx, event.ConnectionClosed{Connection: e.Connection})
		}
	}
}

// drawView draws the part of the members that one node sees; it always sees
// itself.
func drawView(t *rapid.T, all []model.Member, self model.HostID) viewOf {
	var view viewOf
	for _, m := range all {
		if m.Host == self || rapid.Bool().Draw(t, "sees") {
			view = append(view, m)
		}
	}
	return view
}

// TestConnectionsStayWithinTheLimit gives the nodes two or three different views
// of the members, one after the other. While at most one node more than there
// should be dispatches for the upstream, all nodes together hold no more
// connections than the upstream accepts. Beyond that, k dispatchers hold at most
// k/(W+1) of the limit.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dispatchers := rapid.IntRange(1, 4).Draw(t, "W")
		limit := rapid.IntRange(dispatchers+1, 120).Draw(t, "limit")
		settings := dispatch.Settings{OpenAll: rapid.Bool().Draw(t, "open all")}
		upstream := model.Upstream{ID: "counter-1/a", Slots: rapid.IntRange(1, 60).Draw(t, "slots"), MaxConnections: limit}
		config := &model.Config{Services: []model.Service{{Name: "counter-1", Upstreams: []model.Upstream{upstream}}}}
		all, nodes := drawNodes(t, dispatchers, settings)
		views := make([]viewOf, rapid.IntRange(2, 3).Draw(t, "views"))
		for i := range views {
			views[i] = drawView(t, all, all[i%len(all)].Host)
		}
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			for _, n := range nodes {
				view := views[rapid.IntRange(0, len(views)-1).Draw(t, "view")]
				n.follow(config, view)
			}
			checkConnections(t, nodes, dispatchers, limit)
		}
	})
}

// drawNodes draws the nodes of a fleet.
func drawNodes(t *rapid.T, dispatchers int, settings dispatch.Settings) ([]model.Member, []*node) {
	var all []model.Member
	var nodes []*node
	for i := range rapid.IntRange(2, 8).Draw(t, "nodes") {
		m := model.Member{
			Host:          model.HostID(fmt.Sprintf("n%d", i)),
			FailureDomain: model.FailureDomain(fmt.Sprintf("d%d", i%3)),
			State:         model.Serving,
		}
		placement := entry.New(entry.Settings{SubsetSize: 4, Dispatchers: dispatchers})
		all = append(all, m)
		nodes = append(nodes, &node{
			self:  m,
			state: dispatch.NewWith(placement, settings),
			held:  make(map[model.ConnectionID]bool),
		})
	}
	return all, nodes
}

// checkConnections counts the connections of all nodes to the upstream.
func checkConnections(t *rapid.T, nodes []*node, dispatchers, limit int) {
	total, holders := 0, 0
	for _, n := range nodes {
		total += len(n.held)
		if len(n.held) > 0 {
			holders++
		}
	}
	if holders <= dispatchers+1 && total > limit {
		t.Fatalf("%d connections of %d with %d of %d dispatchers", total, limit, holders, dispatchers)
	}
	if total > holders*limit/(dispatchers+1) {
		t.Fatalf("%d connections with %d dispatchers, limit %d", total, holders, limit)
	}
}

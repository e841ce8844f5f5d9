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

// fixedView is a membership view with a fixed list of members.
type fixedView []model.Member

func (v fixedView) Members() []model.Member { return v }

func (v fixedView) Member(host model.HostID) (model.Member, bool) {
	for _, m := range v {
		if m.Host == host {
			return m, true
		}
	}
	return model.Member{}, false
}

// node is a dispatcher with the connections that it holds.
type node struct {
	self        model.Member
	state       *dispatch.State
	timers      timer.Queue
	connections map[model.ConnectionID]bool
}

// applyView applies a membership view to the node. Connections open and close
// immediately.
func (n *node) applyView(config *model.Config, view fixedView) {
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
			n.connections[e.Connection] = true
			n.state.HandleOpened(ctx, event.ConnectionOpened{Connection: e.Connection})
		case effect.CloseConnection:
			delete(n.connections, e.Connection)
			n.state.HandleClosed(ctx, event.ConnectionClosed{Connection: e.Connection})
		}
	}
}

// drawView draws the subset of the members that a node sees. It always includes the
// node itself.
func drawView(t *rapid.T, all []model.Member, self model.HostID) fixedView {
	var view fixedView
	for _, m := range all {
		if m.Host == self || rapid.Bool().Draw(t, "sees") {
			view = append(view, m)
		}
	}
	return view
}

// TestConnectionsStayWithinTheLimit applies two or three different membership views
// to the nodes in turn. As long as at most W+1 nodes dispatch for the upstream, where
// W is the configured number of dispatchers, all nodes together hold no more
// connections than the upstream accepts. In general, k dispatchers hold at most
// k/(W+1) of the limit.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dispatchers := rapid.IntRange(1, 4).Draw(t, "W")
		limit := rapid.IntRange(dispatchers+1, 120).Draw(t, "limit")
		settings := dispatch.Settings{OpenAll: rapid.Bool().Draw(t, "open all")}
		upstream := model.Upstream{ID: "counter-1/a", Slots: rapid.IntRange(1, 60).Draw(t, "slots"), MaxConnections: limit}
		config := &model.Config{Services: []model.Service{{Name: "counter-1", Upstreams: []model.Upstream{upstream}}}}
		all, nodes := drawNodes(t, dispatchers, settings)
		views := make([]fixedView, rapid.IntRange(2, 3).Draw(t, "views"))
		for i := range views {
			views[i] = drawView(t, all, all[i%len(all)].Host)
		}
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			for _, n := range nodes {
				view := views[rapid.IntRange(0, len(views)-1).Draw(t, "view")]
				n.applyView(config, view)
			}
			checkConnections(t, nodes, dispatchers, limit)
		}
	})
}

// drawNodes draws the members of a cluster and their dispatchers.
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
			self:        m,
			state:       dispatch.NewWith(placement, settings),
			connections: make(map[model.ConnectionID]bool),
		})
	}
	return all, nodes
}

// checkConnections checks the number of connections of all nodes to the upstream.
func checkConnections(t *rapid.T, nodes []*node, dispatchers, limit int) {
	total, holders := 0, 0
	for _, n := range nodes {
		total += len(n.connections)
		if len(n.connections) > 0 {
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

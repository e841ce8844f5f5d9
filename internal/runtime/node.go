package runtime

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/credentials"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/metrics"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer"
	"github.com/hawthorntack/hawthorntack/internal/platform"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/upstream"
)

// Options holds the settings and dependencies of a Node.
type Options struct {
	Settings reducer.Settings
	Store    platform.Store
	Hosts    platform.HostLister
	// PeerListener accepts the connections of peers.
	PeerListener net.Listener
	// PeerServerCredentials and PeerClientCredentials secure the streams between
	// nodes, for accepted and dialed connections.
	PeerServerCredentials credentials.TransportCredentials
	PeerClientCredentials credentials.TransportCredentials
	// UpstreamTLS secures the connections to upstreams; nil means plain TCP.
	UpstreamTLS *tls.Config
	Metrics     prometheus.Registerer
	Log         *logrus.Logger
	Seed        uint64
}

// Node is a node on a platform with a key-value store.
type Node struct {
	core
	options Options
	// operators is nil until the node has received a configuration.
	operators atomic.Pointer[[]model.Operator]
}

// NewNode returns a node. Run starts it.
func NewNode(options Options) *Node {
	n := &Node{core: newCore(options.Log), options: options}
	observer := metrics.NewObserver(options.Metrics)
	n.loop = NewLoop(reducer.New(options.Settings), n, observer, options.Seed)
	n.calls = NewCalls(n.loop.Submit, n.loop.Done())
	n.pool = upstream.NewPool(options.UpstreamTLS, n.loop.Submit)
	n.client = peer.NewClient(options.Settings.Self, options.PeerClientCredentials, n)
	n.server = peer.NewServer(options.Settings.Self.Host, options.PeerServerCredentials, n)
	return n
}

// Operators returns the operators in the configuration in force, and false until the
// node has received a configuration.
func (n *Node) Operators() ([]model.Operator, bool) {
	operators := n.operators.Load()
	if operators == nil {
		return nil, false
	}
	return *operators, true
}

// Run runs the node until the reducer exits, the context ends, or the peer server fails.
// It returns the number of requests that were still open when the reducer exited, and
// the error of the peer server.
func (n *Node) Run(ctx context.Context) (openRequests int, err error) {
	serving := make(chan error, 1)
	go func() { serving <- n.server.Serve(n.options.PeerListener) }()
	go n.loop.Run(n.ctx)
	defer n.close()
	select {
	case e := <-n.exited:
		return e.OpenRequests, nil
	case <-ctx.Done():
		return 0, nil
	case err := <-serving:
		return 0, fmt.Errorf("serve peers of node %s: %w", n.options.Settings.Self.Host, err)
	}
}

// PeerLost implements peer.Listener.
func (n *Node) PeerLost(host model.HostID) {
	n.loop.Submit(event.PeerLost{Host: host})
}

// Execute implements Executor.
func (n *Node) Execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.ReplyCaller:
		n.calls.Reply(e.Call, e)
	case effect.ReplyStatement:
		n.calls.Reply(e.Call, e)
	case effect.PublishOperators:
		n.operators.Store(&e.Operators)
	default:
		n.execute(e)
		n.executeUpstream(e)
		n.executePlatform(e)
	}
}

// executeUpstream executes the effects that concern upstreams.
func (n *Node) executeUpstream(e effect.Effect) {
	switch e := e.(type) {
	case effect.SendUpstream:
		n.pool.Send(e)
	case effect.CancelUpstream:
		n.pool.Cancel(e)
	case effect.ReadUpstreamStatus:
		n.pool.ReadStatus(e)
	}
}

// executePlatform executes the effects that concern the platform.
func (n *Node) executePlatform(e effect.Effect) {
	switch e := e.(type) {
	case effect.CallStore:
		go n.callStore(e)
	case effect.ReadHostList:
		go func() { n.loop.Submit(n.options.Hosts.Hosts(n.ctx)) }()
	}
}

// callStore calls the key-value store with the effect's timeout and submits the result
// to the reducer.
func (n *Node) callStore(e effect.CallStore) {
	ctx, cancel := context.WithTimeout(n.ctx, e.Timeout)
	defer cancel()
	result := n.options.Store.Call(ctx, e)
	result.Operation = e.Operation
	n.loop.Submit(result)
}

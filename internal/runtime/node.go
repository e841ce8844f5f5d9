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

// Options are what a node needs from outside.
type Options struct {
	Settings reducer.Settings
	Store    platform.Store
	Hosts    platform.HostLister
	// PeerListener takes the peers' connections.
	PeerListener net.Listener
	// PeerServerCredentials and PeerClientCredentials secure the streams between
	// nodes.
	PeerServerCredentials credentials.TransportCredentials
	PeerClientCredentials credentials.TransportCredentials
	// UpstreamTLS secures the connections to upstreams; nil means plain TCP.
	UpstreamTLS *tls.Config
	Registry    prometheus.Registerer
	Log         *logrus.Logger
	Seed        uint64
}

// Node is one running node.
type Node struct {
	core
	options Options
	// operators is nil until the node knows a configuration.
	operators atomic.Pointer[[]model.Operator]
}

// NewNode returns a node that does not run yet.
func NewNode(options Options) *Node {
	n := &Node{core: newCore(options.Log), options: options}
	observer := metrics.NewObserver(options.Registry)
	n.loop = NewLoop(reducer.New(options.Settings), n, observer, options.Seed)
	n.calls = NewCalls(n.loop.Submit, n.loop.Done())
	n.pool = upstream.NewPool(options.UpstreamTLS, n.loop.Submit)
	n.client = peer.NewClient(options.Settings.Self, options.PeerClientCredentials, n)
	n.server = peer.NewServer(options.Settings.Self.Host, options.PeerServerCredentials, n)
	return n
}

// Operators returns the operators in force, and false while the node does not
// know a configuration.
func (n *Node) Operators() ([]model.Operator, bool) {
	operators := n.operators.Load()
	if operators == nil {
		return nil, false
	}
	return *operators, true
}

// Run runs the node until the reducer exits or the context ends. It returns the
// number of requests that were cut.
func (n *Node) Run(ctx context.Context) (cut int, err error) {
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
		return 0, fmt.Errorf("node %s: %w", n.options.Settings.Self.Host, err)
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

// executeUpstream carries out what concerns upstreams.
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

// executePlatform carries out what concerns the platform.
func (n *Node) executePlatform(e effect.Effect) {
	switch e := e.(type) {
	case effect.CallStore:
		go n.callStore(e)
	case effect.ReadHostList:
		go func() { n.loop.Submit(n.options.Hosts.Hosts(n.ctx)) }()
	}
}

// callStore calls the key-value service within the call's timeout.
func (n *Node) callStore(e effect.CallStore) {
	ctx, cancel := context.WithTimeout(n.ctx, e.Timeout)
	defer cancel()
	result := n.options.Store.Call(ctx, e)
	result.Operation = e.Operation
	n.loop.Submit(result)
}

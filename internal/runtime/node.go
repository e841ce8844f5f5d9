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
	"github.com/hawthorntack/hawthorntack/internal/message"
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
	options Options
	loop    *Loop
	calls   *Calls
	pool    *upstream.Pool
	client  *peer.Client
	server  *peer.Server
	ctx     context.Context
	cancel  context.CancelFunc
	exited  chan effect.Exit
	// operators is nil until the node knows a configuration.
	operators atomic.Pointer[[]model.Operator]
}

// NewNode returns a node that does not run yet.
func NewNode(options Options) *Node {
	n := &Node{options: options, exited: make(chan effect.Exit, 1)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	observer := metrics.NewObserver(options.Registry)
	n.loop = NewLoop(reducer.New(options.Settings), n, observer, options.Seed)
	n.calls = NewCalls(n.loop.Submit, n.loop.Done())
	n.pool = upstream.NewPool(options.UpstreamTLS, n.loop.Submit)
	n.client = peer.NewClient(options.Settings.Self, options.PeerClientCredentials, n)
	n.server = peer.NewServer(options.Settings.Self.Host, options.PeerServerCredentials, n)
	return n
}

// Calls returns the table that joins HTTP handlers with the reducer.
func (n *Node) Calls() *Calls { return n.calls }

// Operators returns the operators in force, and false while the node does not
// know a configuration.
func (n *Node) Operators() ([]model.Operator, bool) {
	operators := n.operators.Load()
	if operators == nil {
		return nil, false
	}
	return *operators, true
}

// Submit passes an event to the reducer.
func (n *Node) Submit(e event.Event) { n.loop.Submit(e) }

// Run runs the node until the reducer exits or the context ends. It returns the
// number of requests that were cut.
func (n *Node) Run(ctx context.Context) (cut int, err error) {
	serving := make(chan error, 1)
	go func() { serving <- n.server.Serve(n.options.PeerListener) }()
	go n.loop.Run(n.ctx)
	defer n.close()
	select {
	case e := <-n.exited:
		return e.Cut, nil
	case <-ctx.Done():
		return 0, nil
	case err := <-serving:
		return 0, fmt.Errorf("node %s: %w", n.options.Settings.Self.Host, err)
	}
}

// close ends the loop and all sockets.
func (n *Node) close() {
	n.cancel()
	<-n.loop.Done()
	n.server.Stop()
	n.client.Close()
	n.pool.CloseAll()
}

// PeerMessage implements peer.Listener.
func (n *Node) PeerMessage(from model.HostID, incarnation model.Incarnation, m message.Message) {
	n.loop.Submit(event.PeerMessage{From: from, Incarnation: incarnation, Message: m})
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
	case effect.ReplyEntry:
		n.calls.Reply(e.Call, e)
	case effect.ReplyStatement:
		n.calls.Reply(e.Call, e)
	case effect.ReplyDump:
		n.calls.Reply(e.Call, e)
	case effect.SendPeer:
		n.client.Send(e.To, e.Address, e.Message)
	case effect.Log:
		writeLog(n.options.Log, e)
	case effect.PublishOperators:
		n.operators.Store(&e.Operators)
	case effect.Exit:
		n.exit(e)
	default:
		n.executeUpstream(e)
		n.executePlatform(e)
	}
}

// executeUpstream carries out what concerns upstreams.
func (n *Node) executeUpstream(e effect.Effect) {
	switch e := e.(type) {
	case effect.OpenConnection:
		n.pool.Open(e)
	case effect.CloseConnection:
		n.pool.Close(e)
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

// exit tells Run that the reducer has finished.
func (n *Node) exit(e effect.Exit) {
	select {
	case n.exited <- e:
	default:
	}
}

package runtime

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/metrics"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer"
	"github.com/hawthorntack/hawthorntack/internal/platform"
	"github.com/hawthorntack/hawthorntack/internal/reducer/edge"
	"github.com/hawthorntack/hawthorntack/internal/upstream"
)

// EdgeOptions are what a node on a platform with a registry needs from outside.
type EdgeOptions struct {
	Settings edge.Settings
	Registry platform.Registry
	Codec    upstream.Codec
	// PeerListener takes the streams of other nodes.
	PeerListener net.Listener
	// CloseEntrance ends the listening for callers. It must not block.
	CloseEntrance func()
	Metrics       prometheus.Registerer
	Log           *logrus.Logger
	Seed          uint64
}

// Edge is one running node on a platform with a registry.
type Edge struct {
	core
	options EdgeOptions
	ready   atomic.Bool
	// last counts the calls that must not be cut by the exit.
	last sync.WaitGroup
}

// NewEdge returns a node that does not run yet.
func NewEdge(options EdgeOptions) *Edge {
	n := &Edge{core: newCore(options.Log), options: options}
	n.loop = NewLoop(edge.New(options.Settings), n, metrics.NewObserver(options.Metrics), options.Seed)
	n.calls = NewCalls(n.loop.Submit, n.loop.Done())
	n.pool = upstream.NewPool(nil, n.loop.Submit)
	n.pool.SetCodec(options.Codec)
	n.client = peer.NewClient(options.Settings.Self, insecure.NewCredentials(), n)
	n.server = peer.NewServer(options.Settings.Self.Host, insecure.NewCredentials(), n)
	return n
}

// Ready reports whether the node serves callers.
func (n *Edge) Ready() bool { return n.ready.Load() }

// withdrawTime bounds the last call to the registry.
const withdrawTime = 200 * time.Millisecond

// Run runs the node until the reducer exits or the context ends. It returns the
// number of requests that were cut.
func (n *Edge) Run(ctx context.Context) (cut int) {
	go n.servePeers()
	go n.loop.Run(n.ctx)
	select {
	case e := <-n.exited:
		cut = e.OpenRequests
		n.awaitLast()
	case <-ctx.Done():
	}
	n.close()
	return cut
}

// servePeers takes the streams of other nodes. Without them the node reads by
// itself, so a failure costs calls to the registry and nothing else.
func (n *Edge) servePeers() {
	if err := n.server.Serve(n.options.PeerListener); err != nil {
		n.options.Log.WithField("component", "peer").WithError(err).Warn("no streams from other nodes")
	}
}

// PeerLost implements peer.Listener. Followers ask again by themselves.
func (n *Edge) PeerLost(host model.HostID) { n.loop.Submit(event.PeerLost{Host: host}) }

// awaitLast waits for the calls that must not be cut.
func (n *Edge) awaitLast() {
	finished := make(chan struct{})
	go func() {
		n.last.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(withdrawTime):
	}
}

// Execute implements Executor.
func (n *Edge) Execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.ReplyForward:
		n.calls.Reply(e.Call, e)
	case effect.SendForward:
		n.pool.Forward(e)
	case effect.CallRegistry:
		n.callRegistry(e)
	case effect.CloseCallerListeners:
		n.options.CloseEntrance()
	case effect.PublishReady:
		n.ready.Store(e.Ready)
	default:
		n.execute(e)
	}
}

// callRegistry calls the registry within the call's timeout.
func (n *Edge) callRegistry(e effect.CallRegistry) {
	if e.Verb == effect.Withdraw {
		n.last.Add(1)
	}
	go func() {
		if e.Verb == effect.Withdraw {
			defer n.last.Done()
		}
		ctx, cancel := context.WithTimeout(n.ctx, e.Timeout)
		defer cancel()
		result := n.options.Registry.Call(ctx, e)
		result.Operation = e.Operation
		n.loop.Submit(result)
	}()
}

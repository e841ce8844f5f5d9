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

// EdgeOptions holds the settings and dependencies of an Edge.
type EdgeOptions struct {
	Settings edge.Settings
	Registry platform.Registry
	Codec    upstream.Codec
	// PeerListener accepts the streams of other nodes.
	PeerListener net.Listener
	// CloseCallerListeners closes the listeners for callers. It must not block.
	CloseCallerListeners func()
	// SetRequestLimits applies the operators' limits on single requests. It must not block.
	SetRequestLimits func(model.RequestLimits)
	// ReplyMemory bounds the bytes of all large replies that arrive from upstreams at the same time.
	ReplyMemory int64
	Metrics     prometheus.Registerer
	Log         *logrus.Logger
	// Seed initializes the generator of the random values in event envelopes.
	Seed uint64
}

// Edge is a node on a platform with a registry.
type Edge struct {
	core
	options EdgeOptions
	ready   atomic.Bool
	// withdrawals tracks the withdraw calls to the registry, which Run waits for
	// before it closes the node.
	withdrawals sync.WaitGroup
}

// NewEdge returns a node. Run starts it.
func NewEdge(options EdgeOptions) *Edge {
	n := &Edge{core: newCore(options.Log), options: options}
	n.loop = NewLoop(edge.New(options.Settings), n, metrics.NewObserver(options.Metrics), options.Seed)
	n.calls = NewCalls(n.loop.Submit, n.loop.Done())
	n.pool = upstream.NewPool(nil, n.loop.Submit)
	n.pool.SetCodec(options.Codec)
	n.pool.SetReplyMemory(options.ReplyMemory)
	n.client = peer.NewClient(options.Settings.Self, insecure.NewCredentials(), n)
	n.server = peer.NewServer(options.Settings.Self.Host, insecure.NewCredentials(), n)
	return n
}

// Ready reports whether the node serves callers.
func (n *Edge) Ready() bool { return n.ready.Load() }

// withdrawTimeout bounds the wait for withdraw calls to the registry at exit.
const withdrawTimeout = 200 * time.Millisecond

// Run runs the node until the reducer exits or the context ends. It returns the number
// of requests that were still open when the reducer exited, and zero if the context
// ended.
func (n *Edge) Run(ctx context.Context) (openRequests int) {
	go n.servePeers()
	go n.loop.Run(n.ctx)
	select {
	case e := <-n.exited:
		openRequests = e.OpenRequests
		n.awaitWithdrawals()
	case <-ctx.Done():
	}
	n.close()
	return openRequests
}

// servePeers accepts the streams of other nodes. Without them the node reads the
// registry itself, so a failure only causes additional calls to the registry.
func (n *Edge) servePeers() {
	if err := n.server.Serve(n.options.PeerListener); err != nil {
		n.options.Log.WithField("component", "peer").WithError(err).Warn("cannot accept streams of other nodes")
	}
}

// PeerLost implements peer.Listener. Nodes that subscribe to another node's registry
// view subscribe again on their own.
func (n *Edge) PeerLost(host model.HostID) { n.loop.Submit(event.PeerLost{Host: host}) }

// awaitWithdrawals waits for pending withdraw calls, at most for withdrawTimeout.
func (n *Edge) awaitWithdrawals() {
	finished := make(chan struct{})
	go func() {
		n.withdrawals.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(withdrawTimeout):
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
		n.options.CloseCallerListeners()
	case effect.LimitRequests:
		n.options.SetRequestLimits(e.Limits)
	case effect.PublishReady:
		n.ready.Store(e.Ready)
	default:
		n.execute(e)
	}
}

// callRegistry calls the registry in a new goroutine, with the effect's timeout, and
// submits the result to the reducer.
func (n *Edge) callRegistry(e effect.CallRegistry) {
	if e.Verb == effect.Withdraw {
		n.withdrawals.Add(1)
	}
	go func() {
		if e.Verb == effect.Withdraw {
			defer n.withdrawals.Done()
		}
		ctx, cancel := context.WithTimeout(n.ctx, e.Timeout)
		defer cancel()
		result := n.options.Registry.Call(ctx, e)
		result.Operation = e.Operation
		n.loop.Submit(result)
	}()
}

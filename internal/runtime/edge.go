package runtime

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/metrics"
	"github.com/hawthorntack/hawthorntack/internal/platform"
	"github.com/hawthorntack/hawthorntack/internal/reducer/edge"
	"github.com/hawthorntack/hawthorntack/internal/upstream"
)

// EdgeOptions are what a node on a platform with a registry needs from outside.
type EdgeOptions struct {
	Settings edge.Settings
	Registry platform.Registry
	Codec    upstream.Codec
	// CloseEntrance ends the listening for callers. It must not block.
	CloseEntrance func()
	Metrics       prometheus.Registerer
	Log           *logrus.Logger
	Seed          uint64
}

// Edge is one running node on a platform with a registry.
type Edge struct {
	options EdgeOptions
	loop    *Loop
	calls   *Calls
	pool    *upstream.Pool
	ctx     context.Context
	cancel  context.CancelFunc
	exited  chan effect.Exit
	ready   atomic.Bool
	// last counts the calls that must not be cut by the exit.
	last sync.WaitGroup
}

// NewEdge returns a node that does not run yet.
func NewEdge(options EdgeOptions) *Edge {
	n := &Edge{options: options, exited: make(chan effect.Exit, 1)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.loop = NewLoop(edge.New(options.Settings), n, metrics.NewObserver(options.Metrics), options.Seed)
	n.calls = NewCalls(n.loop.Submit, n.loop.Done())
	n.pool = upstream.NewPool(nil, n.loop.Submit)
	n.pool.SetCodec(options.Codec)
	return n
}

// Calls returns the table that joins HTTP handlers with the reducer.
func (n *Edge) Calls() *Calls { return n.calls }

// Ready reports whether the node serves callers.
func (n *Edge) Ready() bool { return n.ready.Load() }

// Submit passes an event to the reducer.
func (n *Edge) Submit(e event.Event) { n.loop.Submit(e) }

// withdrawTime bounds the last call to the registry.
const withdrawTime = 200 * time.Millisecond

// Run runs the node until the reducer exits or the context ends. It returns the
// number of requests that were cut.
func (n *Edge) Run(ctx context.Context) (cut int) {
	go n.loop.Run(n.ctx)
	select {
	case e := <-n.exited:
		cut = e.Cut
		n.awaitLast()
	case <-ctx.Done():
	}
	n.cancel()
	<-n.loop.Done()
	n.pool.CloseAll()
	return cut
}

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
	case effect.ReplyEntry:
		n.calls.Reply(e.Call, e)
	case effect.ReplyDump:
		n.calls.Reply(e.Call, e)
	case effect.OpenConnection:
		n.pool.Open(e)
	case effect.CloseConnection:
		n.pool.Close(e)
	case effect.SendForward:
		n.pool.Forward(e)
	case effect.CallRegistry:
		n.callRegistry(e)
	case effect.CloseEntrance:
		n.options.CloseEntrance()
	case effect.PublishReady:
		n.ready.Store(e.Ready)
	case effect.Log:
		writeLog(n.options.Log, e)
	case effect.Exit:
		select {
		case n.exited <- e:
		default:
		}
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

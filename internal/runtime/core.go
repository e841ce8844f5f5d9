package runtime

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer"
	"github.com/hawthorntack/hawthorntack/internal/upstream"
)

// core holds what all kinds of nodes share: the event loop, the callers' pending calls,
// and the connections to upstreams and other nodes.
type core struct {
	log    *logrus.Logger
	loop   *Loop
	calls  *Calls
	pool   *upstream.Pool
	client *peer.Client
	server *peer.Server
	ctx    context.Context
	cancel context.CancelFunc
	exited chan effect.Exit
}

// newCore returns a core without its loop and connections.
func newCore(log *logrus.Logger) core {
	c := core{log: log, exited: make(chan effect.Exit, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Calls returns the table of calls that HTTP handlers use to reach the reducer.
func (c *core) Calls() *Calls { return c.calls }

// Submit passes an event to the reducer.
func (c *core) Submit(e event.Event) { c.loop.Submit(e) }

// PeerMessage implements peer.Listener.
func (c *core) PeerMessage(from model.HostID, incarnation model.Incarnation, m message.Message) {
	c.loop.Submit(event.PeerMessage{From: from, Incarnation: incarnation, Message: m})
}

// execute executes the effects that all kinds of nodes share and ignores all others.
func (c *core) execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.ReplyEntry:
		c.calls.Reply(e.Call, e)
	case effect.ReplyDump:
		c.calls.Reply(e.Call, e)
	case effect.OpenConnection:
		c.pool.Open(e)
	case effect.CloseConnection:
		c.pool.Close(e)
	case effect.SendPeer:
		c.client.Send(e.To, e.Address, e.Message)
	case effect.Log:
		writeLog(c.log, e)
	case effect.Exit:
		c.exit(e)
	}
}

// exit notifies Run that the reducer has finished. Only the first call has an effect.
func (c *core) exit(e effect.Exit) {
	select {
	case c.exited <- e:
	default:
	}
}

// close ends the loop, waits for it, and closes all peer and upstream connections.
func (c *core) close() {
	c.cancel()
	<-c.loop.Done()
	c.server.Stop()
	c.client.Close()
	c.pool.CloseAll()
}

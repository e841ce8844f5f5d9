package runtime

import (
	"context"
	"fmt"
	"sync"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Calls connects HTTP handlers with the reducer: a handler submits an event and blocks
// until the reducer replies with the call's identifier. Its methods are safe for
// concurrent use.
type Calls struct {
	submit func(event.Event)
	done   <-chan struct{}

	mu      sync.Mutex
	next    model.CallID
	pending map[model.CallID]chan effect.Effect
}

// NewCalls returns an empty table of calls. Pending calls fail with StoppedError when
// the done channel is closed, which the loop does when it ends.
func NewCalls(submit func(event.Event), done <-chan struct{}) *Calls {
	return &Calls{submit: submit, done: done, pending: make(map[model.CallID]chan effect.Effect)}
}

// StoppedError reports that the node's loop ended before the reducer replied.
type StoppedError struct{}

// Error implements error.
func (StoppedError) Error() string { return "the node has stopped" }

// Search runs a search. It returns the context's error if the context ends first.
func (c *Calls) Search(ctx context.Context, e event.Search) (model.Answer, error) {
	reply, err := call[effect.ReplyCaller](ctx, c, func(id model.CallID) event.Event {
		e.Call = id
		return e
	})
	return reply.Answer, err
}

// Order runs an order. It returns the context's error if the context ends first.
func (c *Calls) Order(ctx context.Context, e event.Order) (model.Answer, error) {
	reply, err := call[effect.ReplyCaller](ctx, c, func(id model.CallID) event.Event {
		e.Call = id
		return e
	})
	return reply.Answer, err
}

// Forward runs a routed request. It returns the context's error if the context ends
// first.
func (c *Calls) Forward(ctx context.Context, request *model.ForwardRequest) (model.ForwardAnswer, error) {
	reply, err := call[effect.ReplyForward](ctx, c, func(id model.CallID) event.Event {
		return event.Forward{Call: id, Request: request}
	})
	return reply.Answer, err
}

// Entry returns the addresses that callers should use for a service.
func (c *Calls) Entry(ctx context.Context, service string) (effect.ReplyEntry, error) {
	return call[effect.ReplyEntry](ctx, c, func(id model.CallID) event.Event {
		return event.Entry{Call: id, Service: service}
	})
}

// Statement runs the statements in an operator's text.
func (c *Calls) Statement(ctx context.Context, e event.Statement) (effect.StatementResult, error) {
	reply, err := call[effect.ReplyStatement](ctx, c, func(id model.CallID) event.Event {
		e.Call = id
		return e
	})
	return reply.Result, err
}

// Dump returns a dump of the reducer's state as JSON.
func (c *Calls) Dump(ctx context.Context) ([]byte, error) {
	reply, err := call[effect.ReplyDump](ctx, c, func(id model.CallID) event.Event {
		return event.DumpRequest{Call: id}
	})
	return reply.JSON, err
}

// UnexpectedReplyError reports a reply whose type does not match the call.
type UnexpectedReplyError struct {
	Reply effect.Effect
}

// Error implements error.
func (e *UnexpectedReplyError) Error() string { return fmt.Sprintf("unexpected reply %T", e.Reply) }

// call submits an event and waits for a reply of type R. It returns the context's error
// if the context ends first, StoppedError if the loop ends first, and
// *UnexpectedReplyError for a reply of another type.
func call[R effect.Effect](ctx context.Context, c *Calls, build func(model.CallID) event.Event) (R, error) {
	var none R
	reply, err := c.roundTrip(ctx, build)
	if err != nil {
		return none, err
	}
	expected, ok := reply.(R)
	if !ok {
		return none, &UnexpectedReplyError{Reply: reply}
	}
	return expected, nil
}

// roundTrip submits an event with a new call identifier and waits for the reply.
func (c *Calls) roundTrip(ctx context.Context, build func(model.CallID) event.Event) (effect.Effect, error) {
	id, reply := c.register()
	c.submit(build(id))
	select {
	case e := <-reply:
		return e, nil
	case <-ctx.Done():
		c.unregister(id)
		c.submit(event.CallerGone{Call: id})
		return nil, ctx.Err()
	case <-c.done:
		return replyBeforeStop(reply)
	}
}

// replyBeforeStop returns a reply that was delivered before the loop ended, or
// StoppedError if there is none.
func replyBeforeStop(reply chan effect.Effect) (effect.Effect, error) {
	select {
	case e := <-reply:
		return e, nil
	default:
		return nil, StoppedError{}
	}
}

// register adds a pending call and returns its identifier and reply channel.
func (c *Calls) register() (model.CallID, chan effect.Effect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	reply := make(chan effect.Effect, 1)
	c.pending[c.next] = reply
	return c.next, reply
}

// unregister removes a pending call and returns its reply channel, or nil if the call is
// not pending.
func (c *Calls) unregister(id model.CallID) chan effect.Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := c.pending[id]
	delete(c.pending, id)
	return reply
}

// Reply delivers the reply to a pending call. It ignores calls that are no longer
// pending.
func (c *Calls) Reply(id model.CallID, e effect.Effect) {
	if reply := c.unregister(id); reply != nil {
		reply <- e
	}
}

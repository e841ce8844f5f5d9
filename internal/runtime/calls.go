package runtime

import (
	"context"
	"fmt"
	"sync"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Calls joins the HTTP handlers, which wait, with the reducer, which replies
// later by call identifier.
type Calls struct {
	submit func(event.Event)
	done   <-chan struct{}

	mu      sync.Mutex
	next    model.CallID
	waiting map[model.CallID]chan effect.Effect
}

// NewCalls returns an empty table. The done channel ends all waiting when the
// loop has ended.
func NewCalls(submit func(event.Event), done <-chan struct{}) *Calls {
	return &Calls{submit: submit, done: done, waiting: make(map[model.CallID]chan effect.Effect)}
}

// StoppedError reports that the node's loop has ended before it replied.
type StoppedError struct{}

// Error implements error.
func (StoppedError) Error() string { return "the node has stopped" }

// Search runs a search; it returns the context's error when the caller is gone.
func (c *Calls) Search(ctx context.Context, e event.Search) (model.Answer, error) {
	reply, err := call[effect.ReplyCaller](ctx, c, func(id model.CallID) event.Event {
		e.Call = id
		return e
	})
	return reply.Answer, err
}

// Order runs an order; it returns the context's error when the caller is gone.
func (c *Calls) Order(ctx context.Context, e event.Order) (model.Answer, error) {
	reply, err := call[effect.ReplyCaller](ctx, c, func(id model.CallID) event.Event {
		e.Call = id
		return e
	})
	return reply.Answer, err
}

// Forward runs a routed request; it returns the context's error when the caller is
// gone.
func (c *Calls) Forward(ctx context.Context, request *model.ForwardRequest) (model.ForwardAnswer, error) {
	reply, err := call[effect.ReplyForward](ctx, c, func(id model.CallID) event.Event {
		return event.Forward{Call: id, Request: request}
	})
	return reply.Answer, err
}

// Entry asks which addresses to use for a service.
func (c *Calls) Entry(ctx context.Context, service string) (effect.ReplyEntry, error) {
	return call[effect.ReplyEntry](ctx, c, func(id model.CallID) event.Event {
		return event.Entry{Call: id, Service: service}
	})
}

// Statement runs an operator's text.
func (c *Calls) Statement(ctx context.Context, e event.Statement) (effect.StatementResult, error) {
	reply, err := call[effect.ReplyStatement](ctx, c, func(id model.CallID) event.Event {
		e.Call = id
		return e
	})
	return reply.Result, err
}

// Dump returns the state dump as JSON.
func (c *Calls) Dump(ctx context.Context) ([]byte, error) {
	reply, err := call[effect.ReplyDump](ctx, c, func(id model.CallID) event.Event {
		return event.DumpRequest{Call: id}
	})
	return reply.JSON, err
}

// UnexpectedReplyError reports a reply of another kind than the call's.
type UnexpectedReplyError struct {
	Reply effect.Effect
}

// Error implements error.
func (e *UnexpectedReplyError) Error() string { return fmt.Sprintf("unexpected reply %T", e.Reply) }

// call submits an event and waits for a reply of one kind; it returns the
// context's error when the caller is gone.
func call[R effect.Effect](ctx context.Context, c *Calls, build func(model.CallID) event.Event) (R, error) {
	var none R
	reply, err := c.do(ctx, build)
	if err != nil {
		return none, err
	}
	expected, ok := reply.(R)
	if !ok {
		return none, &UnexpectedReplyError{Reply: reply}
	}
	return expected, nil
}

// do submits an event under a new identifier and waits for the reply.
func (c *Calls) do(ctx context.Context, build func(model.CallID) event.Event) (effect.Effect, error) {
	id, reply := c.add()
	c.submit(build(id))
	select {
	case e := <-reply:
		return e, nil
	case <-ctx.Done():
		c.remove(id)
		c.submit(event.CallerGone{Call: id})
		return nil, ctx.Err()
	case <-c.done:
		return lastReply(reply)
	}
}

// lastReply returns a reply that came just before the loop ended.
func lastReply(reply chan effect.Effect) (effect.Effect, error) {
	select {
	case e := <-reply:
		return e, nil
	default:
		return nil, StoppedError{}
	}
}

// add opens a call.
func (c *Calls) add() (model.CallID, chan effect.Effect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	reply := make(chan effect.Effect, 1)
	c.waiting[c.next] = reply
	return c.next, reply
}

// remove closes a call.
func (c *Calls) remove(id model.CallID) chan effect.Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := c.waiting[id]
	delete(c.waiting, id)
	return reply
}

// Reply ends a call; a call that is gone is ignored.
func (c *Calls) Reply(id model.CallID, e effect.Effect) {
	if reply := c.remove(id); reply != nil {
		reply <- e
	}
}

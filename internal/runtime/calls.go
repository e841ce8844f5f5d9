package runtime

import (
	"context"
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
	reply, err := c.do(ctx, func(id model.CallID) event.Event {
		e.Call = id
		return e
	})
	if err != nil {
		return model.Answer{}, err
	}
	return reply.(effect.ReplyCaller).Answer, nil
}

// Order runs an order; it returns the context's error when the caller is gone.
func (c *Calls) Order(ctx context.Context, e event.Order) (model.Answer, error) {
	reply, err := c.do(ctx, func(id model.CallID) event.Event {
		e.Call = id
		return e
	})
	if err != nil {
		return model.Answer{}, err
	}
	return reply.(effect.ReplyCaller).Answer, nil
}

// Entry asks which addresses to use for a service.
func (c *Calls) Entry(ctx context.Context, service string) (effect.ReplyEntry, error) {
	reply, err := c.do(ctx, func(id model.CallID) event.Event {
		return event.Entry{Call: id, Service: service}
	})
	if err != nil {
		return effect.ReplyEntry{}, err
	}
	return reply.(effect.ReplyEntry), nil
}

// Statement runs an operator's text.
func (c *Calls) Statement(ctx context.Context, e event.Statement) (effect.StatementResult, error) {
	reply, err := c.do(ctx, func(id model.CallID) event.Event {
		e.Call = id
		return e
	})
	if err != nil {
		return effect.StatementResult{}, err
	}
	return reply.(effect.ReplyStatement).Result, nil
}

// Dump returns the state dump as JSON.
func (c *Calls) Dump(ctx context.Context) ([]byte, error) {
	reply, err := c.do(ctx, func(id model.CallID) event.Event {
		return event.DumpRequest{Call: id}
	})
	if err != nil {
		return nil, err
	}
	return reply.(effect.ReplyDump).JSON, nil
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

package virtual

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
)

// KeyValue is a Store that runs the stand-in key-value service in virtual time.
type KeyValue struct {
	// Store is the underlying service, on which callers may schedule faults.
	Store *kv.Store
	// Delay is the one-way delay of calls and replies.
	Delay time.Duration
	// pending holds the reply functions of calls whose results are delayed.
	pending map[kv.Ticket]func(event.StoreResult)
	// nextAdvance is the time of the next scheduled deliverDue.
	nextAdvance model.Instant
}

// NewKeyValue returns an empty key-value service with the given limits.
func NewKeyValue(limits kv.Limits) *KeyValue {
	return &KeyValue{
		Store:   kv.New(limits),
		Delay:   defaultStoreDelay / 2,
		pending: make(map[kv.Ticket]func(event.StoreResult)),
	}
}

// Call implements Store.
func (k *KeyValue) Call(w *World, _ model.HostID, call effect.CallStore, deliver func(event.StoreResult)) {
	reply := func(result event.StoreResult) {
		w.After(k.Delay, func() { deliver(result) })
	}
	w.After(k.Delay, func() {
		applied := k.Store.Apply(w.Now(), call)
		if applied.Ticket == 0 {
			reply(applied.Result)
		} else {
			k.pending[applied.Ticket] = reply
		}
		k.deliverDue(w)
	})
}

// deliverDue delivers the replies that are due and schedules its next call.
func (k *KeyValue) deliverDue(w *World) {
	for _, ready := range k.Store.Advance(w.Now()) {
		reply := k.pending[ready.Ticket]
		delete(k.pending, ready.Ticket)
		if reply != nil {
			reply(ready.Result)
		}
	}
	at, ok := k.Store.NextDue()
	if !ok || (k.nextAdvance > w.Now() && k.nextAdvance <= at) {
		return
	}
	k.nextAdvance = at
	w.At(at, func() { k.deliverDue(w) })
}

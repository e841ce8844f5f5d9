package virtual

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
)

// KeyValue is the stand-in key-value service under virtual time.
type KeyValue struct {
	// Store may be used to script faults.
	Store *kv.Store
	// Delay is the one-way delay of calls and replies.
	Delay   time.Duration
	waiting map[kv.Ticket]func(event.StoreResult)
	due     model.Instant
}

// NewKeyValue returns an empty service.
func NewKeyValue(limits kv.Limits) *KeyValue {
	return &KeyValue{
		Store:   kv.New(limits),
		Delay:   defaultStoreDelay / 2,
		waiting: make(map[kv.Ticket]func(event.StoreResult)),
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
			k.waiting[applied.Ticket] = reply
		}
		k.advance(w)
	})
}

// advance delivers the replies that have come due and schedules the next look.
func (k *KeyValue) advance(w *World) {
	for _, ready := range k.Store.Advance(w.Now()) {
		reply := k.waiting[ready.Ticket]
		delete(k.waiting, ready.Ticket)
		if reply != nil {
			reply(ready.Result)
		}
	}
	at, ok := k.Store.NextDue()
	if !ok || (k.due > w.Now() && k.due <= at) {
		return
	}
	k.due = at
	w.At(at, func() { k.advance(w) })
}

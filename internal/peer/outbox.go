package peer

import (
	"sync"

	"github.com/hawthorntack/hawthorntack/internal/message"
)

// outbox holds the messages that wait to be sent to one peer. It allocates memory
// only for queued messages.
type outbox struct {
	mu     sync.Mutex
	queued []message.Message
	// ready holds a token while messages are queued.
	ready chan struct{}
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

// push appends a message. It returns false if the outbox is full.
func (o *outbox) push(m message.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queued) >= maxQueuedMessages {
		return false
	}
	o.queued = append(o.queued, m)
	o.signal()
	return true
}

// take removes and returns the oldest messages, at most limit.
func (o *outbox) take(limit int) []message.Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queued) <= limit {
		taken := o.queued
		o.queued = nil
		return taken
	}
	taken := o.queued[:limit:limit]
	o.queued = o.queued[limit:]
	o.signal()
	return taken
}

// signal puts a token into ready unless there is one. The caller must hold mu.
func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

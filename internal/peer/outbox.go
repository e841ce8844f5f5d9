package peer

import (
	"sync"

	"github.com/hawthorntack/hawthorntack/internal/message"
)

// outbox holds the messages that wait for one peer. It takes memory only for
// what waits.
type outbox struct {
	mu      sync.Mutex
	waiting []message.Message
	// ready holds a token while messages wait.
	ready chan struct{}
}

func newOutbox() *outbox { return &outbox{ready: make(chan struct{}, 1)} }

// add queues a message. It reports false if the outbox is full.
func (o *outbox) add(m message.Message) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) >= outboxMessages {
		return false
	}
	o.waiting = append(o.waiting, m)
	o.signal()
	return true
}

// take returns the messages that wait, at most limit.
func (o *outbox) take(limit int) []message.Message {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) <= limit {
		taken := o.waiting
		o.waiting = nil
		return taken
	}
	taken := o.waiting[:limit:limit]
	o.waiting = o.waiting[limit:]
	o.signal()
	return taken
}

// signal leaves a token. The caller holds the lock.
func (o *outbox) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

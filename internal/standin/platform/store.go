package platform

import (
	"context"
	"sync"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
)

// store runs a kv.Store in real time. It is safe for concurrent use.
type store struct {
	mu      sync.Mutex
	inner   *kv.Store
	waiting map[kv.Ticket]chan event.StoreResult
	timer   *time.Timer
	closed  chan struct{}
}

// newStore returns a store around inner.
func newStore(inner *kv.Store) *store {
	s := &store{
		inner:   inner,
		waiting: make(map[kv.Ticket]chan event.StoreResult),
		closed:  make(chan struct{}),
	}
	s.timer = time.AfterFunc(time.Hour, s.onTimer)
	return s
}

// now returns the wall-clock time.
func now() model.Instant { return model.Instant(time.Now().UnixNano()) }

// call runs a call and waits for its reply. It reports false if the context ends or
// the store is closed before the reply.
func (s *store) call(ctx context.Context, call effect.CallStore) (event.StoreResult, bool) {
	result, ticket, reply := s.apply(call)
	if reply == nil {
		return result, true
	}
	select {
	case result := <-reply:
		return result, true
	case <-ctx.Done():
		s.cancel(ticket)
		return event.StoreResult{}, false
	case <-s.closed:
		return event.StoreResult{}, false
	}
}

// apply starts a call. The channel, which receives the result, is nil if the returned
// result is already final.
func (s *store) apply(call effect.CallStore) (event.StoreResult, kv.Ticket, chan event.StoreResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.inner.Apply(now(), call)
	var channel chan event.StoreResult
	if reply.Ticket != 0 {
		channel = make(chan event.StoreResult, 1)
		s.waiting[reply.Ticket] = channel
	}
	s.advance()
	return reply.Result, reply.Ticket, channel
}

// cancel drops a call whose caller no longer waits for it.
func (s *store) cancel(ticket kv.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, ticket)
	s.inner.Cancel(ticket)
}

// onTimer runs when inner has a reply or a write due.
func (s *store) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
}

// advance delivers the replies that are due and resets the timer. The caller holds
// the lock.
func (s *store) advance() {
	for _, reply := range s.inner.Advance(now()) {
		if channel := s.waiting[reply.Ticket]; channel != nil {
			channel <- reply.Result
			delete(s.waiting, reply.Ticket)
		}
	}
	if at, ok := s.inner.NextDue(); ok {
		s.timer.Reset(max(0, at.Sub(now())))
	}
}

// schedule adds a fault that is active from now on for a duration.
func (s *store) schedule(duration time.Duration, fault kv.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault.From = now()
	fault.Until = fault.From.Add(duration)
	s.inner.Schedule(fault)
	s.advance()
}

// clearFaults removes all faults.
func (s *store) clearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inner.ClearFaults()
}

// counts returns the number of calls of each kind.
func (s *store) counts() kv.Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inner.Calls()
}

// close ends all waiting calls.
func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
	close(s.closed)
}

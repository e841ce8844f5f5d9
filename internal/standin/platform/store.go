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

// store runs the pure key-value stand-in in real time.
type store struct {
	mu      sync.Mutex
	pure    *kv.Store
	waiting map[kv.Ticket]chan event.StoreResult
	timer   *time.Timer
	closed  chan struct{}
}

// newStore wraps a pure stand-in.
func newStore(pure *kv.Store) *store {
	s := &store{
		pure:    pure,
		waiting: make(map[kv.Ticket]chan event.StoreResult),
		closed:  make(chan struct{}),
	}
	s.timer = time.AfterFunc(time.Hour, s.wake)
	return s
}

// now returns the real time.
func now() model.Instant { return model.Instant(time.Now().UnixNano()) }

// call runs a call and waits for its reply. It reports false when there is none.
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

// apply runs a call; the channel is nil when the result is final.
func (s *store) apply(call effect.CallStore) (event.StoreResult, kv.Ticket, chan event.StoreResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.pure.Apply(now(), call)
	var channel chan event.StoreResult
	if reply.Ticket != 0 {
		channel = make(chan event.StoreResult, 1)
		s.waiting[reply.Ticket] = channel
	}
	s.advance()
	return reply.Result, reply.Ticket, channel
}

// cancel forgets a call whose caller is gone.
func (s *store) cancel(ticket kv.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, ticket)
	s.pure.Cancel(ticket)
}

// wake runs when the pure stand-in has something to do.
func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
}

// advance passes due replies on and sets the timer. The caller holds the lock.
func (s *store) advance() {
	for _, reply := range s.pure.Advance(now()) {
		if channel := s.waiting[reply.Ticket]; channel != nil {
			channel <- reply.Result
			delete(s.waiting, reply.Ticket)
		}
	}
	if at, ok := s.pure.NextDue(); ok {
		s.timer.Reset(max(0, at.Sub(now())))
	}
}

// schedule adds a fault from now on.
func (s *store) schedule(duration time.Duration, fault kv.Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault.From = now()
	fault.Until = fault.From.Add(duration)
	s.pure.Schedule(fault)
	s.advance()
}

// clearFaults removes all faults.
func (s *store) clearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pure.ClearFaults()
}

// counts returns the counts of calls.
func (s *store) counts() kv.Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pure.Calls()
}

// close ends all waiting calls.
func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
	close(s.closed)
}

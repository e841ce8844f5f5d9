package kv

import (
	"slices"
	"strings"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// FaultKind is the kind of a simulated fault.
type FaultKind string

// The kinds of faults.
const (
	// Down rejects all calls and ends waiting watches.
	Down FaultKind = "down"
	// Hang neither runs a call nor replies to it.
	Hang FaultKind = "hang"
	// Slow runs a call immediately and replies after Delay.
	Slow FaultKind = "slow"
	// LoseReply runs a call immediately and never replies.
	LoseReply FaultKind = "lose_reply"
	// DelayWrite never replies, and runs a write only after Delay.
	DelayWrite FaultKind = "delay_write"
)

// Known reports whether the kind is one of the above.
func (k FaultKind) Known() bool {
	switch k {
	case Down, Hang, Slow, LoseReply, DelayWrite:
		return true
	default:
		return false
	}
}

// Fault applies to the calls that match it from From until before Until.
type Fault struct {
	Kind  FaultKind     `json:"kind"`
	From  model.Instant `json:"from"`
	Until model.Instant `json:"until"`
	// Delay is used by Slow and DelayWrite.
	Delay time.Duration `json:"delay"`
	// Prefix limits the fault to keys with this prefix; empty means all keys.
	Prefix string `json:"prefix"`
	// WritesOnly limits the fault to writes.
	WritesOnly bool `json:"writes_only"`
	// Count is the number of calls that the fault applies to; zero means no limit.
	Count int `json:"count"`
}

// Schedule adds a fault.
func (s *Store) Schedule(fault Fault) { s.faults = append(s.faults, fault) }

// ClearFaults removes all faults. Writes that are already delayed still take effect.
func (s *Store) ClearFaults() { s.faults = nil }

// matchFault returns the first fault that matches a call, and counts the match.
func (s *Store) matchFault(now model.Instant, call effect.CallStore) (Fault, bool) {
	for i, fault := range s.faults {
		if !fault.matches(now, call) {
			continue
		}
		if fault.Count == 1 {
			s.faults = slices.Delete(s.faults, i, i+1)
		} else if fault.Count > 1 {
			s.faults[i].Count--
		}
		return fault, true
	}
	return Fault{}, false
}

// matches reports whether the fault applies to a call.
func (f Fault) matches(now model.Instant, call effect.CallStore) bool {
	if !f.active(now) || !strings.HasPrefix(call.Key, f.Prefix) {
		return false
	}
	writesOnly := f.WritesOnly || f.Kind == DelayWrite
	return !writesOnly || isWrite(call.Verb)
}

// active reports whether the fault is active at the time now.
func (f Fault) active(now model.Instant) bool { return f.From <= now && now < f.Until }

// isDown reports whether a Down fault on all keys and verbs is active.
func (s *Store) isDown(now model.Instant) bool {
	return slices.ContainsFunc(s.faults, func(f Fault) bool {
		return f.Kind == Down && f.active(now) && f.Prefix == "" && !f.WritesOnly
	})
}

// applyFault handles a call to which a fault applies. A call that gets no reply ends with
// event.StoreUnknown at its timeout.
func (s *Store) applyFault(now model.Instant, call effect.CallStore, fault Fault) Reply {
	unknown := event.StoreResult{Operation: call.Operation, Status: event.StoreUnknown}
	timeout := now.Add(call.Timeout)
	switch fault.Kind {
	case Down:
		return Reply{Result: event.StoreResult{Operation: call.Operation, Status: event.StoreRejected}}
	case Slow:
		return s.applySlow(now, call, fault.Delay)
	case LoseReply:
		if call.Verb != effect.StoreWatch {
			s.serve(now, call)
		}
	case DelayWrite:
		s.addPending(pendingCall{call: call, due: now.Add(fault.Delay), delayedWrite: true})
	case Hang:
	}
	return s.addPending(pendingCall{call: call, due: timeout, result: unknown})
}

// applySlow runs a call and delays its reply. If the delay reaches the call's timeout,
// the result is unknown. A watch that has to wait is not delayed further.
func (s *Store) applySlow(now model.Instant, call effect.CallStore, delay time.Duration) Reply {
	reply := s.serve(now, call)
	if reply.Ticket != 0 {
		return reply
	}
	if delay >= call.Timeout {
		unknown := event.StoreResult{Operation: call.Operation, Status: event.StoreUnknown}
		return s.addPending(pendingCall{call: call, due: now.Add(call.Timeout), result: unknown})
	}
	return s.addPending(pendingCall{call: call, due: now.Add(delay), result: reply.Result})
}

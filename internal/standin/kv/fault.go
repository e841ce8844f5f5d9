package kv

import (
	"slices"
	"strings"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// FaultKind is what goes wrong.
type FaultKind string

// The kinds of faults.
const (
	// Down refuses all calls and ends waiting watches.
	Down FaultKind = "down"
	// Hang neither runs nor answers a call.
	Hang FaultKind = "hang"
	// Slow runs a call at once and replies after Delay.
	Slow FaultKind = "slow"
	// LoseReply runs a call at once and never replies.
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

// Fault strikes the calls within a time that match it.
type Fault struct {
	Kind  FaultKind     `json:"kind"`
	From  model.Instant `json:"from"`
	Until model.Instant `json:"until"`
	// Delay is used by Slow and DelayWrite.
	Delay time.Duration `json:"delay"`
	// Prefix limits the fault to keys; empty means all.
	Prefix string `json:"prefix"`
	// WritesOnly spares reads and watches.
	WritesOnly bool `json:"writes_only"`
	// Count is how many calls the fault strikes; zero means all.
	Count int `json:"count"`
}

// Schedule adds a fault.
func (s *Store) Schedule(fault Fault) { s.faults = append(s.faults, fault) }

// ClearFaults removes all faults. Delayed writes still land.
func (s *Store) ClearFaults() { s.faults = nil }

// strike returns the first fault that hits a call and counts the hit.
func (s *Store) strike(now model.Instant, call effect.CallStore) (Fault, bool) {
	for i, fault := range s.faults {
		if !fault.hits(now, call) {
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

// hits reports whether the fault strikes a call.
func (f Fault) hits(now model.Instant, call effect.CallStore) bool {
	if !f.active(now) || !strings.HasPrefix(call.Key, f.Prefix) {
		return false
	}
	writesOnly := f.WritesOnly || f.Kind == DelayWrite
	return !writesOnly || isWrite(call.Verb)
}

// active reports whether the fault's time has come and not passed.
func (f Fault) active(now model.Instant) bool { return f.From <= now && now < f.Until }

// isDown reports whether the service refuses everything.
func (s *Store) isDown(now model.Instant) bool {
	return slices.ContainsFunc(s.faults, func(f Fault) bool {
		return f.Kind == Down && f.active(now) && f.Prefix == "" && !f.WritesOnly
	})
}

// applyFaulty runs a call that a fault strikes.
func (s *Store) applyFaulty(now model.Instant, call effect.CallStore, fault Fault) Reply {
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
		s.park(parked{call: call, due: now.Add(fault.Delay), delayed: true})
	case Hang:
	}
	return s.park(parked{call: call, due: timeout, result: unknown})
}

// applySlow runs a call and holds its reply back. A reply behind the call's
// timeout is lost. Watches are slow by nature and are served as usual.
func (s *Store) applySlow(now model.Instant, call effect.CallStore, delay time.Duration) Reply {
	reply := s.serve(now, call)
	if reply.Ticket != 0 {
		return reply
	}
	if delay >= call.Timeout {
		unknown := event.StoreResult{Operation: call.Operation, Status: event.StoreUnknown}
		return s.park(parked{call: call, due: now.Add(call.Timeout), result: unknown})
	}
	return s.park(parked{call: call, due: now.Add(delay), result: reply.Result})
}

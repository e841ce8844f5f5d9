package relay

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// pendingCrash holds the requests whose connections ended without a reply, until the next
// connect shows whether the upstream's process is still running.
type pendingCrash struct {
	lostAt   model.Instant
	suspects []suspect
}

// suspect is a request that may have crashed an upstream.
type suspect struct {
	route       string
	fingerprint model.Fingerprint
	attempt     uint64
	requestID   string
	// knownSuspect means that the content was already suspected of a crash when the
	// attempt was sent.
	knownSuspect bool
}

// crashWindow is how long after a lost reply a refused connection counts as evidence of a
// crash. The host of a process that has ended refuses connections within a round trip.
const crashWindow = 500 * time.Millisecond

// suspectCrash records an attempt whose connection ended without a reply, and connects
// again to find out whether the upstream is still running.
func (s *State) suspectCrash(ctx *step.Context, pool *upstreamPool, a *attempt) {
	if ctx.Now.Sub(pool.crash.lostAt) > crashWindow {
		pool.crash.suspects = nil
	}
	pool.crash.lostAt = ctx.Now
	a.request.hadLostAttempt = true
	pool.crash.suspects = append(pool.crash.suspects, suspect{
		route:        a.request.config.Name,
		fingerprint:  a.request.fingerprint,
		attempt:      a.number,
		requestID:    a.request.incoming.ID,
		knownSuspect: a.knownSuspect,
	})
	s.connect(ctx, pool)
}

// isKnownSuspect reports whether the content of a request is already suspected of a
// crash. Only attempts with such content can lead to a block: when a failure domain fails,
// several upstreams lose attempts with frequently requested content at once.
func (s *State) isKnownSuspect(ctx *step.Context, r *request) bool {
	return r.hadLostAttempt || s.quarantine.Check(ctx, model.ServiceName(r.config.Name), r.fingerprint) != quarantine.Clear
}

// attributeCrash reports the pending suspects of an upstream if its next connection was
// refused in time, and discards them otherwise.
func (s *State) attributeCrash(ctx *step.Context, pool *upstreamPool, refused bool) {
	suspects := pool.crash.suspects
	pool.crash.suspects = nil
	if !refused || ctx.Now.Sub(pool.crash.lostAt) > crashWindow {
		return
	}
	for _, suspected := range suspects {
		ctx.Log(effect.Warning, component, "upstream crashed under a request", append(upstreamFields(pool),
			effect.Field{Name: "request", Value: suspected.requestID},
			effect.Field{Name: "fingerprint", Value: suspected.fingerprint.String()},
			countField("suspects", len(suspects)))...)
		result := message.DispatchResult{
			Attempt:  model.AttemptID{Host: ctx.Self.Host, Incarnation: ctx.Self.Incarnation, Number: suspected.attempt},
			Upstream: pool.registration.Upstream.ID,
			Crash:    true,
			RanAlone: suspected.knownSuspect,
		}
		if suspicion, isNew := s.quarantine.HandleCrash(ctx, model.ServiceName(suspected.route), suspected.fingerprint, result); isNew {
			s.suspicionReporter.ReportSuspicion(ctx, suspicion)
		}
	}
}

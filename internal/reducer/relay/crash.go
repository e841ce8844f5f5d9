package relay

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// crash holds the requests whose replies were lost with their connections, until a
// new connection tells whether the upstream's process has ended with them.
type crash struct {
	at       model.Instant
	suspects []suspect
}

// suspect is a request that may have crashed an upstream.
type suspect struct {
	route   string
	print   model.Fingerprint
	attempt uint64
	caller  string
	// warned means that the content had cost an upstream before it was sent.
	warned bool
}

// crashWindow is how long after a lost reply a refused connection still tells of
// a crash: a process that is gone refuses within a round trip.
const crashWindow = 500 * time.Millisecond

// suspectCrash takes in that a connection ended without the reply to an attempt,
// and connects again to learn whether the upstream is still there.
func (s *State) suspectCrash(ctx *step.Context, l *lane, a *attempt) {
	if ctx.Now.Sub(l.crash.at) > crashWindow {
		l.crash.suspects = nil
	}
	l.crash.at = ctx.Now
	a.request.crashed = true
	l.crash.suspects = append(l.crash.suspects, suspect{
		route:   a.request.config.Name,
		print:   a.request.print,
		attempt: a.number,
		caller:  a.request.asked.ID,
		warned:  a.warned,
	})
	s.connect(ctx, l)
}

// isWarned reports whether an attempt that is sent now has content that may have
// crashed an upstream. Only such an attempt convicts: contents that callers ask for all
// the time are lost with several upstreams at once when a failure domain fails.
func (s *State) isWarned(ctx *step.Context, r *request) bool {
	return r.crashed || s.quarantine.Check(ctx, model.ServiceName(r.config.Name), r.print) != quarantine.Clear
}

// judgeCrash takes in whether a new connection was refused.
func (s *State) judgeCrash(ctx *step.Context, l *lane, refused bool) {
	suspects := l.crash.suspects
	l.crash.suspects = nil
	if !refused || ctx.Now.Sub(l.crash.at) > crashWindow {
		return
	}
	for _, found := range suspects {
		ctx.Log(effect.Warning, component, "upstream crashed under a request", append(upstreamFields(l),
			effect.Field{Name: "request", Value: found.caller},
			effect.Field{Name: "fingerprint", Value: found.print.String()},
			countField("suspects", len(suspects)))...)
		result := message.DispatchResult{
			Attempt:  model.AttemptID{Host: ctx.Self.Host, Incarnation: ctx.Self.Incarnation, Number: found.attempt},
			Upstream: l.record.Upstream.ID,
			Crash:    true,
			RanAlone: found.warned,
		}
		if news, fresh := s.quarantine.HandleCrash(ctx, model.ServiceName(found.route), found.print, result); fresh {
			s.suspicions.ReportSuspicion(ctx, news)
		}
	}
}

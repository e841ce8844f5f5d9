package relay

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/blame"
	"github.com/hawthorntack/hawthorntack/internal/reducer/rendezvous"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Content that crashes upstreams is found in three steps. A connection that ends without a reply
// makes the requests on it suspects of a crash, until the next connect shows whether the upstream
// is still running. The nodes tell each other of the crashes, and package blame judges them. What
// it condemns is blocked by package quarantine, on all nodes.

// pendingCrash holds the requests whose connections ended without a reply, until the next
// connect shows whether the upstream's process is still running.
type pendingCrash struct {
	lostAt   model.Instant
	suspects []blame.Crash
	// abandoned are the attempts whose connections the node closed because nobody waited for
	// their replies. Some upstreams go on with them.
	abandoned []abandonedRun
}

// abandonedRun is an attempt that an upstream may still run although its connection was closed.
type abandonedRun struct {
	crash    blame.Crash
	closedAt model.Instant
}

const (
	// abandonedRunTime is how long an upstream may go on with an attempt whose connection was
	// closed, as far as crashes are concerned.
	abandonedRunTime = 2 * time.Second
	// maxAbandonedRuns bounds the attempts that are remembered of one upstream.
	maxAbandonedRuns = 64
)

// crashWindow is how long after a lost connection a refused one counts as evidence of a
// crash. The host of a process that has ended refuses connections within a round trip.
const crashWindow = 500 * time.Millisecond

// Content that crashes upstreams comes again for a long time, and each end of a block lets it crash
// another one.
const (
	// firstBlock is how long content is blocked at first, and blockGrowth the factor by which
	// each further block is longer.
	firstBlock  = 20 * time.Second
	blockGrowth = 4
)

// content returns the content of a request.
func (r *request) content() blame.Content {
	return blame.Content{Route: model.ServiceName(r.config.Name), Fingerprint: r.fingerprint}
}

// suspectCrash records an attempt whose connection ended without a reply, and connects
// again to find out whether the upstream is still running.
func (s *State) suspectCrash(ctx *step.Context, pool *upstreamPool, a *attempt) {
	a.request.hadLostAttempt = true
	pool.crash.suspects = append(pool.crash.suspects, s.crashOf(ctx, pool, a))
	s.connect(ctx, pool)
}

// recordAbandonedRun remembers an attempt whose connection the node has closed. If its content is
// suspected, the node connects again, so that it sees a crash at once.
func (s *State) recordAbandonedRun(ctx *step.Context, pool *upstreamPool, a *attempt) {
	pool.crash.dropOldRuns(ctx.Now)
	if len(pool.crash.abandoned) == maxAbandonedRuns {
		pool.crash.abandoned = pool.crash.abandoned[1:]
	}
	pool.crash.abandoned = append(pool.crash.abandoned, abandonedRun{crash: s.crashOf(ctx, pool, a), closedAt: ctx.Now})
	if s.isKnownSuspect(ctx, a.request) {
		s.connect(ctx, pool)
	}
}

// dropOldRuns forgets the abandoned attempts that have ended by now.
func (p *pendingCrash) dropOldRuns(now model.Instant) {
	p.abandoned = slices.DeleteFunc(p.abandoned, func(run abandonedRun) bool { return now.Sub(run.closedAt) > abandonedRunTime })
}

// take returns and removes the requests that may have crashed an upstream which refuses
// connections now, and reports whether there is any sign of a crash. Abandoned attempts count if
// no connection is left: an upstream that runs but takes no more connections keeps its open ones.
func (p *pendingCrash) take(now model.Instant, openConnections int) (suspects []blame.Crash, crashed bool) {
	p.dropOldRuns(now)
	if now.Sub(p.lostAt) <= crashWindow {
		suspects, crashed = p.suspects, true
	}
	if openConnections == 0 {
		crashed = crashed || len(p.abandoned) > 0
		for _, run := range p.abandoned {
			suspects = append(suspects, run.crash)
		}
		p.abandoned = nil
	}
	return suspects, crashed
}

// crashOf returns the crash that an attempt may have caused.
func (s *State) crashOf(ctx *step.Context, pool *upstreamPool, a *attempt) blame.Crash {
	return blame.Crash{
		Content:   a.request.content(),
		Upstream:  pool.registration.Upstream.ID,
		Attempt:   model.AttemptID{Host: ctx.Self.Host, Incarnation: ctx.Self.Incarnation, Number: a.number},
		Suspected: a.knownSuspect,
		SentAt:    a.sentAt,
	}
}

// recordConnectionLost records that a connection ended although the node did not close it. If the
// upstream may run abandoned attempts, or others of the service crash, it connects again to find
// out whether this one did too.
func (s *State) recordConnectionLost(ctx *step.Context, pool *upstreamPool) {
	if ctx.Now.Sub(pool.crash.lostAt) > crashWindow {
		pool.crash.suspects = nil
	}
	pool.crash.lostAt = ctx.Now
	if len(pool.crash.abandoned) > 0 || s.blame.HasCrashed(ctx.Now, pool.service.name) {
		s.connect(ctx, pool)
	}
}

// isKnownSuspect reports whether the content of a request is already suspected of a crash.
func (s *State) isKnownSuspect(ctx *step.Context, r *request) bool {
	return r.hadLostAttempt || s.blame.IsSuspect(ctx.Now, r.content())
}

// attributeCrash takes an upstream as crashed if a connection is refused shortly after one was lost,
// or while it may run abandoned attempts, and reports the requests that it ran.
func (s *State) attributeCrash(ctx *step.Context, pool *upstreamPool, refused bool) {
	if !refused {
		pool.crash.suspects = nil
		return
	}
	suspects, crashed := pool.crash.take(ctx.Now, pool.openConnections())
	pool.crash.suspects = nil
	if !crashed {
		return
	}
	s.blame.RecordUpstreamCrash(ctx.Now, pool.registration.Upstream.ID)
	told := false
	for _, crash := range suspects {
		told = s.recordCrash(ctx, crash, len(suspects)) || told
	}
	if !told {
		s.tellEntryNodes(ctx, message.Suspicion{Upstream: pool.registration.Upstream.ID})
	}
	s.checkLostPools(ctx, pool.service)
	s.judgeCrashes(ctx)
}

// checkLostPools connects to the upstreams of a service that have just lost their connections.
func (s *State) checkLostPools(ctx *step.Context, svc *service) {
	for _, pool := range svc.pools {
		if pool.crash.lostAt != 0 && ctx.Now.Sub(pool.crash.lostAt) <= crashWindow && pool.openConnections() == 0 {
			s.connect(ctx, pool)
		}
	}
}

// recordCrash records a crash under a request of this node. If it is evidence against the content,
// it tells the other nodes and returns true. A first crash is reported through the registry at
// once, and a later one with its verdict.
func (s *State) recordCrash(ctx *step.Context, crash blame.Crash, suspects int) bool {
	wasSuspect := s.blame.IsSuspect(ctx.Now, crash.Content)
	isEvidence := s.blame.RecordCrash(ctx.Now, crash)
	ctx.Log(effect.Warning, component, "upstream crashed under a request",
		effect.Field{Name: "upstream", Value: string(crash.Upstream)},
		effect.Field{Name: "route", Value: string(crash.Content.Route)},
		effect.Field{Name: "fingerprint", Value: crash.Content.Fingerprint.String()},
		effect.Field{Name: "attempt", Value: crash.Attempt.String()},
		effect.Field{Name: "suspected", Value: strconv.FormatBool(crash.Suspected)},
		effect.Field{Name: "evidence", Value: strconv.FormatBool(isEvidence)},
		countField("suspects", suspects))
	if !isEvidence {
		ctx.Count(metricCrashes, crashNoEvidence)
		return false
	}
	ctx.Count(metricCrashes, crashEvidence)
	m := message.Suspicion{
		Service: crash.Content.Route, Fingerprint: crash.Content.Fingerprint, Upstream: crash.Upstream, Attempt: crash.Attempt, RanAlone: crash.Suspected,
	}
	s.tellEntryNodes(ctx, m)
	if !crash.Suspected || !wasSuspect {
		s.reportCrash(ctx, crash)
	}
	s.holdBack(ctx, crash.Content)
	setTimer(ctx, blame.VerdictDelay, 0, verdictTimer)
	return true
}

// The values of the label of metricCrashes.
const (
	crashEvidence   = "evidence"
	crashNoEvidence = "content_ran_before"
)

// reportCrash adds a crash to the quarantine, and reports it through the registry.
func (s *State) reportCrash(ctx *step.Context, crash blame.Crash) {
	if m, isNew := s.quarantine.HandleCrash(ctx, crash.Content.Route, crash.Content.Fingerprint, crashResult(crash)); isNew {
		s.suspicionReporter.ReportSuspicion(ctx, m)
	}
}

// crashResult returns a crash in the form in which the quarantine takes it.
func crashResult(crash blame.Crash) message.DispatchResult {
	return message.DispatchResult{Attempt: crash.Attempt, Upstream: crash.Upstream, Crash: true}
}

// judgeCrashes blocks the contents that are condemned by the verdicts that are due.
func (s *State) judgeCrashes(ctx *step.Context) {
	for _, v := range s.blame.Judge(ctx.Now) {
		ctx.Log(effect.Warning, component, "crash judged",
			effect.Field{Name: "upstream", Value: string(v.Crash.Upstream)},
			effect.Field{Name: "route", Value: string(v.Crash.Content.Route)},
			effect.Field{Name: "fingerprint", Value: v.Crash.Content.Fingerprint.String()},
			effect.Field{Name: "condemned", Value: strconv.FormatBool(v.Condemned)},
			countField("points", v.Points),
			effect.Field{Name: "in_trial", Value: strconv.FormatBool(v.InTrial)},
			effect.Field{Name: "other_cause", Value: strconv.FormatBool(v.Explained)},
			effect.Field{Name: "other_content", Value: strconv.FormatBool(v.Shared)},
			effect.Field{Name: "ran_before", Value: strconv.FormatBool(v.RanBefore)})
		switch {
		case v.Condemned:
			s.blockContent(ctx, v.Crash)
		case v.Crash.IsOwn():
			s.reportCrash(ctx, v.Crash)
		}
	}
}

// blockContent blocks condemned content on all nodes.
func (s *State) blockContent(ctx *step.Context, crash blame.Crash) {
	c := crash.Content
	m, blocked := s.quarantine.Block(ctx, c.Route, c.Fingerprint, crashResult(crash))
	if !blocked {
		return
	}
	s.blame.SetBlocked(ctx.Now, c, crash.Upstream, s.quarantine.BlockedUntil(c.Route, c.Fingerprint))
	s.holdBack(ctx, c)
	s.suspicionReporter.ReportSuspicion(ctx, m)
	s.tellEntryNodes(ctx, m)
}

// HandleSuspicion handles a crash, a crash under content, or a block that another node reports, or a
// trial that it begins.
// Content that has just run
// to its end here is not blocked, and the others are told so.
func (s *State) HandleSuspicion(ctx *step.Context, m message.Suspicion) {
	c := blame.Content{Route: m.Service, Fingerprint: m.Fingerprint}
	if m.Upstream == "" {
		s.blame.RecordTrial(ctx.Now, c)
		return
	}
	if svc := s.services[m.Upstream.Service()]; svc != nil {
		s.checkLostPools(ctx, svc)
	}
	if m.Service == "" {
		s.blame.RecordUpstreamCrash(ctx.Now, m.Upstream)
		return
	}
	isEvidence := s.blame.RecordCrash(ctx.Now, blame.Crash{Content: c, Upstream: m.Upstream, Attempt: m.Attempt, Suspected: m.RanAlone})
	if m.Blocked {
		if s.blame.RanRecently(ctx.Now, c, m.Upstream.Service()) {
			s.tellEntryNodes(ctx, message.Unblock{Service: m.Service, Fingerprint: m.Fingerprint})
			return
		}
		s.quarantine.HandleSuspicion(ctx, m)
		if until := s.quarantine.BlockedUntil(c.Route, c.Fingerprint); until > ctx.Now {
			s.blame.SetBlocked(ctx.Now, c, m.Upstream, until)
		}
	} else if isEvidence {
		setTimer(ctx, blame.VerdictDelay, 0, verdictTimer)
		// The verdict is blame's alone.
		m.RanAlone = false
		s.quarantine.HandleSuspicion(ctx, m)
	}
	s.holdBack(ctx, c)
}

// HandleUnblock handles a report that content which was suspected has run to its end.
func (s *State) HandleUnblock(ctx *step.Context, m message.Unblock) {
	s.blame.Clear(blame.Content{Route: m.Service, Fingerprint: m.Fingerprint})
	s.quarantine.HandleUnblock(ctx, m)
}

// recordRun records that an upstream ran a request to its end, which clears its content.
func (s *State) recordRun(ctx *step.Context, pool *upstreamPool, r *request) {
	c := r.content()
	if s.blame.RecordRun(ctx.Now, c, pool.registration.Upstream.ID.Service()) {
		unblock := message.Unblock{Service: c.Route, Fingerprint: c.Fingerprint}
		s.quarantine.HandleUnblock(ctx, unblock)
		s.tellEntryNodes(ctx, unblock)
		return
	}
	s.quarantine.HandleAnswered(ctx, c.Route, c.Fingerprint, pool.registration.Upstream.ID)
}

// trialWait returns zero if a request may run, and else the time until its content may be tried.
func (s *State) trialWait(ctx *step.Context, r *request) time.Duration {
	c := r.content()
	if !s.blame.IsHeld(ctx.Now, c) {
		return 0
	}
	wait := s.blame.Admit(ctx.Now, c, s.trialRank(ctx, c))
	if wait == 0 {
		s.tellEntryNodes(ctx, message.Suspicion{Service: c.Route, Fingerprint: c.Fingerprint})
	}
	return wait
}

// trialRank returns this node's place among the entry nodes in the order in which they may try
// content.
func (s *State) trialRank(ctx *step.Context, c blame.Content) int {
	hosts := make([]model.HostID, len(s.entryMembers))
	for i, member := range s.entryMembers {
		hosts[i] = member.Host
	}
	ranked := rendezvous.Top(hosts, len(hosts), "trial of "+c.Fingerprint.String())
	if rank := slices.Index(ranked, ctx.Self.Host); rank >= 0 {
		return rank
	}
	return len(ranked)
}

// holdBack fails the parts of open requests with content that is held or blocked and that no
// upstream has yet.
func (s *State) holdBack(ctx *step.Context, c blame.Content) {
	if !s.blame.IsHeld(ctx.Now, c) {
		return
	}
	var open []*request
	for _, r := range s.requests {
		if r.content() == c {
			open = append(open, r)
		}
	}
	slices.SortFunc(open, func(a, b *request) int { return cmp.Compare(a.number, b.number) })
	for _, r := range open {
		for i := range r.parts {
			p := &r.parts[i]
			if a := p.unsentAttempt(); a != nil {
				s.cancelOffer(a)
				if p.openAttempts == 0 {
					r.failureCode = model.CodeQuarantined
					r.settle(p, partFailed)
				}
			}
		}
		s.progress(ctx, r)
	}
}

// maxTellsPerSecond bounds the messages about crashes that the node sends to each other node. The
// registry carries those beyond it.
const maxTellsPerSecond = 50

// tellEntryNodes sends a message about crashes to the other entry nodes.
func (s *State) tellEntryNodes(ctx *step.Context, m message.Message) {
	if ctx.Now.Sub(s.tellsSince) >= time.Second {
		s.tells, s.tellsSince = 0, ctx.Now
	}
	if s.tells++; s.tells > maxTellsPerSecond {
		return
	}
	for _, member := range s.entryMembers {
		if member.Host != ctx.Self.Host {
			ctx.Emit(effect.SendPeer{To: member.Host, Address: member.PeerAddress, Message: m})
		}
	}
}

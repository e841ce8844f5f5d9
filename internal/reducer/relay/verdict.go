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

// Content that crashes upstreams comes again for a long time, and each end of a block lets it crash
// another one.
const (
	// firstBlock is how long content is blocked at first, and blockGrowth the factor by which
	// each further block is longer.
	firstBlock  = 20 * time.Second
	blockGrowth = 4
)

// verdictInterval is the interval to which the times of verdicts are rounded up, so that crashes at
// about the same time are judged together.
const verdictInterval = 100 * time.Millisecond

// scheduleVerdict sets the timer for the verdict on a crash that has just been recorded.
func (s *State) scheduleVerdict(ctx *step.Context) {
	wait := blame.VerdictDelay + verdictInterval - time.Duration(ctx.Now)%verdictInterval
	if at := ctx.Now.Add(wait); at > s.verdictAt {
		s.verdictAt = at
		setTimer(ctx, wait, 0, verdictTimer)
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
		effect.Field{Name: "request", Value: crash.RequestID},
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
	s.scheduleVerdict(ctx)
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

// blockContent blocks condemned content on all nodes. Several nodes may come to the same verdict.
func (s *State) blockContent(ctx *step.Context, crash blame.Crash) {
	c := crash.Content
	if s.quarantine.BlockedUntil(c.Route, c.Fingerprint) > ctx.Now {
		return
	}
	m, blocked := s.quarantine.Block(ctx, c.Route, c.Fingerprint, crashResult(crash))
	if !blocked {
		return
	}
	s.blame.SetBlocked(ctx.Now, c, crash.Upstream, s.quarantine.BlockedUntil(c.Route, c.Fingerprint))
	s.holdBack(ctx, c)
	s.suspicionReporter.ReportSuspicion(ctx, m)
	s.tellEntryNodes(ctx, m)
}

// HandleSuspicion handles a crash or a block that another node reports, or a trial that it begins.
// Content that has just run to its end here is not blocked, and the others are told so.
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
		s.scheduleVerdict(ctx)
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

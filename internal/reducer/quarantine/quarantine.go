// Package quarantine keeps requests that crash upstreams away from them. A
// connection that is cut without a reply makes its requests suspects, by a
// fingerprint of service and content. A suspect runs alone on an upstream, so
// that a second crash convicts it and not its neighbours.
//
// A conviction spreads to all nodes at once, and again to nodes whose digest
// shows that they lack it. It lapses after a time; until as much time again has
// passed, one further crash renews it for twice as long.
package quarantine

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// Verdict is how a request content may run.
type Verdict uint8

// The verdicts.
const (
	// Clear content runs as usual.
	Clear Verdict = iota
	// Suspect content runs on one canary upstream, alone, before any other.
	Suspect
	// Blocked content is refused as not run.
	Blocked
)

// Times and limits.
const (
	// suspectFor is how long a suspicion holds without a further crash.
	suspectFor = 2 * time.Minute
	// convictFor is how long a first conviction holds.
	convictFor = 10 * time.Minute
	// maxConvictFor bounds the time of a renewed conviction.
	maxConvictFor = 24 * time.Hour
	// crashesToConvict is how many crashes convict, the last of them alone.
	crashesToConvict = 2
	// maxSubjects bounds the contents that are remembered.
	maxSubjects = 8192
	// maxCrashes bounds the crashes that are remembered of one content.
	maxCrashes = 16
	// sweepInterval is the time between two looks for what has lapsed.
	sweepInterval = time.Second
	// leastTimeLeft is the rest of a conviction that is not worth spreading.
	leastTimeLeft = time.Second
)

// component names the package in log lines.
const component = "quarantine"

// Metrics of the package.
const (
	metricSuspicions  effect.Metric = "quarantine_suspicions_total"
	metricConvictions effect.Metric = "quarantine_convictions_total"
	metricCleared     effect.Metric = "quarantine_cleared_total"
	metricRefusals    effect.Metric = "quarantine_refusals_total"
)

// Settings switch the quarantine.
type Settings struct {
	// Off lets all content run as if no upstream had ever crashed, but for the
	// operators' convictions. It is the baseline of experiments.
	Off bool
}

// content names a request's service and content.
type content struct {
	service model.ServiceName
	print   model.Fingerprint
}

// subject is what is known of one content.
type subject struct {
	// crashes lists the crashes that count, each once; it is kept after a pardon
	// so that a late copy of the news does not count again.
	crashes []model.AttemptID
	// counted is the number of crashes since the last pardon or survival.
	counted int
	// suspectUntil and convictedUntil are zero when they do not hold.
	suspectUntil   model.Instant
	convictedUntil model.Instant
	// keepUntil is when a cleared record may be forgotten.
	keepUntil model.Instant
	// crashed is the upstream of the latest crash.
	crashed model.UpstreamID
	// convicting is the crash that convicted.
	convicting model.AttemptID
	// term is the time of the latest conviction.
	term time.Duration
}

// State holds suspects and convictions.
type State struct {
	settings Settings
	subjects map[content]*subject
	// operators holds the operators' convictions in force, with their ends; zero
	// means never.
	operators map[content]model.Instant
	// pardons holds the revision of the latest pardon of a content.
	pardons  map[content]model.Revision
	proven   proven
	sweeping bool
	// hash sums up the convictions in force on the nodes' own evidence.
	hash uint64
	// sent is when convictions were last sent to a peer.
	sent map[model.HostID]model.Instant
}

// New returns a state without suspects.
func New() *State {
	return &State{
		subjects:  make(map[content]*subject),
		operators: make(map[content]model.Instant),
		pardons:   make(map[content]model.Revision),
		proven:    proven{known: make(map[model.Fingerprint]bool)},
		sent:      make(map[model.HostID]model.Instant),
	}
}

// Configure replaces the default settings.
func (s *State) Configure(settings Settings) { s.settings = settings }

// Check returns the verdict on a content.
func (s *State) Check(ctx *step.Context, service model.ServiceName, print model.Fingerprint) Verdict {
	c := content{service, print}
	if until, held := s.operators[c]; held && (until == 0 || ctx.Now < until) {
		ctx.Count(metricRefusals, string(service))
		return Blocked
	}
	found := s.subjects[c]
	switch {
	case found == nil:
		return Clear
	case ctx.Now < found.convictedUntil:
		ctx.Count(metricRefusals, string(service))
		return Blocked
	case ctx.Now < found.suspectUntil:
		return Suspect
	default:
		return Clear
	}
}

// HandleCrash takes in that an upstream crashed under one of this node's
// attempts, as the coordinator learned it from the dispatcher, and tells all
// nodes. It returns what it told them, and false if the crash was known.
func (s *State) HandleCrash(ctx *step.Context, service model.ServiceName, print model.Fingerprint, result message.DispatchResult) (message.Suspicion, bool) {
	c := content{service, print}
	if !s.count(ctx, c, result.Upstream, result.Attempt, result.RanAlone) {
		return message.Suspicion{}, false
	}
	news := s.news(ctx, c, result.Upstream, result.Attempt, result.RanAlone)
	ctx.Broadcast(news)
	return news, true
}

// news returns the message that tells of a crash.
func (s *State) news(ctx *step.Context, c content, upstream model.UpstreamID, attempt model.AttemptID, alone bool) message.Suspicion {
	found := s.subjects[c]
	convicted := ctx.Now < found.convictedUntil
	until := found.suspectUntil
	if convicted {
		until = found.convictedUntil
	}
	return message.Suspicion{
		Service:       c.service,
		Fingerprint:   c.print,
		Upstream:      upstream,
		Attempt:       attempt,
		RanAlone:      alone,
		Blocked:       convicted,
		BlockDuration: int64(found.term),
		TimeLeft:      int64(until.Sub(ctx.Now)),
		Revision:      ctx.Config.Revision,
	}
}

// count counts a crash once. The second one convicts, provided that the content
// ran alone; a neighbour of a crashing request is never convicted with it. It
// reports whether the crash is new.
func (s *State) count(ctx *step.Context, c content, upstream model.UpstreamID, attempt model.AttemptID, alone bool) bool {
	if s.settings.Off {
		return false
	}
	found := s.ensure(ctx, c)
	if found == nil || !found.add(attempt) {
		return false
	}
	found.counted++
	found.crashed = upstream
	found.suspectUntil = max(found.suspectUntil, ctx.Now.Add(suspectFor))
	ctx.Count(metricSuspicions, string(c.service))
	if alone && found.counted >= crashesToConvict {
		s.convict(ctx, c, found, attempt, found.nextTerm())
	}
	return true
}

// add remembers a crash; it reports false for one that is known.
func (f *subject) add(attempt model.AttemptID) bool {
	for _, known := range f.crashes {
		if known == attempt {
			return false
		}
	}
	if len(f.crashes) == maxCrashes {
		f.crashes = append(f.crashes[:0], f.crashes[1:]...)
	}
	f.crashes = append(f.crashes, attempt)
	return true
}

// nextTerm returns the time of the next conviction: each is twice as long as the
// one before.
func (f *subject) nextTerm() time.Duration {
	if f.term == 0 {
		return convictFor
	}
	return min(maxConvictFor, 2*f.term)
}

// convict refuses a content for a time, and suspects it for as long afterwards.
func (s *State) convict(ctx *step.Context, c content, found *subject, attempt model.AttemptID, term time.Duration) {
	if ctx.Now >= found.convictedUntil {
		ctx.Count(metricConvictions, string(c.service))
		ctx.Log(effect.Warning, component, "content convicted", contentFields(c)...)
	}
	found.convicting = attempt
	found.term = term
	found.convictedUntil = max(found.convictedUntil, ctx.Now.Add(term))
	found.suspectUntil = max(found.suspectUntil, found.convictedUntil.Add(term))
	s.rehash(ctx)
}

// contentFields names a content in a log line.
func contentFields(c content) []effect.Field {
	return []effect.Field{
		{Name: "service", Value: string(c.service)},
		{Name: "fingerprint", Value: c.print.String()},
	}
}

// ensure returns the record of a content, or nil when there is no room for it.
func (s *State) ensure(ctx *step.Context, c content) *subject {
	if found := s.subjects[c]; found != nil {
		return found
	}
	if len(s.subjects) >= maxSubjects {
		return nil
	}
	s.startSweeping(ctx)
	found := &subject{}
	s.subjects[c] = found
	return found
}

// HandleCompleted takes in that a suspect ran to its end without a crash. Other
// nodes keep their suspicion until they have seen it themselves or it lapses,
// so that this word cannot cross the news of a crash.
func (s *State) HandleCompleted(ctx *step.Context, service model.ServiceName, print model.Fingerprint) {
	found := s.subjects[content{service, print}]
	if found == nil || ctx.Now < found.convictedUntil {
		return
	}
	found.clear(ctx.Now)
	ctx.Count(metricCleared, string(service))
}

// HandleAnswered takes in that an upstream answered a request. It clears a suspect if
// an upstream of the same service had crashed: content may crash those of one shard
// only.
func (s *State) HandleAnswered(ctx *step.Context, service model.ServiceName, print model.Fingerprint, upstream model.UpstreamID) {
	found := s.subjects[content{service, print}]
	if found != nil && found.counted > 0 && found.crashed.Service() == upstream.Service() {
		s.HandleCompleted(ctx, service, print)
	}
}

// clear lifts suspicion and conviction. The crashes are remembered for a while,
// so that a late copy of the news does not count again.
func (f *subject) clear(now model.Instant) {
	f.counted = 0
	f.suspectUntil = 0
	f.convictedUntil = 0
	f.keepUntil = now.Add(convictFor)
}

// HandleSuspicion takes in a peer's suspicion or conviction. News from before an
// operator's pardon is ignored, and so is a conviction on a crash that was
// pardoned here.
func (s *State) HandleSuspicion(ctx *step.Context, m message.Suspicion) {
	c := content{m.Service, m.Fingerprint}
	if m.Revision < s.pardons[c] {
		return
	}
	s.count(ctx, c, m.Upstream, m.Attempt, m.RanAlone)
	found := s.subjects[c]
	left := min(time.Duration(m.TimeLeft), maxConvictFor)
	if found == nil || found.counted == 0 || !m.Blocked || ctx.Now < found.convictedUntil || left < leastTimeLeft {
		return
	}
	s.convict(ctx, c, found, m.Attempt, left)
	found.term = min(time.Duration(m.BlockDuration), maxConvictFor)
}

// HandleUnblock lifts suspicion and conviction of a fingerprint.
func (s *State) HandleUnblock(ctx *step.Context, m message.Unblock) {
	s.pardon(ctx, content{m.Service, m.Fingerprint})
}

// pardon lifts suspicion and conviction.
func (s *State) pardon(ctx *step.Context, c content) {
	if found := s.subjects[c]; found != nil {
		found.clear(ctx.Now)
		found.term = 0
		s.rehash(ctx)
		ctx.Log(effect.Info, component, "content pardoned", contentFields(c)...)
	}
}

// HandleConfig applies the operators' convictions and pardons after a change.
func (s *State) HandleConfig(ctx *step.Context) {
	clear(s.operators)
	for _, conviction := range ctx.Config.Blocks {
		s.operators[content{conviction.Service, conviction.Fingerprint}] = conviction.Until
	}
	for _, p := range ctx.Config.Unblocks {
		c := content{p.Service, p.Fingerprint}
		if p.Revision > s.pardons[c] {
			s.pardons[c] = p.Revision
			s.pardon(ctx, c)
		}
	}
}

// startSweeping sets the first sweep once there is something to sweep.
func (s *State) startSweeping(ctx *step.Context) {
	if s.sweeping {
		return
	}
	s.sweeping = true
	ctx.After(sweepInterval, timer.Quarantine, 0)
}

// HandleTimer forgets what has lapsed.
func (s *State) HandleTimer(ctx *step.Context, _ uint64) {
	for c, found := range s.subjects {
		if ctx.Now >= max(found.suspectUntil, found.convictedUntil, found.keepUntil) {
			delete(s.subjects, c)
		}
	}
	s.rehash(ctx)
	if len(s.subjects) == 0 {
		s.sweeping = false
		return
	}
	ctx.After(sweepInterval, timer.Quarantine, 0)
}

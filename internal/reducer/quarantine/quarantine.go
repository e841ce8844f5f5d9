// Package quarantine keeps requests that crash upstreams away from them. When a
// connection closes without a reply, the requests on it become suspects, by a
// fingerprint of service and content. A suspect runs alone on an upstream, so
// that a second crash blocks only the content that caused it and not requests
// that ran concurrently.
//
// A block is broadcast to all nodes at once, and sent again to nodes whose digest
// shows that they lack it. It expires after a time; the content then remains
// suspect for the same time, in which one further crash blocks it again for
// twice as long.
package quarantine

import (
	"cmp"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// Classification classifies request content by how requests with it may run.
type Classification uint8

// Possible classifications.
const (
	// Clear content runs as usual.
	Clear Classification = iota
	// Suspect content runs on one canary upstream, alone, before any other.
	Suspect
	// Blocked content is refused with the outcome "not run".
	Blocked
)

// Durations and limits.
const (
	// suspicionDuration is how long content remains suspect after its latest crash.
	suspicionDuration = 2 * time.Minute
	// initialBlockDuration is how long the first block of a request's content lasts.
	initialBlockDuration = 10 * time.Minute
	// defaultBlockGrowth is the factor by which a renewed block is longer than the last one.
	defaultBlockGrowth = 2
	// maxBlockDuration bounds the duration of a renewed block.
	maxBlockDuration = 24 * time.Hour
	// crashesToBlock is the number of crashes that block a request's content. The
	// content must have run alone in the last of them.
	crashesToBlock = 2
	// maxRecords bounds the number of records of request content.
	maxRecords = 8192
	// maxCrashesPerRecord bounds the number of crashes stored in one record.
	maxCrashesPerRecord = 16
	// sweepInterval is the time between two removals of expired records.
	sweepInterval = time.Second
	// minRemainingBlock is the remaining block time below which a block is not sent
	// to other nodes or accepted from them.
	minRemainingBlock = time.Second
)

// component is the component name in log lines.
const component = "quarantine"

// Metrics of the package.
const (
	metricSuspicions effect.Metric = "quarantine_suspicions_total"
	metricBlocks     effect.Metric = "quarantine_convictions_total"
	metricCleared    effect.Metric = "quarantine_cleared_total"
	metricRefusals   effect.Metric = "quarantine_refusals_total"
)

// Settings configures the quarantine.
type Settings struct {
	// Disabled disables suspicions and blocks on crash evidence; blocks set by operators
	// still apply. Experiments use it as their baseline.
	Disabled bool
	// FirstBlock is how long the first block of a request's content lasts, and BlockGrowth the
	// factor by which each further one is longer. At zero they are initialBlockDuration and
	// defaultBlockGrowth.
	FirstBlock  time.Duration
	BlockGrowth int
}

// content identifies a request's service and content.
type content struct {
	service     model.ServiceName
	fingerprint model.Fingerprint
}

// contentRecord is the crash history and state of a request's content.
type contentRecord struct {
	// crashes lists the crashes counted so far, without duplicates. It is kept when
	// the record is cleared, so that a late duplicate of a message does not count
	// again.
	crashes []model.AttemptID
	// crashCount is the number of crashes since the record was last cleared.
	crashCount int
	// suspectUntil and blockedUntil are zero when the content is not suspect or not
	// blocked.
	suspectUntil model.Instant
	blockedUntil model.Instant
	// keepUntil is the earliest time at which a cleared record may be removed.
	keepUntil model.Instant
	// lastUpstream is the upstream of the latest crash.
	lastUpstream model.UpstreamID
	// blockingCrash is the crash that caused the block.
	blockingCrash model.AttemptID
	// blockDuration is the duration of the latest block.
	blockDuration time.Duration
}

// State holds the suspect and blocked request content.
type State struct {
	settings Settings
	records  map[content]*contentRecord
	// operatorBlocks maps request content blocked by operators to the end of the
	// block; zero means that it never ends.
	operatorBlocks map[content]model.Instant
	// unblockRevisions maps request content to the configuration revision of its
	// latest unblocking by an operator.
	unblockRevisions map[content]model.Revision
	safe             safeContents
	sweeping         bool
	// hash covers the blocks in force on crash evidence; it excludes those set by
	// operators.
	hash uint64
	// lastSent is when blocks were last sent to a peer.
	lastSent map[model.HostID]model.Instant
}

// New returns a state without suspect or blocked request content.
func New() *State {
	return &State{
		records:          make(map[content]*contentRecord),
		operatorBlocks:   make(map[content]model.Instant),
		unblockRevisions: make(map[content]model.Revision),
		safe:             safeContents{known: make(map[model.Fingerprint]bool)},
		lastSent:         make(map[model.HostID]model.Instant),
	}
}

// Configure replaces the default settings.
func (s *State) Configure(settings Settings) { s.settings = settings }

// Check returns the classification of a request's content and counts the refusal if
// the content is blocked.
func (s *State) Check(ctx *step.Context, service model.ServiceName, fingerprint model.Fingerprint) Classification {
	c := content{service, fingerprint}
	if until, blocked := s.operatorBlocks[c]; blocked && (until == 0 || ctx.Now < until) {
		ctx.Count(metricRefusals, string(service))
		return Blocked
	}
	record := s.records[c]
	switch {
	case record == nil:
		return Clear
	case ctx.Now < record.blockedUntil:
		ctx.Count(metricRefusals, string(service))
		return Blocked
	case ctx.Now < record.suspectUntil:
		return Suspect
	default:
		return Clear
	}
}

// HandleCrash records that an upstream crashed while it ran one of this node's
// attempts, as reported by the dispatcher, and broadcasts it to all nodes. It
// returns the message sent, and false if the crash was already recorded.
func (s *State) HandleCrash(ctx *step.Context, service model.ServiceName, fingerprint model.Fingerprint, result message.DispatchResult) (message.Suspicion, bool) {
	c := content{service, fingerprint}
	if !s.recordCrash(ctx, c, result.Upstream, result.Attempt, result.RanAlone) {
		return message.Suspicion{}, false
	}
	m := s.suspicionMessage(ctx, c, result.Upstream, result.Attempt, result.RanAlone)
	ctx.Broadcast(m)
	return m, true
}

// suspicionMessage returns the message that reports a crash.
func (s *State) suspicionMessage(ctx *step.Context, c content, upstream model.UpstreamID, attempt model.AttemptID, alone bool) message.Suspicion {
	record := s.records[c]
	blocked := ctx.Now < record.blockedUntil
	until := record.suspectUntil
	if blocked {
		until = record.blockedUntil
	}
	return message.Suspicion{
		Service:       c.service,
		Fingerprint:   c.fingerprint,
		Upstream:      upstream,
		Attempt:       attempt,
		RanAlone:      alone,
		Blocked:       blocked,
		BlockDuration: int64(record.blockDuration),
		TimeLeft:      int64(until.Sub(ctx.Now)),
		Revision:      ctx.Config.Revision,
	}
}

// recordCrash records a crash and reports whether it is new. From the second crash
// on, a crash blocks the content if it ran alone; content that only ran
// concurrently with a crashing request is never blocked.
func (s *State) recordCrash(ctx *step.Context, c content, upstream model.UpstreamID, attempt model.AttemptID, alone bool) bool {
	if s.settings.Disabled {
		return false
	}
	record := s.getOrCreate(ctx, c)
	if record == nil || !record.addCrash(attempt) {
		return false
	}
	record.crashCount++
	record.lastUpstream = upstream
	record.suspectUntil = max(record.suspectUntil, ctx.Now.Add(suspicionDuration))
	ctx.Count(metricSuspicions, string(c.service))
	if alone && record.crashCount >= crashesToBlock {
		s.block(ctx, c, record, attempt, s.nextBlockDuration(record))
	}
	return true
}

// Block blocks a request's content that a caller with more evidence than this package
// condemns, because of the crash in an attempt's result. It returns the message that reports
// the block, and false if there are too many records.
func (s *State) Block(ctx *step.Context, service model.ServiceName, fingerprint model.Fingerprint, result message.DispatchResult) (message.Suspicion, bool) {
	c := content{service, fingerprint}
	s.recordCrash(ctx, c, result.Upstream, result.Attempt, false)
	record := s.records[c]
	if record == nil {
		return message.Suspicion{}, false
	}
	s.block(ctx, c, record, result.Attempt, s.nextBlockDuration(record))
	return s.suspicionMessage(ctx, c, result.Upstream, result.Attempt, true), true
}

// BlockedUntil returns the end of the block of a request's content on crash evidence, or zero
// if there is none.
func (s *State) BlockedUntil(service model.ServiceName, fingerprint model.Fingerprint) model.Instant {
	if record := s.records[content{service, fingerprint}]; record != nil {
		return record.blockedUntil
	}
	return 0
}

// addCrash stores a crash and reports whether it is new.
func (r *contentRecord) addCrash(attempt model.AttemptID) bool {
	for _, known := range r.crashes {
		if known == attempt {
			return false
		}
	}
	if len(r.crashes) == maxCrashesPerRecord {
		r.crashes = append(r.crashes[:0], r.crashes[1:]...)
	}
	r.crashes = append(r.crashes, attempt)
	return true
}

// nextBlockDuration returns the duration of the next block, a multiple of that of the
// previous one.
func (s *State) nextBlockDuration(r *contentRecord) time.Duration {
	if r.blockDuration == 0 {
		return cmp.Or(s.settings.FirstBlock, initialBlockDuration)
	}
	return min(maxBlockDuration, time.Duration(cmp.Or(s.settings.BlockGrowth, defaultBlockGrowth))*r.blockDuration)
}

// block refuses a request's content for the given duration and keeps it suspect for
// as long afterwards.
func (s *State) block(ctx *step.Context, c content, record *contentRecord, attempt model.AttemptID, duration time.Duration) {
	if ctx.Now >= record.blockedUntil {
		ctx.Count(metricBlocks, string(c.service))
		ctx.Log(effect.Warning, component, "content convicted", contentFields(c)...)
	}
	record.blockingCrash = attempt
	record.blockDuration = duration
	record.blockedUntil = max(record.blockedUntil, ctx.Now.Add(duration))
	record.suspectUntil = max(record.suspectUntil, record.blockedUntil.Add(max(duration, suspicionDuration)))
	s.updateHash(ctx)
}

// contentFields returns the log fields that identify a request's content.
func contentFields(c content) []effect.Field {
	return []effect.Field{
		{Name: "service", Value: string(c.service)},
		{Name: "fingerprint", Value: c.fingerprint.String()},
	}
}

// getOrCreate returns the record of a request's content, or nil if the number of
// records is at its limit.
func (s *State) getOrCreate(ctx *step.Context, c content) *contentRecord {
	if record := s.records[c]; record != nil {
		return record
	}
	if len(s.records) >= maxRecords {
		return nil
	}
	s.startSweeping(ctx)
	record := &contentRecord{}
	s.records[c] = record
	return record
}

// HandleCompleted clears a suspect that ran to its end without a crash. This is
// not sent to other nodes, because the message could cross one that reports a
// crash: they keep their suspicion until the content runs to its end there too or
// the suspicion expires.
func (s *State) HandleCompleted(ctx *step.Context, service model.ServiceName, fingerprint model.Fingerprint) {
	record := s.records[content{service, fingerprint}]
	if record == nil || ctx.Now < record.blockedUntil {
		return
	}
	record.clear(ctx.Now)
	ctx.Count(metricCleared, string(service))
}

// HandleAnswered records that an upstream answered a request. It clears a suspect
// only if the crash was on an upstream of the same service: content may crash the
// upstreams of a single shard.
func (s *State) HandleAnswered(ctx *step.Context, service model.ServiceName, fingerprint model.Fingerprint, upstream model.UpstreamID) {
	record := s.records[content{service, fingerprint}]
	if record != nil && record.crashCount > 0 && record.lastUpstream.Service() == upstream.Service() {
		s.HandleCompleted(ctx, service, fingerprint)
	}
}

// clear removes suspicion and block. The crashes are kept for initialBlockDuration,
// so that a late duplicate of a message does not count again.
func (r *contentRecord) clear(now model.Instant) {
	r.crashCount = 0
	r.suspectUntil = 0
	r.blockedUntil = 0
	r.keepUntil = now.Add(initialBlockDuration)
}

// HandleSuspicion applies a suspicion or block reported by a peer. It ignores
// messages from before an operator's unblocking, and blocks based on a crash that
// was cleared on this node.
func (s *State) HandleSuspicion(ctx *step.Context, m message.Suspicion) {
	c := content{m.Service, m.Fingerprint}
	if m.Revision < s.unblockRevisions[c] {
		return
	}
	s.recordCrash(ctx, c, m.Upstream, m.Attempt, m.RanAlone)
	record := s.records[c]
	left := min(time.Duration(m.TimeLeft), maxBlockDuration)
	if record == nil || record.crashCount == 0 || !m.Blocked || ctx.Now < record.blockedUntil || left < minRemainingBlock {
		return
	}
	s.block(ctx, c, record, m.Attempt, left)
	record.blockDuration = min(time.Duration(m.BlockDuration), maxBlockDuration)
}

// HandleUnblock removes suspicion and block of a fingerprint.
func (s *State) HandleUnblock(ctx *step.Context, m message.Unblock) {
	s.unblock(ctx, content{m.Service, m.Fingerprint})
}

// unblock removes suspicion and block and resets the block duration.
func (s *State) unblock(ctx *step.Context, c content) {
	if record := s.records[c]; record != nil {
		record.clear(ctx.Now)
		record.blockDuration = 0
		s.updateHash(ctx)
		ctx.Log(effect.Info, component, "content pardoned", contentFields(c)...)
	}
}

// HandleConfig applies the operators' blocks and unblockings after a
// configuration change.
func (s *State) HandleConfig(ctx *step.Context) {
	clear(s.operatorBlocks)
	for _, b := range ctx.Config.Blocks {
		s.operatorBlocks[content{b.Service, b.Fingerprint}] = b.Until
	}
	for _, u := range ctx.Config.Unblocks {
		c := content{u.Service, u.Fingerprint}
		if u.Revision > s.unblockRevisions[c] {
			s.unblockRevisions[c] = u.Revision
			s.unblock(ctx, c)
		}
	}
}

// startSweeping schedules the first sweep when the first record is added.
func (s *State) startSweeping(ctx *step.Context) {
	if s.sweeping {
		return
	}
	s.sweeping = true
	ctx.After(sweepInterval, timer.Quarantine, 0)
}

// HandleTimer removes expired records.
func (s *State) HandleTimer(ctx *step.Context, _ uint64) {
	for c, record := range s.records {
		if ctx.Now >= max(record.suspectUntil, record.blockedUntil, record.keepUntil) {
			delete(s.records, c)
		}
	}
	s.updateHash(ctx)
	if len(s.records) == 0 {
		s.sweeping = false
		return
	}
	ctx.After(sweepInterval, timer.Quarantine, 0)
}

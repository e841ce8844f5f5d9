package reducer

import (
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/admission"
	"github.com/hawthorntack/hawthorntack/internal/reducer/config"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch"
	"github.com/hawthorntack/hawthorntack/internal/reducer/entry"
	"github.com/hawthorntack/hawthorntack/internal/reducer/interest"
	"github.com/hawthorntack/hawthorntack/internal/reducer/membership"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query"
	"github.com/hawthorntack/hawthorntack/internal/reducer/session"
	"github.com/hawthorntack/hawthorntack/internal/reducer/show"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// Settings are the node's own settings: its description and the settings of its
// parts.
type Settings struct {
	// Self describes the node; its State is ignored.
	Self       model.Member
	Entry      entry.Settings
	Dispatch   dispatch.Settings
	Admission  admission.Settings
	Membership membership.Settings
	Session    session.Settings
	Quarantine quarantine.Settings
	Query      query.Settings
	// PauseThreshold is the shortest gap between two events after which the process
	// is assumed to have been paused.
	PauseThreshold time.Duration
	// StopGrace is the maximum duration of a graceful shutdown.
	StopGrace time.Duration
}

// Default settings.
const (
	DefaultPauseThreshold = 1 * time.Second
	DefaultStopGrace      = 30 * time.Second
)

// DefaultSettings returns the default settings for the node described by self.
func DefaultSettings(self model.Member) Settings {
	return Settings{
		Self: self,
		Entry: entry.Settings{
			SubsetSize:  entry.DefaultSubsetSize,
			Dispatchers: entry.DefaultDispatchers,
			TTL:         entry.DefaultTTL,
		},
		Membership: membership.Settings{
			DigestInterval:   membership.DefaultDigestInterval,
			SuspectAfter:     membership.DefaultSuspectAfter,
			FailAfter:        membership.DefaultFailAfter,
			HostListInterval: membership.DefaultHostListInterval,
		},
		Session:        session.DefaultSettings(),
		PauseThreshold: DefaultPauseThreshold,
		StopGrace:      DefaultStopGrace,
	}
}

// State is the complete state of a node. It is not safe for concurrent use.
type State struct {
	settings   Settings
	timers     timer.Queue
	membership *membership.State
	config     *config.State
	catalog    *snapshot.Catalog
	admission  *admission.State
	quarantine *quarantine.State
	entry      *entry.State
	interest   *interest.State
	dispatch   *dispatch.State
	query      *query.State
	session    *session.State
	show       *show.Answerer
	lifecycle  lifecycle
	// publishedConfig is the configuration whose operators were last published.
	publishedConfig *model.Config
	// lastEvent is the time of the last event.
	lastEvent model.Instant
	// ctx, randomSource and remaining are reused by every step.
	ctx          step.Context
	randomSource *rand.PCG
	remaining    []effect.Effect
}

// New returns the state of a node that has just started.
func New(settings Settings) *State {
	s := &State{
		settings:     settings,
		membership:   membership.New(settings.Membership, settings.Self),
		config:       config.New(),
		catalog:      snapshot.NewCatalog(),
		admission:    admission.NewWith(settings.Admission),
		quarantine:   quarantine.New(),
		entry:        entry.New(settings.Entry),
		randomSource: rand.NewPCG(0, 0),
	}
	s.config.SetHosts(s.membership)
	s.interest = interest.New(s.entry)
	s.dispatch = dispatch.NewWith(s.entry, settings.Dispatch)
	s.dispatch.SetReportRecipients(s.interest)
	s.query = query.NewWith(query.Dependencies{
		Catalog:    s.catalog,
		Placement:  s.entry,
		Admission:  s.admission,
		Quarantine: s.quarantine,
	}, settings.Query)
	s.session = session.New(s.query)
	s.quarantine.Configure(settings.Quarantine)
	s.session.Configure(settings.Session)
	s.session.SetIssuer(s.entry)
	s.query.SetSink(s.session)
	s.ctx = step.Context{Random: rand.New(s.randomSource), View: s.membership, Timers: &s.timers}
	s.show = show.New(show.Dependencies{Log: s.config, Coordinator: s.query, Sessions: s.session, Quarantine: s.quarantine, Dispatcher: s.dispatch, Admission: s.admission})
	return s
}

// NextWake returns the time at which the next event.Wake is due, and false if no
// timer is set.
func (s *State) NextWake() (model.Instant, bool) { return s.timers.Next() }

// Reduce applies one event and returns the effects for the runtime to carry out. The
// returned slice is valid until the next call.
func (s *State) Reduce(envelope event.Envelope) []effect.Effect {
	ctx := s.context(envelope.Now, envelope.Random)
	s.detectPause(ctx)
	s.lastEvent = envelope.Now
	s.handleEvent(ctx, envelope.Event)
	return s.deliverToSelf(ctx)
}

// context returns the context of one step. The next call reuses its memory.
func (s *State) context(now model.Instant, random uint64) *step.Context {
	s.randomSource.Seed(random, uint64(now))
	s.ctx.Now = now
	s.ctx.Self = s.membership.Self()
	s.ctx.Config = s.config.InForce()
	s.ctx.Effects = s.ctx.Effects[:0]
	return &s.ctx
}

// deliverToSelf delivers the messages that the node sent to itself and returns the
// remaining effects.
func (s *State) deliverToSelf(ctx *step.Context) []effect.Effect {
	self := s.settings.Self.Host
	s.remaining = s.remaining[:0]
	for i := 0; i < len(ctx.Effects); i++ {
		send, ok := ctx.Effects[i].(effect.SendPeer)
		if !ok || send.To != self {
			s.remaining = append(s.remaining, ctx.Effects[i])
			continue
		}
		s.handleMessage(ctx, self, s.settings.Self.Incarnation, send.Message)
	}
	return s.remaining
}

// handleMessage routes a message to the part that handles it. Messages from earlier
// incarnations of a host are dropped.
func (s *State) handleMessage(ctx *step.Context, from model.HostID, incarnation model.Incarnation, m message.Message) {
	if s.membership.IsStale(from, incarnation) {
		return
	}
	switch m := m.(type) {
	case message.Dispatch:
		s.handleDispatch(ctx, from, m)
	case message.Cancel:
		s.dispatch.HandleCancel(ctx, from, m)
	case message.DispatchResult:
		s.query.HandleResult(ctx, from, m)
	case message.IndexReport:
		s.catalog.HandleReport(ctx, m.Report)
	case message.IndexInterest:
		s.interest.HandleInterest(ctx, from, m)
		s.dispatch.ReportServices(ctx, m.Services, from)
	case message.OrderForward:
		s.session.HandleForward(ctx, from, m)
	case message.OrderOutcome:
		s.session.HandleOutcome(ctx, from, m)
	case message.SessionHandover:
		s.session.HandleHandover(ctx, from, m)
	case message.HandoverAck:
		s.session.HandleHandoverAck(ctx, from, m)
	case message.SessionMoved:
		s.session.HandleMoved(ctx, m)
	case message.Digest:
		s.handleDigest(ctx, from, m)
	case message.LogPull:
		s.config.HandlePull(ctx, from, m)
	case message.LogEntries:
		s.handleConfigChange(ctx, s.config.HandleEntries(ctx, from, m))
	case message.Suspicion:
		s.quarantine.HandleSuspicion(ctx, m)
	case message.Unblock:
		s.quarantine.HandleUnblock(ctx, m)
	}
}

// DescribeDispatch describes the dispatcher, for experiments and tests.
func (s *State) DescribeDispatch(now model.Instant) dispatch.Description {
	return s.dispatch.Describe(now)
}

// MemberState returns the node's own lifecycle state.
func (s *State) MemberState() model.MemberState { return s.lifecycle.state }

// OpenRequests returns the number of requests that an exit would abort, for
// experiments and tests.
func (s *State) OpenRequests() int { return s.openRequests() }

// Config returns the configuration in force. It must not be changed.
func (s *State) Config() *model.Config { return s.config.InForce() }

// Log returns the accepted configuration entries that the node retains, oldest first.
func (s *State) Log() []model.LogEntry { return s.config.History() }

// HostRevisions returns the last known configuration revision in force on each host,
// ordered by host.
func (s *State) HostRevisions(now model.Instant) []membership.HostRevision {
	return s.config.HostRevisions(now)
}

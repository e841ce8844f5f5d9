package config

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/rendezvous"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Limits of watching the store.
const (
	// watchersPerDomain is the number of members per failure domain that watch the
	// store; the others get new entries from their peers.
	watchersPerDomain = 2
	// watchTimeout is the longest time that one watch call stays open.
	watchTimeout = 5 * time.Second
	// electionInterval is the time between two elections of the watchers.
	electionInterval = 1 * time.Second
)

// follower watches the log in the store while the node is one of its domain's
// watchers, or has no contact with any peer.
type follower struct {
	// lastElection is when the node last computed the watchers of its domain.
	lastElection model.Instant
	watching     bool
	// watchOpen is true while a watch call is open.
	watchOpen bool
	// readRevision is the store's revision up to which the node has read; it is
	// valid only while hasReadRevision is true.
	readRevision    uint64
	hasReadRevision bool
}

// handleReadFinished records the store's revision that a read has covered. It does
// nothing while a watch is open.
func (f *follower) handleReadFinished(revision uint64) {
	if !f.watchOpen {
		f.readRevision = revision
		f.hasReadRevision = true
	}
}

// reset drops the open watch and the revision to watch from, after a pause or a
// failure. The next read determines the revision anew.
func (f *follower) reset() {
	f.watchOpen = false
	f.hasReadRevision = false
}

// updateFollower elects the watchers when an election is due, and keeps a watch open
// if the node is one of them.
func (s *State) updateFollower(ctx *step.Context) {
	f := &s.follower
	if f.lastElection == 0 || ctx.Now.Sub(f.lastElection) >= electionInterval {
		f.lastElection = ctx.Now
		f.watching = isWatcher(ctx) || !s.sync.hasRecentPeerContact(ctx.Now)
	}
	s.ensureWatch(ctx)
}

// ensureWatch opens a watch if the node is a watcher and has none. It requests a
// read first if the revision to watch from is unknown.
func (s *State) ensureWatch(ctx *step.Context) {
	f := &s.follower
	if !f.watching || f.watchOpen {
		return
	}
	if !f.hasReadRevision {
		s.requestReadIfIdle(ctx)
		return
	}
	f.watchOpen = true
	s.calls.call(ctx, purposeWatch, effect.CallStore{
		Verb: effect.StoreWatch, Key: logPrefix, FromRevision: f.readRevision, Timeout: watchTimeout,
	})
}

// requestReadIfIdle requests a read unless one is in progress. A scheduled retry is
// not brought forward.
func (s *State) requestReadIfIdle(ctx *step.Context) {
	if s.reader.stage == readIdle {
		s.requestRead(ctx)
	}
}

// handleWatchResult processes the result of a watch call. A watch stream without
// gaps delivers each entry before its key can be truncated, so its entries need no
// check against the floor.
func (s *State) handleWatchResult(ctx *step.Context, e event.StoreResult) {
	f := &s.follower
	f.watchOpen = false
	switch e.Status {
	case event.StoreOK:
		f.readRevision = max(f.readRevision, e.StoreRevision)
		for _, entry := range decodeEntries(ctx, e.Items) {
			s.history.add(entry)
		}
		if len(s.history.pending) > 0 {
			s.requestReadIfIdle(ctx)
		}
		s.ensureWatch(ctx)
	default:
		f.hasReadRevision = false
		s.reader.delayRead(ctx)
		ctx.Count(metricWatchFailures, "")
	}
}

// delayRead delays the next read after a store failure.
func (r *reader) delayRead(ctx *step.Context) {
	if r.stage == readIdle {
		r.retryAt = ctx.Now.Add(backoff(ctx))
	}
}

// isWatcher reports whether rendezvous hashing selects the node as one of its
// failure domain's watchers. The nodes' membership views may differ; then a few
// more or fewer nodes watch.
func isWatcher(ctx *step.Context) bool {
	var domain []model.HostID
	for _, member := range ctx.View.Members() {
		if member.FailureDomain == ctx.Self.FailureDomain && member.State != model.Suspected {
			domain = append(domain, member.Host)
		}
	}
	return slices.Contains(rendezvous.Top(domain, watchersPerDomain, "config-watch"), ctx.Self.Host)
}

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

// Limits of following the store.
const (
	// watchersPerDomain is how many members of a failure domain watch the store;
	// the others hear from their peers.
	watchersPerDomain = 2
	// watchTimeout is how long one watch waits.
	watchTimeout = 5 * time.Second
	// electionInterval is the time between two looks at who watches.
	electionInterval = 1 * time.Second
)

// follower watches the log while the node is one of its domain's watchers, or
// hears no peer.
type follower struct {
	// elected is when the node last looked at who watches.
	elected  model.Instant
	watching bool
	// waiting is true while a watch is open.
	waiting bool
	// from is the store's revision up to which the node has read; it counts only
	// while placed is true.
	from   uint64
	placed bool
}

// readDone notes up to where a read has seen the store.
func (f *follower) readDone(revision uint64) {
	if !f.waiting {
		f.from = revision
		f.placed = true
	}
}

// abort forgets the open watch: after a pause or a failure its place in the
// store's history is read anew.
func (f *follower) abort() {
	f.waiting = false
	f.placed = false
}

// stepFollower looks at who watches and keeps a watch open.
func (s *State) stepFollower(ctx *step.Context) {
	f := &s.follower
	if f.elected == 0 || ctx.Now.Sub(f.elected) >= electionInterval {
		f.elected = ctx.Now
		f.watching = isWatcher(ctx) || !s.sync.hearsPeers(ctx.Now)
	}
	s.keepWatching(ctx)
}

// keepWatching opens a watch, after a read if the place to watch from is not
// known.
func (s *State) keepWatching(ctx *step.Context) {
	f := &s.follower
	if !f.watching || f.waiting {
		return
	}
	if !f.placed {
		s.requestReadOnce(ctx)
		return
	}
	f.waiting = true
	s.calls.call(ctx, forWatch, effect.CallStore{
		Verb: effect.StoreWatch, Key: logPrefix, FromRevision: f.from, Timeout: watchTimeout,
	})
}

// requestReadOnce asks for a read unless one is under way or put off.
func (s *State) requestReadOnce(ctx *step.Context) {
	if s.reader.stage == readIdle {
		s.requestRead(ctx)
	}
}

// stepWatch takes in the end of a watch. A watch stream without gaps delivers
// each entry before its key can be truncated, so its entries need no floor.
func (s *State) stepWatch(ctx *step.Context, e event.StoreResult) {
	f := &s.follower
	f.waiting = false
	switch e.Status {
	case event.StoreOK:
		f.from = max(f.from, e.StoreRevision)
		for _, entry := range decodeEntries(ctx, e.Items) {
			s.history.add(entry)
		}
		if len(s.history.pending) > 0 {
			s.requestReadOnce(ctx)
		}
		s.keepWatching(ctx)
	default:
		f.placed = false
		s.reader.putOff(ctx)
		ctx.Count(metricWatchFailures, "")
	}
}

// putOff delays the next read after a failure of the store.
func (r *reader) putOff(ctx *step.Context) {
	if r.stage == readIdle {
		r.retryAt = ctx.Now.Add(backoff(ctx))
	}
}

// isWatcher reports whether the node is among its failure domain's watchers by
// rendezvous hashing. Views may differ: then a few nodes more or fewer watch.
func isWatcher(ctx *step.Context) bool {
	var domain []model.HostID
	for _, member := range ctx.View.Members() {
		if member.FailureDomain == ctx.Self.FailureDomain && member.State != model.Suspected {
			domain = append(domain, member.Host)
		}
	}
	return slices.Contains(rendezvous.Top(domain, watchersPerDomain, "config-watch"), ctx.Self.Host)
}

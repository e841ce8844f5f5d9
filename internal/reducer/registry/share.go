package registry

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/rendezvous"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// In each failure domain one node, the reader, reads the registry and the others
// subscribe to its updates, so that the calls to the store grow with the number of
// domains rather than nodes; a large domain has several readers. A subscriber whose
// view gets too old, for whatever reason, reads the registry itself, so no guarantee
// depends on the reader.
const (
	// subscribeInterval is the time between two messages of a subscriber, and
	// subscriptionTime is how long each of them keeps the subscription alive.
	subscribeInterval = 1 * time.Second
	subscriptionTime  = 3 * time.Second
	// firstSubscribeDelay is the delay from the node's start to its first subscription,
	// by which the initial reads are done.
	firstSubscribeDelay = 300 * time.Millisecond
	// maxSharedPollIntervals is the age of shared upstreams, in poll intervals, at which a
	// node reads for itself.
	maxSharedPollIntervals = 1.5
	// readerSilence is how long after its last update a reader counts as silent. Two
	// updates in reply to subscriptions are then missing.
	readerSilence = 2*subscribeInterval + subscribeInterval/2
	// aggregationInterval is the time between two aggregations of the subscribers'
	// observations. With many subscribers, an aggregation for each message would take
	// most of the reader's time.
	aggregationInterval = 500 * time.Millisecond
	// maxSubscribers bounds the subscribers of one node.
	maxSubscribers = 1024
	// readerHashKey is the rendezvous key that selects a domain's readers.
	readerHashKey = "registry-reader"
)

// subscriber is a node that receives this node's updates.
type subscriber struct {
	address string
	// expiresAt is when the subscription ends unless it is renewed.
	expiresAt model.Instant
	// known holds the version and hashes of the view that the subscriber is assumed to
	// have, according to its last message and the updates sent since.
	known message.RegistrySubscribe
	// observations are the observations of upstreams in its last message.
	observations []model.Observation
}

// Observer provides the node's own observations of upstreams.
type Observer interface {
	// TakeObservations returns the observations since the last call.
	TakeObservations() []model.Observation
}

// sharing is the state of updates to and from other nodes.
type sharing struct {
	subscribers map[model.HostID]*subscriber
	// sharedUntil holds for each task the time until which an update from another node
	// is recent enough to replace the node's own calls.
	sharedUntil [taskCount]model.Instant
	// reader is the node that this one subscribes to, its own host if it is a reader,
	// and empty if there is none.
	reader model.HostID
	// updatedAt is when an update last arrived, from any reader.
	updatedAt model.Instant
	// suspicions are the suspicions in the registry result that is being handled, to be
	// passed on to subscribers.
	suspicions []message.Suspicion
	observer   Observer
	// ownObservations are this node's observations of its last subscribe interval.
	ownObservations []model.Observation
	// aggregated adds up the observations of the node and its subscribers as of
	// aggregatedAt.
	aggregated   []model.Observation
	aggregatedAt model.Instant
}

// SetObserver sets the source of the node's own observations. It must be called before
// the first timer fires.
func (s *State) SetObserver(observer Observer) { s.sharing.observer = observer }

// maxSharedAge returns the age at which a part of the view from another node is too old
// to replace the node's own calls.
func (s *State) maxSharedAge(t task) time.Duration {
	switch t {
	case taskRoutes:
		return s.settings.RouteWait + WatchMargin
	case taskUpstreams:
		// A node that has to read for itself has the rest of the upstreams' drain time for
		// a call without a response and another one.
		return time.Duration(maxSharedPollIntervals * float64(s.settings.PollInterval))
	case taskMembers:
		return 2 * (s.settings.MemberWait + WatchMargin)
	default:
		return 0
	}
}

// handleSubscribeTimer sends a subscription to the reader of the node's domain.
func (s *State) handleSubscribeTimer(ctx *step.Context) {
	s.scheduleCall(ctx, taskSubscribe, s.subscribeDelay(ctx))
	s.sharing.ownObservations = s.sharing.observer.TakeObservations()
	if s.tasks[taskMembers].confirmedAt == 0 || s.tasks[taskUpstreams].confirmedAt == 0 {
		return
	}
	if s.lease.member.Host == "" {
		// Nodes may wait a long time for the operators' first configuration. The early
		// announcement lets them find their reader in the meantime.
		s.Announce(ctx, ctx.Self)
	}
	reader := s.readerOf(ctx.Self.FailureDomain, ctx.Self.Host)
	if reader.Host != s.sharing.reader {
		s.sharing.reader = reader.Host
		ctx.Log(effect.Info, component, "reader of the domain", effect.Field{Name: "host", Value: string(reader.Host)})
		if reader.Host == ctx.Self.Host {
			s.replaceStaleReads(ctx)
		}
	}
	if reader.Host != "" && reader.Host != ctx.Self.Host && reader.PeerAddress != "" {
		s.sendSubscribe(ctx, reader)
		s.checkReader(ctx)
	}
}

// checkReader watches the members itself while the reader is silent. It may be off, and its
// last list then names it for much longer than the registry does.
func (s *State) checkReader(ctx *step.Context) {
	if ctx.Now.Sub(s.sharing.updatedAt) < readerSilence || ctx.Now >= s.sharing.sharedUntil[taskMembers] {
		return
	}
	// The time is not zero, so that the first watch is short.
	s.sharing.sharedUntil[taskMembers] = ctx.Now
	s.startCall(ctx, taskMembers)
}

// subscribeDelay returns the delay to the next subscription, which is short until the
// node has found a reader after its start.
func (s *State) subscribeDelay(ctx *step.Context) time.Duration {
	if s.isBootstrapping(ctx) {
		return firstSubscribeDelay
	}
	return subscribeInterval
}

// replaceStaleReads reads anew what the node has only from stale reads.
func (s *State) replaceStaleReads(ctx *step.Context) {
	for _, t := range []task{taskRoutes, taskUpstreams, taskMembers} {
		if s.tasks[t].watchRevision == 0 {
			s.startCall(ctx, t)
		}
	}
}

// subscribersPerReader bounds the mean number of subscribers per reader of a domain, and
// thereby the updates that one reader sends. Lists of some tens of KB go to each
// subscriber whenever they change, over links of 48 Mbit/s and more, and delay newer
// routes that are sent after them.
const subscribersPerReader = 16

// readerOf returns the member that reads for a node of a failure domain, or the zero
// Member if there is none. Large domains have several readers. Nodes whose member lists
// differ may choose different readers for some seconds.
func (s *State) readerOf(domain model.FailureDomain, self model.HostID) model.Member {
	var hosts []model.HostID
	for _, member := range s.members.list {
		if member.FailureDomain == domain && member.State != model.Leaving {
			hosts = append(hosts, member.Host)
		}
	}
	readers := rendezvous.Top(hosts, 1+len(hosts)/(subscribersPerReader+1), readerHashKey)
	if slices.Contains(readers, self) {
		return s.members.byHost[self]
	}
	top := rendezvous.Top(readers, 1, readerHashKey+" of "+string(self))
	if len(top) == 0 {
		return model.Member{}
	}
	return s.members.byHost[top[0]]
}

// sendSubscribe subscribes to the reader's updates. The message carries the node's
// observations, and the version and hashes of its view, so that the reader sends only
// the parts that differ.
func (s *State) sendSubscribe(ctx *step.Context, reader model.Member) {
	m := message.RegistrySubscribe{Address: ctx.Self.PeerAddress, UpstreamsHash: s.upstreams.hash, MembersHash: s.members.hash, Era: s.statedEra()}
	if s.routes != nil {
		m.RoutesVersion = s.routes.Version
	}
	m.Observations = s.sharing.ownObservations
	ctx.Emit(effect.SendPeer{To: reader.Host, Address: reader.PeerAddress, Message: m})
}

// HandleSubscribe adds or renews a subscription and sends the subscriber an update with
// the parts of the view that it lacks.
func (s *State) HandleSubscribe(ctx *step.Context, from model.HostID, m message.RegistrySubscribe) {
	s.followEra(ctx, m.Era)
	sub := s.sharing.subscribers[from]
	if sub == nil {
		if len(s.sharing.subscribers) >= maxSubscribers {
			return
		}
		sub = &subscriber{}
		s.sharing.subscribers[from] = sub
	}
	sub.address = m.Address
	sub.expiresAt = ctx.Now.Add(subscriptionTime)
	sub.known = m
	sub.observations = m.Observations
	s.sendUpdate(ctx, from, sub, s.Observations(ctx))
}

// Observations returns the aggregated observations of the node and its subscribers in
// their last subscribe intervals, ordered by upstream. Without subscribers it returns
// nil, because the node already has its own observations in more detail.
func (s *State) Observations(ctx *step.Context) []model.Observation {
	if len(s.sharing.subscribers) == 0 {
		return nil
	}
	if s.sharing.aggregatedAt == 0 || ctx.Now.Sub(s.sharing.aggregatedAt) >= aggregationInterval {
		s.sharing.aggregated, s.sharing.aggregatedAt = s.aggregateObservations(), ctx.Now
	}
	return s.sharing.aggregated
}

// aggregateObservations adds up the observations of the node and its subscribers by
// upstream.
func (s *State) aggregateObservations() []model.Observation {
	sums := make(map[model.UpstreamID]model.Observation)
	add := func(list []model.Observation) {
		for _, observation := range list {
			sum := sums[observation.Upstream]
			sum.Upstream = observation.Upstream
			sum.Add(observation)
			sums[observation.Upstream] = sum
		}
	}
	add(s.sharing.ownObservations)
	for _, sub := range s.sharing.subscribers {
		add(sub.observations)
	}
	list := make([]model.Observation, 0, len(sums))
	for _, sum := range sums {
		list = append(list, sum)
	}
	slices.SortFunc(list, func(a, b model.Observation) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// updateSubscribers sends an update to all subscribers and drops those that have
// expired.
func (s *State) updateSubscribers(ctx *step.Context) {
	hosts := make([]model.HostID, 0, len(s.sharing.subscribers))
	for host, sub := range s.sharing.subscribers {
		if ctx.Now >= sub.expiresAt {
			delete(s.sharing.subscribers, host)
			continue
		}
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	for _, host := range hosts {
		// Observations are sent only in reply to a subscriber's message.
		s.sendUpdate(ctx, host, s.sharing.subscribers[host], nil)
	}
	s.sharing.suspicions = nil
}

// sendUpdate sends the age of each part of the view, the observations, and the parts
// that the subscriber lacks. Lists of which the node has only a stale read are left out.
func (s *State) sendUpdate(ctx *step.Context, host model.HostID, sub *subscriber, observations []model.Observation) {
	m := message.RegistryUpdate{
		RoutesAge:    s.ageOf(ctx, taskRoutes),
		UpstreamsAge: s.ageOf(ctx, taskUpstreams),
		MembersAge:   s.ageOf(ctx, taskMembers),
		Suspicions:   s.sharing.suspicions,
		Observations: observations,
		Era:          s.statedEra(),
		EraAge:       int64(ctx.Now.Sub(s.era.notBefore)),
	}
	if s.routes != nil {
		m.RoutesVersion = s.routes.Version
		if m.RoutesVersion > sub.known.RoutesVersion && s.sendsRoutes() {
			m.Routes = s.routes
		}
	}
	if m.UpstreamsAge >= 0 {
		m.UpstreamsHash, m.UpstreamsRevision = s.upstreams.hash, s.tasks[taskUpstreams].revision
		if m.UpstreamsHash != sub.known.UpstreamsHash {
			m.Upstreams = s.upstreams.lastRead
		}
		sub.known.UpstreamsHash = m.UpstreamsHash
	}
	if m.MembersAge >= 0 {
		m.MembersHash, m.MembersRevision = s.members.hash, s.tasks[taskMembers].revision
		if m.MembersHash != sub.known.MembersHash {
			m.Members = s.members.list
		}
		sub.known.MembersHash = m.MembersHash
	}
	sub.known.RoutesVersion = max(sub.known.RoutesVersion, m.RoutesVersion)
	ctx.Emit(effect.SendPeer{To: host, Address: sub.address, Message: m})
}

// maxSharedRoutes bounds the copies of routes that a reader sends at once, summed over
// its subscribers. At about 300 bytes each they are sent within a second over the
// slowest link of 48 Mbit/s.
const maxSharedRoutes = 16_000

// sendsRoutes reports whether subscribers get newer routes from this node. With a large
// configuration and many subscribers they read it from the store, which has the faster
// link, as soon as they learn of its version.
func (s *State) sendsRoutes() bool {
	return len(s.sharing.subscribers)*len(s.routes.Routes) <= maxSharedRoutes
}

// ageOf returns the age of a task's part of the view in nanoseconds, negative if the
// node does not have it or does not know its age, which is that of a stale read.
func (s *State) ageOf(ctx *step.Context, t task) int64 {
	if s.tasks[t].confirmedAt == 0 || s.tasks[t].stale {
		return -1
	}
	return int64(ctx.Now.Sub(s.tasks[t].confirmedAt))
}

// HandleUpdate applies another node's registry view. It ignores parts that are older
// than the node's own, and never replaces routes by an older version.
func (s *State) HandleUpdate(ctx *step.Context, m message.RegistryUpdate) Changes {
	s.sharing.updatedAt = ctx.Now
	if s.isOlderEra(m.Era) {
		return Changes{Routes: s.setRoutesIfNewer(m.Routes), Suspicions: m.Suspicions, Observations: m.Observations}
	}
	if m.EraAge >= 0 && m.Era > s.era.number {
		s.era.knownAt = max(s.era.knownAt, ctx.Now.Add(-time.Duration(m.EraAge)))
	}
	s.followEra(ctx, m.Era)
	changes := Changes{Suspicions: m.Suspicions, Observations: m.Observations}
	changes.Routes = s.setRoutesIfNewer(m.Routes)
	if s.routes != nil && m.RoutesVersion == s.routes.Version {
		if confirmedAt, newer := s.isNewer(ctx, taskRoutes, m.RoutesAge); newer {
			s.useShared(ctx, taskRoutes, confirmedAt)
		}
	} else if s.routes != nil && m.RoutesVersion > s.routes.Version {
		s.readRoutes(ctx)
	}
	if read, usable := s.resolveUpstreams(m); usable {
		if confirmedAt, newer := s.isNewer(ctx, taskUpstreams, m.UpstreamsAge); newer {
			changes.Upstreams = s.applyUpstreams(ctx, read, confirmedAt)
			s.era.knownAt = max(s.era.knownAt, confirmedAt)
			s.useSharedList(ctx, taskUpstreams, confirmedAt, m.UpstreamsRevision)
		}
	}
	if list, usable := s.resolveMembers(m); usable {
		if confirmedAt, newer := s.isNewer(ctx, taskMembers, m.MembersAge); newer {
			s.noteMembersRegained(ctx.Now)
			s.members.replace(list)
			s.checkOwnAnnouncement(ctx)
			changes.Members = m.Members != nil
			s.useSharedList(ctx, taskMembers, confirmedAt, m.MembersRevision)
		}
	}
	return changes
}

// readRoutes reads the routes now, because another node has a newer version.
func (s *State) readRoutes(ctx *step.Context) {
	s.sharing.sharedUntil[taskRoutes] = 0
	s.tasks[taskRoutes].watchRevision = 0
	s.startCall(ctx, taskRoutes)
}

// resolveUpstreams returns the upstreams that another node sent, or the node's own if both
// lists are equal. It reports false if the other list is older or was left out although
// the lists differ.
func (s *State) resolveUpstreams(m message.RegistryUpdate) ([]model.Registration, bool) {
	if m.UpstreamsHash == s.upstreams.hash {
		return s.upstreams.lastRead, true
	}
	return m.Upstreams, m.Upstreams != nil && m.UpstreamsRevision >= s.tasks[taskUpstreams].revision
}

// resolveMembers is like resolveUpstreams, for the members.
func (s *State) resolveMembers(m message.RegistryUpdate) ([]model.Member, bool) {
	if m.MembersHash == s.members.hash {
		return s.members.list, true
	}
	return m.Members, m.Members != nil && m.MembersRevision >= s.tasks[taskMembers].revision
}

// isNewer returns when the other node last confirmed a part of its view, and whether
// that is later than for this node's own.
func (s *State) isNewer(ctx *step.Context, t task, age int64) (confirmedAt model.Instant, newer bool) {
	confirmedAt = ctx.Now.Add(-time.Duration(age))
	own := &s.tasks[t]
	if age < 0 {
		return confirmedAt, false
	}
	// A stale read may be much older than assumed.
	replacesStale := own.stale && time.Duration(age) <= s.maxSharedAge(t)
	return confirmedAt, replacesStale || confirmedAt > own.confirmedAt
}

// useShared postpones the node's own calls until a part from another node is too old.
func (s *State) useShared(ctx *step.Context, t task, confirmedAt model.Instant) {
	s.tasks[t].confirmedAt = confirmedAt
	s.tasks[t].stale = false
	s.tasks[t].silentSince = 0
	if limit := confirmedAt.Add(s.maxSharedAge(t)); limit > ctx.Now {
		s.sharing.sharedUntil[t] = limit
	}
}

// useSharedList is like useShared, for a list that holds all changes up to a revision of
// the registry. The times of two nodes do not order their lists, since a result may wait
// in a node's event queue: a list that is older than the own one would undo changes that
// the next watch no longer returns.
func (s *State) useSharedList(ctx *step.Context, t task, confirmedAt model.Instant, revision uint64) {
	s.useShared(ctx, t, confirmedAt)
	state := &s.tasks[t]
	if revision >= state.revision {
		state.revision, state.watchRevision = revision, revision
	}
}

// checkOwnAnnouncement announces the node again if the reader does not list it.
func (s *State) checkOwnAnnouncement(ctx *step.Context) {
	if s.lease.member.Host == "" || s.lease.withdrawing || s.lease.id == 0 {
		return
	}
	if _, found := s.members.byHost[s.lease.member.Host]; !found {
		s.lease.lost = true
		s.startCall(ctx, taskLease)
	}
}

// replace replaces all members.
func (m *members) replace(list []model.Member) {
	m.byHost = make(map[model.HostID]model.Member, len(list))
	for _, member := range list {
		m.byHost[member.Host] = member
	}
	m.rebuildList()
}

// rebuildList rebuilds the sorted list and its hash from byHost.
func (m *members) rebuildList() {
	m.list = make([]model.Member, 0, len(m.byHost))
	for _, member := range m.byHost {
		m.list = append(m.list, member)
	}
	slices.SortFunc(m.list, func(a, b model.Member) int { return cmp.Compare(a.Host, b.Host) })
	m.hash = hashMembers(m.list)
}

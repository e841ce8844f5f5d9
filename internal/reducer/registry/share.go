package registry

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/rendezvous"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Sharing of beliefs. In each failure domain one node, the reader, reads the
// registry, and the others follow it: the calls to the store grow with the domains
// and not with the nodes. A follower whose beliefs get too old, for whatever reason,
// reads by itself, so that no promise rests on the reader.
const (
	// followInterval is the time between two messages of a follower, and
	// followTime how long one of them holds.
	followInterval = 1 * time.Second
	followTime     = 3 * time.Second
	// firstFollow is when a node that has started looks for its reader: the first
	// readings are done by then.
	firstFollow = 300 * time.Millisecond
	// sumInterval is the time between two sums of the followers' observations: with many
	// followers a sum for each question would take most of the reader's time.
	sumInterval = 500 * time.Millisecond
	// maxFollowers bounds the followers of one node.
	maxFollowers = 1024
	// readerKey is the purpose in the choice of a domain's reader.
	readerKey = "registry-reader"
)

// follower is a node that asked to be told.
type follower struct {
	address string
	// until is when its question lapses.
	until model.Instant
	// has is what it is known to have.
	has message.RegistrySubscribe
	// saw is what it last saw of upstreams.
	saw []model.Observation
}

// Observer tells what this node saw of upstreams.
type Observer interface {
	// TakeObservations returns what was seen since the last call.
	TakeObservations() []model.Observation
}

// sharing is what a node tells and hears of others' beliefs.
type sharing struct {
	followers map[model.HostID]*follower
	// fedUntil is until when another node's word on a task is young enough.
	fedUntil [tasks]model.Instant
	// reader is the node that this one follows, empty if none.
	reader model.HostID
	// suspicions are the news of the step that are passed on.
	suspicions []message.Suspicion
	observer   Observer
	// saw is what this node last saw itself.
	saw []model.Observation
	// summed is the sum of what the node and its followers saw, made at summedAt.
	summed   []model.Observation
	summedAt model.Instant
}

// SetObserver names the part that watches the upstreams.
func (s *State) SetObserver(observer Observer) { s.sharing.observer = observer }

// limitOf returns the age at which a belief that another node shares is too old.
func (s *State) limitOf(t task) time.Duration {
	switch t {
	case taskRoutes:
		return s.settings.RouteWait + WatchMargin
	case taskUpstreams:
		return 2 * s.settings.PollInterval
	case taskMembers:
		return 2 * (s.settings.MemberWait + WatchMargin)
	default:
		return 0
	}
}

// stepFollow asks the domain's reader to share.
func (s *State) stepFollow(ctx *step.Context) {
	s.plan(ctx, taskFollow, followInterval)
	s.sharing.saw = s.sharing.observer.TakeObservations()
	if s.loops[taskMembers].good == 0 || s.loops[taskUpstreams].good == 0 {
		return
	}
	if s.lease.member.Host == "" {
		// Before the operators' first configuration the nodes wait for long; they find
		// their reader meanwhile.
		s.Announce(ctx, ctx.Self)
	}
	reader := s.readerOf(ctx.Self.FailureDomain, ctx.Self.Host)
	if reader.Host != s.sharing.reader {
		s.sharing.reader = reader.Host
		ctx.Log(effect.Info, component, "reader of the domain", effect.Field{Name: "host", Value: string(reader.Host)})
	}
	if reader.Host != "" && reader.Host != ctx.Self.Host && reader.PeerAddress != "" {
		s.askToFollow(ctx, reader)
	}
}

// followersPerReader bounds what one reader tells: lists of some tens of KB go to each
// follower when they change, over links of 48 Mbit/s and more, and newer routes wait
// behind them.
const followersPerReader = 16

// readerOf returns the member that reads for a node of a failure domain; views of it may
// differ for seconds. Large domains have several readers.
func (s *State) readerOf(domain model.FailureDomain, self model.HostID) model.Member {
	var hosts []model.HostID
	for _, member := range s.members.list {
		if member.FailureDomain == domain && member.State != model.Leaving {
			hosts = append(hosts, member.Host)
		}
	}
	readers := rendezvous.Top(hosts, 1+len(hosts)/(followersPerReader+1), readerKey)
	if slices.Contains(readers, self) {
		return s.members.known[self]
	}
	top := rendezvous.Top(readers, 1, readerKey+" of "+string(self))
	if len(top) == 0 {
		return model.Member{}
	}
	return s.members.known[top[0]]
}

// askToFollow sends what the node has, so that it is told the rest.
func (s *State) askToFollow(ctx *step.Context, reader model.Member) {
	m := message.RegistrySubscribe{Address: ctx.Self.PeerAddress, UpstreamsHash: s.upstreams.sum, MembersHash: s.members.sum}
	if s.routes != nil {
		m.RoutesVersion = s.routes.Version
	}
	m.Observations = s.sharing.saw
	ctx.Emit(effect.SendPeer{To: reader.Host, Address: reader.PeerAddress, Message: m})
}

// HandleFollow takes in a node's question and tells it what it lacks.
func (s *State) HandleFollow(ctx *step.Context, from model.HostID, m message.RegistrySubscribe) {
	f := s.sharing.followers[from]
	if f == nil {
		if len(s.sharing.followers) >= maxFollowers {
			return
		}
		f = &follower{}
		s.sharing.followers[from] = f
	}
	f.address = m.Address
	f.until = ctx.Now.Add(followTime)
	f.has = m
	f.saw = m.Observations
	s.tell(ctx, from, f, s.Observations(ctx))
}

// Observations returns what the node and its followers saw of upstreams, each in its
// last second, ordered by upstream; nothing if it has no followers, because what a
// node saw by itself it knows better.
func (s *State) Observations(ctx *step.Context) []model.Observation {
	if len(s.sharing.followers) == 0 {
		return nil
	}
	if s.sharing.summedAt == 0 || ctx.Now.Sub(s.sharing.summedAt) >= sumInterval {
		s.sharing.summed, s.sharing.summedAt = s.sumObservations(), ctx.Now
	}
	return s.sharing.summed
}

// sumObservations adds up what the node and its followers saw.
func (s *State) sumObservations() []model.Observation {
	sums := make(map[model.UpstreamID]model.Observation)
	add := func(list []model.Observation) {
		for _, seen := range list {
			sum := sums[seen.Upstream]
			sum.Upstream = seen.Upstream
			sum.Add(seen)
			sums[seen.Upstream] = sum
		}
	}
	add(s.sharing.saw)
	for _, f := range s.sharing.followers {
		add(f.saw)
	}
	list := make([]model.Observation, 0, len(sums))
	for _, sum := range sums {
		list = append(list, sum)
	}
	slices.SortFunc(list, func(a, b model.Observation) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// share tells all followers what has been learned in this step.
func (s *State) share(ctx *step.Context) {
	hosts := make([]model.HostID, 0, len(s.sharing.followers))
	for host, f := range s.sharing.followers {
		if ctx.Now >= f.until {
			delete(s.sharing.followers, host)
			continue
		}
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	for _, host := range hosts {
		// What was seen of upstreams goes with the answers to the followers' questions.
		s.tell(ctx, host, s.sharing.followers[host], nil)
	}
	s.sharing.suspicions = nil
}

// tell sends the ages of the beliefs, what was seen of upstreams, and what the follower
// lacks.
func (s *State) tell(ctx *step.Context, host model.HostID, f *follower, seen []model.Observation) {
	m := message.RegistryUpdate{
		RoutesAge:     s.ageOf(ctx, taskRoutes),
		UpstreamsAge:  s.ageOf(ctx, taskUpstreams),
		UpstreamsHash: s.upstreams.sum,
		MembersAge:    s.ageOf(ctx, taskMembers),
		MembersHash:   s.members.sum,
		Suspicions:    s.sharing.suspicions,
		Observations:  seen,
	}
	if s.routes != nil {
		m.RoutesVersion = s.routes.Version
		if m.RoutesVersion > f.has.RoutesVersion && s.sharesRoutes() {
			m.Routes = s.routes
		}
	}
	if m.UpstreamsHash != f.has.UpstreamsHash {
		m.Upstreams = s.upstreams.read
	}
	if m.MembersHash != f.has.MembersHash {
		m.Members = s.members.list
	}
	f.has = message.RegistrySubscribe{RoutesVersion: max(f.has.RoutesVersion, m.RoutesVersion), UpstreamsHash: m.UpstreamsHash, MembersHash: m.MembersHash}
	ctx.Emit(effect.SendPeer{To: host, Address: f.address, Message: m})
}

// maxSharedRoutes bounds the copies of routes that a reader sends at once: about 300 bytes
// each, so that they leave within a second over the slowest link of 48 Mbit/s.
const maxSharedRoutes = 16_000

// sharesRoutes reports whether followers get newer routes from this node. It answers the
// pattern "a large configuration and many followers": they read it from the store, which
// has the faster link, as soon as they hear of its version.
func (s *State) sharesRoutes() bool {
	return len(s.sharing.followers)*len(s.routes.Routes) <= maxSharedRoutes
}

// ageOf returns the age of a task's belief for a message; negative if there is
// none.
func (s *State) ageOf(ctx *step.Context, t task) int64 {
	if s.loops[t].good == 0 {
		return -1
	}
	return int64(ctx.Now.Sub(s.loops[t].good))
}

// HandleBeliefs takes in what another node knows. Parts that are older than the
// node's own are ignored, and routes never go back.
func (s *State) HandleBeliefs(ctx *step.Context, m message.RegistryUpdate) Changes {
	changes := Changes{Suspicions: m.Suspicions, Observations: m.Observations}
	if m.Routes != nil || s.routes != nil && m.RoutesVersion == s.routes.Version {
		if made, news := s.isNews(ctx, taskRoutes, m.RoutesAge); news {
			changes.Routes = s.adopt(m.Routes)
			s.feed(ctx, taskRoutes, made)
		}
	} else if s.routes != nil && m.RoutesVersion > s.routes.Version {
		s.readRoutes(ctx)
	}
	if read, usable := pick(m.Upstreams, m.UpstreamsHash, s.upstreams.read, s.upstreams.sum); usable {
		if made, news := s.isNews(ctx, taskUpstreams, m.UpstreamsAge); news {
			changes.Upstreams = s.takeReading(ctx, read, made)
			s.feed(ctx, taskUpstreams, made)
		}
	}
	if list, usable := pick(m.Members, m.MembersHash, s.members.list, s.members.sum); usable {
		if made, news := s.isNews(ctx, taskMembers, m.MembersAge); news {
			s.members.set(list)
			s.noteOwnEntry(ctx)
			changes.Members = m.Members != nil
			s.feed(ctx, taskMembers, made)
		}
	}
	return changes
}

// readRoutes reads the routes now, because another node knows of newer ones.
func (s *State) readRoutes(ctx *step.Context) {
	s.sharing.fedUntil[taskRoutes] = 0
	s.loops[taskRoutes].after = 0
	s.call(ctx, taskRoutes)
}

// pick returns a list that another node sent, or the node's own if the other one left
// it out as known. Neither is usable if the sums differ.
func pick[T any](sent []T, sum uint64, own []T, ownSum uint64) ([]T, bool) {
	if sent != nil {
		return sent, true
	}
	return own, sum == ownSum
}

// isNews returns when a shared belief was made, and whether that is later than the
// node's own.
func (s *State) isNews(ctx *step.Context, t task, age int64) (made model.Instant, news bool) {
	made = ctx.Now.Add(-time.Duration(age))
	good := s.loops[t].good
	return made, age >= 0 && (good == 0 || made > good)
}

// feed lets a shared belief stand in for the node's own calls until it is too old.
func (s *State) feed(ctx *step.Context, t task, made model.Instant) {
	s.loops[t].good = made
	if limit := made.Add(s.limitOf(t)); limit > ctx.Now {
		s.sharing.fedUntil[t] = limit
	}
}

// noteOwnEntry announces the node again when the reader does not see it.
func (s *State) noteOwnEntry(ctx *step.Context) {
	if s.lease.member.Host == "" || s.lease.ending || s.lease.id == 0 {
		return
	}
	if _, there := s.members.known[s.lease.member.Host]; !there {
		s.lease.lost = true
		s.call(ctx, taskLease)
	}
}

// sumRegistrations identifies a list of registrations, but for the warm-up, which
// changes all the time.
func sumRegistrations(list []model.Registration) uint64 {
	digest := xxhash.New()
	for _, r := range list {
		writeStrings(digest, string(r.Upstream.ID), r.Upstream.Address, string(r.Upstream.FailureDomain), r.Instance)
		writeNumbers(digest, r.Incarnation, uint64(r.Upstream.Slots), boolean(r.Upstream.Draining))
	}
	return digest.Sum64()
}

// sumMembers identifies a list of members.
func sumMembers(list []model.Member) uint64 {
	digest := xxhash.New()
	for _, m := range list {
		writeStrings(digest, string(m.Host), string(m.FailureDomain), m.CallerAddress, m.PeerAddress, string(m.State))
		writeNumbers(digest, uint64(m.Incarnation))
	}
	return digest.Sum64()
}

// writeStrings adds strings to a digest, whose writes never fail.
func writeStrings(digest *xxhash.Digest, texts ...string) {
	for _, text := range texts {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
}

// writeNumbers adds numbers to a digest.
func writeNumbers(digest *xxhash.Digest, numbers ...uint64) {
	var buffer [8]byte
	for _, n := range numbers {
		binary.LittleEndian.PutUint64(buffer[:], n)
		_, _ = digest.Write(buffer[:])
	}
}

// boolean returns 1 for true.
func boolean(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

// set replaces the members.
func (m *members) set(list []model.Member) {
	m.known = make(map[model.HostID]model.Member, len(list))
	for _, member := range list {
		m.known[member.Host] = member
	}
	m.sort()
}

// sort rebuilds the list from what is known.
func (m *members) sort() {
	m.list = make([]model.Member, 0, len(m.known))
	for _, member := range m.known {
		m.list = append(m.list, member)
	}
	slices.SortFunc(m.list, func(a, b model.Member) int { return cmp.Compare(a.Host, b.Host) })
	m.sum = sumMembers(m.list)
}

package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Limits of digests.
const (
	// ticksPerProbe is the number of digest intervals between two digests to a host
	// that is failed or has never sent one.
	ticksPerProbe = 8
	// newcomerProbes is the number of listed hosts that a new node contacts per
	// tick.
	newcomerProbes = 2
	// maxFreshRumors and maxRotatingRumors bound the rumors in one digest. The
	// rotating ones repeat known descriptions, to replace rumors that were lost.
	maxFreshRumors    = 8
	maxRotatingRumors = 2
	// maxInForceSample bounds the revisions of other hosts in one digest: the most
	// recently observed ones out of inForceCandidates hosts chosen at random.
	maxInForceSample  = 6
	inForceCandidates = 12
	// tableInterval is the shortest time between two tables sent to one host.
	tableInterval = 5 * time.Second
	// tableChunkSize is the number of descriptions per message of a table.
	tableChunkSize = 64
)

// queueRumor queues a host's description to be sent as a rumor. The number of
// digests that carry it grows with the logarithm of the number of hosts.
func (s *State) queueRumor(r *record) {
	r.rumorsLeft = 1 + bits.Len(uint(len(s.records)))/2
	s.hasUnsentRumors = true
}

// sendDigests sends the digests that are due at a tick.
func (s *State) sendDigests(ctx *step.Context) {
	if s.isFullMesh() {
		s.sendFullDigests(ctx)
		return
	}
	s.updatePartners(ctx)
	switch {
	case s.ticks%largeFleetFactor == 0 || s.isNewcomer():
		s.sendFullDigests(ctx)
	case s.hasUnsentRumors:
		s.sendTo(ctx, s.randomPartners(ctx, partnersPerRound), s.digest())
	}
	s.hasUnsentRumors = false
}

// sendFullDigests sends a digest that includes a sample of other hosts' revisions
// and the set of hosts that have the latest revision in force.
func (s *State) sendFullDigests(ctx *step.Context) {
	digest := s.digest()
	digest.InForce = s.sampleInForce(ctx)
	digest.Holders = s.holders()
	s.sendTo(ctx, s.targets(ctx), digest)
}

// sendTo sends one digest to several hosts.
func (s *State) sendTo(ctx *step.Context, hosts []model.HostID, digest message.Digest) {
	for _, host := range hosts {
		ctx.Send(host, digest)
	}
}

// digest returns the node's next digest.
func (s *State) digest() message.Digest {
	s.sequence++
	digest := message.Digest{
		Member:         s.self,
		Sequence:       s.sequence,
		LatestRevision: s.latestRevision,
		BlocksHash:     s.blocksHash,
		KnownHosts:     uint32(len(s.members)),
	}
	if !s.isFullMesh() {
		digest.Rumors = s.nextRumors()
	}
	return digest
}

// targets returns the recipients of a full digest.
func (s *State) targets(ctx *step.Context) []model.HostID {
	if s.isFullMesh() {
		return s.allTargets()
	}
	var hosts []model.HostID
	for _, r := range s.successors() {
		hosts = append(hosts, r.member.Host)
	}
	hosts = append(hosts, s.randomPartners(ctx, partnersPerRound)...)
	return append(hosts, s.unreachableTargets(ctx)...)
}

// isNewcomer reports whether the node knows too few live hosts to take part in the
// exchange of rumors.
func (s *State) isNewcomer() bool {
	return !s.isFullMesh() && len(s.members)-1 < partnerCount
}

// allTargets returns all live hosts, and every ticksPerProbe ticks the others too. A
// host that was not described yet is included at each tick until it was sent
// ticksPerProbe introductions.
func (s *State) allTargets() []model.HostID {
	var hosts []model.HostID
	for _, r := range s.records {
		isNew := !r.described && r.introductionsSent < ticksPerProbe
		if isNew {
			r.introductionsSent++
		}
		if r.isAlive() || isNew || s.ticks%ticksPerProbe == 0 {
			hosts = append(hosts, r.member.Host)
		}
	}
	return hosts
}

// sendIntroductions sends the node's digest to hosts that it has just learned of,
// so that they can answer its messages.
func (s *State) sendIntroductions(ctx *step.Context) {
	if !s.isFullMesh() {
		return
	}
	var hosts []model.HostID
	for _, r := range s.records {
		if !r.described && r.introductionsSent == 0 {
			r.introductionsSent++
			hosts = append(hosts, r.member.Host)
		}
	}
	if len(hosts) > 0 {
		s.sendTo(ctx, hosts, s.digest())
	}
}

// unreachableTargets returns a random listed host that is failed or has never sent
// a digest, every ticksPerProbe ticks, so that the two sides of a healed partition
// find each other again. A newcomer gets some such hosts at each tick, until one of
// them sends it the table of hosts.
func (s *State) unreachableTargets(ctx *step.Context) []model.HostID {
	count := 1
	if s.isNewcomer() {
		count = newcomerProbes
	} else if s.ticks%ticksPerProbe != 0 {
		return nil
	}
	var unreachable []model.HostID
	for _, r := range s.records {
		if !r.isAlive() && r.listed {
			unreachable = append(unreachable, r.member.Host)
		}
	}
	ctx.Random.Shuffle(len(unreachable), func(i, j int) { unreachable[i], unreachable[j] = unreachable[j], unreachable[i] })
	return unreachable[:min(count, len(unreachable))]
}

// nextRumors returns the rumors with the most sends left, and a few other
// descriptions in rotation.
func (s *State) nextRumors() []message.Rumor {
	var fresh []*record
	for _, r := range s.records {
		if r.rumorsLeft > 0 {
			fresh = append(fresh, r)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *record) int { return cmp.Compare(b.rumorsLeft, a.rumorsLeft) })
	fresh = fresh[:min(maxFreshRumors, len(fresh))]
	var rumors []message.Rumor
	for _, r := range fresh {
		r.rumorsLeft--
		rumors = append(rumors, r.rumor())
	}
	for range min(maxRotatingRumors, len(s.records)) {
		s.rumorCursor = (s.rumorCursor + 1) % len(s.records)
		if r := s.records[s.rumorCursor]; r.described && r.rumorsLeft == 0 {
			rumors = append(rumors, r.rumor())
		}
	}
	return rumors
}

// rumor returns the host's description with its reported state. A suspicion because
// of a broken stream or probation is local to this node and is not passed on.
func (r *record) rumor() message.Rumor {
	member := r.member
	member.State = r.reportedState
	return message.Rumor{Member: member, Sequence: r.sequence}
}

// sendTableToNewcomer sends all descriptions to a host that knows fewer than half
// as many hosts as this node, at most once per tableInterval.
func (s *State) sendTableToNewcomer(ctx *step.Context, r *record, known uint32) {
	if s.isFullMesh() || 2*int(known) >= len(s.members) {
		return
	}
	if r.tableSentAt != 0 && ctx.Now.Sub(r.tableSentAt) < tableInterval {
		return
	}
	r.tableSentAt = ctx.Now
	s.sendTable(ctx, r.member.Host)
}

// sendTable sends a host the descriptions of all others.
func (s *State) sendTable(ctx *step.Context, to model.HostID) {
	var rumors []message.Rumor
	for _, r := range s.records {
		if r.described && r.member.Host != to {
			rumors = append(rumors, r.rumor())
		}
	}
	for part := range slices.Chunk(rumors, tableChunkSize) {
		digest := s.digest()
		digest.Rumors = part
		ctx.Send(to, digest)
	}
}

// applyRumors applies a peer's descriptions of other hosts.
func (s *State) applyRumors(now model.Instant, rumors []message.Rumor) {
	isTable := len(rumors) > maxFreshRumors+maxRotatingRumors
	for _, rumor := range rumors {
		if rumor.Member.Host == s.self.Host {
			s.refuteRumor(rumor)
			continue
		}
		r := s.ensureRecord(rumor.Member.Host)
		s.applyRumor(now, r, rumor)
		if isTable {
			// Other hosts already know the contents of a table, so it is not passed on.
			r.rumorsLeft = 0
		}
	}
}

// applyRumor applies a rumor if it is newer than the record, or equally new and
// more severe.
func (s *State) applyRumor(now model.Instant, r *record, rumor message.Rumor) {
	m := rumor.Member
	switch {
	case !r.described || m.Incarnation > r.member.Incarnation:
		r.streamLostAt, r.probationLeft = 0, 0
	case m.Incarnation < r.member.Incarnation || rumor.Sequence < r.sequence:
		return
	case rumor.Sequence == r.sequence && severity(m.State) <= severity(r.reportedState):
		// The peer already knows the rumor, so one send fewer is needed.
		r.rumorsLeft = max(0, r.rumorsLeft-1)
		return
	case rumor.Sequence > r.sequence:
		r.streamLostAt = 0
	}
	if m.Incarnation == r.member.Incarnation {
		m.Revision = max(m.Revision, r.member.Revision)
	}
	s.applyDescription(now, r, m, rumor.Sequence)
}

// refuteRumor refutes a rumor that the node itself is suspected or failed: its next
// digests have higher sequence numbers, which take precedence over the rumor.
func (s *State) refuteRumor(rumor message.Rumor) {
	claimsFailure := rumor.Member.State == model.Suspected || rumor.Member.State == model.Failed
	if claimsFailure && rumor.Member.Incarnation == s.self.Incarnation {
		s.sequence = max(s.sequence, rumor.Sequence)
		s.hasUnsentRumors = true
	}
}

// severity ranks the states that can be reported with the same sequence number of a
// host.
func severity(state model.MemberState) int {
	switch state {
	case model.Failed:
		return 2
	case model.Suspected:
		return 1
	default:
		return 0
	}
}

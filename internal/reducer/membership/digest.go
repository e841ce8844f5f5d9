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
	// silentTicks is the number of digest intervals between two digests to a host
	// that is failed or was never heard of.
	silentTicks = 8
	// newcomerTargets is how many listed hosts at once a new node turns to.
	newcomerTargets = 2
	// freshRumors and rotatingRumors bound the rumors of one digest. The rotating
	// ones repair what was lost.
	freshRumors    = 8
	rotatingRumors = 2
	// inForceSample bounds the revisions of other hosts in one digest. They are the
	// most recent of a random choice.
	inForceSample = 6
	inForceChoice = 12
	// helpInterval is the least time between two tables for one host.
	helpInterval = 5 * time.Second
	// tablePart is how many descriptions one message to a new host carries.
	tablePart = 64
)

// spread makes a host's description a rumor.
func (s *State) spread(r *record) {
	r.rumors = 1 + bits.Len(uint(len(s.records)))/2
	s.fresh = true
}

// sendDigests sends what is due at a tick.
func (s *State) sendDigests(ctx *step.Context) {
	if s.hasFewHosts() {
		s.sendFull(ctx)
		return
	}
	s.renewPartners(ctx)
	switch {
	case s.ticks%manyHostsFactor == 0 || s.isNewcomer():
		s.sendFull(ctx)
	case s.fresh:
		s.sendTo(ctx, s.pickPartners(ctx, partnersPerRound), s.digest())
	}
	s.fresh = false
}

// sendFull sends a digest with a sample of what is in force where.
func (s *State) sendFull(ctx *step.Context) {
	digest := s.digest()
	digest.InForce = s.sampleInForce(ctx)
	digest.Holders = s.holders()
	s.sendTo(ctx, s.targets(ctx), digest)
}

// sendTo sends one digest to some hosts.
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
		LatestRevision: s.latest,
		BlocksHash:     s.convictions,
		KnownHosts:     uint32(len(s.members)),
	}
	if !s.hasFewHosts() {
		digest.Rumors = s.takeRumors()
	}
	return digest
}

// targets returns who gets a full digest.
func (s *State) targets(ctx *step.Context) []model.HostID {
	if s.hasFewHosts() {
		return s.allTargets()
	}
	var hosts []model.HostID
	for _, r := range s.successors() {
		hosts = append(hosts, r.member.Host)
	}
	hosts = append(hosts, s.pickPartners(ctx, partnersPerRound)...)
	return append(hosts, s.silentTargets(ctx)...)
}

// isNewcomer reports whether the node knows too few live hosts to take part in
// the exchange of rumors.
func (s *State) isNewcomer() bool {
	return !s.hasFewHosts() && len(s.members)-1 < partnerCount
}

// allTargets returns all hosts, the silent ones only now and then.
func (s *State) allTargets() []model.HostID {
	var hosts []model.HostID
	for _, r := range s.records {
		isNew := !r.described && r.introductions < silentTicks
		if isNew {
			r.introductions++
		}
		if r.isAlive() || isNew || s.ticks%silentTicks == 0 {
			hosts = append(hosts, r.member.Host)
		}
	}
	return hosts
}

// introduce sends the node's digest to the hosts that it has just learned of, so
// that they can answer its messages.
func (s *State) introduce(ctx *step.Context) {
	if !s.hasFewHosts() {
		return
	}
	var hosts []model.HostID
	for _, r := range s.records {
		if !r.described && r.introductions == 0 {
			r.introductions++
			hosts = append(hosts, r.member.Host)
		}
	}
	if len(hosts) > 0 {
		s.sendTo(ctx, hosts, s.digest())
	}
}

// silentTargets returns now and then a random host that is failed or was never
// heard of, so that the two sides of a mended partition find each other again. A
// newcomer turns to some at each tick, until one sends it the table of hosts.
func (s *State) silentTargets(ctx *step.Context) []model.HostID {
	count := 1
	if s.isNewcomer() {
		count = newcomerTargets
	} else if s.ticks%silentTicks != 0 {
		return nil
	}
	var silent []model.HostID
	for _, r := range s.records {
		if !r.isAlive() && r.listed {
			silent = append(silent, r.member.Host)
		}
	}
	ctx.Random.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	return silent[:min(count, len(silent))]
}

// takeRumors returns the freshest rumors and a few of the rest in turn.
func (s *State) takeRumors() []message.Rumor {
	var fresh []*record
	for _, r := range s.records {
		if r.rumors > 0 {
			fresh = append(fresh, r)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *record) int { return cmp.Compare(b.rumors, a.rumors) })
	fresh = fresh[:min(freshRumors, len(fresh))]
	var rumors []message.Rumor
	for _, r := range fresh {
		r.rumors--
		rumors = append(rumors, r.rumor())
	}
	for range min(rotatingRumors, len(s.records)) {
		s.rotor = (s.rotor + 1) % len(s.records)
		if r := s.records[s.rotor]; r.described && r.rumors == 0 {
			rumors = append(rumors, r.rumor())
		}
	}
	return rumors
}

// rumor returns the host's description with the state that was told of it: this
// node's own doubts about a broken stream stay its own.
func (r *record) rumor() message.Rumor {
	member := r.member
	member.State = r.told
	return message.Rumor{Member: member, Sequence: r.sequence}
}

// helpNewcomer sends a host that knows far fewer hosts than this node the
// descriptions of all.
func (s *State) helpNewcomer(ctx *step.Context, r *record, known uint32) {
	if s.hasFewHosts() || 2*int(known) >= len(s.members) {
		return
	}
	if r.helped != 0 && ctx.Now.Sub(r.helped) < helpInterval {
		return
	}
	r.helped = ctx.Now
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
	for part := range slices.Chunk(rumors, tablePart) {
		digest := s.digest()
		digest.Rumors = part
		ctx.Send(to, digest)
	}
}

// learnRumors takes in what a peer believes of other hosts.
func (s *State) learnRumors(now model.Instant, rumors []message.Rumor) {
	isTable := len(rumors) > freshRumors+rotatingRumors
	for _, rumor := range rumors {
		if rumor.Member.Host == s.self.Host {
			s.refute(rumor)
			continue
		}
		r := s.ensure(rumor.Member.Host)
		s.learnRumor(now, r, rumor)
		if isTable {
			// What a newcomer learns from a table is news to nobody else.
			r.rumors = 0
		}
	}
}

// learnRumor takes a rumor over if it is newer, or as new and more severe.
func (s *State) learnRumor(now model.Instant, r *record, rumor message.Rumor) {
	m := rumor.Member
	switch {
	case !r.described || m.Incarnation > r.member.Incarnation:
		r.lost, r.probation = 0, 0
	case m.Incarnation < r.member.Incarnation || rumor.Sequence < r.sequence:
		return
	case rumor.Sequence == r.sequence && severity(m.State) <= severity(r.told):
		// A peer that knows the rumor already makes it less worth telling.
		r.rumors = max(0, r.rumors-1)
		return
	case rumor.Sequence > r.sequence:
		r.lost = 0
	}
	if m.Incarnation == r.member.Incarnation {
		m.Revision = max(m.Revision, r.member.Revision)
	}
	s.describe(now, r, m, rumor.Sequence)
}

// refute answers a rumor that the node itself has failed: its next digests have
// higher sequence numbers, which outrank the rumor.
func (s *State) refute(rumor message.Rumor) {
	isDead := rumor.Member.State == model.Suspected || rumor.Member.State == model.Failed
	if isDead && rumor.Member.Incarnation == s.self.Incarnation {
		s.sequence = max(s.sequence, rumor.Sequence)
		s.fresh = true
	}
}

// severity orders the states that may be told of one digest of a host.
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

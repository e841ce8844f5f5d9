package membership

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Limits of the choice of peers when there are many hosts.
const (
	// monitorsPerHost is the number of hosts that monitor each host.
	monitorsPerHost = 2
	// partnerCount is the number of random peers that a node exchanges rumors with.
	// It bounds the control streams that a node opens.
	partnerCount = 8
	// partnerInterval is the time between two replacements of a partner.
	partnerInterval = 30 * time.Second
	// partnersPerRound is the number of partners to which one digest is sent.
	partnersPerRound = 2
)

// ringStart returns the index of the first host after the node on the ring.
func (s *State) ringStart() int {
	self := &record{member: s.self, ringPosition: ringPosition(s.self.Host)}
	at, _ := slices.BinarySearchFunc(s.ring, self, compareRing)
	return at
}

// successors returns the next live hosts on the ring, which monitor the node.
func (s *State) successors() []*record {
	var found []*record
	start := s.ringStart()
	for i := range s.ring {
		r := s.ring[(start+i)%len(s.ring)]
		if r.isAlive() {
			found = append(found, r)
		}
		if len(found) == monitorsPerHost {
			break
		}
	}
	return found
}

// assignMonitors determines which hosts this node monitors: all of them when there
// are few, otherwise those before it on the ring, up to the monitorsPerHost-th that
// is alive and not suspected. The timeouts of a host start when the node begins to
// monitor it.
func (s *State) assignMonitors(now model.Instant) {
	if s.isFullMesh() {
		for _, r := range s.records {
			r.startMonitoring(now)
		}
		return
	}
	start := s.ringStart()
	alive := 0
	for i := range s.ring {
		r := s.ring[(start-1-i+2*len(s.ring))%len(s.ring)]
		if alive >= monitorsPerHost {
			r.monitoredSince = 0
			r.probationLeft = 0
			continue
		}
		r.startMonitoring(now)
		if r.isAlive() && r.reportedState != model.Suspected {
			alive++
		}
	}
}

// startMonitoring marks the host as monitored by this node, unless it already is.
func (r *record) startMonitoring(now model.Instant) {
	if r.monitoredSince == 0 {
		r.monitoredSince = now
	}
}

// partners is a small set of random peers that changes slowly.
type partners struct {
	hosts        []model.HostID
	lastReplaced model.Instant
}

// updatePartners removes failed partners, replaces the oldest one every
// partnerInterval, and fills the set up.
func (s *State) updatePartners(ctx *step.Context) {
	p := &s.partners
	p.hosts = slices.DeleteFunc(p.hosts, func(host model.HostID) bool {
		r := s.record(host)
		return r == nil || !r.isAlive()
	})
	if ctx.Now.Sub(p.lastReplaced) >= partnerInterval {
		p.lastReplaced = ctx.Now
		if len(p.hosts) == partnerCount {
			p.hosts = p.hosts[1:]
		}
	}
	for range partnerCount {
		if len(p.hosts) >= partnerCount || len(s.records) == 0 {
			return
		}
		r := s.records[ctx.Random.IntN(len(s.records))]
		if r.isAlive() && !slices.Contains(p.hosts, r.member.Host) {
			p.hosts = append(p.hosts, r.member.Host)
		}
	}
}

// Partners returns the peers that the node sends updates to: all live hosts when
// there are few, otherwise the random partners. The caller must not change the
// slice.
func (s *State) Partners() []model.HostID {
	if !s.isFullMesh() {
		return s.partners.hosts
	}
	hosts := make([]model.HostID, 0, len(s.records))
	for _, r := range s.records {
		if r.isAlive() {
			hosts = append(hosts, r.member.Host)
		}
	}
	return hosts
}

// randomPartners returns up to count random partners.
func (s *State) randomPartners(ctx *step.Context, count int) []model.HostID {
	hosts := slices.Clone(s.partners.hosts)
	ctx.Random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(count, len(hosts))]
}

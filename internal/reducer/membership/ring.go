package membership

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Limits of the choice of peers when there are many hosts.
const (
	// monitorsPerHost is how many hosts judge a host's silence.
	monitorsPerHost = 2
	// partnerCount is how many random peers a node keeps to exchange rumors with.
	// It bounds the streams that a node opens for control.
	partnerCount = 8
	// partnerInterval is the time between two replacements of a partner.
	partnerInterval = 30 * time.Second
	// partnersPerRound is how many partners get one digest.
	partnersPerRound = 2
)

// ringStart returns the index of the first host behind the node on the ring.
func (s *State) ringStart() int {
	self := &record{member: s.self, place: place(s.self.Host)}
	at, _ := slices.BinarySearchFunc(s.ring, self, compareRing)
	return at
}

// successors returns the next live hosts on the ring: the node's monitors.
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

// assignMonitors decides whose silence the node judges: everybody's when there
// are few hosts, otherwise that of the hosts before it on the ring, up to the
// second live one. A host that it begins to monitor gets the full time to be
// heard.
func (s *State) assignMonitors(now model.Instant) {
	if s.hasFewHosts() {
		for _, r := range s.records {
			r.monitor(now)
		}
		return
	}
	start := s.ringStart()
	alive := 0
	for i := range s.ring {
		r := s.ring[(start-1-i+2*len(s.ring))%len(s.ring)]
		if alive >= monitorsPerHost {
			r.monitored = 0
			r.probation = 0
			continue
		}
		r.monitor(now)
		if r.isAlive() && r.told != model.Suspected {
			alive++
		}
	}
}

// monitor notes that the node judges the host's silence.
func (r *record) monitor(now model.Instant) {
	if r.monitored == 0 {
		r.monitored = now
	}
}

// partners is a small, slowly changing set of random peers.
type partners struct {
	hosts    []model.HostID
	replaced model.Instant
}

// renewPartners drops failed partners, replaces one from time to time, and fills
// the set up.
func (s *State) renewPartners(ctx *step.Context) {
	p := &s.partners
	p.hosts = slices.DeleteFunc(p.hosts, func(host model.HostID) bool {
		r := s.record(host)
		return r == nil || !r.isAlive()
	})
	if ctx.Now.Sub(p.replaced) >= partnerInterval {
		p.replaced = ctx.Now
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

// Partners returns the peers that the node sends news to: all that are alive
// when there are few hosts. The slice must not be changed.
func (s *State) Partners() []model.HostID {
	if !s.hasFewHosts() {
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

// pickPartners returns a random choice of partners.
func (s *State) pickPartners(ctx *step.Context, count int) []model.HostID {
	hosts := slices.Clone(s.partners.hosts)
	ctx.Random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(count, len(hosts))]
}

package quarantine

import "github.com/hawthorntack/hawthorntack/internal/model"

// maxProven bounds the contents that are remembered as harmless.
const maxProven = 16384

// proven remembers contents that ran to their end, the oldest of which make
// room.
type proven struct {
	known map[model.Fingerprint]bool
	// ring lists the contents in the order of adding.
	ring []model.Fingerprint
	next int
}

// add remembers a content.
func (p *proven) add(print model.Fingerprint) {
	if p.known[print] {
		return
	}
	p.known[print] = true
	if len(p.ring) < maxProven {
		p.ring = append(p.ring, print)
		return
	}
	delete(p.known, p.ring[p.next])
	p.ring[p.next] = print
	p.next = (p.next + 1) % maxProven
}

// RecordSafe remembers that a content ran to its end without a crash.
func (s *State) RecordSafe(print model.Fingerprint) { s.proven.add(print) }

// IsKnownSafe reports whether a content is known to have run without a crash. It is
// a hint that spares known content a canary; a crash counts all the same.
func (s *State) IsKnownSafe(print model.Fingerprint) bool { return s.proven.known[print] }

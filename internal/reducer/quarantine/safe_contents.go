package quarantine

import "github.com/hawthorntack/hawthorntack/internal/model"

// maxSafeContents bounds the number of fingerprints remembered as safe.
const maxSafeContents = 16384

// safeContents is a bounded set of the fingerprints of request content that ran to
// its end without a crash. When it is full, the oldest entry is evicted.
type safeContents struct {
	known map[model.Fingerprint]bool
	// ring lists the fingerprints in insertion order; next is the index of the oldest
	// once it is full.
	ring []model.Fingerprint
	next int
}

// add inserts a fingerprint.
func (p *safeContents) add(fingerprint model.Fingerprint) {
	if p.known[fingerprint] {
		return
	}
	p.known[fingerprint] = true
	if len(p.ring) < maxSafeContents {
		p.ring = append(p.ring, fingerprint)
		return
	}
	delete(p.known, p.ring[p.next])
	p.ring[p.next] = fingerprint
	p.next = (p.next + 1) % maxSafeContents
}

// RecordSafe records that the request content with the fingerprint ran to its end
// without a crash.
func (s *State) RecordSafe(fingerprint model.Fingerprint) { s.safe.add(fingerprint) }

// IsKnownSafe reports whether the request content with the fingerprint is known to
// have run without a crash. Such content needs no canary run; a later crash still
// makes it suspect.
func (s *State) IsKnownSafe(fingerprint model.Fingerprint) bool { return s.safe.known[fingerprint] }

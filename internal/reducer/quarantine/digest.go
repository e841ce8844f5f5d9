package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Limits on sending blocks to peers.
const (
	// sendInterval is the minimum time between two sends of the blocks to one peer.
	sendInterval = time.Second
	// maxBlocksPerSend bounds the number of blocks in one send.
	maxBlocksPerSend = 256
)

// Hash returns a hash of the request content blocked on crash evidence, independent
// of the order of the blocks. Digests carry it, so that nodes detect differences.
func (s *State) Hash() uint64 { return s.hash }

// updateHash recomputes the hash from the blocks in force.
func (s *State) updateHash(ctx *step.Context) {
	s.hash = 0
	for c, record := range s.records {
		if ctx.Now < record.blockedUntil {
			s.hash ^= uint64(Fingerprint(c.service, []byte(c.fingerprint.String())))
		}
	}
}

// HandleDigest sends the blocks to a peer whose digest has another hash, such as a
// node that has just started or that missed a message.
func (s *State) HandleDigest(ctx *step.Context, from model.HostID, m message.Digest) {
	if m.BlocksHash == s.hash || s.hash == 0 {
		return
	}
	if last, found := s.lastSent[from]; found && ctx.Now.Sub(last) < sendInterval {
		return
	}
	s.lastSent[from] = ctx.Now
	for _, c := range s.blockedContents(ctx.Now, maxBlocksPerSend) {
		record := s.records[c]
		if record.blockedUntil.Sub(ctx.Now) >= minRemainingBlock {
			ctx.Send(from, s.suspicionMessage(ctx, c, "", record.blockingCrash, true))
		}
	}
}

// blockedContents returns the blocked content of at most limit blocks, those with
// the latest end first, in a deterministic order.
func (s *State) blockedContents(now model.Instant, limit int) []content {
	var all []content
	for c, record := range s.records {
		if now < record.blockedUntil {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b content) int {
		return cmp.Or(
			-cmp.Compare(s.records[a].blockedUntil, s.records[b].blockedUntil),
			cmp.Compare(a.service, b.service),
			cmp.Compare(a.fingerprint, b.fingerprint),
		)
	})
	return all[:min(len(all), limit)]
}

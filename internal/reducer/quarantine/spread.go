package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Limits of spreading.
const (
	// sendInterval is the least time between two sendings of the convictions to
	// one peer.
	sendInterval = time.Second
	// maxSent bounds the convictions of one sending.
	maxSent = 256
)

// Hash sums up the convictions that this node holds on the nodes' own evidence,
// in any order. It travels in digests, so that a difference is noticed.
func (s *State) Hash() uint64 { return s.hash }

// rehash computes the hash anew.
func (s *State) rehash(ctx *step.Context) {
	s.hash = 0
	for c, found := range s.subjects {
		if ctx.Now < found.convictedUntil {
			s.hash ^= uint64(Fingerprint(c.service, []byte(c.print.String())))
		}
	}
}

// HandleDigest sends the convictions to a peer whose digest shows others, such
// as a node that has just started or that missed the news.
func (s *State) HandleDigest(ctx *step.Context, from model.HostID, m message.Digest) {
	if m.BlocksHash == s.hash || s.hash == 0 {
		return
	}
	if last, found := s.sent[from]; found && ctx.Now.Sub(last) < sendInterval {
		return
	}
	s.sent[from] = ctx.Now
	for _, c := range s.convicted(ctx.Now, maxSent) {
		found := s.subjects[c]
		if found.convictedUntil.Sub(ctx.Now) >= leastTimeLeft {
			ctx.Send(from, s.news(ctx, c, "", found.convicting, true))
		}
	}
}

// convicted returns at most limit convicted contents in a fixed order, those
// that hold longest first.
func (s *State) convicted(now model.Instant, limit int) []content {
	var all []content
	for c, found := range s.subjects {
		if now < found.convictedUntil {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b content) int {
		return cmp.Or(
			-cmp.Compare(s.subjects[a].convictedUntil, s.subjects[b].convictedUntil),
			cmp.Compare(a.service, b.service),
			cmp.Compare(a.print, b.print),
		)
	})
	return all[:min(len(all), limit)]
}

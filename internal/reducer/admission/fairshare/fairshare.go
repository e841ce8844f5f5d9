// Package fairshare divides a common limit among users by weight with dynamic
// thresholds: a user may hold up to a multiple of the units that are free. A single
// active user gets most of the limit, and the rest is available to other users at
// once, so that nothing has to be preempted. The scheme is that of Choudhury and
// Hahne for shared buffers (IEEE/ACM Transactions on Networking 6(2), 1998).
package fairshare

import "github.com/hawthorntack/hawthorntack/internal/model"

// thresholdFactor is the multiple of the free units that a user of weight one may
// hold. A single active user of weight one gets
// thresholdFactor/(thresholdFactor+1) of the limit.
const thresholdFactor = 4

// Share counts the units of a common limit that each user holds.
type Share struct {
	limit int
	total int
	held  map[model.UserID]int
}

// New returns a Share of a limit with no units held.
func New(limit int) *Share {
	return &Share{limit: limit, held: make(map[model.UserID]int)}
}

// Allows reports whether a user of the given weight may take count more units.
func (s *Share) Allows(user model.UserID, weight, count int) bool {
	// free is the number of free units once count-1 of the requested units are taken.
	free := s.limit - s.total - (count - 1)
	return free > 0 && s.held[user]+count-1 < thresholdFactor*max(1, weight)*free
}

// Take assigns one unit to a user.
func (s *Share) Take(user model.UserID) {
	s.total++
	s.held[user]++
}

// Return releases one unit of a user.
func (s *Share) Return(user model.UserID) {
	s.total--
	s.held[user]--
	if s.held[user] == 0 {
		delete(s.held, user)
	}
}

// Held returns the number of units that a user holds.
func (s *Share) Held(user model.UserID) int { return s.held[user] }

// Total returns the number of units that all users hold.
func (s *Share) Total() int { return s.total }

// Limit returns the common limit.
func (s *Share) Limit() int { return s.limit }

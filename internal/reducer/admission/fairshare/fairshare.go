// Package fairshare divides a common limit among users by weight with dynamic
// thresholds: a user may hold as much as a multiple of what is still free. One
// user alone gets most of the limit, and what it leaves free is there at once
// for the others; nothing has to be taken back. The scheme is that of Choudhury
// and Hahne for shared buffers (IEEE/ACM Transactions on Networking 6(2), 1998).
package fairshare

import "github.com/hawthorntack/hawthorntack/internal/model"

// threshold is the multiple of the free part that a user of weight one may hold.
// One user alone gets threshold/(threshold+1) of the limit.
const threshold = 4

// Share counts what each user holds of a common limit.
type Share struct {
	limit int
	total int
	held  map[model.UserID]int
}

// New returns a share of a limit of which nothing is held.
func New(limit int) *Share {
	return &Share{limit: limit, held: make(map[model.UserID]int)}
}

// Allows reports whether a user of the given weight may hold count more.
func (s *Share) Allows(user model.UserID, weight, count int) bool {
	// before is what is free just before the last of them is taken.
	before := s.limit - s.total - (count - 1)
	return before > 0 && s.held[user]+count-1 < threshold*max(1, weight)*before
}

// Take gives one to a user.
func (s *Share) Take(user model.UserID) {
	s.total++
	s.held[user]++
}

// Return takes one back from a user.
func (s *Share) Return(user model.UserID) {
	s.total--
	s.held[user]--
	if s.held[user] == 0 {
		delete(s.held, user)
	}
}

// Held returns what a user holds.
func (s *Share) Held(user model.UserID) int { return s.held[user] }

// Total returns what all users hold.
func (s *Share) Total() int { return s.total }

// Limit returns the common limit.
func (s *Share) Limit() int { return s.limit }

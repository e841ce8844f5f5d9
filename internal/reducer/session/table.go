package session

import (
	"cmp"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Estimated memory of the records, in bytes; BenchmarkSessionBytes measures it.
const (
	sessionBytes = 192
	orderBytes   = 320
)

// role determines what this node may do with the sessions of a home.
type role uint8

// Possible roles.
const (
	// active means that the home starts orders.
	active role = iota + 1
	// sealed means that the home starts no more orders but still returns outcomes.
	sealed
	// ended means that the home is sealed and will never be handed over.
	ended
)

// String returns the name of the role in the state dump.
func (r role) String() string {
	switch r {
	case active:
		return "active"
	case sealed:
		return "sealed"
	default:
		return "ended"
	}
}

// origin identifies the node and incarnation that opened sessions.
type origin struct {
	host        model.HostID
	incarnation model.Incarnation
}

// originOf returns the origin of a session.
func originOf(id model.SessionID) origin {
	return origin{host: id.Host, incarnation: id.Incarnation}
}

// compareOrigins orders origins by host and incarnation.
func compareOrigins(a, b origin) int {
	return cmp.Or(cmp.Compare(a.host, b.host), cmp.Compare(a.incarnation, b.incarnation))
}

// home holds the sessions of one origin on the node that is responsible for them:
// the origin itself, or its successor.
type home struct {
	origin origin
	role   role
	// generation is the number of handovers so far.
	generation uint64
	// issued is the highest session number assigned; on the origin itself it follows
	// the issuer.
	issued uint64
	// closed, aged and expired are session numbers that never decrease. Sessions at
	// or below closed that have no record accept no order; those at or below aged
	// accept no new order; the outcomes of those at or below expired are discarded.
	closed, aged, expired uint64
	sessions              map[uint64]*session
}

// session is the record of one session.
type session struct {
	// acknowledged is the highest sequence number whose outcomes were discarded:
	// acknowledged by the caller, or evicted at a limit.
	acknowledged uint64
	// highest is the highest sequence number recorded so far.
	highest uint64
	// refused is a sequence number: an order at or below it that has no record never
	// starts.
	refused uint64
	// running is the number of unfinished orders.
	running int
	// orders is sorted by sequence number, all above acknowledged.
	orders []*order
}

// order is the record of one order. It is created before the order starts.
type order struct {
	sequence uint64
	// fingerprint distinguishes a resend from another request with the same
	// identifier.
	fingerprint model.Fingerprint
	// answer is the outcome; nil while the order runs.
	answer  *model.Answer
	waiters []waiter
	// removed is true once the record was removed from its session.
	removed bool
}

// bytes returns the estimated memory of a record.
func (o *order) bytes() int {
	size := orderBytes
	if o.answer == nil {
		return size
	}
	size += len(o.answer.OrderReply)
	for _, row := range o.answer.Results {
		size += len(row)
	}
	if o.answer.Failure != nil {
		size += len(o.answer.Failure.Message)
	}
	return size
}

// find returns the record of a sequence number, or nil.
func (s *session) find(sequence uint64) *order {
	i, found := s.index(sequence)
	if !found {
		return nil
	}
	return s.orders[i]
}

// index returns the position of a sequence number, or the one to insert it at, and
// whether it is present.
func (s *session) index(sequence uint64) (int, bool) {
	return slices.BinarySearchFunc(s.orders, sequence, func(o *order, sequence uint64) int {
		return cmp.Compare(o.sequence, sequence)
	})
}

// insert adds a record in order of its sequence number.
func (s *session) insert(o *order) {
	i, _ := s.index(o.sequence)
	s.orders = slices.Insert(s.orders, i, o)
	s.highest = max(s.highest, o.sequence)
}

// acknowledge removes the records up to a sequence number and returns the number
// of bytes freed. It stops at an order that still runs, because its caller cannot
// have received the outcome.
func (s *session) acknowledge(sequence uint64) (freed int) {
	n := 0
	for n < len(s.orders) && s.orders[n].sequence <= sequence && s.orders[n].answer != nil {
		s.orders[n].removed = true
		freed += s.orders[n].bytes()
		n++
	}
	if n < len(s.orders) && s.orders[n].sequence <= sequence {
		sequence = s.orders[n].sequence - 1
	}
	s.orders = slices.Delete(s.orders, 0, n)
	s.acknowledged = max(s.acknowledged, sequence)
	return freed
}

// newHome returns the record of an origin without sessions.
func newHome(o origin, r role) *home {
	return &home{origin: o, role: r, sessions: make(map[uint64]*session)}
}

// raiseWatermarks raises aged, closed and expired to their values at the given
// time. Those of a sealed home do not change, because its successor receives them
// as they were when the home was sealed.
func (h *home) raiseWatermarks(now model.Instant, settings Settings) {
	if h.role == sealed {
		return
	}
	h.aged = max(h.aged, model.SessionNumberAt(now.Add(-settings.AcceptFor)))
	h.closed = max(h.closed, h.aged)
	h.expired = max(h.expired, model.SessionNumberAt(now.Add(-settings.KeepFor)))
}

// running returns the number of unfinished orders.
func (h *home) running() int {
	n := 0
	for _, s := range h.sessions {
		n += s.running
	}
	return n
}

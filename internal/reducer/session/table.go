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

// role is what this node may do with a home's sessions.
type role uint8

// The roles.
const (
	// active homes start orders.
	active role = iota + 1
	// sealed homes start no order any more and still give outcomes.
	sealed
	// ended homes are sealed and will never be handed over.
	ended
)

// String returns the name that the state dump shows.
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

// origin names the node, and its life, that opened sessions.
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

// home holds the sessions of one origin on the node that answers for them: the
// origin itself, or its successor.
type home struct {
	origin origin
	role   role
	// generation counts the handovers.
	generation uint64
	// issued is the highest session number given out; on the origin itself it
	// follows the entry part.
	issued uint64
	// The floors only rise. Sessions at or below closed that have no record take
	// no order; those at or below aged take no new order; those at or below
	// expired have lost their outcomes.
	closed, aged, expired uint64
	sessions              map[uint64]*session
}

// session is the record of one session.
type session struct {
	// acknowledged is the highest sequence number whose outcomes were given up:
	// by the caller's word, or for lack of room.
	acknowledged uint64
	// highest is the highest sequence number with a record so far.
	highest uint64
	// refused is the highest sequence number up to which an order without a
	// record never starts.
	refused uint64
	running int
	// orders is sorted by sequence number, all above acknowledged.
	orders []*order
}

// order is the record of one order. It is made before the order starts.
type order struct {
	sequence uint64
	// print tells a resend from another request under the same identifier.
	print model.Fingerprint
	// answer is the outcome; nil while the order runs.
	answer  *model.Answer
	waiters []waiter
	// dropped is true once the record has left its session.
	dropped bool
}

// bytes estimates the memory of a record.
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

// index returns where a sequence number stands or would stand.
func (s *session) index(sequence uint64) (int, bool) {
	return slices.BinarySearchFunc(s.orders, sequence, func(o *order, sequence uint64) int {
		return cmp.Compare(o.sequence, sequence)
	})
}

// insert adds a record.
func (s *session) insert(o *order) {
	i, _ := s.index(o.sequence)
	s.orders = slices.Insert(s.orders, i, o)
	s.highest = max(s.highest, o.sequence)
}

// acknowledge gives up the records up to a sequence number and returns the bytes
// set free. It stops at an order that still runs: its caller cannot have the
// outcome.
func (s *session) acknowledge(sequence uint64) (freed int) {
	n := 0
	for n < len(s.orders) && s.orders[n].sequence <= sequence && s.orders[n].answer != nil {
		s.orders[n].dropped = true
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

// age raises the floors to what the time demands. Those of a sealed home stand
// still, because its successor gets them as they were at the seal.
func (h *home) age(now model.Instant, settings Settings) {
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

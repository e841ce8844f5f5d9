package quota

import (
	"container/list"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// holding is what connections hold.
type holding struct {
	connections int
	bytes       int64
}

// add adds to a holding.
func (h *holding) add(connections int, bytes int64) {
	h.connections += connections
	h.bytes += bytes
}

// connection is one client's connection.
type connection struct {
	id       ID
	listener *listener
	phase    Phase
	// since is when the phase began, and place the connection's place among those of its phase.
	since model.Instant
	place *list.Element
	// bytes is the memory that the connection makes the host hold.
	bytes int64
	// evicted is set once the connection must be closed. It holds its bytes until it is.
	evicted bool
}

// listener is the part of the account that the connections of one listener use.
type listener struct {
	limits Limits
	// used is what all connections hold, and closing what those of them hold that were evicted.
	used, closing holding
	// phases holds the connections by phase, the one that has been in it for longest first.
	phases [phaseCount]list.List
}

// enter puts a connection into a phase.
func (l *listener) enter(now model.Instant, c *connection, phase Phase) {
	c.phase, c.since = phase, now
	c.place = l.phases[phase].PushBack(c)
}

// leave takes a connection out of its phase.
func (l *listener) leave(c *connection) { l.phases[c.phase].Remove(c.place) }

// evict marks a connection as one that must be closed.
func (l *listener) evict(c *connection) {
	l.leave(c)
	c.evicted = true
	l.closing.add(1, c.bytes)
}

// couldHold reports whether an empty listener has room for one connection that holds a number of
// bytes.
func (l *listener) couldHold(held int64) bool {
	return held <= l.bytesFor(held) && l.limits.Connections > 0
}

// bytesFor returns the bytes of the share that may be used by a connection that holds a number of
// bytes.
func (l *listener) bytesFor(held int64) int64 {
	if held <= smallBytes {
		return l.limits.Bytes
	}
	return int64(largeShare * float64(l.limits.Bytes))
}

// hasRoom reports whether a number of connections and bytes fits beside those that are not about to
// be closed. The connection that asks for them will hold a number of bytes.
func (l *listener) hasRoom(held int64, connections int, bytes int64) bool {
	return l.used.connections-l.closing.connections+connections <= l.limits.Connections &&
		l.used.bytes-l.closing.bytes+bytes <= l.bytesFor(held)
}

// canClose reports whether one more connection may be about to be closed. The room of such
// connections is used again before they have given it back, so it is bounded.
func (l *listener) canClose(c *connection) bool {
	most := l.limits.share(closingShare)
	return l.closing.connections < max(1, most.Connections) &&
		(l.closing.bytes == 0 || l.closing.bytes+c.bytes <= most.Bytes)
}

// slowest returns the connection to evict first, or nil if there is none.
func (l *listener) slowest(now model.Instant) *connection {
	for _, candidate := range evictionOrder {
		oldest := l.oldest(candidate.phase)
		if oldest != nil && now.Sub(oldest.since) >= candidate.after {
			return oldest
		}
	}
	return nil
}

// oldest returns the connection that has been in a phase for longest, or nil if there is none.
func (l *listener) oldest(phase Phase) *connection {
	front := l.phases[phase].Front()
	if front == nil {
		return nil
	}
	c, _ := front.Value.(*connection)
	return c
}

// refuse returns the decision on a request for room that is not granted. The connection that asks
// holds a number of bytes and wants more.
func (l *listener) refuse(now model.Instant, evicted []ID, held, more int64) Decision {
	decision := Decision{Evict: evicted}
	if l.couldHold(held + more) {
		decision.RetryAfter = l.untilEviction(now)
	}
	return decision
}

// untilEviction returns the time until the next connection may be evicted.
func (l *listener) untilEviction(now model.Instant) time.Duration {
	wait := retryWhenBusy
	for _, candidate := range evictionOrder {
		if oldest := l.oldest(candidate.phase); oldest != nil {
			wait = min(wait, candidate.after-now.Sub(oldest.since))
		}
	}
	return max(wait, minRetry)
}

// Package quota decides how much memory and how many descriptors the clients of a host's listeners
// make it hold. All of them share one account, taken from the limits of the machine; the rest of the
// machine is kept for upstreams, other nodes and the store. What a client makes the host hold is
// taken from the account before it is read or written, and given back as soon as it is not held any
// more. When the account runs short, the clients that are slowest to finish are evicted.
//
// Like the other parts, the package has no clock and no I/O: package guard tells it what happens on
// the connections, and carries its decisions out.
package quota

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Listener is one of the listeners that share the account.
type Listener uint8

// The listeners.
const (
	Callers Listener = iota
	Entry
	Readiness
	Metrics
	Administration
	Peers
	ListenerCount
)

// String returns the listener's name in metrics and log lines.
func (l Listener) String() string {
	return [ListenerCount]string{"callers", "entry", "readiness", "metrics", "administration", "peers"}[l]
}

// Phase is what a connection is doing.
type Phase uint8

// The phases of a connection.
const (
	// Head lasts from the first byte of a request, or from the opening of the connection, until the
	// request's head is complete.
	Head Phase = iota
	// Body lasts until the request's body is complete.
	Body
	// Idle lasts from one request to the next.
	Idle
	// Answer lasts while the answer is written.
	Answer
	// Busy lasts while the host works on the request.
	Busy
	phaseCount
)

// String returns the phase's name in metrics and log lines.
func (p Phase) String() string {
	return [phaseCount]string{"head", "body", "idle", "answer", "busy"}[p]
}

// Times after which a connection may be evicted. Well-behaved clients finish long before.
const (
	// slowRequest is the age of a request that is not complete.
	slowRequest = 250 * time.Millisecond
	// slowIdle is the time without a request.
	slowIdle = time.Second
	// slowAnswer is the age of an answer that is not read. It is the longest, because the request
	// has already run.
	slowAnswer = 2 * time.Second
)

// evictionOrder lists the phases in which a connection may be evicted, with the time after which it
// may. Those that cost their clients least come first: a request that is not complete has not run.
var evictionOrder = []struct {
	phase Phase
	after time.Duration
}{{Head, slowRequest}, {Body, slowRequest}, {Idle, slowIdle}, {Answer, slowAnswer}}

const (
	// smallBytes is what an ordinary request makes a host hold at the most. Larger ones leave the
	// last part of a listener's share to these.
	smallBytes = 128 << 10
	// largeShare is the part of a listener's share that larger requests may use.
	largeShare = 0.75
	// leastConnections is a listener's share on the smallest machine: one ordinary client beside a
	// slow one.
	leastConnections = 2
	// closingShare bounds what evicted connections still hold, as a part of a listener's share.
	closingShare = 0.25
	// retryWhenBusy is the time after which a client is told to come back if no connection is about
	// to be evicted.
	retryWhenBusy = time.Second
	// minRetry is the shortest time after which a client is told to come back.
	minRetry = 50 * time.Millisecond
	// RetryEvicted is the time after which the client of an evicted connection may come back. What it
	// held is free soon, and others that are as slow will be evicted for it in turn.
	RetryEvicted = slowRequest
)

// Limits are the sizes of a host's account.
type Limits struct {
	// Bytes bounds the memory that all clients make the host hold.
	Bytes int64
	// Connections bounds the clients' connections, each of which takes a descriptor.
	Connections int
}

// share returns a part of the limits.
func (l Limits) share(part float64) Limits {
	return Limits{Bytes: int64(part * float64(l.Bytes)), Connections: int(part * float64(l.Connections))}
}

// ID identifies a connection.
type ID uint64

// Decision is the answer to a connection's request for room.
type Decision struct {
	Granted bool
	// Evict lists connections that must be closed.
	Evict []ID
	// RetryAfter is when the client should come back if the room is not granted. It is zero if there
	// never will be room.
	RetryAfter time.Duration
}

// State is the account of one host. It is not safe for concurrent use.
type State struct {
	// shares says which part of the limits each listener may use.
	shares      map[Listener]float64
	listeners   [ListenerCount]listener
	connections map[ID]*connection
	lastID      ID
}

// New returns an empty account. The shares say which part of the limits each listener may use.
func New(limits Limits, shares map[Listener]float64) *State {
	s := &State{shares: shares, connections: make(map[ID]*connection)}
	s.SetLimits(limits)
	return s
}

// SetLimits changes the size of the account. What is held beyond lower limits stays held.
func (s *State) SetLimits(limits Limits) {
	for l, part := range s.shares {
		share := limits.share(part)
		share.Connections = max(share.Connections, leastConnections)
		s.listeners[l].limits = share
	}
}

// Open asks for room for a new connection. If it is granted, the connection is in the phase Head and
// holds a number of bytes.
func (s *State) Open(now model.Instant, at Listener, bytes int64) (ID, Decision) {
	l := &s.listeners[at]
	evicted, granted := s.makeRoom(now, l, nil, 1, bytes)
	if !granted {
		return 0, l.refuse(now, evicted, 0, bytes)
	}
	s.lastID++
	c := &connection{id: s.lastID, listener: l}
	s.connections[c.id] = c
	l.used.add(1, bytes)
	c.bytes = bytes
	l.enter(now, c, Head)
	return c.id, Decision{Granted: true, Evict: evicted}
}

// Take asks for room for further bytes of a connection.
func (s *State) Take(now model.Instant, id ID, bytes int64) Decision {
	c := s.connections[id]
	if c == nil || c.evicted {
		return Decision{RetryAfter: RetryEvicted}
	}
	evicted, granted := s.makeRoom(now, c.listener, c, 0, bytes)
	if !granted {
		return c.listener.refuse(now, evicted, c.bytes, bytes)
	}
	c.listener.used.add(0, bytes)
	c.bytes += bytes
	return Decision{Granted: true, Evict: evicted}
}

// Give returns bytes of a connection.
func (s *State) Give(id ID, bytes int64) {
	c := s.connections[id]
	if c == nil {
		return
	}
	bytes = min(bytes, c.bytes)
	c.bytes -= bytes
	c.listener.used.add(0, -bytes)
	if c.evicted {
		c.listener.closing.add(0, -bytes)
	}
}

// Keep returns all bytes of a connection beyond a number.
func (s *State) Keep(id ID, bytes int64) {
	if c := s.connections[id]; c != nil {
		s.Give(id, max(0, c.bytes-bytes))
	}
}

// Enter records that a connection begins a phase. It returns false if the connection has been evicted
// or closed.
func (s *State) Enter(now model.Instant, id ID, phase Phase) bool {
	c := s.connections[id]
	if c == nil || c.evicted {
		return false
	}
	c.listener.leave(c)
	c.listener.enter(now, c, phase)
	return true
}

// Close returns all that a connection holds.
func (s *State) Close(id ID) {
	c := s.connections[id]
	if c == nil {
		return
	}
	delete(s.connections, id)
	c.listener.used.add(-1, -c.bytes)
	if c.evicted {
		c.listener.closing.add(-1, -c.bytes)
		return
	}
	c.listener.leave(c)
}

// makeRoom evicts slow connections of a listener until a number of connections and bytes fits. No
// connection is evicted for one that is slower.
func (s *State) makeRoom(now model.Instant, l *listener, asking *connection, connections int, bytes int64) (evicted []ID, granted bool) {
	held := bytes
	if asking != nil {
		held += asking.bytes
	}
	if !l.couldHold(held) {
		return nil, false
	}
	for !l.hasRoom(held, connections, bytes) {
		victim := l.slowest(now)
		if victim == nil || victim == asking || !l.canClose(victim) {
			return evicted, false
		}
		l.evict(victim)
		evicted = append(evicted, victim.id)
	}
	return evicted, true
}

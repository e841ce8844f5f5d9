// Package guard bounds what the clients of a process's listeners make it hold, in bytes and in
// descriptors. It wraps the listeners and handlers of HTTP servers, tells package quota what happens
// on their connections, and carries its decisions out: it grants room, refuses requests with status
// 503, and closes the connections of clients that are too slow.
package guard

import (
	"cmp"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/machine"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quota"
)

// Parts of the machine's usable memory and of its descriptors that clients may make the process hold. The rest is kept for upstreams, other
// nodes and the store; upstreams alone may need half of the descriptors.
const (
	memoryShare     = 0.25
	descriptorShare = 0.4
)

// Options are the settings and dependencies of a Guard.
type Options struct {
	Machine machine.Limits
	// Shares says which part of the account each listener may use.
	Shares map[quota.Listener]float64
	// FormatRetryAfter formats the value of a Retry-After header. If it is nil, the value is in whole
	// seconds.
	FormatRetryAfter func(time.Duration) string
	Metrics          prometheus.Registerer
	Log              *logrus.Logger
}

// Guard bounds what clients make a process hold. It is safe for concurrent use.
type Guard struct {
	formatRetryAfter func(time.Duration) string
	started          time.Time
	requestLimits    atomic.Pointer[model.RequestLimits]
	reports          *reports

	mu    sync.Mutex
	state *quota.State
	open  map[quota.ID]*Connection
}

// New returns a guard without listeners.
func New(options Options) *Guard {
	g := &Guard{
		formatRetryAfter: options.FormatRetryAfter,
		started:          time.Now(),
		state:            quota.New(accountOf(options.Machine), options.Shares),
		open:             make(map[quota.ID]*Connection),
	}
	if g.formatRetryAfter == nil {
		g.formatRetryAfter = WholeSeconds
	}
	g.reports = newReports(options.Log, options.Metrics, g.Usage)
	return g
}

// accountOf returns the size of the account on a machine.
func accountOf(m machine.Limits) quota.Limits {
	return quota.Limits{
		Bytes:       int64(memoryShare * float64(m.Usable())),
		Connections: int(descriptorShare * float64(m.Descriptors)),
	}
}

// SetMachine changes the limits of the machine.
func (g *Guard) SetMachine(m machine.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.SetLimits(accountOf(m))
}

// SetRequestLimits sets the limits on single requests. Those that are zero have a default. Until it is
// called, no request is refused for its size for good, because the limits may be higher.
func (g *Guard) SetRequestLimits(limits model.RequestLimits) { g.requestLimits.Store(&limits) }

// Usage returns what the clients make the process hold, by listener.
func (g *Guard) Usage() []quota.Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Usage()
}

// Defaults of the limits on single requests.
const (
	defaultHeadBytes = 64 << 10
	defaultBodyBytes = 4 << 20
)

// checkHead returns an error if a request's head of a number of bytes is too large. The limit has some
// slack, because the number includes the request line and the line ends.
func (g *Guard) checkHead(size int) error {
	const slack = 4 << 10
	limits := g.requestLimits.Load()
	if limits == nil {
		return limitsUnknown(size, defaultHeadBytes+slack)
	}
	if limit := cmp.Or(limits.HeaderBytes, defaultHeadBytes) + slack; size > limit {
		return &HeadTooLargeError{Limit: limit}
	}
	return nil
}

// checkBody returns an error if a request's body of a number of bytes is too large.
func (g *Guard) checkBody(size int64) error {
	limits := g.requestLimits.Load()
	if limits == nil {
		return limitsUnknown(size, defaultBodyBytes)
	}
	if limit := cmp.Or(limits.BodyBytes, defaultBodyBytes); size > int64(limit) {
		return &BodyTooLargeError{Limit: limit}
	}
	return nil
}

// retryUnknown is when a client should come back whose request may be too large.
const retryUnknown = time.Second

// limitsUnknown returns *NoRoomError if a size is over the default of a limit that is not known yet.
func limitsUnknown[N int | int64](size, limit N) error {
	if size > limit {
		return &NoRoomError{RetryAfter: retryUnknown}
	}
	return nil
}

// now returns the time on the clock of the account.
func (g *Guard) now() model.Instant { return model.Instant(time.Since(g.started)) }

// Timeouts of the servers. Clients that take longer are only cut off earlier if there is a want of
// room.
const (
	readHeaderTimeout = time.Minute
	// idleTimeout exceeds the idle timeouts of all callers, so that the server does not close a
	// connection on which a caller is sending a request.
	idleTimeout = 2 * time.Minute
	// maxNetHTTPHeaderBytes is beyond all limits on heads, which the connections apply themselves.
	maxNetHTTPHeaderBytes = 1 << 30
)

// Server returns an HTTP server for a guarded listener.
func (g *Guard) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           g.Handler(handler),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxNetHTTPHeaderBytes,
		ConnContext:       withConnection,
		ConnState:         connectionChanged,
		ErrorLog:          g.reports.serverLog(),
	}
}

// keep returns all bytes of a connection beyond a number.
func (g *Guard) keep(id quota.ID, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Keep(id, bytes)
}

// ask asks the account for room and evicts what it says.
func (g *Guard) ask(request func(now model.Instant) quota.Decision) quota.Decision {
	g.mu.Lock()
	decision := request(g.now())
	var victims []*Connection
	for _, id := range decision.Evict {
		victims = append(victims, g.open[id])
	}
	g.mu.Unlock()
	for _, victim := range victims {
		victim.evict()
	}
	return decision
}

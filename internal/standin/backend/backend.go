// Package backend is the stand-in upstream: an HTTP server that implements the
// protocol of package upstream for searches and orders. It simulates slots, a
// connection limit, a cost of each new connection, and faults. Demos, load runs and
// tests use it.
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/upstream"
)

// CrashMarker is a text that crashes the stand-in when a query or an order contains
// it, if Options.Crashes is set.
const CrashMarker = "crash-upstream"

// Options configure a stand-in.
type Options struct {
	ID model.UpstreamID
	// Slots is the number of attempts that may run at once; more are shed.
	Slots int
	// MaxConnections bounds the open connections; zero means no limit.
	MaxConnections int
	// ConnectTime is the time to accept a connection. Connections are accepted one at
	// a time.
	ConnectTime time.Duration
	// Delay is the simulated one-way network delay.
	Delay time.Duration
	// ServiceTime is the mean of the exponential distribution from which service times
	// are drawn. They are capped at ten times this mean.
	ServiceTime time.Duration
	Holdings    []model.Holding
	// Crashes makes requests that contain CrashMarker stop the stand-in for DownTime.
	Crashes  bool
	DownTime time.Duration
	Seed     uint64
}

// Upstream is a running stand-in.
type Upstream struct {
	options Options

	mu                 sync.Mutex
	random             *rand.Rand
	running            map[string]context.CancelFunc
	executions         uint64
	attempts           uint64
	shed               uint64
	connections        int
	peakConnections    int
	refusedConnections int
	holdings           []model.Holding
	draining           bool
	mismatchedReplies  int
	slowdown           float64
	runs               []Run
	server             *http.Server
	address            string
	closed             bool
	serving            sync.WaitGroup
}

// Run is one execution of an order. Execution is its identifier.
type Run struct {
	RequestID string
	Execution string
	Body      string
}

// Statistics are the counters of a stand-in.
type Statistics struct {
	// Attempts is the number of attempts that got a slot.
	Attempts uint64
	// Shed is the number of attempts that were refused because all slots were taken.
	Shed uint64
	// PeakConnections is the highest number of open connections.
	PeakConnections int
	// RefusedConnections is the number of connections refused over the limit.
	RefusedConnections int
}

// Start starts a stand-in on an address, such as "127.0.0.1:0" for any free port.
func Start(address string, options Options) (*Upstream, error) {
	u := &Upstream{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, 1)),
		running:  make(map[string]context.CancelFunc),
		holdings: options.Holdings,
		slowdown: 1,
	}
	if err := u.listen(address); err != nil {
		return nil, err
	}
	return u, nil
}

// Address returns the address that the stand-in listens on.
func (u *Upstream) Address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.address
}

// Close stops the stand-in permanently and closes all its connections.
func (u *Upstream) Close() {
	u.mu.Lock()
	u.closed = true
	server := u.server
	u.mu.Unlock()
	server.Close()
	u.serving.Wait()
}

// Statistics returns the current counters.
func (u *Upstream) Statistics() Statistics {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Statistics{Attempts: u.attempts, Shed: u.shed, PeakConnections: u.peakConnections, RefusedConnections: u.refusedConnections}
}

// Runs returns the orders that ran so far.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// SetHoldings sets the snapshots that the stand-in holds.
func (u *Upstream) SetHoldings(holdings []model.Holding) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.holdings = holdings
}

// SetDraining sets whether the stand-in announces that it is draining.
func (u *Upstream) SetDraining(draining bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = draining
}

// SetSlowdown sets the factor by which the service time is multiplied.
func (u *Upstream) SetSlowdown(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slowdown = factor
}

// MismatchReplies makes the next n replies carry a wrong attempt identifier.
func (u *Upstream) MismatchReplies(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mismatchedReplies = n
}

// listen starts the server on an address.
func (u *Upstream) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("stand-in upstream %s: %w", u.options.ID, err)
	}
	server := &http.Server{Handler: u.handler(), ReadHeaderTimeout: time.Minute}
	u.mu.Lock()
	u.server = server
	u.address = listener.Addr().String()
	u.mu.Unlock()
	limited := &limitedListener{Listener: listener, upstream: u}
	u.serving.Add(1)
	go func() {
		defer u.serving.Done()
		// Serve always returns an error; the expected one is that of Close.
		_ = server.Serve(limited)
	}()
	return nil
}

// handler returns the handler of the upstream API.
func (u *Upstream) handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST(upstream.SearchPath, u.search)
	e.POST(upstream.OrderPath, u.order)
	e.GET(upstream.StatusPath, u.status)
	e.DELETE(upstream.AttemptsPath+":attempt", u.cancel)
	return e
}

// search answers a search with one row for each requested shard that is held, or with
// status 410 if the requested version is not held.
func (u *Upstream) search(c echo.Context) error {
	var request upstream.SearchRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	held, versionHeld := u.heldShards(request)
	if !versionHeld {
		return u.reply(c, http.StatusGone, struct{}{})
	}
	return u.runAttempt(c, string(request.Query), func() any {
		reply := upstream.SearchReply{Version: request.Version, Shards: held, Rows: []model.Row{}}
		for _, shard := range held {
			reply.Rows = append(reply.Rows, searchRow(shard, request))
		}
		return reply
	})
}

// searchRow returns the result row of one shard.
func searchRow(shard model.ShardID, request upstream.SearchRequest) model.Row {
	encoded, err := json.Marshal(struct {
		Shard   model.ShardID   `json:"shard"`
		Query   json.RawMessage `json:"query"`
		Version model.Version   `json:"version"`
	}{shard, request.Query, request.Version})
	if err != nil {
		return model.Row("null")
	}
	return encoded
}

// heldShards returns which of the requested shards the stand-in holds, and whether it
// holds the requested version at all.
func (u *Upstream) heldShards(request upstream.SearchRequest) ([]model.ShardID, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, h := range u.holdings {
		if h.Version != request.Version {
			continue
		}
		held := []model.ShardID{}
		for _, requested := range request.Shards {
			for _, id := range h.HeldShards {
				if id == requested {
					held = append(held, id)
				}
			}
		}
		return held, true
	}
	return nil, false
}

// orderReply is the body of the reply to an order.
type orderReply struct {
	Execution string `json:"execution"`
}

// order runs an order and replies with the identifier of its execution.
func (u *Upstream) order(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	execution := ""
	onStart := func() {
		execution = u.recordOrder(c.Request().Header.Get(upstream.RequestHeader), string(body))
	}
	return u.runAttemptWith(c, string(body), onStart, func() any { return orderReply{Execution: execution} })
}

// recordOrder records that an order starts to run and returns the identifier of its
// execution.
func (u *Upstream) recordOrder(requestID, body string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.executions++
	execution := string(u.options.ID) + "#" + strconv.FormatUint(u.executions, 10)
	u.runs = append(u.runs, Run{RequestID: requestID, Execution: execution, Body: body})
	return execution
}

// runAttempt runs an attempt in a slot and replies with the result of buildReply.
func (u *Upstream) runAttempt(c echo.Context, body string, buildReply func() any) error {
	return u.runAttemptWith(c, body, func() {}, buildReply)
}

// runAttemptWith is like runAttempt and calls onStart once the attempt has a slot. An
// attempt without a free slot is refused with status 503 and marked as not run.
func (u *Upstream) runAttemptWith(c echo.Context, body string, onStart func(), buildReply func() any) error {
	time.Sleep(u.options.Delay)
	attempt := c.Request().Header.Get(upstream.AttemptHeader)
	ctx, ok := u.acquireSlot(c.Request().Context(), attempt)
	if !ok {
		c.Response().Header().Set(upstream.NotRunHeader, "true")
		c.Response().Header().Set(echo.HeaderRetryAfter, "1")
		return u.reply(c, http.StatusServiceUnavailable, struct{}{})
	}
	defer u.releaseSlot(attempt)
	onStart()
	if u.options.Crashes && strings.Contains(body, CrashMarker) {
		u.Stop(u.options.DownTime)
		return echo.NewHTTPError(http.StatusInternalServerError, "crashed")
	}
	select {
	case <-time.After(u.serviceTime()):
	case <-ctx.Done():
		return u.reply(c, upstream.StatusCancelled, struct{}{})
	}
	return u.reply(c, http.StatusOK, buildReply())
}

// acquireSlot occupies a slot for an attempt. It returns a context that is cancelled
// with the attempt, and false if all slots are taken.
func (u *Upstream) acquireSlot(parent context.Context, attempt string) (context.Context, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.running) >= u.options.Slots {
		u.shed++
		return nil, false
	}
	ctx, cancel := context.WithCancel(parent)
	u.running[attempt] = cancel
	u.attempts++
	return ctx, true
}

// releaseSlot frees an attempt's slot.
func (u *Upstream) releaseSlot(attempt string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if cancel := u.running[attempt]; cancel != nil {
		cancel()
	}
	delete(u.running, attempt)
}

// serviceTime draws the service time of one attempt.
func (u *Upstream) serviceTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	factor := min(u.random.ExpFloat64(), 10) * u.slowdown
	return time.Duration(float64(u.options.ServiceTime) * factor)
}

// reply writes a reply with the attempt's identifier, or with a wrong one while
// MismatchReplies is in effect.
func (u *Upstream) reply(c echo.Context, status int, body any) error {
	time.Sleep(u.options.Delay)
	attempt := c.Request().Header.Get(upstream.AttemptHeader)
	u.mu.Lock()
	if u.mismatchedReplies > 0 {
		u.mismatchedReplies--
		attempt = "crossed-" + attempt
	}
	draining := u.draining
	u.mu.Unlock()
	c.Response().Header().Set(upstream.AttemptHeader, attempt)
	if draining {
		c.Response().Header().Set(upstream.DrainingHeader, "true")
	}
	return c.JSON(status, body)
}

// status reports the holdings, the draining state and the attempts in flight.
func (u *Upstream) status(c echo.Context) error {
	u.mu.Lock()
	reply := upstream.StatusReply{Holdings: u.holdings, Draining: u.draining, InFlight: len(u.running)}
	u.mu.Unlock()
	return c.JSON(http.StatusOK, reply)
}

// cancel cancels a running attempt.
func (u *Upstream) cancel(c echo.Context) error {
	u.mu.Lock()
	cancel := u.running[c.Param("attempt")]
	u.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return c.NoContent(http.StatusNoContent)
}

// Stop closes the listener and all connections at once, as a crash would. The
// stand-in listens on the same address again after downTime.
func (u *Upstream) Stop(downTime time.Duration) {
	u.mu.Lock()
	server := u.server
	address := u.address
	u.mu.Unlock()
	server.Close()
	time.AfterFunc(downTime, func() {
		u.mu.Lock()
		closed := u.closed
		u.mu.Unlock()
		if !closed {
			// If listening fails the stand-in stays down, which the nodes detect.
			_ = u.listen(address)
		}
	})
}

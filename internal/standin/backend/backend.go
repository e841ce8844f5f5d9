// Package backend is the stand-in upstream: an HTTP server that answers searches
// and orders as package upstream describes, with slots, a limit of connections,
// a cost for each new connection, and scripted faults. It serves demos, load
// runs and tests.
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

// CrashMarker is a text that crashes a stand-in whose query or order holds it,
// if the stand-in is set to crash.
const CrashMarker = "crash-upstream"

// Options describe a stand-in.
type Options struct {
	ID model.UpstreamID
	// Slots is how many attempts run at once; more are shed.
	Slots int
	// Connections is how many connections are accepted.
	Connections int
	// ConnectTime is spent on each new connection, one at a time.
	ConnectTime time.Duration
	// Delay is the one-way network delay to imitate.
	Delay time.Duration
	// ServiceTime is the mean of the exponentially distributed service time; the
	// distribution is cut at ten times the mean.
	ServiceTime time.Duration
	Holdings    []model.Holding
	// Crashes makes requests that hold CrashMarker end the stand-in for DownTime.
	Crashes  bool
	DownTime time.Duration
	Seed     uint64
}

// Upstream is a running stand-in.
type Upstream struct {
	options Options

	mu          sync.Mutex
	random      *rand.Rand
	running     map[string]context.CancelFunc
	executions  uint64
	attempts    uint64
	shed        uint64
	connections int
	peak        int
	refused     int
	holdings    []model.Holding
	draining    bool
	crossNext   int
	slowdown    float64
	runs        []Run
	server      *http.Server
	address     string
	closed      bool
	serving     sync.WaitGroup
}

// Run is one execution of an order.
type Run struct {
	RequestID string
	Execution string
	Body      string
}

// Statistics count what a stand-in has seen.
type Statistics struct {
	// Attempts is the number of attempts that ran.
	Attempts uint64
	// Shed is the number of attempts that were refused.
	Shed uint64
	// PeakConnections is the most connections at one time.
	PeakConnections int
	// RefusedConnections counts the connections over the limit.
	RefusedConnections int
}

// Start listens on an address, "127.0.0.1:0" for any port, and serves.
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

// Address returns where the stand-in listens.
func (u *Upstream) Address() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.address
}

// Close ends the stand-in and all its connections.
func (u *Upstream) Close() {
	u.mu.Lock()
	u.closed = true
	server := u.server
	u.mu.Unlock()
	server.Close()
	u.serving.Wait()
}

// Statistics returns the counts so far.
func (u *Upstream) Statistics() Statistics {
	u.mu.Lock()
	defer u.mu.Unlock()
	return Statistics{Attempts: u.attempts, Shed: u.shed, PeakConnections: u.peak, RefusedConnections: u.refused}
}

// Runs returns the orders that ran so far.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// SetHoldings changes the snapshots that the stand-in holds.
func (u *Upstream) SetHoldings(holdings []model.Holding) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.holdings = holdings
}

// SetDraining makes the stand-in announce that it is leaving.
func (u *Upstream) SetDraining(draining bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = draining
}

// SetSlowdown multiplies the service time.
func (u *Upstream) SetSlowdown(factor float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slowdown = factor
}

// CrossReplies makes the next n replies carry another attempt's identifier.
func (u *Upstream) CrossReplies(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crossNext = n
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
		// Serve always ends with an error; Close is the only expected one.
		_ = server.Serve(limited)
	}()
	return nil
}

// handler returns the HTTP API.
func (u *Upstream) handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.POST(upstream.SearchPath, u.search)
	e.POST(upstream.OrderPath, u.order)
	e.GET(upstream.StatusPath, u.status)
	e.DELETE(upstream.AttemptsPath+":attempt", u.cancel)
	return e
}

// search answers a search with one row for each shard that is held.
func (u *Upstream) search(c echo.Context) error {
	var request upstream.SearchRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&request); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	held, known := u.held(request)
	if !known {
		return u.reply(c, http.StatusGone, struct{}{})
	}
	return u.work(c, string(request.Query), func() any {
		reply := upstream.SearchReply{Version: request.Version, Shards: held, Rows: []model.Row{}}
		for _, shard := range held {
			reply.Rows = append(reply.Rows, searchRow(shard, request))
		}
		return reply
	})
}

// searchRow is the row of one shard.
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

// held returns the asked shards that the stand-in holds, and whether it holds
// the version at all.
func (u *Upstream) held(request upstream.SearchRequest) ([]model.ShardID, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, h := range u.holdings {
		if h.Version != request.Version {
			continue
		}
		held := []model.ShardID{}
		for _, asked := range request.Shards {
			for _, id := range h.HeldShards {
				if id == asked {
					held = append(held, id)
				}
			}
		}
		return held, true
	}
	return nil, false
}

// orderReply is the reply to an order.
type orderReply struct {
	Execution string `json:"execution"`
}

// order runs an order and answers with its execution.
func (u *Upstream) order(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	execution := ""
	begin := func() {
		execution = u.recordOrder(c.Request().Header.Get(upstream.RequestHeader), string(body))
	}
	return u.workAfter(c, string(body), begin, func() any { return orderReply{Execution: execution} })
}

// recordOrder notes that an order begins to run and returns its execution.
func (u *Upstream) recordOrder(requestID, body string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.executions++
	execution := string(u.options.ID) + "#" + strconv.FormatUint(u.executions, 10)
	u.runs = append(u.runs, Run{RequestID: requestID, Execution: execution, Body: body})
	return execution
}

// work runs an attempt in a slot and replies.
func (u *Upstream) work(c echo.Context, body string, build func() any) error {
	return u.workAfter(c, body, func() {}, build)
}

// workAfter runs an attempt in a slot, calling begin once the slot is taken.
func (u *Upstream) workAfter(c echo.Context, body string, begin func(), build func() any) error {
	time.Sleep(u.options.Delay)
	attempt := c.Request().Header.Get(upstream.AttemptHeader)
	ctx, ok := u.take(c.Request().Context(), attempt)
	if !ok {
		c.Response().Header().Set(upstream.NotRunHeader, "true")
		c.Response().Header().Set(echo.HeaderRetryAfter, "1")
		return u.reply(c, http.StatusServiceUnavailable, struct{}{})
	}
	defer u.release(attempt)
	begin()
	if u.options.Crashes && strings.Contains(body, CrashMarker) {
		u.Stop(u.options.DownTime)
		return echo.NewHTTPError(http.StatusInternalServerError, "crashed")
	}
	select {
	case <-time.After(u.serviceTime()):
	case <-ctx.Done():
		return u.reply(c, upstream.StatusCancelled, struct{}{})
	}
	return u.reply(c, http.StatusOK, build())
}

// take occupies a slot.
func (u *Upstream) take(parent context.Context, attempt string) (context.Context, bool) {
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

// release frees a slot.
func (u *Upstream) release(attempt string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if cancel := u.running[attempt]; cancel != nil {
		cancel()
	}
	delete(u.running, attempt)
}

// serviceTime draws the time of one attempt.
func (u *Upstream) serviceTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	factor := min(u.random.ExpFloat64(), 10) * u.slowdown
	return time.Duration(float64(u.options.ServiceTime) * factor)
}

// reply writes a reply with the attempt's identifier, or a wrong one if told to.
func (u *Upstream) reply(c echo.Context, status int, body any) error {
	time.Sleep(u.options.Delay)
	attempt := c.Request().Header.Get(upstream.AttemptHeader)
	u.mu.Lock()
	if u.crossNext > 0 {
		u.crossNext--
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

// status tells what the stand-in holds.
func (u *Upstream) status(c echo.Context) error {
	u.mu.Lock()
	reply := upstream.StatusReply{Holdings: u.holdings, Draining: u.draining, InFlight: len(u.running)}
	u.mu.Unlock()
	return c.JSON(http.StatusOK, reply)
}

// cancel stops a running attempt.
func (u *Upstream) cancel(c echo.Context) error {
	u.mu.Lock()
	cancel := u.running[c.Param("attempt")]
	u.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	return c.NoContent(http.StatusNoContent)
}

// Stop ends all connections at once, as a crash would, and comes back at the same
// address after the down time.
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
			// A failure leaves the stand-in down, which the nodes see.
			_ = u.listen(address)
		}
	})
}

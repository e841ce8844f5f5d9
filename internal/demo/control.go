package demo

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/standin/backend"
)

// registerControl registers the routes by which measurements control the stand-in
// upstreams at run time:
//
//	POST /v1/upstreams/:service/:upstream/stop?for_ms=N   stops the upstream for N ms
//	POST /v1/upstreams/:service/:upstream/slow?factor=F   multiplies its service time by F
//	POST /v1/upstreams/:service/:upstream/drain           makes it announce that it is draining
//	POST /v1/roll?over_ms=N                               rolls out the next snapshot version over N ms
//	GET  /v1/upstreams                                    returns the totals of all upstreams
func (s *StandIns) registerControl(e *echo.Echo) {
	e.POST("/v1/upstreams/:service/:upstream/stop", s.stopUpstream)
	e.POST("/v1/upstreams/:service/:upstream/slow", s.slowUpstream)
	e.POST("/v1/upstreams/:service/:upstream/drain", s.drainUpstream)
	e.GET("/v1/upstreams", s.getTotals)
	e.POST("/v1/roll", s.rollVersion)
}

// findUpstream returns the upstream that a request names, or an HTTP error 404.
func (s *StandIns) findUpstream(c echo.Context) (*backend.Upstream, error) {
	id := model.NewUpstreamID(model.ServiceName(c.Param("service")), c.Param("upstream"))
	for i, known := range s.upstreamIDs() {
		if known == id {
			return s.Upstreams[i], nil
		}
	}
	return nil, echo.NewHTTPError(http.StatusNotFound, "no such upstream")
}

// stopUpstream stops an upstream for the requested time.
func (s *StandIns) stopUpstream(c echo.Context) error {
	u, err := s.findUpstream(c)
	if err != nil {
		return err
	}
	downTime, err := parseMilliseconds(c, "for_ms")
	if err != nil {
		return err
	}
	u.Stop(downTime)
	return c.NoContent(http.StatusNoContent)
}

// rollVersion starts a rollout of the next snapshot version and returns at once.
func (s *StandIns) rollVersion(c echo.Context) error {
	interval, err := parseMilliseconds(c, "over_ms")
	if err != nil {
		return err
	}
	go s.Roll(context.Background(), interval)
	return c.NoContent(http.StatusNoContent)
}

// parseMilliseconds reads a positive duration from a query parameter. It returns an
// HTTP error 400 for any other value.
func parseMilliseconds(c echo.Context, parameter string) (time.Duration, error) {
	ms, err := strconv.Atoi(c.QueryParam(parameter))
	if err != nil || ms <= 0 {
		return 0, echo.NewHTTPError(http.StatusBadRequest, parameter+" must be over 0")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// slowUpstream multiplies an upstream's service time.
func (s *StandIns) slowUpstream(c echo.Context) error {
	u, err := s.findUpstream(c)
	if err != nil {
		return err
	}
	factor, err := strconv.ParseFloat(c.QueryParam("factor"), 64)
	if err != nil || factor <= 0 {
		return echo.NewHTTPError(http.StatusBadRequest, "factor must be over 0")
	}
	u.SetSlowdown(factor)
	return c.NoContent(http.StatusNoContent)
}

// drainUpstream makes an upstream announce that it is draining.
func (s *StandIns) drainUpstream(c echo.Context) error {
	u, err := s.findUpstream(c)
	if err != nil {
		return err
	}
	u.SetDraining(true)
	return c.NoContent(http.StatusNoContent)
}

// getTotals responds with the totals of all stand-in upstreams.
func (s *StandIns) getTotals(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Statistics())
}

// Totals are sums over all stand-in upstreams.
type Totals struct {
	Attempts uint64 `json:"attempts"`
	Shed     uint64 `json:"shed"`
	// OverLimit counts the upstreams that ever refused a connection over their limit.
	OverLimit int `json:"over_limit"`
	// RepeatedOrders counts the orders that ran more than once, by request identifier.
	RepeatedOrders int `json:"repeated_orders"`
}

// Statistics returns the sums over all stand-in upstreams.
func (s *StandIns) Statistics() Totals {
	var totals Totals
	runs := make(map[string]int)
	for _, u := range s.Upstreams {
		counts := u.Statistics()
		totals.Attempts += counts.Attempts
		totals.Shed += counts.Shed
		if counts.RefusedConnections > 0 {
			totals.OverLimit++
		}
		for _, run := range u.Runs() {
			if run.RequestID == "" {
				continue
			}
			runs[run.RequestID]++
			if runs[run.RequestID] == 2 {
				totals.RepeatedOrders++
			}
		}
	}
	return totals
}

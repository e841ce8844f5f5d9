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

// registerControl adds the routes by which measurements change the stand-in
// upstreams while they run:
//
//	POST /v1/upstreams/:service/:upstream/stop?for_ms=N   ends the process, for N ms
//	POST /v1/upstreams/:service/:upstream/slow?factor=F   multiplies its service time
//	POST /v1/upstreams/:service/:upstream/drain           announces that it is leaving
//	POST /v1/roll?over_ms=N                               rolls the index to its next version
//	GET  /v1/upstreams                                    counts of all of them
func (s *StandIns) registerControl(e *echo.Echo) {
	e.POST("/v1/upstreams/:service/:upstream/stop", s.stopUpstream)
	e.POST("/v1/upstreams/:service/:upstream/slow", s.slowUpstream)
	e.POST("/v1/upstreams/:service/:upstream/drain", s.drainUpstream)
	e.GET("/v1/upstreams", s.countUpstreams)
	e.POST("/v1/roll", s.rollIndex)
}

// find returns the stand-in that a request names.
func (s *StandIns) find(c echo.Context) (*backend.Upstream, error) {
	id := model.UpstreamID(c.Param("service") + "/" + c.Param("upstream"))
	for i, known := range s.upstreamIDs() {
		if known == id {
			return s.Upstreams[i], nil
		}
	}
	return nil, echo.NewHTTPError(http.StatusNotFound, "no such upstream")
}

// stopUpstream ends a stand-in for a time.
func (s *StandIns) stopUpstream(c echo.Context) error {
	u, err := s.find(c)
	if err != nil {
		return err
	}
	down, err := milliseconds(c, "for_ms")
	if err != nil {
		return err
	}
	u.Stop(down)
	return c.NoContent(http.StatusNoContent)
}

// rollIndex rolls the index to its next version.
func (s *StandIns) rollIndex(c echo.Context) error {
	over, err := milliseconds(c, "over_ms")
	if err != nil {
		return err
	}
	go s.Roll(context.Background(), over)
	return c.NoContent(http.StatusNoContent)
}

// milliseconds reads a positive duration from a query parameter.
func milliseconds(c echo.Context, parameter string) (time.Duration, error) {
	ms, err := strconv.Atoi(c.QueryParam(parameter))
	if err != nil || ms <= 0 {
		return 0, echo.NewHTTPError(http.StatusBadRequest, parameter+" must be over 0")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// slowUpstream multiplies a stand-in's service time.
func (s *StandIns) slowUpstream(c echo.Context) error {
	u, err := s.find(c)
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

// drainUpstream makes a stand-in announce that it is leaving.
func (s *StandIns) drainUpstream(c echo.Context) error {
	u, err := s.find(c)
	if err != nil {
		return err
	}
	u.SetDraining(true)
	return c.NoContent(http.StatusNoContent)
}

// countUpstreams returns the sums over all stand-ins.
func (s *StandIns) countUpstreams(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Statistics())
}

// Totals are sums over all stand-in upstreams.
type Totals struct {
	Attempts uint64 `json:"attempts"`
	Shed     uint64 `json:"shed"`
	// OverLimit counts the upstreams whose connections were ever over the limit.
	OverLimit int `json:"over_limit"`
	// RepeatedOrders counts request identifiers that ran more than once.
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

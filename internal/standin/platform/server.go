// Package platform is a stand-in for the platform over HTTP: the key-value
// service, and the lagging list of hosts. docs/PLATFORM.md describes the
// protocol. Faults are scripted through methods, or by POST /v1/faults.
package platform

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/platform"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
)

// Limits of the server.
const (
	// defaultCallTimeout ends calls whose reply was scripted away.
	defaultCallTimeout = 2 * time.Second
	// maxWatchWait bounds how long a watch is held.
	maxWatchWait = 1 * time.Minute
)

// Settings describe the stand-in.
type Settings struct {
	Limits kv.Limits
	// HostListDelay is how far the host list lags behind SetHosts.
	HostListDelay time.Duration
}

// Server is the stand-in. Its methods are safe for concurrent use.
type Server struct {
	store *store
	hosts *hostList
}

// New returns a stand-in without keys and hosts.
func New(settings Settings) *Server {
	return &Server{
		store: newStore(kv.New(settings.Limits)),
		hosts: &hostList{delay: settings.HostListDelay},
	}
}

// Register adds the stand-in's routes to an echo server.
func (s *Server) Register(e *echo.Echo) {
	e.POST(platform.StorePath+":verb", s.handleStore)
	e.GET(platform.HostsPath, s.handleHosts)
	e.POST("/v1/faults", s.handleFault)
	e.GET("/v1/calls", s.handleCalls)
}

// Close ends the stand-in's timers and all waiting calls.
func (s *Server) Close() { s.store.close() }

// Calls returns the counts of store calls.
func (s *Server) Calls() kv.Calls { return s.store.counts() }

// handleStore runs one store call.
func (s *Server) handleStore(c echo.Context) error {
	verb, known := platform.ParseVerb(c.Param("verb"))
	if !known {
		return echo.NewHTTPError(http.StatusNotFound, "no such verb")
	}
	var request platform.StoreRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	result, replied := s.store.call(c.Request().Context(), request.Call(verb, callTimeout(verb, request)))
	status := platform.HTTPStatus(result.Status)
	if !replied || status == 0 {
		// The connection is cut, as when a reply is lost.
		panic(http.ErrAbortHandler)
	}
	return c.JSON(status, platform.ReplyOf(result))
}

// callTimeout returns how long a call may take.
func callTimeout(verb effect.StoreVerb, request platform.StoreRequest) time.Duration {
	if verb != effect.StoreWatch {
		return defaultCallTimeout
	}
	return min(maxWatchWait, time.Duration(request.WaitMillis)*time.Millisecond)
}

// handleHosts returns the host list.
func (s *Server) handleHosts(c echo.Context) error {
	list := s.hosts.read(time.Now())
	return c.JSON(http.StatusOK, platform.HostsReply{
		Hosts: list.Hosts, DrainingUpstreams: list.DrainingUpstreams,
	})
}

// handleCalls returns the counts of store calls.
func (s *Server) handleCalls(c echo.Context) error {
	return c.JSON(http.StatusOK, s.store.counts())
}

// faultRequest is the body of POST /v1/faults; an empty kind removes all
// faults.
type faultRequest struct {
	Kind        kv.FaultKind `json:"kind"`
	ForMillis   int64        `json:"for_ms"`
	DelayMillis int64        `json:"delay_ms"`
	Prefix      string       `json:"prefix"`
	WritesOnly  bool         `json:"writes_only"`
	Count       int          `json:"count"`
}

// handleFault schedules a fault from now on.
func (s *Server) handleFault(c echo.Context) error {
	var request faultRequest
	if err := c.Bind(&request); err != nil {
		return err
	}
	if request.Kind == "" {
		s.ClearFaults()
		return c.NoContent(http.StatusNoContent)
	}
	if !request.Kind.Known() {
		return echo.NewHTTPError(http.StatusBadRequest, "no such kind of fault")
	}
	s.Schedule(time.Duration(request.ForMillis)*time.Millisecond, kv.Fault{
		Kind:       request.Kind,
		Delay:      time.Duration(request.DelayMillis) * time.Millisecond,
		Prefix:     request.Prefix,
		WritesOnly: request.WritesOnly,
		Count:      request.Count,
	})
	return c.NoContent(http.StatusNoContent)
}

// Schedule adds a fault that strikes from now on for a time.
func (s *Server) Schedule(duration time.Duration, fault kv.Fault) {
	s.store.schedule(duration, fault)
}

// ClearFaults removes all faults.
func (s *Server) ClearFaults() { s.store.clearFaults() }

// SetHosts sets the host list; readers see it after the configured delay.
func (s *Server) SetHosts(list event.HostList) { s.hosts.set(time.Now(), list) }

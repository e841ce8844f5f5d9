// Package platform is a stand-in for the platform's HTTP API: the key-value service
// and the host list, whose changes become visible after a lag. docs/PLATFORM.md
// describes the protocol. Faults are set by methods or by POST /v1/faults.
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

// Timeouts of store calls.
const (
	// defaultCallTimeout bounds calls other than watches. Without faults their replies
	// are immediate.
	defaultCallTimeout = 2 * time.Second
	// maxWatchWait bounds how long a watch waits for changes.
	maxWatchWait = 1 * time.Minute
)

// Settings configure the stand-in.
type Settings struct {
	Limits kv.Limits
	// HostListLag is the delay until the host list shows a change by SetHosts.
	HostListLag time.Duration
}

// Server is the stand-in platform. Its methods are safe for concurrent use.
type Server struct {
	store *store
	hosts *hostList
}

// New returns a stand-in with an empty store and an empty host list.
func New(settings Settings) *Server {
	return &Server{
		store: newStore(kv.New(settings.Limits)),
		hosts: &hostList{lag: settings.HostListLag},
	}
}

// Register registers the stand-in's routes with an echo server.
func (s *Server) Register(e *echo.Echo) {
	e.POST(platform.StorePath+":verb", s.handleStore)
	e.GET(platform.HostsPath, s.handleHosts)
	e.POST("/v1/faults", s.handleFault)
	e.GET("/v1/calls", s.handleCalls)
}

// Close stops the stand-in's timer and ends all waiting calls.
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
		// Abort the connection, as if the reply were lost.
		panic(http.ErrAbortHandler)
	}
	return c.JSON(status, platform.NewStoreReply(result))
}

// callTimeout returns the timeout of a call; for a watch, the requested wait up to
// maxWatchWait.
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

// faultRequest is the body of POST /v1/faults. An empty kind removes all faults.
type faultRequest struct {
	Kind        kv.FaultKind `json:"kind"`
	ForMillis   int64        `json:"for_ms"`
	DelayMillis int64        `json:"delay_ms"`
	Prefix      string       `json:"prefix"`
	WritesOnly  bool         `json:"writes_only"`
	Count       int          `json:"count"`
}

// handleFault schedules a fault that starts now, or removes all faults.
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

// Schedule adds a fault that is active from now on for a duration. It sets the
// fault's From and Until.
func (s *Server) Schedule(duration time.Duration, fault kv.Fault) {
	s.store.schedule(duration, fault)
}

// ClearFaults removes all faults.
func (s *Server) ClearFaults() { s.store.clearFaults() }

// SetHosts sets the host list; readers see it after the configured delay.
func (s *Server) SetHosts(list event.HostList) { s.hosts.set(time.Now(), list) }

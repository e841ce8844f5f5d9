package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Limits and timeouts of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// shutdownTimeout bounds the time in which open requests may finish.
	shutdownTimeout = 2 * time.Second
)

// NewEcho returns an echo server with typed errors and a size limit for request bodies.
// The limit is in the notation of echo, such as "1M".
func NewEcho(bodyLimit string) *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = handleError
	e.Use(middleware.Recover())
	e.Use(middleware.BodyLimit(bodyLimit))
	return e
}

// Serve runs an echo server on a listener until the context ends. Open requests then
// have shutdownTimeout to finish.
func Serve(ctx context.Context, e *echo.Echo, listener net.Listener) error {
	server := &http.Server{
		Handler:           e,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	finished := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(finished)
		shutDown(server)
	})
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		stop()
		return fmt.Errorf("serve HTTP on %s: %w", listener.Addr(), err)
	}
	<-finished
	return nil
}

// shutDown waits up to shutdownTimeout for the handlers, then closes the remaining
// connections.
func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
}

// isServing reports whether a state dump shows that the node is serving.
func isServing(dump []byte) bool {
	var state struct {
		State model.MemberState `json:"state"`
	}
	if err := json.Unmarshal(dump, &state); err != nil {
		return false
	}
	return state.State == model.Serving
}

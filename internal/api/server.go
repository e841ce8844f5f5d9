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

// Limits of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// shutdownTimeout bounds the writing of the last answers.
	shutdownTimeout = 2 * time.Second
)

// NewEcho returns an echo server with typed errors and bounded bodies. The limit
// is in echo's notation, such as "1M".
func NewEcho(bodyLimit string) *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = handleError
	e.Use(middleware.Recover())
	e.Use(middleware.BodyLimit(bodyLimit))
	return e
}

// Serve serves an echo server on a listener until the context ends. Handlers that
// have their answer by then still write it.
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

// shutDown lets the handlers finish and then closes what is left.
func shutDown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
}

// isServing reads the node's state from a dump.
func isServing(dump []byte) bool {
	var state struct {
		State model.MemberState `json:"state"`
	}
	if err := json.Unmarshal(dump, &state); err != nil {
		return false
	}
	return state.State == model.Serving
}

package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/hawthorntack/hawthorntack/internal/guard"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Limits and timeouts of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes = 16 << 10
	// shutdownTimeout bounds the time in which open requests may finish.
	shutdownTimeout = 2 * time.Second
)

// NewEcho returns an echo server with typed errors and a size limit for request bodies.
// The limit is in the notation of echo, such as "1M". Bodies on guarded connections are read before the
// handlers run.
func NewEcho(bodyLimit string) *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = handleError
	e.Use(middleware.Recover())
	e.Use(middleware.BodyLimit(bodyLimit))
	e.Use(readBody)
	return e
}

// readBody reads the body of a request on a guarded connection, which takes room for it.
func readBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		if guard.FromContext(r.Context()) == nil {
			return next(c)
		}
		body, err := guard.ReadBody(r, readTimeout)
		if err != nil {
			return refuseBody(c, err)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		return next(c)
	}
}

// refuseBody returns the failure of a request whose body could not be read.
func refuseBody(c echo.Context, err error) error {
	var noRoom *guard.NoRoomError
	var late *guard.BodyTimeoutError
	var tooLarge *guard.BodyTooLargeError
	switch {
	case errors.As(err, &noRoom):
		if noRoom.RetryAfter > 0 {
			c.Response().Header().Set(echo.HeaderRetryAfter, guard.WholeSeconds(noRoom.RetryAfter))
		}
		return model.Failf(model.CodeOverloaded, "%v", err)
	case errors.As(err, &late):
		return model.Failf(model.CodeRequestTimeout, "%v", err)
	case errors.As(err, &tooLarge):
		return model.Failf(model.CodeTooLarge, "%v", err)
	default:
		return readBodyError(err)
	}
}

// Serve runs an echo server on a guarded listener until the context ends. Open requests then
// have shutdownTimeout to finish.
func Serve(ctx context.Context, e *echo.Echo, g *guard.Guard, listener net.Listener) error {
	server := g.Server(e)
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.MaxHeaderBytes = MaxHeaderBytes
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

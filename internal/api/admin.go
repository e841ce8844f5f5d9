package api

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/time/rate"

	"github.com/hawthorntack/hawthorntack/internal/auth"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// Limits of the administration API.
const (
	// adminRatePerSecond and adminBurst limit the rate of calls.
	adminRatePerSecond = 200
	adminBurst         = 400
	// adminWriteTimeout bounds the writing of a reply to a slow client.
	adminWriteTimeout = 30 * time.Second
	// statementTimeout bounds the wait for the reducer's reply. The reducer has its own
	// timeout for changes.
	statementTimeout = 10 * time.Second
)

// Administration is the part of the reducer that the operators' handlers use.
type Administration interface {
	Statement(ctx context.Context, e event.Statement) (effect.StatementResult, error)
	Dump(ctx context.Context) ([]byte, error)
}

// Verifier authenticates operators.
type Verifier interface {
	Verify(r auth.Request) (model.Operator, *model.Failure)
}

// AdminOptions holds the dependencies of the administration API.
type AdminOptions struct {
	Administration Administration
	Verifier       Verifier
	Gatherer       prometheus.Gatherer
	// CountRefusal is called for each call that the verifier refuses.
	CountRefusal func(code model.Code)
	// OnLoopback is true when the API listens on a loopback address.
	OnLoopback bool
}

// Admin serves the administration API.
type Admin struct {
	options AdminOptions
	limiter *rate.Limiter
}

// RegisterAdmin adds the administration API, metrics and health to an echo
// server. Metrics, health and readiness require no credentials.
func RegisterAdmin(e *echo.Echo, options AdminOptions) {
	h := &Admin{options: options, limiter: rate.NewLimiter(adminRatePerSecond, adminBurst)}
	e.POST("/v1/admin/statements", h.statements, h.limitRate, h.authenticate)
	e.GET("/v1/admin/state", h.state, h.limitRate)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(options.Gatherer, promhttp.HandlerOpts{})))
	e.GET("/healthz", h.health)
	e.GET("/readyz", h.ready, h.limitRate)
}

// StatementBody is the body of a statement request.
type StatementBody struct {
	Text   string         `json:"text"`
	DryRun bool           `json:"dry_run,omitempty"`
	Change model.ChangeID `json:"change_id,omitempty"`
}

// StatementReply is the reply to a statement.
type StatementReply struct {
	Outcome  effect.StatementOutcome `json:"outcome"`
	Revision model.Revision          `json:"revision,omitempty"`
	Change   model.ChangeID          `json:"change_id,omitempty"`
	Tables   []model.Table           `json:"tables,omitempty"`
	Text     string                  `json:"text,omitempty"`
	Error    *model.Failure          `json:"error,omitempty"`
	// Winner is the change that was accepted first, if the error is a conflict.
	Winner *effect.Winner `json:"winner,omitempty"`
}

// limitRate limits the rate of calls and sets the write deadline of the reply.
func (h *Admin) limitRate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !h.limiter.Allow() {
			c.Response().Header().Set(echo.HeaderRetryAfter, "1")
			return model.Failf(model.CodeRateLimited, "more than %d administration calls a second", adminRatePerSecond)
		}
		// The error is ignored: test recorders do not support deadlines.
		_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(adminWriteTimeout))
		return next(c)
	}
}

// operatorKey is the context key under which authenticate stores the operator.
const operatorKey = "operator"

// authenticate stores the calling operator in the context and refuses other callers.
func (h *Admin) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		operator, failure := h.verify(c)
		if failure != nil {
			return failure
		}
		c.Set(operatorKey, operator)
		return next(c)
	}
}

// verify checks the caller's credentials and returns the operator. After a refusal it
// calls CountRefusal and sets the response headers that belong to the failure's code.
func (h *Admin) verify(c echo.Context) (model.Operator, *model.Failure) {
	operator, failure := h.options.Verifier.Verify(auth.Request{
		Authorization: c.Request().Header.Get(echo.HeaderAuthorization),
		Source:        c.Request().RemoteAddr,
		OnLoopback:    h.options.OnLoopback,
	})
	if failure == nil {
		return operator, nil
	}
	h.options.CountRefusal(failure.Code)
	switch failure.Code {
	case model.CodeUnauthenticated:
		c.Response().Header().Set(echo.HeaderWWWAuthenticate, `Basic realm="hawthorntack"`)
	case model.CodeRateLimited, model.CodeUnavailable:
		c.Response().Header().Set(echo.HeaderRetryAfter, "2")
	}
	return model.Operator{}, failure
}

// statements runs the statements of an operator.
func (h *Admin) statements(c echo.Context) error {
	var body StatementBody
	if err := decodeStrict(c.Request().Body, &body); err != nil {
		return err
	}
	operator, _ := c.Get(operatorKey).(model.Operator)
	ctx, cancel := context.WithTimeout(c.Request().Context(), statementTimeout)
	defer cancel()
	result, err := h.options.Administration.Statement(ctx, event.Statement{
		Operator: operator.Name, Text: body.Text, DryRun: body.DryRun, Change: body.Change,
	})
	if err != nil {
		result, err = resultWithoutReply(body, err)
	}
	if err != nil {
		return err
	}
	return c.JSON(statementStatus(result), StatementReply{
		Outcome:  result.Outcome,
		Revision: result.Revision,
		Change:   result.Change,
		Tables:   result.Tables,
		Text:     result.Text,
		Error:    result.Failure,
		Winner:   result.Winner,
	})
}

// resultWithoutReply returns the result of a statement for which the reducer sent no
// reply. The outcome of a change is unknown, because it may still be accepted; for
// other texts resultWithoutReply returns the error.
func resultWithoutReply(body StatementBody, err error) (effect.StatementResult, error) {
	script, failure := statement.Parse(body.Text)
	if body.DryRun || failure != nil || len(script.Changes) == 0 {
		return effect.StatementResult{}, err
	}
	code := model.CodeUnavailable
	if errors.Is(err, context.DeadlineExceeded) {
		code = model.CodeDeadline
	}
	return effect.StatementResult{
		Outcome: effect.ChangeUnknown, Change: body.Change, Failure: model.Failf(code, "no reply received: %v", err),
	}, nil
}

// statementStatus maps a statement's result to an HTTP status.
func statementStatus(result effect.StatementResult) int {
	switch {
	case result.Outcome == effect.ChangeUnknown:
		return http.StatusGatewayTimeout
	case result.Failure != nil:
		return statusOf(result.Failure.Code)
	default:
		return http.StatusOK
	}
}

// state returns the state dump. It shows the services of all users, so an operator who
// is limited to one user may not read it. While the node has no configuration, the dump
// is open on loopback addresses: it contains nothing to protect and shows why the node
// does not start.
func (h *Admin) state(c echo.Context) error {
	operator, failure := h.verify(c)
	isStarting := failure != nil && failure.Code == model.CodeUnavailable && h.options.OnLoopback
	if failure != nil && !isStarting {
		return failure
	}
	if operator.User != "" {
		return model.Failf(model.CodeForbidden, "operator %s is limited to user %s; the state dump shows all users", operator.Name, operator.User)
	}
	dump, err := h.options.Administration.Dump(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, dump)
}

// health reports that the process is running.
func (h *Admin) health(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// ready reports whether the node is serving.
func (h *Admin) ready(c echo.Context) error {
	dump, err := h.options.Administration.Dump(c.Request().Context())
	if err != nil {
		return err
	}
	if !isServing(dump) {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

package api

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Administration is the reducer as operators' handlers see it.
type Administration interface {
	Statement(ctx context.Context, e event.Statement) (effect.StatementResult, error)
	Dump(ctx context.Context) ([]byte, error)
}

// Admin serves the administration API.
type Admin struct {
	administration Administration
}

// RegisterAdmin adds the administration API, metrics and health to an echo
// server.
func RegisterAdmin(e *echo.Echo, administration Administration, gatherer prometheus.Gatherer) {
	h := &Admin{administration: administration}
	e.POST("/v1/admin/statements", h.statements)
	e.GET("/v1/admin/state", h.state)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(gatherer, promhttp.HandlerOpts{})))
	e.GET("/healthz", h.health)
	e.GET("/readyz", h.ready)
}

// StatementBody is the body of a statement.
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
}

// statements runs an operator's text.
func (h *Admin) statements(c echo.Context) error {
	var body StatementBody
	if err := decodeStrictly(c.Request().Body, &body); err != nil {
		return err
	}
	result, err := h.administration.Statement(c.Request().Context(), event.Statement{
		Text: body.Text, DryRun: body.DryRun, Change: body.Change,
	})
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
	})
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

// state returns the state dump.
func (h *Admin) state(c echo.Context) error {
	dump, err := h.administration.Dump(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSONBlob(http.StatusOK, dump)
}

// health tells that the process runs.
func (h *Admin) health(c echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

// ready tells whether the node serves.
func (h *Admin) ready(c echo.Context) error {
	dump, err := h.administration.Dump(c.Request().Context())
	if err != nil {
		return err
	}
	if !isServing(dump) {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Headers of the callers' API.
const (
	// RequestIDHeader carries "SESSION.SEQUENCE", which must be the same on every
	// resend of a request.
	RequestIDHeader = "Request-Id"
	// TimeoutHeader carries the caller's timeout in milliseconds.
	TimeoutHeader = "Request-Timeout-Ms"
	// AcknowledgedHeader carries the highest sequence number of the session up to
	// which the caller has received all outcomes.
	AcknowledgedHeader = "Request-Acknowledged"
	// AttemptsHeader carries the number of sub-requests that were sent for an answer,
	// including hedges and retries. PlannedHeader carries the number without them.
	AttemptsHeader = "Upstream-Attempts"
	PlannedHeader  = "Upstream-Planned"
)

// maxTimeout is the longest timeout that a caller may request.
const maxTimeout = 10 * time.Minute

// Requests is the part of the reducer that the callers' handlers use.
type Requests interface {
	Entry(ctx context.Context, service string) (effect.ReplyEntry, error)
	Search(ctx context.Context, e event.Search) (model.Answer, error)
	Order(ctx context.Context, e event.Order) (model.Answer, error)
}

// Caller serves the callers' API.
type Caller struct {
	requests Requests
}

// RegisterCaller adds the callers' API to an echo server.
func RegisterCaller(e *echo.Echo, requests Requests) {
	h := &Caller{requests: requests}
	e.GET("/v1/entry", h.entry)
	e.POST("/v1/search", h.search)
	e.POST("/v1/services/:service/orders", h.order)
}

// entryBody is the body of an entry reply.
type entryBody struct {
	Addresses []addressBody `json:"addresses"`
	TTL       int64         `json:"ttl_ms"`
	Session   string        `json:"session"`
}

// addressBody is one address of an entry reply.
type addressBody struct {
	Address       string              `json:"address"`
	Host          model.HostID        `json:"host"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
}

// answerBody is the body of the answer to a search or an order.
type answerBody struct {
	RequestID string          `json:"request_id"`
	Outcome   model.Outcome   `json:"outcome"`
	Snapshot  model.Version   `json:"snapshot,omitempty"`
	Coverage  *model.Coverage `json:"coverage,omitempty"`
	Results   any             `json:"results,omitempty"`
	Error     *model.Failure  `json:"error,omitempty"`
}

// searchBody is the body of a search request.
type searchBody struct {
	Services []string        `json:"services"`
	Query    json.RawMessage `json:"query"`
}

// entry returns the addresses that a caller should use for a service.
func (h *Caller) entry(c echo.Context) error {
	reply, err := h.requests.Entry(c.Request().Context(), c.QueryParam("service"))
	if err != nil {
		return err
	}
	if reply.Failure != nil {
		return reply.Failure
	}
	body := entryBody{TTL: reply.TTL.Milliseconds(), Addresses: []addressBody{}}
	if !reply.Session.IsZero() {
		body.Session = reply.Session.String()
	}
	for _, a := range reply.Addresses {
		body.Addresses = append(body.Addresses, addressBody(a))
	}
	return c.JSON(http.StatusOK, body)
}

// search runs a search.
func (h *Caller) search(c echo.Context) error {
	id, timeout, err := parseRequestHeaders(c)
	if err != nil {
		return err
	}
	var body searchBody
	if err := decodeStrict(c.Request().Body, &body); err != nil {
		return err
	}
	if len(body.Services) == 0 || len(body.Query) == 0 {
		return model.Failf(model.CodeBadRequest, "a search needs services and a query")
	}
	answer, err := h.requests.Search(c.Request().Context(), event.Search{
		RequestID: id, Services: body.Services, Query: body.Query, Timeout: timeout,
	})
	if err != nil {
		return &NoReplyError{Err: err}
	}
	return writeAnswer(c, answer)
}

// order runs an order.
func (h *Caller) order(c echo.Context) error {
	id, timeout, err := parseRequestHeaders(c)
	if err != nil {
		return err
	}
	acknowledged, err := parseAcknowledged(c)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return readBodyError(err)
	}
	if !json.Valid(body) {
		return model.Failf(model.CodeBadRequest, "the body is not JSON")
	}
	answer, err := h.requests.Order(c.Request().Context(), event.Order{
		RequestID:    id,
		Service:      model.ServiceName(c.Param("service")),
		Body:         body,
		Timeout:      timeout,
		Acknowledged: acknowledged,
	})
	if err != nil {
		return &NoReplyError{Err: err}
	}
	return writeAnswer(c, answer)
}

// parseRequestHeaders returns the request identifier and the timeout; each is zero if
// its header is missing.
func parseRequestHeaders(c echo.Context) (model.RequestID, time.Duration, error) {
	var id model.RequestID
	header := c.Request().Header
	if value := header.Get(RequestIDHeader); value != "" {
		parsed, err := model.ParseRequestID(value)
		if err != nil {
			return id, 0, err
		}
		id = parsed
	}
	value := header.Get(TimeoutHeader)
	if value == "" {
		return id, 0, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
		return id, 0, model.Failf(model.CodeBadRequest, "%s must be from 1 to %d", TimeoutHeader, maxTimeout.Milliseconds())
	}
	return id, time.Duration(ms) * time.Millisecond, nil
}

// parseAcknowledged returns the acknowledged sequence number, or zero if its header is
// missing.
func parseAcknowledged(c echo.Context) (uint64, error) {
	value := c.Request().Header.Get(AcknowledgedHeader)
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, model.Failf(model.CodeBadRequest, "%s must be a decimal number", AcknowledgedHeader)
	}
	return n, nil
}

// decodeStrict decodes one JSON value. It rejects unknown fields and trailing data.
func decodeStrict(r io.Reader, into any) error {
	raw, err := io.ReadAll(r)
	if err != nil {
		return readBodyError(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return model.Failf(model.CodeBadRequest, "malformed body: %v", err)
	}
	if decoder.More() {
		return model.Failf(model.CodeBadRequest, "malformed body: data after the first value")
	}
	return nil
}

// readBodyError converts an error of reading a body to a failure, except for errors
// of echo, which keep their status.
func readBodyError(err error) error {
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		return err
	}
	return model.Failf(model.CodeBadRequest, "reading the body: %v", err)
}

// writeAnswer writes an answer with the HTTP status of its outcome.
func writeAnswer(c echo.Context, a model.Answer) error {
	body := answerBody{
		RequestID: a.RequestID.String(),
		Outcome:   a.Outcome,
		Snapshot:  a.Snapshot,
		Coverage:  a.Coverage,
		Error:     a.Failure,
	}
	switch {
	case a.OrderReply != nil:
		body.Results = a.OrderReply
	case a.Results != nil:
		body.Results = a.Results
	}
	if a.Outcome == model.NotRun {
		seconds := max(1, int64((a.RetryAfter+time.Second-1)/time.Second))
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	c.Response().Header().Set(AttemptsHeader, strconv.Itoa(a.Attempts))
	c.Response().Header().Set(PlannedHeader, strconv.Itoa(a.Planned))
	return c.JSON(answerStatus(a), body)
}

// answerStatus maps the outcome of an answer to an HTTP status.
func answerStatus(a model.Answer) int {
	switch {
	case a.Outcome == model.Answered:
		return http.StatusOK
	case a.Outcome == model.Unknown:
		return http.StatusGatewayTimeout
	case a.Failure == nil:
		return http.StatusServiceUnavailable
	default:
		return statusOf(a.Failure.Code)
	}
}

package api

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// failureBody is the body of the response to a request that failed before it reached
// the reducer, and so did not run, or to which the reducer did not reply, so that it may
// have run.
type failureBody struct {
	RequestID string         `json:"request_id,omitempty"`
	Outcome   model.Outcome  `json:"outcome"`
	Error     *model.Failure `json:"error"`
}

// statusOf maps a failure code to an HTTP status.
func statusOf(code model.Code) int {
	switch code {
	case model.CodeBadRequest, model.CodeIDRequired, model.CodeInvalid:
		return http.StatusBadRequest
	case model.CodeUnauthenticated:
		return http.StatusUnauthorized
	case model.CodeForbidden:
		return http.StatusForbidden
	case model.CodeUnknownService:
		return http.StatusNotFound
	case model.CodeConflict:
		return http.StatusConflict
	case model.CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case model.CodeRequestTimeout:
		return http.StatusRequestTimeout
	case model.CodeRateLimited:
		return http.StatusTooManyRequests
	case model.CodeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// NoReplyError reports that the reducer received a caller's request but did not reply.
// The request may have run.
type NoReplyError struct{ Err error }

// Error implements error.
func (e *NoReplyError) Error() string { return "no reply received: " + e.Err.Error() }

// Unwrap returns the cause of the missing reply.
func (e *NoReplyError) Unwrap() error { return e.Err }

// handleError writes errors of handlers and of echo as typed failures.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	failure := failureOf(err)
	status := statusOf(failure.Code)
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) && failure.Code == model.CodeBadRequest {
		status = httpError.Code
	}
	outcome := model.NotRun
	var noReply *NoReplyError
	if errors.As(err, &noReply) {
		outcome = model.Unknown
		status = http.StatusGatewayTimeout
	}
	// The error is ignored: a failed write means that the caller has disconnected.
	_ = c.JSON(status, failureBody{Outcome: outcome, Error: failure})
}

// failureOf converts an error to a typed failure.
func failureOf(err error) *model.Failure {
	var failure *model.Failure
	if errors.As(err, &failure) {
		return failure
	}
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) {
		return httpFailure(httpError)
	}
	var idError *model.IDError
	if errors.As(err, &idError) {
		return model.Failf(model.CodeBadRequest, "%v", idError)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return model.Failf(model.CodeBadRequest, "malformed JSON: %v", syntax)
	}
	return model.Failf(model.CodeInternal, "%v", err)
}

// httpFailure converts an error of echo to a failure.
func httpFailure(err *echo.HTTPError) *model.Failure {
	if err.Code == http.StatusRequestEntityTooLarge {
		return model.Failf(model.CodeTooLarge, "the body exceeds the size limit")
	}
	return model.Failf(model.CodeBadRequest, "%v", err.Message)
}

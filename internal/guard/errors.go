package guard

import (
	"fmt"
	"time"
)

// NoRoomError reports a request for which there was no room. It has not run.
type NoRoomError struct {
	// RetryAfter is when the client should come back. It is zero if there never will be room.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoRoomError) Error() string {
	if e.RetryAfter == 0 {
		return "the request is larger than the room that this node has for requests"
	}
	return "there is no room for the request"
}

// HeadTooLargeError reports a request's head over the limit, in bytes.
type HeadTooLargeError struct{ Limit int }

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the head of the request is over %d bytes", e.Limit)
}

// BodyTooLargeError reports a request's body over the limit, in bytes.
type BodyTooLargeError struct{ Limit int }

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("the body is over %d bytes", e.Limit)
}

// BodyTimeoutError reports a body that did not arrive in time.
type BodyTimeoutError struct{ Timeout time.Duration }

// Error implements error.
func (e *BodyTimeoutError) Error() string {
	return fmt.Sprintf("the body did not arrive within %v", e.Timeout)
}

// BodyError reports a body that could not be read.
type BodyError struct{ Err error }

// Error implements error.
func (e *BodyError) Error() string { return "the body cannot be read: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

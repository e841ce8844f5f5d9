package outcome

import "net/http"

// PromisesNotRun reports whether an HTTP status promises a caller that its request has not run
// and never will. Only a Ledger can prove that, so no such status of an upstream that may have
// run the request is passed on.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

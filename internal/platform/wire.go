package platform

import (
	"net/http"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Paths of the platform's protocol.
const (
	// StorePath is followed by the verb, such as "/v1/store/get".
	StorePath = "/v1/store/"
	HostsPath = "/v1/hosts"
)

// MaxBodyBytes bounds the body of a request or reply. A value of one megabyte grows
// by a third in base64, and a list contains several values.
const MaxBodyBytes = 64 << 20

// StoreRequest is the body of a store call.
type StoreRequest struct {
	Key          string `json:"key"`
	Value        []byte `json:"value,omitempty"`
	Expect       uint64 `json:"expect,omitempty"`
	FromRevision uint64 `json:"from_revision,omitempty"`
	After        string `json:"after,omitempty"`
	Limit        int    `json:"limit,omitempty"`
	// WaitMillis is the longest time that a watch waits, in milliseconds.
	WaitMillis int64 `json:"wait_ms,omitempty"`
}

// StoreItem is one key in a reply.
type StoreItem struct {
	Key         string `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision uint64 `json:"mod_revision"`
	Deleted     bool   `json:"deleted,omitempty"`
}

// StoreReply is the body of the reply to a store call.
type StoreReply struct {
	Items    []StoreItem `json:"items,omitempty"`
	Revision uint64      `json:"revision"`
}

// HostsReply is the body of the reply to a host list request.
type HostsReply struct {
	Hosts             []model.HostEntry  `json:"hosts"`
	DrainingUpstreams []model.UpstreamID `json:"draining_upstreams"`
}

// verbNames are the names of the verbs in paths.
var verbNames = [...]string{
	effect.StoreGet:    "get",
	effect.StoreList:   "list",
	effect.StoreCreate: "create",
	effect.StoreSwap:   "swap",
	effect.StoreDelete: "delete",
	effect.StoreWatch:  "watch",
}

// VerbName returns a verb's name in the protocol's paths.
func VerbName(verb effect.StoreVerb) string { return verbNames[verb] }

// ParseVerb returns the verb with a name in a path, and false if the name is unknown.
func ParseVerb(name string) (effect.StoreVerb, bool) {
	for verb, known := range verbNames {
		if known != "" && known == name {
			return effect.StoreVerb(verb), true
		}
	}
	return 0, false
}

// HTTPStatus returns the HTTP status of a store status. Zero means that no reply
// is sent.
func HTTPStatus(status event.StoreStatus) int {
	switch status {
	case event.StoreOK:
		return http.StatusOK
	case event.StoreConflict:
		return http.StatusConflict
	case event.StoreTruncated:
		return http.StatusGone
	case event.StoreRejected:
		return http.StatusTooManyRequests
	default:
		return 0
	}
}

// storeStatus returns the store status of an HTTP status. An undefined HTTP status,
// such as one of a gateway, leaves it unknown whether the write took effect.
func storeStatus(status int) event.StoreStatus {
	switch status {
	case http.StatusOK:
		return event.StoreOK
	case http.StatusConflict:
		return event.StoreConflict
	case http.StatusGone:
		return event.StoreTruncated
	case http.StatusTooManyRequests:
		return event.StoreRejected
	default:
		return event.StoreUnknown
	}
}

// NewStoreRequest returns the request body of a call. The wait is the longest time for
// which the service may hold a watch, and zero for other calls.
func NewStoreRequest(call effect.CallStore, wait time.Duration) StoreRequest {
	return StoreRequest{
		Key:          call.Key,
		Value:        call.Value,
		Expect:       call.Expect,
		FromRevision: call.FromRevision,
		After:        call.After,
		Limit:        call.Limit,
		WaitMillis:   wait.Milliseconds(),
	}
}

// Call returns the call that a request represents.
func (r StoreRequest) Call(verb effect.StoreVerb, timeout time.Duration) effect.CallStore {
	return effect.CallStore{
		Verb:         verb,
		Key:          r.Key,
		Value:        r.Value,
		Expect:       r.Expect,
		FromRevision: r.FromRevision,
		After:        r.After,
		Limit:        r.Limit,
		Timeout:      timeout,
	}
}

// NewStoreReply returns the reply body of a result.
func NewStoreReply(result event.StoreResult) StoreReply {
	reply := StoreReply{Revision: result.StoreRevision}
	for _, item := range result.Items {
		reply.Items = append(reply.Items, StoreItem(item))
	}
	return reply
}

// result returns the result that a reply represents.
func (r StoreReply) result(status event.StoreStatus) event.StoreResult {
	result := event.StoreResult{Status: status, StoreRevision: r.Revision}
	for _, item := range r.Items {
		result.Items = append(result.Items, event.StoreItem(item))
	}
	return result
}

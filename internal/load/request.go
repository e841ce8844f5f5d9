package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/hawthorntack/hawthorntack/internal/api"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Outcomes in addition to those of the API.
const (
	// outcomeFailed is the outcome of a request without a response of the API.
	outcomeFailed model.Outcome = "failed"
)

// request is a search or an order to send. It is identical on every resend.
type request struct {
	options Options
	id      string
	path    string
	body    []byte
	query   json.RawMessage
}

// result is the checked outcome of one send of a request.
type result struct {
	outcome model.Outcome
	code    model.Code
	// searched and total count the shards of a search.
	searched int
	total    int
	// attempts is the number of sub-requests sent for the answer, and planned the number
	// without hedges and retries.
	attempts int
	planned  int
	// partial is true if a search was answered without some of its shards.
	partial bool
	// foreign is true if the answer belongs to another request or its rows cannot be
	// decoded.
	foreign bool
	// mixed is true if a row comes from another snapshot than the answer's.
	mixed bool
	id    string
	// execution identifies the execution of an order.
	execution string
}

// isFinal reports whether the outcome is known, so that a resend is pointless.
func (r result) isFinal() bool {
	return r.outcome == model.Answered || r.outcome == model.NotRun
}

// answer is the body of a response to a search or an order.
type answer struct {
	RequestID string          `json:"request_id"`
	Outcome   model.Outcome   `json:"outcome"`
	Snapshot  model.Version   `json:"snapshot"`
	Coverage  *model.Coverage `json:"coverage"`
	Results   json.RawMessage `json:"results"`
	Error     *model.Failure  `json:"error"`
}

// row is one row of a search result, as the stand-in upstream writes it.
type row struct {
	Query   json.RawMessage `json:"query"`
	Version model.Version   `json:"version"`
}

// newRequest builds the request with the given number in the run. It returns *EntryError if
// an order gets no request identifier.
func (c *entryClient) newRequest(ctx context.Context, options Options, number uint64) (request, error) {
	query := json.RawMessage(fmt.Sprintf(`{"text":"query %d of run %d"}`, number, options.Seed))
	if options.Kind == Order {
		id, err := c.nextID(ctx)
		if err != nil {
			return request{}, err
		}
		return request{options: options, id: id, path: "/v1/services/" + options.Service + "/orders", body: query}, nil
	}
	body, err := json.Marshal(struct {
		Services []string        `json:"services"`
		Query    json.RawMessage `json:"query"`
	}{[]string{options.Service}, query})
	if err != nil {
		return request{}, fmt.Errorf("encode search: %w", err)
	}
	return request{options: options, path: "/v1/search", body: body, query: query}, nil
}

// send sends the request once. Successive tries use the entry addresses in turn.
func (r request) send(ctx context.Context, c *entryClient, try int) result {
	failed := result{outcome: outcomeFailed, id: r.id}
	addresses, err := c.addresses(ctx)
	if err != nil {
		return failed
	}
	address := addresses[try%len(addresses)]
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return failed
	}
	// Without GetBody the HTTP client does not retry on its own.
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Content-Type", "application/json")
	if r.id != "" {
		httpRequest.Header.Set(api.RequestIDHeader, r.id)
	}
	if r.options.Timeout > 0 {
		httpRequest.Header.Set(api.TimeoutHeader, strconv.FormatInt(r.options.Timeout.Milliseconds(), 10))
	}
	response, err := c.client.Do(httpRequest)
	if err != nil {
		c.invalidate()
		return failed
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return failed
	}
	return r.checkResponse(response.Header, body)
}

// checkResponse decodes a response and checks that it belongs to the request.
func (r request) checkResponse(header http.Header, body []byte) result {
	out := result{outcome: outcomeFailed, id: r.id}
	var a answer
	if err := json.Unmarshal(body, &a); err != nil || a.Outcome == "" {
		return out
	}
	out.outcome = a.Outcome
	out.attempts, _ = strconv.Atoi(header.Get(api.AttemptsHeader))
	out.planned, _ = strconv.Atoi(header.Get(api.PlannedHeader))
	if a.Error != nil {
		out.code = a.Error.Code
	}
	out.foreign = r.id != "" && a.RequestID != r.id
	if r.options.Kind == Order {
		out.execution = execution(a)
		return out
	}
	if a.Coverage != nil {
		out.searched = a.Coverage.Searched
		out.total = a.Coverage.Total
		out.partial = a.Outcome == model.Answered && out.searched < out.total
	}
	r.checkRows(a, &out)
	return out
}

// checkRows checks that all rows belong to this query and to the answer's snapshot.
func (r request) checkRows(a answer, out *result) {
	var rows []row
	if len(a.Results) > 0 {
		if err := json.Unmarshal(a.Results, &rows); err != nil {
			out.foreign = true
			return
		}
	}
	for _, got := range rows {
		out.foreign = out.foreign || !bytes.Equal(got.Query, r.query)
		out.mixed = out.mixed || got.Version != a.Snapshot
	}
}

// execution returns the identifier of the execution in an order's reply, empty if there
// is none.
func execution(a answer) string {
	var reply struct {
		Execution string `json:"execution"`
	}
	if len(a.Results) == 0 || json.Unmarshal(a.Results, &reply) != nil {
		return ""
	}
	return reply.Execution
}

package demo_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/demo"
	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
)

// answer is a response body of the callers' API.
type answer struct {
	Outcome  model.Outcome   `json:"outcome"`
	Snapshot model.Version   `json:"snapshot"`
	Coverage *model.Coverage `json:"coverage"`
	Results  json.RawMessage `json:"results"`
	Error    *model.Failure  `json:"error"`
}

// TestSearchAndOrderEndToEnd runs the demo over real sockets. A search through any
// node must cover all counter services, and an order that is sent to every node at
// once must run only once.
func TestSearchAndOrderEndToEnd(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := demo.Start(context.Background(), demo.Options{
		Deployment: withLongTimeouts(deployment.Demo()), Nodes: 4, BodyLimit: "1M", Log: log, Seed: 1,
		Tune: func(s *reducer.Settings) { s.Entry.TTL = 100 * time.Millisecond },
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, address := range d.CallerAddresses() {
		found := post(t, "http://"+address+"/v1/search", "", `{"services":["counter-*"],"query":{"text":"verse"}}`)
		checkSearch(t, found)
	}
	checkOrderOnce(t, d)
	for _, failure := range d.Stop() {
		t.Errorf("node ended with %v", failure)
	}
}

// withLongTimeouts sets the deployment's request timeouts so high that the test's
// result does not depend on the load of the machine.
func withLongTimeouts(d deployment.Deployment) deployment.Deployment {
	for i := range d.Groups {
		d.Groups[i].Policy.AnswerBy = 0
		d.Groups[i].Policy.Deadline = time.Minute
		d.Groups[i].Policy.QueueWait = time.Minute
	}
	return d
}

// checkSearch checks that a search covers all ten services from one snapshot.
func checkSearch(t *testing.T, found answer) {
	t.Helper()
	var rows []struct {
		Query   json.RawMessage `json:"query"`
		Version model.Version   `json:"version"`
	}
	if err := json.Unmarshal(found.Results, &rows); err != nil {
		t.Fatalf("results %s: %v", found.Results, err)
	}
	if found.Outcome != model.Answered || found.Coverage == nil || found.Coverage.Searched != 10 || len(rows) != 10 {
		t.Fatalf("answer %+v with %d rows", found, len(rows))
	}
	for _, row := range rows {
		if row.Version != found.Snapshot || string(row.Query) != `{"text":"verse"}` {
			t.Errorf("row of version %d for query %s in an answer of snapshot %d", row.Version, row.Query, found.Snapshot)
		}
	}
}

// checkOrderOnce sends one order to all nodes and checks that it ran once.
func checkOrderOnce(t *testing.T, d *demo.Demo) {
	t.Helper()
	var entry struct {
		Session string `json:"session"`
	}
	response, err := http.Get("http://" + d.CallerAddresses()[0] + "/v1/entry?service=print-room")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&entry); err != nil {
		t.Fatal(err)
	}
	replies := make(chan answer)
	for _, address := range d.CallerAddresses() {
		go func() {
			replies <- post(t, "http://"+address+"/v1/services/print-room/orders", entry.Session+".1", `{"card":"condolence"}`)
		}()
	}
	first := <-replies
	for range len(d.CallerAddresses()) - 1 {
		if next := <-replies; string(next.Results) != string(first.Results) || next.Outcome != model.Answered {
			t.Errorf("answers %s (%s) and %s (%s, %v) to one order", first.Results, first.Outcome, next.Results, next.Outcome, next.Error)
		}
	}
	runs := 0
	for _, u := range d.StandIns.Upstreams {
		runs += len(u.Runs())
	}
	if runs != 1 {
		t.Errorf("the order ran %d times", runs)
	}
}

// post sends a request and decodes the response.
func post(t *testing.T, url, id, body string) answer {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Error(err)
		return answer{}
	}
	request.Header.Set("Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return answer{}
	}
	defer response.Body.Close()
	var decoded answer
	if err := json.NewDecoder(response.Body).Decode(&decoded); err != nil {
		t.Error(err)
	}
	return decoded
}

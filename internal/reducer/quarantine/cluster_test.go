package quarantine_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/experiment/lab"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
)

// search sends a search with the given content to one node and returns the answer.
func search(t *testing.T, c *lab.Cluster, host model.HostID, content []byte) model.Answer {
	t.Helper()
	var answer *model.Answer
	c.Search(host, event.Search{Services: []string{"counter-1"}, Query: content}, func(a model.Answer) { answer = &a })
	c.RunFor(2 * time.Second)
	if answer == nil {
		t.Fatal("no answer")
	}
	return *answer
}

// TestUnblockByStatement checks that the block of a request's content after crashes,
// and its unblocking by an operator's statement, take effect on all nodes.
func TestUnblockByStatement(t *testing.T) {
	c, err := lab.Start(lab.Spec{
		Seed: 1, Hosts: 3, Services: 1, Replicas: 3, Slots: 2, MaxConnections: 25,
		Policy: "deadline 500ms coverage at least 100% repeat yes",
	})
	if err != nil {
		t.Fatal(err)
	}
	crash := []byte(`"crash"`)
	for _, u := range c.Upstreams() {
		u.Crashes = func(body []byte) bool { return bytes.Equal(body, crash) }
	}
	for _, host := range c.Hosts()[:2] {
		search(t, c, host, crash)
	}
	for _, host := range c.Hosts() {
		answer := search(t, c, host, crash)
		if answer.Outcome != model.NotRun || answer.Failure.Code != model.CodeQuarantined {
			t.Errorf("%s: got %s %v", host, answer.Outcome, answer.Failure)
		}
	}
	for _, u := range c.Upstreams() {
		u.Crashes = nil
	}
	text := "pardon counter-1 fingerprint " + quarantine.Fingerprint("counter-1", crash).String()
	var result effect.StatementResult
	c.Statement(c.Hosts()[0], event.Statement{Text: text}, func(r effect.StatementResult) { result = r })
	c.RunFor(2 * time.Second)
	if result.Outcome != effect.Accepted {
		t.Fatalf("the pardon statement was not accepted: %+v", result)
	}
	for _, host := range c.Hosts() {
		if answer := search(t, c, host, crash); answer.Outcome != model.Answered {
			t.Errorf("%s: after the pardon statement: %s %v", host, answer.Outcome, answer.Failure)
		}
	}
}

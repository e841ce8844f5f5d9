package query

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

func TestSearchReturnsCompleteAnswer(t *testing.T) {
	f := newServiceFixture(t, searchPolicy(), "counter-1", "counter-2", "other")
	f.search(1, "counter-*")
	sent := f.dispatches()
	if len(sent) != 2 {
		t.Fatalf("got %d dispatches, want one per shard", len(sent))
	}
	for _, d := range sent {
		f.result(peerHost, answeredResult(d))
	}
	if len(f.replies) != 1 {
		t.Fatalf("got %d replies", len(f.replies))
	}
	answer := f.replies[0].Answer
	if answer.Outcome != model.Answered || answer.Snapshot != 1 || !answer.Coverage.Complete() || len(answer.Results) != 2 {
		t.Fatalf("got %+v", answer)
	}
	if f.state.InFlight() != 0 || len(f.state.attempts) != 0 {
		t.Fatal("requests or attempts are still open")
	}
}

func TestSearchRefusals(t *testing.T) {
	f := newServiceFixture(t, searchPolicy(), "counter-1")
	tests := []struct {
		service string
		code    model.Code
	}{
		{"nothing-*", model.CodeUnknownService},
		{"nothing", model.CodeUnknownService},
		{"[", model.CodeBadRequest},
	}
	for i, test := range tests {
		f.search(model.CallID(i+1), test.service)
		answer := f.replies[i].Answer
		if answer.Outcome != model.NotRun || answer.Failure.Code != test.code {
			t.Errorf("%s: got %+v", test.service, answer)
		}
	}
}

func TestSearchBeforeAnyReport(t *testing.T) {
	f := newFixture(&model.Config{Services: []model.Service{{Name: "s", Policy: searchPolicy()}}})
	f.search(1, "s")
	answer := f.replies[0].Answer
	if answer.Outcome != model.NotRun || answer.Failure.Code != model.CodeUnavailable || answer.Coverage.Searched != 0 {
		t.Fatalf("got %+v", answer)
	}
}

func TestOrderOutcomes(t *testing.T) {
	policy := model.DefaultPolicy()
	tests := []struct {
		name    string
		status  message.DispatchStatus
		outcome model.Outcome
		sent    int
	}{
		{"answered", message.StatusAnswered, model.Answered, 1},
		{"lost", message.StatusLost, model.Unknown, 1},
		{"failed", message.StatusFailed, model.Unknown, 1},
		{"refused", message.StatusRefused, model.NotRun, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newServiceFixture(t, policy, "print-room")
			f.step(func(ctx *step.Context) { f.state.RunOrder(ctx, Order{Service: "print-room", Body: []byte("x")}) })
			for i := 0; i < len(f.dispatches()); i++ {
				d := f.dispatches()[i]
				if test.status == message.StatusAnswered {
					f.result(peerHost, answeredResult(d))
				} else {
					f.result(peerHost, resultWithStatus(d, test.status))
				}
			}
			if len(f.sink.answers) != 1 || f.sink.answers[0].Outcome != test.outcome {
				t.Fatalf("got %+v", f.sink.answers)
			}
			if got := len(f.dispatches()); got != test.sent {
				t.Fatalf("sent %d times, want %d", got, test.sent)
			}
		})
	}
}

func TestOrderAtDeadlineIsUnknown(t *testing.T) {
	f := newServiceFixture(t, model.DefaultPolicy(), "print-room")
	f.step(func(ctx *step.Context) { f.state.RunOrder(ctx, Order{Service: "print-room"}) })
	f.advance(2 * time.Second)
	if len(f.sink.answers) != 1 || f.sink.answers[0].Outcome != model.Unknown {
		t.Fatalf("got %+v", f.sink.answers)
	}
	if len(f.cancels()) != 1 {
		t.Fatal("the attempt was not cancelled")
	}
}

package query

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

func TestSearchAnswersWhole(t *testing.T) {
	b := benchWith(t, searchPolicy(), "counter-1", "counter-2", "other")
	b.search(1, "counter-*")
	sent := b.dispatches()
	if len(sent) != 2 {
		t.Fatalf("got %d dispatches, want one a shard", len(sent))
	}
	for _, d := range sent {
		b.result(peerHost, answered(d))
	}
	if len(b.replies) != 1 {
		t.Fatalf("got %d replies", len(b.replies))
	}
	answer := b.replies[0].Answer
	if answer.Outcome != model.Answered || answer.Snapshot != 1 || !answer.Coverage.Complete() || len(answer.Results) != 2 {
		t.Fatalf("got %+v", answer)
	}
	if b.state.InFlight() != 0 || len(b.state.attempts) != 0 {
		t.Fatal("state is left behind")
	}
}

func TestSearchRefusals(t *testing.T) {
	b := benchWith(t, searchPolicy(), "counter-1")
	tests := []struct {
		service string
		code    model.Code
	}{
		{"nothing-*", model.CodeUnknownService},
		{"nothing", model.CodeUnknownService},
		{"[", model.CodeBadRequest},
	}
	for i, test := range tests {
		b.search(model.CallID(i+1), test.service)
		answer := b.replies[i].Answer
		if answer.Outcome != model.NotRun || answer.Failure.Code != test.code {
			t.Errorf("%s: got %+v", test.service, answer)
		}
	}
}

func TestSearchBeforeAnyReport(t *testing.T) {
	b := newBench(&model.Config{Services: []model.Service{{Name: "s", Policy: searchPolicy()}}})
	b.search(1, "s")
	answer := b.replies[0].Answer
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
			b := benchWith(t, policy, "print-room")
			b.step(func(ctx *step.Context) { b.state.RunOrder(ctx, Order{Service: "print-room", Body: []byte("x")}) })
			for i := 0; i < len(b.dispatches()); i++ {
				d := b.dispatches()[i]
				if test.status == message.StatusAnswered {
					b.result(peerHost, answered(d))
				} else {
					b.result(peerHost, ended(d, test.status))
				}
			}
			if len(b.sink.answers) != 1 || b.sink.answers[0].Outcome != test.outcome {
				t.Fatalf("got %+v", b.sink.answers)
			}
			if got := len(b.dispatches()); got != test.sent {
				t.Fatalf("sent %d times, want %d", got, test.sent)
			}
		})
	}
}

func TestOrderAtDeadlineIsUnknown(t *testing.T) {
	b := benchWith(t, model.DefaultPolicy(), "print-room")
	b.step(func(ctx *step.Context) { b.state.RunOrder(ctx, Order{Service: "print-room"}) })
	b.advance(2 * time.Second)
	if len(b.sink.answers) != 1 || b.sink.answers[0].Outcome != model.Unknown {
		t.Fatalf("got %+v", b.sink.answers)
	}
	if len(b.cancels()) != 1 {
		t.Fatal("the attempt was not cancelled")
	}
}

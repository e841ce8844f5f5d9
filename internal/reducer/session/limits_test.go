package session

import (
	"encoding/json"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// orderAcknowledging handles an order that acknowledges earlier outcomes.
func (node *testNode) orderAcknowledging(t *testing.T, call model.CallID, id model.RequestID, acknowledged uint64) model.Answer {
	t.Helper()
	ctx := node.step()
	node.HandleOrder(ctx, event.Order{
		Call: call, RequestID: id, Service: "print-room", Body: []byte(`1`), Acknowledged: acknowledged,
	})
	return replies(t, ctx.Effects)[call]
}

func TestAcknowledgedOrderNeverRunsAgain(t *testing.T) {
	node := newTestNode()
	node.submit(1, requestID(1, 1), `1`)
	node.completeLast(successAnswer)
	node.orderAcknowledging(t, 2, requestID(1, 2), 1)
	node.completeLast(successAnswer)
	got := replies(t, node.submit(3, requestID(1, 1), `1`))
	if got[3].Outcome != model.Unknown || got[3].Failure.Code != model.CodeOutcomeLost {
		t.Fatalf("got %v", got[3])
	}
	if len(node.runner.started) != 2 {
		t.Fatalf("started %d orders", len(node.runner.started))
	}
}

func TestRunningOrderIsNotAcknowledged(t *testing.T) {
	node := newTestNode()
	node.submit(1, requestID(1, 1), `1`)
	node.orderAcknowledging(t, 2, requestID(1, 2), 1)
	ctx := node.step()
	node.OrderDone(ctx, node.runner.started[0], successAnswer)
	if got := replies(t, ctx.Effects); got[1].Outcome != model.Answered {
		t.Fatalf("the waiting call must get its outcome, got %v", got)
	}
	if got := replies(t, node.submit(3, requestID(1, 1), `1`)); got[3].Outcome != model.Answered {
		t.Fatalf("got %v", got[3])
	}
}

func TestExpiredSessionNeverRuns(t *testing.T) {
	node := newTestNode()
	node.submit(1, requestID(1, 1), `1`)
	node.completeLast(successAnswer)
	node.advance(DefaultAcceptFor + 2*time.Second)
	got := replies(t, node.submit(2, requestID(1, 2), `1`))
	if got[2].Outcome != model.NotRun || got[2].Failure.Code != model.CodeSessionUnknown {
		t.Fatalf("an aged session must accept no new order, got %v", got[2])
	}
	if got := replies(t, node.submit(3, requestID(1, 1), `1`)); got[3].Outcome != model.Answered {
		t.Fatalf("an aged session must keep its outcomes, got %v", got[3])
	}
	node.advance(DefaultKeepFor - DefaultAcceptFor)
	if node.sessions != 0 || node.bytes != 0 {
		t.Fatalf("%d sessions of %d bytes are left", node.sessions, node.bytes)
	}
	got = replies(t, node.submit(4, requestID(1, 1), `1`))
	if got[4].Outcome != model.Unknown {
		t.Fatalf("an expired outcome must be unknown, got %v", got[4])
	}
	if len(node.runner.started) != 1 {
		t.Fatalf("started %d orders", len(node.runner.started))
	}
}

func TestSessionThatWasNeverOpenedIsRefused(t *testing.T) {
	node := newTestNode()
	got := replies(t, node.submit(1, requestID(openedSessions+1, 1), `1`))
	if got[1].Outcome != model.NotRun || got[1].Failure.Code != model.CodeSessionUnknown {
		t.Fatalf("got %v", got[1])
	}
}

func TestRefusalIsFinal(t *testing.T) {
	node := newTestNode()
	node.submit(1, requestID(1, 1), `1`)
	refusal := refusedAnswer(requestID(1, 1), model.Failf(model.CodeOverloaded, "the queue is full"))
	node.completeLast(refusal)
	got := replies(t, node.submit(2, requestID(1, 1), `1`))
	if got[2].Outcome != model.NotRun || got[2].Failure.Code != model.CodeOverloaded {
		t.Fatalf("got %v", got[2])
	}
	if len(node.runner.started) != 1 {
		t.Fatal("an order that was refused as not run started later")
	}
}

func TestFullNodeClosesUnrecordedSessions(t *testing.T) {
	node := newTestNode()
	settings := DefaultSettings()
	settings.MaxSessions = 1
	node.Configure(settings)
	node.submit(1, requestID(1, 1), `1`)
	got := replies(t, node.submit(2, requestID(2, 1), `1`))
	if got[2].Outcome != model.NotRun || got[2].Failure.Code != model.CodeOverloaded || got[2].RetryAfter == 0 {
		t.Fatalf("got %v", got[2])
	}
	settings.MaxSessions = 10
	node.Configure(settings)
	if got := replies(t, node.submit(3, requestID(2, 1), `1`)); got[3].Outcome != model.NotRun {
		t.Fatalf("a refused order must not run once there is room again, got %v", got[3])
	}
	if len(node.runner.started) != 1 {
		t.Fatalf("started %d orders", len(node.runner.started))
	}
}

func TestOldestOutcomeIsEvicted(t *testing.T) {
	node := newTestNode()
	settings := DefaultSettings()
	settings.MaxOrders = 2
	node.Configure(settings)
	for sequence := uint64(1); sequence <= 3; sequence++ {
		node.submit(model.CallID(sequence), requestID(1, sequence), `1`)
		node.completeLast(successAnswer)
	}
	if got := replies(t, node.submit(4, requestID(1, 1), `1`)); got[4].Outcome != model.Unknown {
		t.Fatalf("got %v", got[4])
	}
	if got := replies(t, node.submit(5, requestID(1, 3), `1`)); got[5].Outcome != model.Answered {
		t.Fatalf("got %v", got[5])
	}
}

func TestUnfinishedOrdersAreNotDropped(t *testing.T) {
	node := newTestNode()
	settings := DefaultSettings()
	settings.MaxOrders = 1
	node.Configure(settings)
	node.submit(1, requestID(1, 1), `1`)
	if got := replies(t, node.submit(2, requestID(1, 2), `1`)); got[2].Failure.Code != model.CodeOverloaded {
		t.Fatalf("got %v", got[2])
	}
	node.completeLast(successAnswer)
	if got := replies(t, node.submit(3, requestID(1, 2), `1`)); got[3].Outcome != model.NotRun {
		t.Fatalf("the refusal must be final, got %v", got[3])
	}
}

func TestRepliesAreEvictedBeforeOrdersAreRefused(t *testing.T) {
	node := newTestNode()
	settings := DefaultSettings()
	settings.MaxBytes = 4 * orderBytes
	node.Configure(settings)
	large := successAnswer
	large.OrderReply = json.RawMessage(`"` + strings.Repeat("x", settings.MaxBytes) + `"`)
	node.submit(1, requestID(1, 1), `1`)
	node.completeLast(large)
	node.submit(2, requestID(1, 2), `1`)
	node.completeLast(successAnswer)
	if len(node.runner.started) != 2 {
		t.Fatalf("started %d orders", len(node.runner.started))
	}
	got := replies(t, node.submit(3, requestID(1, 1), `1`))
	if got[3].Outcome != model.Unknown || got[3].RequestID != requestID(1, 1) {
		t.Fatalf("the outcome of an evicted reply must be unknown, got %v", got[3])
	}
}

// BenchmarkSessionBytes measures the memory of a session with one recorded outcome
// and reports it beside the estimate that the limits use.
func BenchmarkSessionBytes(b *testing.B) {
	const sessions = 20_000
	for range b.N {
		node := newTestNode()
		node.issuer = nil
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		ctx := node.step()
		h := node.home(ctx, selfOrigin(ctx))
		h.issued = model.SessionNumberAt(startTime) + sessions
		for n := range uint64(sessions) {
			ctx := node.step()
			node.HandleOrder(ctx, event.Order{Call: 1, RequestID: requestID(n+1, 1), Service: "print-room", Body: []byte(`1`)})
			node.OrderDone(ctx, node.runner.started[0], successAnswer)
			node.runner.started = node.runner.started[:0]
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/sessions, "heap-bytes/session")
		b.ReportMetric(float64(node.bytes)/sessions, "estimated-bytes/session")
		runtime.KeepAlive(node)
	}
}

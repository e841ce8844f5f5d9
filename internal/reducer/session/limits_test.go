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

// orderAcknowledging passes an order that acknowledges outcomes.
func (b *bench) orderAcknowledging(t *testing.T, call model.CallID, id model.RequestID, acknowledged uint64) model.Answer {
	t.Helper()
	ctx := b.step()
	b.HandleOrder(ctx, event.Order{
		Call: call, RequestID: id, Service: "print-room", Body: []byte(`1`), Acknowledged: acknowledged,
	})
	return replies(t, ctx.Effects)[call]
}

func TestAcknowledgedOrderNeverRunsAgain(t *testing.T) {
	b := newBench()
	b.order(1, requestID(1, 1), `1`)
	b.done(printed)
	b.orderAcknowledging(t, 2, requestID(1, 2), 1)
	b.done(printed)
	got := replies(t, b.order(3, requestID(1, 1), `1`))
	if got[3].Outcome != model.Unknown || got[3].Failure.Code != model.CodeOutcomeLost {
		t.Fatalf("got %v", got[3])
	}
	if len(b.runner.started) != 2 {
		t.Fatalf("started %d orders", len(b.runner.started))
	}
}

func TestRunningOrderIsNotAcknowledged(t *testing.T) {
	b := newBench()
	b.order(1, requestID(1, 1), `1`)
	b.orderAcknowledging(t, 2, requestID(1, 2), 1)
	ctx := b.step()
	b.OrderDone(ctx, b.runner.started[0], printed)
	if got := replies(t, ctx.Effects); got[1].Outcome != model.Answered {
		t.Fatalf("the waiting call must get its outcome, got %v", got)
	}
	if got := replies(t, b.order(3, requestID(1, 1), `1`)); got[3].Outcome != model.Answered {
		t.Fatalf("got %v", got[3])
	}
}

func TestExpiredSessionNeverRuns(t *testing.T) {
	b := newBench()
	b.order(1, requestID(1, 1), `1`)
	b.done(printed)
	b.wait(DefaultAcceptFor + 2*time.Second)
	got := replies(t, b.order(2, requestID(1, 2), `1`))
	if got[2].Outcome != model.NotRun || got[2].Failure.Code != model.CodeSessionUnknown {
		t.Fatalf("an aged session takes no new order, got %v", got[2])
	}
	if got := replies(t, b.order(3, requestID(1, 1), `1`)); got[3].Outcome != model.Answered {
		t.Fatalf("an aged session keeps its outcomes, got %v", got[3])
	}
	b.wait(DefaultKeepFor - DefaultAcceptFor)
	if b.sessions != 0 || b.bytes != 0 {
		t.Fatalf("%d sessions of %d bytes are left", b.sessions, b.bytes)
	}
	got = replies(t, b.order(4, requestID(1, 1), `1`))
	if got[4].Outcome != model.Unknown {
		t.Fatalf("an expired outcome is unknown, got %v", got[4])
	}
	if len(b.runner.started) != 1 {
		t.Fatalf("started %d orders", len(b.runner.started))
	}
}

func TestSessionThatWasNeverOpenedIsRefused(t *testing.T) {
	b := newBench()
	got := replies(t, b.order(1, requestID(opened+1, 1), `1`))
	if got[1].Outcome != model.NotRun || got[1].Failure.Code != model.CodeSessionUnknown {
		t.Fatalf("got %v", got[1])
	}
}

func TestRefusalIsFinal(t *testing.T) {
	b := newBench()
	b.order(1, requestID(1, 1), `1`)
	refusal := refused(requestID(1, 1), model.Failf(model.CodeOverloaded, "the queue is full"))
	b.done(refusal)
	got := replies(t, b.order(2, requestID(1, 1), `1`))
	if got[2].Outcome != model.NotRun || got[2].Failure.Code != model.CodeOverloaded {
		t.Fatalf("got %v", got[2])
	}
	if len(b.runner.started) != 1 {
		t.Fatal("an order that was refused as not run started later")
	}
}

func TestFullNodeClosesSessionsWithoutRecords(t *testing.T) {
	b := newBench()
	settings := DefaultSettings()
	settings.MaxSessions = 1
	b.Configure(settings)
	b.order(1, requestID(1, 1), `1`)
	got := replies(t, b.order(2, requestID(2, 1), `1`))
	if got[2].Outcome != model.NotRun || got[2].Failure.Code != model.CodeOverloaded || got[2].RetryAfter == 0 {
		t.Fatalf("got %v", got[2])
	}
	settings.MaxSessions = 10
	b.Configure(settings)
	if got := replies(t, b.order(3, requestID(2, 1), `1`)); got[3].Outcome != model.NotRun {
		t.Fatalf("a refused order must not run when there is room again, got %v", got[3])
	}
	if len(b.runner.started) != 1 {
		t.Fatalf("started %d orders", len(b.runner.started))
	}
}

func TestOldestOutcomeMakesRoom(t *testing.T) {
	b := newBench()
	settings := DefaultSettings()
	settings.MaxOrders = 2
	b.Configure(settings)
	for sequence := uint64(1); sequence <= 3; sequence++ {
		b.order(model.CallID(sequence), requestID(1, sequence), `1`)
		b.done(printed)
	}
	if got := replies(t, b.order(4, requestID(1, 1), `1`)); got[4].Outcome != model.Unknown {
		t.Fatalf("got %v", got[4])
	}
	if got := replies(t, b.order(5, requestID(1, 3), `1`)); got[5].Outcome != model.Answered {
		t.Fatalf("got %v", got[5])
	}
}

func TestUnfinishedOrdersAreNotDropped(t *testing.T) {
	b := newBench()
	settings := DefaultSettings()
	settings.MaxOrders = 1
	b.Configure(settings)
	b.order(1, requestID(1, 1), `1`)
	if got := replies(t, b.order(2, requestID(1, 2), `1`)); got[2].Failure.Code != model.CodeOverloaded {
		t.Fatalf("got %v", got[2])
	}
	b.done(printed)
	if got := replies(t, b.order(3, requestID(1, 2), `1`)); got[3].Outcome != model.NotRun {
		t.Fatalf("the refusal must be final, got %v", got[3])
	}
}

func TestRepliesMakeRoomBeforeOrdersAreRefused(t *testing.T) {
	b := newBench()
	settings := DefaultSettings()
	settings.MaxBytes = 4 * orderBytes
	b.Configure(settings)
	large := printed
	large.OrderReply = json.RawMessage(`"` + strings.Repeat("x", settings.MaxBytes) + `"`)
	b.order(1, requestID(1, 1), `1`)
	b.done(large)
	b.order(2, requestID(1, 2), `1`)
	b.done(printed)
	if len(b.runner.started) != 2 {
		t.Fatalf("started %d orders", len(b.runner.started))
	}
	got := replies(t, b.order(3, requestID(1, 1), `1`))
	if got[3].Outcome != model.Unknown || got[3].RequestID != requestID(1, 1) {
		t.Fatalf("the dropped reply is unknown, got %v", got[3])
	}
}

// BenchmarkSessionBytes measures the memory of a session with one kept outcome,
// beside the estimate that the limits use.
func BenchmarkSessionBytes(b *testing.B) {
	const sessions = 20_000
	for range b.N {
		bench := newBench()
		bench.issuer = nil
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		ctx := bench.step()
		h := bench.home(ctx, selfOf(ctx))
		h.issued = model.SessionNumberAt(start) + sessions
		for n := range uint64(sessions) {
			ctx := bench.step()
			bench.HandleOrder(ctx, event.Order{Call: 1, RequestID: requestID(n+1, 1), Service: "print-room", Body: []byte(`1`)})
			bench.OrderDone(ctx, bench.runner.started[0], printed)
			bench.runner.started = bench.runner.started[:0]
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/sessions, "heap-bytes/session")
		b.ReportMetric(float64(bench.bytes)/sessions, "estimated-bytes/session")
		runtime.KeepAlive(bench)
	}
}

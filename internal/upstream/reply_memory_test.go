package upstream

import (
	"strings"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// largeBodyBytes is the size of the part of a body that an upstream of startLargeReplies
// sends.
const largeBodyBytes = 3 << 20

// startLargeReplies returns the address of an upstream whose replies never end: after
// largeBodyBytes it sends nothing more and keeps the connection open.
func startLargeReplies(t *testing.T) string {
	t.Helper()
	return startUnendedReplies(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", largeBodyBytes))
}

// TestManyLargeReplies guards against many upstreams in trouble that send bytes without end
// at the same time: each reply stays below the limit of one connection, but together they
// would take the memory of a small host. Connections must be closed until the rest fits.
func TestManyLargeReplies(t *testing.T) {
	const connections = 20
	const fitting = maxLargeReplyBytes / (largeBodyBytes - smallReplyBytes)
	events := make(chan event.Event, 4*connections)
	pool := NewPool(nil, func(e event.Event) { events <- e })
	address := startLargeReplies(t)
	for id := range model.ConnectionID(connections) {
		pool.Open(effect.OpenConnection{Connection: id + 1, Address: address})
	}
	for closed := 0; closed < connections-fitting; {
		switch e := (<-events).(type) {
		case event.ConnectionOpened:
			pool.Send(effect.SendUpstream{
				Connection: e.Connection, Attempt: model.AttemptID{Host: "a", Number: uint64(e.Connection)},
				Kind: message.KindOrder, Body: []byte(`{}`),
			})
		case event.ConnectionClosed:
			if closed++; !e.Written || !strings.Contains(e.Reason, (&ReplyMemoryError{Limit: maxLargeReplyBytes}).Error()) {
				t.Errorf("got %+v", e)
			}
		}
		if used := pool.memory.used.Load(); used > maxLargeReplyBytes+connections*replyBufferBytes {
			t.Fatalf("%d bytes of replies are being received", used)
		}
	}
	pool.CloseAll()
	if used := pool.memory.used.Load(); used != 0 {
		t.Errorf("%d bytes stay reserved", used)
	}
}

package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// serveReplies accepts one connection and answers each request with one reply for each
// attempt identifier that attempts returns. It returns the address to connect to.
func serveReplies(t *testing.T, attempts func(requested string) []string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		defer socket.Close()
		reader := bufio.NewReader(socket)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			for _, attempt := range attempts(request.Header.Get(AttemptHeader)) {
				const body = `{"execution":"e1"}`
				fmt.Fprintf(socket, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", AttemptHeader, attempt, len(body), body)
			}
		}
	}()
	return listener.Addr().String()
}

// runOrder opens a connection, sends one order and returns the events that follow
// ConnectionOpened, up to and including ConnectionClosed.
func runOrder(t *testing.T, address string, attempt model.AttemptID) []event.Event {
	t.Helper()
	events := make(chan event.Event, 16)
	pool := NewPool(nil, func(e event.Event) { events <- e })
	defer pool.CloseAll()
	pool.Open(effect.OpenConnection{Connection: 1, Address: address})
	if _, opened := (<-events).(event.ConnectionOpened); !opened {
		t.Fatal("the connection was not opened")
	}
	pool.Send(effect.SendUpstream{Connection: 1, Attempt: attempt, Kind: message.KindOrder, Body: []byte(`{}`)})
	var seen []event.Event
	for e := range events {
		seen = append(seen, e)
		if _, closed := e.(event.ConnectionClosed); closed {
			break
		}
	}
	return seen
}

// TestMismatchedReply checks that a reply with another attempt's identifier is not
// delivered, and that the connection is closed and reported with the pending attempt.
func TestMismatchedReply(t *testing.T) {
	attempt := model.AttemptID{Host: "a", Incarnation: 1, Number: 7}
	address := serveReplies(t, func(string) []string { return []string{"a-1-8"} })
	seen := runOrder(t, address, attempt)
	closed, ok := seen[0].(event.ConnectionClosed)
	if !ok || !closed.Mismatch || closed.Attempt != attempt || !closed.Written {
		t.Fatalf("got %+v", seen)
	}
}

// TestDuplicatedReply checks that a reply that arrives twice is delivered once, and that
// the second copy closes the connection, which is reported without a pending attempt.
func TestDuplicatedReply(t *testing.T) {
	attempt := model.AttemptID{Host: "a", Incarnation: 1, Number: 7}
	address := serveReplies(t, func(requested string) []string { return []string{requested, requested} })
	seen := runOrder(t, address, attempt)
	if len(seen) != 2 {
		t.Fatalf("got %+v", seen)
	}
	reply, ok := seen[0].(event.UpstreamReply)
	if !ok || reply.Attempt != attempt || reply.Status != event.UpstreamAnswered {
		t.Errorf("first event: got %+v", seen[0])
	}
	closed, ok := seen[1].(event.ConnectionClosed)
	if !ok || !closed.Mismatch || !closed.Attempt.IsZero() {
		t.Errorf("second event: got %+v", seen[1])
	}
}

// TestLateCopyTakenForStatus guards against a late copy of an attempt's reply that is taken for the
// reply to a status read: the upstream would count as one that holds nothing.
func TestLateCopyTakenForStatus(t *testing.T) {
	for _, request := range []struct {
		name string
		send func(pool *Pool)
	}{
		{"status read", func(pool *Pool) { pool.ReadStatus(effect.ReadUpstreamStatus{Connection: 1}) }},
		{"cancellation", func(pool *Pool) { pool.Cancel(effect.CancelUpstream{Connection: 1}) }},
	} {
		t.Run(request.name, func(t *testing.T) {
			address := serveReplies(t, func(string) []string { return []string{"a-1-7"} })
			events := make(chan event.Event, 16)
			pool := NewPool(nil, func(e event.Event) { events <- e })
			defer pool.CloseAll()
			pool.Open(effect.OpenConnection{Connection: 1, Address: address})
			if _, opened := (<-events).(event.ConnectionOpened); !opened {
				t.Fatal("the connection was not opened")
			}
			request.send(pool)
			if closed, ended := (<-events).(event.ConnectionClosed); !ended || !closed.Mismatch {
				t.Errorf("got %+v", closed)
			}
		})
	}
}

package upstream

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// cut is when a test server ends a connection.
type cut int

const (
	// cutBefore ends the connection before a request can be written.
	cutBefore cut = iota
	// cutDuring ends it after the first byte of the request.
	cutDuring
	// cutAfter ends it after the whole request.
	cutAfter
)

// server ends its connections at one point and counts what reaches it.
type server struct {
	listener    net.Listener
	cut         cut
	connections atomic.Int64
	requests    atomic.Int64
}

func newServer(t *testing.T, at cut) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener, cut: at}
	t.Cleanup(func() { listener.Close() })
	go s.serve()
	return s
}

// serve takes connections until the listener closes.
func (s *server) serve() {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.handle(socket)
	}
}

// handle ends one connection at the server's point.
func (s *server) handle(socket net.Conn) {
	defer socket.Close()
	reader := bufio.NewReader(socket)
	switch s.cut {
	case cutBefore:
		return
	case cutDuring:
		// The error does not matter: the connection ends either way.
		_, _ = reader.ReadByte()
	case cutAfter:
		if _, err := http.ReadRequest(reader); err == nil {
			s.requests.Add(1)
		}
	}
}

// sendOnce opens a connection, sends one order and returns what is reported of
// the connection after it was opened.
func sendOnce(t *testing.T, s *server) event.ConnectionClosed {
	t.Helper()
	events := make(chan event.Event, 16)
	pool := NewPool(nil, func(e event.Event) { events <- e })
	defer pool.CloseAll()
	pool.Open(effect.OpenConnection{Connection: 1, Address: s.listener.Addr().String()})
	if _, opened := (<-events).(event.ConnectionOpened); !opened {
		t.Fatal("the connection was not opened")
	}
	if s.cut == cutBefore {
		// The end is reported without an attempt: what the reducer has given to the
		// connection meanwhile was not written.
		return nextClosed(t, events)
	}
	pool.Send(effect.SendUpstream{
		Connection: 1,
		Attempt:    model.AttemptID{Host: "a", Number: 1},
		Kind:       message.KindOrder,
		Body:       []byte(`"card"`),
	})
	return nextClosed(t, events)
}

// nextClosed returns the next event, which must be the end of the connection.
func nextClosed(t *testing.T, events <-chan event.Event) event.ConnectionClosed {
	t.Helper()
	e := <-events
	closed, ok := e.(event.ConnectionClosed)
	if !ok {
		t.Fatalf("got %+v", e)
	}
	return closed
}

// TestPointOfNoReturn checks what is said of an order whose connection is cut
// before, while and after it is written: only the first is certain not to have
// run. Nothing is sent again.
func TestPointOfNoReturn(t *testing.T) {
	tests := []struct {
		name    string
		cut     cut
		written bool
	}{
		{"before", cutBefore, false},
		{"during", cutDuring, true},
		{"after", cutAfter, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newServer(t, test.cut)
			closed := sendOnce(t, s)
			if closed.Written != test.written || closed.Attempt.IsZero() == test.written {
				t.Errorf("got %+v", closed)
			}
			if n := s.connections.Load(); n != 1 {
				t.Errorf("%d connections were opened for one order", n)
			}
			if n := s.requests.Load(); n > 1 {
				t.Errorf("the order reached the upstream %d times", n)
			}
		})
	}
}

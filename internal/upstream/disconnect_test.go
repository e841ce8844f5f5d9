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

// cutPoint is the point at which a test server closes a connection.
type cutPoint int

const (
	// cutBefore closes the connection before a request is written.
	cutBefore cutPoint = iota
	// cutDuring closes it after the first byte of the request.
	cutDuring
	// cutAfter closes it after the whole request.
	cutAfter
)

// cutServer closes its connections at a given point. It counts the connections and the
// complete requests that it receives.
type cutServer struct {
	listener    net.Listener
	cut         cutPoint
	connections atomic.Int64
	requests    atomic.Int64
}

func newCutServer(t *testing.T, at cutPoint) *cutServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &cutServer{listener: listener, cut: at}
	t.Cleanup(func() { listener.Close() })
	go s.serve()
	return s
}

// serve accepts connections until the listener is closed.
func (s *cutServer) serve() {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.handle(socket)
	}
}

// handle closes one connection at the cut point.
func (s *cutServer) handle(socket net.Conn) {
	defer socket.Close()
	reader := bufio.NewReader(socket)
	switch s.cut {
	case cutBefore:
		return
	case cutDuring:
		// The error does not matter, because the connection is closed either way.
		_, _ = reader.ReadByte()
	case cutAfter:
		if _, err := http.ReadRequest(reader); err == nil {
			s.requests.Add(1)
		}
	}
}

// sendOrder opens a connection, sends one order unless the server closes the connection
// first, and returns how the connection ended.
func sendOrder(t *testing.T, s *cutServer) event.ConnectionClosed {
	t.Helper()
	events := make(chan event.Event, 16)
	pool := NewPool(nil, func(e event.Event) { events <- e })
	defer pool.CloseAll()
	pool.Open(effect.OpenConnection{Connection: 1, Address: s.listener.Addr().String()})
	if _, opened := (<-events).(event.ConnectionOpened); !opened {
		t.Fatal("the connection was not opened")
	}
	if s.cut == cutBefore {
		// The end of the connection is reported without an attempt: a request that
		// the reducer sent in the meantime was not written.
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

// nextClosed returns the next event, which must be ConnectionClosed.
func nextClosed(t *testing.T, events <-chan event.Event) event.ConnectionClosed {
	t.Helper()
	e := <-events
	closed, ok := e.(event.ConnectionClosed)
	if !ok {
		t.Fatalf("got %+v", e)
	}
	return closed
}

// TestConnectionClosedDuringWrite checks what is reported for an order whose connection is closed
// before, while or after the order is written: only in the first case is it certain that
// the order did not run. In no case is the order sent again.
func TestConnectionClosedDuringWrite(t *testing.T) {
	tests := []struct {
		name    string
		cut     cutPoint
		written bool
	}{
		{"before", cutBefore, false},
		{"during", cutDuring, true},
		{"after", cutAfter, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newCutServer(t, test.cut)
			closed := sendOrder(t, s)
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

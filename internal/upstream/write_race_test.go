package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/event"
)

// closingSocket is a socket whose Close waits until a write was made or release is closed.
type closingSocket struct {
	net.Conn
	closing, written, release chan struct{}
}

// Write implements net.Conn.
func (s *closingSocket) Write(content []byte) (int, error) {
	close(s.written)
	return len(content), nil
}

// Close implements net.Conn.
func (s *closingSocket) Close() error {
	close(s.closing)
	select {
	case <-s.written:
	case <-s.release:
	}
	return nil
}

// endingBody is the body of a request. While it is encoded, the connection ends.
type endingBody struct {
	connection *connection
	socket     *closingSocket
}

// Read implements io.Reader.
func (b *endingBody) Read([]byte) (int, error) {
	go b.connection.end(errors.New("late copy"), true)
	<-b.socket.closing
	return 0, io.EOF
}

// TestWrittenRequestReportedAsNotWritten guards against a request that counts as not written, and is
// sent again, although its bytes have reached the upstream: the connection ends between the choice
// of the request and its write, as beside a late copy of the last reply.
func TestWrittenRequestReportedAsNotWritten(t *testing.T) {
	socket := &closingSocket{closing: make(chan struct{}), written: make(chan struct{}), release: make(chan struct{})}
	events := make(chan event.Event, 1)
	c := newConnection(1, func(e event.Event) { events <- e }, socket, &replyMemory{})
	request, err := http.NewRequest(http.MethodPost, "http://upstream/", &endingBody{connection: c, socket: socket})
	if err != nil {
		t.Fatal(err)
	}
	started := c.start(&exchange{request: request})
	if !started {
		close(socket.release)
	}
	closed := (<-events).(event.ConnectionClosed)
	select {
	case <-socket.written:
		if !closed.Written {
			t.Error("the request was written, and reported as not written")
		}
	default:
		if started && !closed.Written {
			t.Error("the request is pending on a connection that has ended without it")
		}
	}
}

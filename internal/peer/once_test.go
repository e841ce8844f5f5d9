package peer

import (
	"net"
	"sync"
	"testing"

	"google.golang.org/grpc/credentials/insecure"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// recorder is a listener that keeps what it hears.
type recorder struct {
	mu       sync.Mutex
	received []model.CallID
	arrived  chan model.CallID
	lost     chan model.HostID
}

func newRecorder() *recorder {
	return &recorder{arrived: make(chan model.CallID, 64), lost: make(chan model.HostID, 64)}
}

// PeerMessage implements Listener.
func (r *recorder) PeerMessage(_ model.HostID, _ model.Incarnation, m message.Message) {
	forward, ok := m.(message.OrderForward)
	if !ok {
		// Each stream begins with a digest.
		return
	}
	r.mu.Lock()
	r.received = append(r.received, forward.Call)
	r.mu.Unlock()
	r.arrived <- forward.Call
}

// PeerLost implements Listener.
func (r *recorder) PeerLost(host model.HostID) { r.lost <- host }

// serve starts a server for host "b" on an address.
func serve(t *testing.T, address string, heard *recorder) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer("b", insecure.NewCredentials(), heard)
	go func() {
		// The error is that of the stop.
		_ = server.Serve(listener)
	}()
	return server, listener.Addr().String()
}

// TestBrokenStreamRepeatsNothing checks that a message that arrived is not sent
// again when the stream breaks: neither gRPC nor the client repeats.
func TestBrokenStreamRepeatsNothing(t *testing.T) {
	heard, sender := newRecorder(), newRecorder()
	first, address := serve(t, "127.0.0.1:0", heard)
	client := NewClient(model.Member{Host: "a", Incarnation: 1}, insecure.NewCredentials(), sender)
	defer client.Close()

	client.Send("b", address, message.OrderForward{Call: 1})
	<-heard.arrived
	first.Stop()
	<-sender.lost
	second, _ := serve(t, address, heard)
	defer second.Stop()
	client.Send("b", address, message.OrderForward{Call: 2})
	<-heard.arrived

	heard.mu.Lock()
	defer heard.mu.Unlock()
	if len(heard.received) != 2 || heard.received[0] != 1 || heard.received[1] != 2 {
		t.Fatalf("received %v", heard.received)
	}
}

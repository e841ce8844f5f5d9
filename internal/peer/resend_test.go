package peer

import (
	"net"
	"sync"
	"testing"

	"google.golang.org/grpc/credentials/insecure"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// recorder is a listener that records orders and lost peers.
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
		// The first message of each stream is a digest.
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
func serve(t *testing.T, address string, received *recorder) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer("b", insecure.NewCredentials(), received)
	go func() {
		// Serve returns when the test stops the server.
		_ = server.Serve(listener)
	}()
	return server, listener.Addr().String()
}

// TestBrokenStreamResendsNothing checks that a delivered message is not sent again
// after the stream breaks: neither gRPC nor the client resends it.
func TestBrokenStreamResendsNothing(t *testing.T) {
	receiver, sender := newRecorder(), newRecorder()
	first, address := serve(t, "127.0.0.1:0", receiver)
	client := NewClient(model.Member{Host: "a", Incarnation: 1}, insecure.NewCredentials(), sender)
	defer client.Close()

	client.Send("b", address, message.OrderForward{Call: 1})
	<-receiver.arrived
	first.Stop()
	<-sender.lost
	second, _ := serve(t, address, receiver)
	defer second.Stop()
	client.Send("b", address, message.OrderForward{Call: 2})
	<-receiver.arrived

	receiver.mu.Lock()
	defer receiver.mu.Unlock()
	if len(receiver.received) != 2 || receiver.received[0] != 1 || receiver.received[1] != 2 {
		t.Fatalf("received calls %v, want [1 2]", receiver.received)
	}
}

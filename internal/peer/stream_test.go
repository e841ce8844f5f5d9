package peer_test

import (
	"net"
	"sync"
	"testing"

	"google.golang.org/grpc/credentials/insecure"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer"
)

// recorder is a listener that records messages and lost peers.
type recorder struct {
	mu       sync.Mutex
	messages []message.Message
	lost     chan model.HostID
}

func (r *recorder) PeerMessage(_ model.HostID, _ model.Incarnation, m message.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
}

func (r *recorder) PeerLost(host model.HostID) { r.lost <- host }

// TestStream checks that a stream begins with the introduction of its node, delivers
// the queued messages once and in order even if the client is closed right away, and
// that the server reports its end.
func TestStream(t *testing.T) {
	received := &recorder{lost: make(chan model.HostID, 10)}
	server := peer.NewServer("b", insecure.NewCredentials(), received)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	self := model.Member{Host: "a", Incarnation: 3, PeerAddress: "127.0.0.1:1"}
	client := peer.NewClient(self, insecure.NewCredentials(), &recorder{lost: make(chan model.HostID, 10)})
	const sent = 1000
	for i := range sent {
		client.Send("b", listener.Addr().String(), message.LogPull{After: model.Revision(i)})
	}
	client.Close()
	if host := <-received.lost; host != "a" {
		t.Errorf("PeerLost got host %q", host)
	}
	server.Stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
	introduction, ok := received.messages[0].(message.Digest)
	if !ok || introduction.Member.PeerAddress != self.PeerAddress || introduction.Member.State != model.Starting {
		t.Errorf("the first message is %#v, want the introduction", received.messages[0])
	}
	if len(received.messages) != sent+1 {
		t.Fatalf("received %d of %d messages", len(received.messages)-1, sent)
	}
	for i, m := range received.messages[1:] {
		if pull, ok := m.(message.LogPull); !ok || pull.After != model.Revision(i) {
			t.Fatalf("message %d is %#v", i, m)
		}
	}
}

// TestWrongHost checks that a stream to an address that another host has taken over
// ends without delivering a message, and that the sender is notified.
func TestWrongHost(t *testing.T) {
	received := &recorder{lost: make(chan model.HostID, 10)}
	server := peer.NewServer("c", insecure.NewCredentials(), received)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	sender := &recorder{lost: make(chan model.HostID, 10)}
	client := peer.NewClient(model.Member{Host: "a"}, insecure.NewCredentials(), sender)
	client.Send("b", listener.Addr().String(), message.LogPull{})
	if host := <-sender.lost; host != "b" {
		t.Errorf("PeerLost got host %q", host)
	}
	client.Close()
	server.Stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if len(received.messages) != 0 {
		t.Errorf("host c received %#v", received.messages)
	}
}

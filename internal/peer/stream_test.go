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

// recorder keeps what a stream delivers.
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

// TestStream checks that a stream introduces its node, delivers what was queued
// in order and once, also when the client closes right away, and tells of its
// end.
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
		t.Errorf("lost %q", host)
	}
	server.Stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
	introduction, ok := received.messages[0].(message.Digest)
	if !ok || introduction.Member.PeerAddress != self.PeerAddress || introduction.Member.State != model.Starting {
		t.Errorf("the stream began with %#v", received.messages[0])
	}
	if len(received.messages) != sent+1 {
		t.Fatalf("%d messages of %d arrived", len(received.messages)-1, sent)
	}
	for i, m := range received.messages[1:] {
		if pull, ok := m.(message.LogPull); !ok || pull.After != model.Revision(i) {
			t.Fatalf("message %d is %#v", i, m)
		}
	}
}

// TestWrongHost checks that a stream to an address that another host has taken
// over ends without a delivery, and that the sender is told.
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
		t.Errorf("lost %q", host)
	}
	client.Close()
	server.Stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if len(received.messages) != 0 {
		t.Errorf("host c got %#v", received.messages)
	}
}

package peer_test

import (
	"fmt"
	"net"
	"runtime"
	"testing"

	"google.golang.org/grpc/credentials/insecure"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/peer"
)

// deliveryCounter is a listener that counts delivered messages.
type deliveryCounter struct {
	delivered chan struct{}
}

func (c *deliveryCounter) PeerMessage(model.HostID, model.Incarnation, message.Message) {
	c.delivered <- struct{}{}
}

func (c *deliveryCounter) PeerLost(model.HostID) {}

// BenchmarkStreamMemory reports the memory that one stream takes in the process: that
// of both ends and of their read and write buffers.
func BenchmarkStreamMemory(b *testing.B) {
	const peers = 200
	received := &deliveryCounter{delivered: make(chan struct{}, peers*4)}
	client := peer.NewClient(model.Member{Host: "a"}, insecure.NewCredentials(), received)
	before := memoryInUse()
	for i := range peers {
		host := model.HostID(fmt.Sprintf("host-%d", i))
		server := peer.NewServer(host, insecure.NewCredentials(), received)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		go func() { _ = server.Serve(listener) }()
		defer server.Stop()
		client.Send(host, listener.Addr().String(), message.LogPull{})
	}
	// Each stream delivers its introduction and one LogPull.
	for range 2 * peers {
		<-received.delivered
	}
	used := memoryInUse() - before
	// The memory is measured above; the loop does no work.
	for b.Loop() {
		runtime.KeepAlive(client)
	}
	b.ReportMetric(float64(used)/peers, "bytes/stream")
	client.Close()
}

// memoryInUse returns the bytes in use for heap and stacks.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// BenchmarkMessage sends sub-requests from one client to one server. One operation is
// one message; messages that are queued together share a frame.
func BenchmarkMessage(b *testing.B) {
	received := &deliveryCounter{delivered: make(chan struct{}, 1<<16)}
	server := peer.NewServer("b", insecure.NewCredentials(), received)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	client := peer.NewClient(model.Member{Host: "a"}, insecure.NewCredentials(), received)
	defer client.Close()
	m := message.Dispatch{
		Attempt: model.AttemptID{Host: "a", Incarnation: 1, Number: 1}, Upstream: "counter-1/u1",
		Kind: message.KindSearch, Version: 1, Shards: []model.ShardID{"counter-1"}, Body: []byte(`{"text":"verse"}`),
	}
	for _, inFlight := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("open=%d", inFlight), func(b *testing.B) {
			b.ReportAllocs()
			for range inFlight {
				client.Send("b", listener.Addr().String(), m)
			}
			for b.Loop() {
				<-received.delivered
				client.Send("b", listener.Addr().String(), m)
			}
			for range inFlight {
				<-received.delivered
			}
		})
	}
}

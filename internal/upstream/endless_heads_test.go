package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// startUnendedReplies returns the address of an upstream that sends a prefix of a reply and then
// nothing more, and keeps the connection open.
func startUnendedReplies(t *testing.T, prefix string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	reply := []byte(prefix)
	serve := func(socket net.Conn) {
		defer socket.Close()
		reader := bufio.NewReader(socket)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := socket.Write(reply); err != nil {
			return
		}
		// This waits until the caller closes the connection.
		_, _ = io.Copy(io.Discard, reader)
	}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(socket)
		}
	}()
	return listener.Addr().String()
}

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestManyHeadsWithoutEnd guards against many upstreams in trouble that send heads without end at the
// same time. Each head stays below the limit of one connection, but parsed headers take many times
// their bytes, and together they would take the memory of a small host.
func TestManyHeadsWithoutEnd(t *testing.T) {
	const connections = 400
	// maxHeld is half of the memory of a small host, in bytes.
	const maxHeld = 128 << 20
	var distinct strings.Builder
	for i := 0; distinct.Len() < maxHeadBytes-1024; i++ {
		fmt.Fprintf(&distinct, "%x:\r\n", i)
	}
	for name, head := range map[string]string{
		"distinct names": distinct.String(),
		"one name":       strings.Repeat("A:\r\n", (maxHeadBytes-1024)/4),
		"one line":       "A: " + strings.Repeat("y", maxHeadBytes-1024),
		"and a body":     distinct.String() + "\r\n" + strings.Repeat("y", 1024),
	} {
		t.Run(name, func(t *testing.T) {
			before := heapInUse()
			events := make(chan event.Event, 4*connections)
			pool := NewPool(nil, func(e event.Event) { events <- e })
			defer pool.CloseAll()
			address := startUnendedReplies(t, "HTTP/1.1 200 OK\r\n"+head)
			last := model.ConnectionID(0)
			open := func() {
				last++
				pool.Open(effect.OpenConnection{Connection: last, Address: address})
			}
			for range connections {
				open()
			}
			sent := 0
			for settled := false; !settled; {
				select {
				case e := <-events:
					switch e := e.(type) {
					case event.ConnectionOpened:
						sent++
						pool.Send(effect.SendUpstream{
							Connection: e.Connection, Attempt: model.AttemptID{Host: "a", Number: uint64(e.Connection)},
							Kind: message.KindOrder, Body: []byte(`{}`),
						})
					case event.ConnectionClosed:
						// So many dials at once may overflow the queue of the listener.
						if e.Refused {
							t.Log(e.Reason)
							open()
						}
					}
				case <-time.After(dialTimeout + 500*time.Millisecond):
					// All connections have been opened, and have received all that they get.
					settled = true
				}
			}
			if sent != connections {
				t.Fatalf("%d connections were opened", sent)
			}
			if grown := heapInUse() - before; grown > maxHeld {
				t.Errorf("%d MB are held for %d heads", grown>>20, connections)
			}
		})
	}
}

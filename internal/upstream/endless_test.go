package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// endlessServer answers each request with a prefix and then with the same bytes until the
// caller closes the connection.
type endlessServer struct {
	prefix, repeated string
}

// start returns the address of the server.
func (s *endlessServer) start(t *testing.T) string {
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
		request, err := http.ReadRequest(bufio.NewReader(socket))
		if err != nil {
			return
		}
		prefix := strings.ReplaceAll(s.prefix, "ATTEMPT", request.Header.Get(AttemptHeader))
		if _, err := socket.Write([]byte(prefix)); err != nil {
			return
		}
		// Converted once, because the test counts the allocations of the whole process.
		repeated := []byte(s.repeated)
		for {
			if _, err := socket.Write(repeated); err != nil {
				return
			}
		}
	}()
	return listener.Addr().String()
}

// TestBytesWithoutEnd guards against an upstream in trouble that sends bytes without end
// until the caller closes the connection: in the status line, in the headers, in a body of
// either framing, in the trailers, or after a complete reply. The node must close the
// connection within the limits of a reply, and must not hold more memory than these.
func TestBytesWithoutEnd(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\n" + AttemptHeader + ": ATTEMPT\r\nContent-Length: 17\r\n\r\n{\"execution\":\"1\"}"
	line := "x" + strings.Repeat("y", 1023)
	attempt := model.AttemptID{Host: "a", Incarnation: 1, Number: 7}
	for name, c := range map[string]struct {
		prefix, repeated string
		// limit bounds the bytes that the node may read, in bytes.
		limit    int64
		answered bool
	}{
		"no HTTP":           {"", line, maxHeadBytes, false},
		"status line":       {"HTTP/1.1 200 ", line, maxHeadBytes, false},
		"header value":      {"HTTP/1.1 200 OK\r\nA: ", line, maxHeadBytes, false},
		"headers":           {"HTTP/1.1 200 OK\r\n", "A: " + line + "\r\n", maxHeadBytes, false},
		"interim replies":   {"", "HTTP/1.1 100 Continue\r\n\r\n", maxHeadBytes, true},
		"body to the end":   {"HTTP/1.1 200 OK\r\n\r\n", line, maxEncodedReplyBytes, false},
		"chunked body":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + line + "\r\n", maxEncodedReplyBytes, false},
		"chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", line, maxEncodedReplyBytes, false},
		"tiny chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", maxEncodedReplyBytes, false},
		"trailers":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + line + "\r\n", maxEncodedReplyBytes, false},
		"huge length":       {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", line, maxHeadBytes, false},
		"after a reply":     {complete, line, maxHeadBytes, true},
		"other replies":     {complete, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: b-1-8\r\nContent-Length: 0\r\n\r\n", AttemptHeader), maxHeadBytes, true},
		"nothing but lines": {"", "\r\n", maxHeadBytes, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := &endlessServer{prefix: c.prefix, repeated: strings.Repeat(c.repeated, 1+4096/len(c.repeated))}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			seen := runOrder(t, server.start(t), attempt)
			runtime.ReadMemStats(&after)
			if closed := seen[len(seen)-1].(event.ConnectionClosed); len(closed.Reason) > maxReasonBytes {
				t.Errorf("a reason of %d bytes", len(closed.Reason))
			}
			if !c.answered {
				if closed, ok := seen[0].(event.ConnectionClosed); !ok || closed.Attempt != attempt || !closed.Written {
					t.Errorf("got %+v, want the end of the connection with the attempt written", seen[0])
				}
			}
			// All allocations count, not only what is held: growing buffers allocate each byte
			// a few times. Beyond that a reply may cost what the largest valid one does.
			if grown := int64(after.TotalAlloc - before.TotalAlloc); grown > 8*c.limit+maxReplyBytes {
				t.Errorf("%d bytes allocated, with a limit of %d on the reply", grown, c.limit)
			}
		})
	}
}

package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// serveOnce accepts one connection, answers one request with the reply, in which ATTEMPT stands
// for its attempt identifier, and closes the connection without a reset. It returns the address.
func serveOnce(t *testing.T, reply string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer listener.Close()
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		defer socket.Close()
		request, err := http.ReadRequest(bufio.NewReader(socket))
		if err != nil {
			return
		}
		// All of the request's body is read, because closing would reset the connection.
		buffer := make([]byte, request.ContentLength)
		_, _ = request.Body.Read(buffer)
		fmt.Fprint(socket, strings.ReplaceAll(reply, "ATTEMPT", request.Header.Get(AttemptHeader)))
	}()
	return listener.Addr().String()
}

// TestReplyCutShort guards against a reply whose upstream stops in the middle of the head, or of
// a body with a length or in chunks, and closes the connection, and that is delivered as a whole
// one with an empty or short body.
func TestReplyCutShort(t *testing.T) {
	attempt := model.AttemptID{Host: "a", Incarnation: 1, Number: 7}
	const body = `{"execution":"1"}`
	const head = "HTTP/1.1 200 OK\r\n" + AttemptHeader + ": ATTEMPT\r\n"
	framings := map[string]struct {
		reply string
		// mayEnd is the number of bytes from which the reply may end with the connection.
		mayEnd int
	}{
		"length":     {head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), len(head) + 22 + len(body)},
		"chunks":     {head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), len(head) + 30 + len(body) + 11},
		"connection": {head + "Connection: close\r\n\r\n" + body, len(head) + 21},
	}
	for name, framing := range framings {
		if name != "connection" && framing.mayEnd != len(framing.reply) {
			t.Fatalf("%s: a whole reply has %d bytes, not %d", name, len(framing.reply), framing.mayEnd)
		}
		for n := range len(framing.reply) {
			seen := runOrder(t, serveOnce(t, framing.reply[:n]), attempt)
			if reply, delivered := seen[0].(event.UpstreamReply); delivered && n < framing.mayEnd {
				t.Errorf("%s: delivered %+v after %d of %d bytes", name, reply, n, len(framing.reply))
			}
		}
		if _, delivered := runOrder(t, serveOnce(t, framing.reply), attempt)[0].(event.UpstreamReply); !delivered {
			t.Errorf("%s: the whole reply was not delivered", name)
		}
	}
}

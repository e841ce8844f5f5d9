package guard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/machine"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quota"
)

// Limits of the tests on single requests.
const (
	testHeadBytes = 8 << 10
	testBodyBytes = 64 << 10
)

// testAnswerBytes is the size of the answer to "/large".
const testAnswerBytes = 1 << 20

// newGuard returns a guard with the limits of the tests, for a machine with a usable memory in bytes.
func newGuard(usable int64) *Guard {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Options{
		Machine: machine.Limits{Memory: usable + programBytes, Descriptors: 100}, Shares: map[quota.Listener]float64{quota.Callers: 1},
		Metrics: prometheus.NewRegistry(), Log: log,
	})
	g.SetRequestLimits(model.RequestLimits{HeaderBytes: testHeadBytes, BodyBytes: testBodyBytes})
	return g
}

// serve starts a server that echoes the length of a request's body and the error of reading it.
func serve(t *testing.T, g *Guard) string {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := g.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r, 0)
		switch {
		case err != nil:
			w.WriteHeader(http.StatusTeapot)
			_, _ = fmt.Fprintf(w, "%T", err)
		case r.URL.Path == "/large":
			_, _ = w.Write(make([]byte, testAnswerBytes))
		case r.URL.Path == "/panic":
			panic(http.ErrAbortHandler)
		default:
			_, _ = fmt.Fprint(w, len(body))
		}
	}))
	// Serve always returns an error; after Close it is http.ErrServerClosed.
	go func() { _ = server.Serve(g.Wrap(l, quota.Callers, HTTP)) }()
	t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// exchange sends a text on a new connection and returns the status and the body of the reply. The
// status is zero if there is no reply.
func exchange(t *testing.T, address, text string) (int, string) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_, _ = io.WriteString(connection, text)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

const (
	// programBytes is the memory that is not usable.
	programBytes   = 32 << 20
	plentyOfMemory = 1 << 30
	// littleMemory has room for a few small requests.
	littleMemory = 4 * 320 << 10
)

// TestLimitsOfRequests checks the replies to requests within and beyond the limits.
func TestLimitsOfRequests(t *testing.T) {
	address := serve(t, newGuard(plentyOfMemory))
	filled := func(size int) string { return "X: " + strings.Repeat("x", size) + "\r\n" }
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, text string
		status     int
		body       string
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK, "0"},
		{"empty lines before it", "\r\n\r\n\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusOK, "0"},
		{"large head", "GET / HTTP/1.1\r\nHost: h\r\n" + filled(testHeadBytes) + "\r\n", http.StatusOK, "0"},
		{"head over the limit", "GET / HTTP/1.1\r\nHost: h\r\n" + filled(2*testHeadBytes) + "\r\n", http.StatusRequestHeaderFieldsTooLarge, ""},
		{"empty lines over the limit", strings.Repeat("\r\n", testHeadBytes), http.StatusRequestHeaderFieldsTooLarge, ""},
		{"largest body", fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", testBodyBytes, strings.Repeat("x", testBodyBytes)), http.StatusOK, fmt.Sprint(testBodyBytes)},
		{"body over the limit", fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", testBodyBytes+1), http.StatusTeapot, "*guard.BodyTooLargeError"},
		{"largest body in chunks", chunked + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", testBodyBytes, strings.Repeat("x", testBodyBytes)), http.StatusOK, fmt.Sprint(testBodyBytes)},
		{"body in chunks over the limit", chunked + fmt.Sprintf("%x\r\n%s\r\n", testBodyBytes+1, strings.Repeat("x", testBodyBytes+1)), http.StatusTeapot, "*guard.BodyTooLargeError"},
		{"broken chunk", chunked + "not hexadecimal\r\n", http.StatusTeapot, "*guard.BodyError"},
	} {
		status, body := exchange(t, address, c.text)
		if status != c.status || c.body != "" && body != c.body {
			t.Errorf("%s: status %d, %q, want %d, %q", c.name, status, body, c.status, c.body)
		}
	}
}

// TestUnknownLimits guards against a final refusal of a request, for its size, by a host that does not
// know the operators' limits yet.
func TestUnknownLimits(t *testing.T) {
	g := newGuard(plentyOfMemory)
	g.requestLimits.Store(nil)
	address := serve(t, g)
	large := strings.Repeat("x", 2*defaultHeadBytes)
	if status, _ := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\nX: "+large+"\r\n\r\n"); status != http.StatusServiceUnavailable {
		t.Errorf("a head that may be too large: status %d", status)
	}
	text := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 2*defaultBodyBytes)
	if _, body := exchange(t, address, text); body != "*guard.NoRoomError" {
		t.Errorf("a body that may be too large: %s", body)
	}
}

// TestAllIsGivenBack guards against an account that is not given back on some path: each client ends in
// another way, and the account is empty after all of them.
func TestAllIsGivenBack(t *testing.T) {
	g := newGuard(littleMemory)
	address := serve(t, g)
	body := strings.Repeat("x", testBodyBytes)
	half := body[:len(body)/2]
	withLength := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", testBodyBytes)
	texts := []string{
		"", "\r\n", "GET", "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "no request\r\n\r\n",
		"GET /panic HTTP/1.1\r\nHost: h\r\n\r\n", "GET /large HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2*testHeadBytes) + "\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", testHeadBytes/len("a:\n")) + "\r\n",
		withLength, withLength + half, withLength + body, withLength + body + "GET",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(half), half),
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\nTrailer: x\r\n\r\n", len(half), half),
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nnot hexadecimal\r\n",
	}
	var connections []net.Conn
	for range 10 {
		for _, text := range texts {
			connection, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			connections = append(connections, connection)
			_ = connection.SetDeadline(time.Now().Add(time.Second))
			_, _ = io.WriteString(connection, text)
		}
	}
	for _, connection := range connections {
		connection.Close()
	}
	awaitEmpty(t, g)
}

// awaitEmpty waits until nothing is held.
func awaitEmpty(t *testing.T, g *Guard) {
	t.Helper()
	const tries, pause = 1000, 20 * time.Millisecond
	for range tries {
		u := g.Usage()[0]
		if u.Connections == 0 && u.Bytes == 0 && u.Closing == 0 {
			return
		}
		time.Sleep(pause)
	}
	t.Fatalf("still held: %+v", g.Usage())
}

// TestSlowRequestsMakeWay guards against a host that refuses ordinary requests because others do not
// end: the slow ones are refused as not run, with a time to come back.
func TestSlowRequestsMakeWay(t *testing.T) {
	g := newGuard(littleMemory)
	address := serve(t, g)
	var slow []net.Conn
	for range 40 {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		slow = append(slow, connection)
		_, _ = fmt.Fprintf(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", testBodyBytes, strings.Repeat("x", testBodyBytes/2))
	}
	for i := 0; ; i++ {
		if status, _ := exchange(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status == http.StatusOK {
			break
		}
		if i == 100 {
			t.Fatal("no ordinary request is answered")
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, connection := range slow {
		connection.Close()
	}
	awaitEmpty(t, g)
}

// TestRefusalForWantOfRoom checks that a request for which there is no room is refused with 503, and
// with a time to come back only if there will be room.
func TestRefusalForWantOfRoom(t *testing.T) {
	address := serve(t, newGuard(4*(connectionBytes+requestBytes/2)))
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") != "" {
		t.Errorf("status %d with Retry-After %q for a request that never fits", response.StatusCode, response.Header.Get("Retry-After"))
	}
}

// TestCostOfHead checks that the memory of a head is counted the same way while it arrives and once it
// is parsed, up to its white space.
func TestCostOfHead(t *testing.T) {
	text := "GET /x?a=1&b=2&c=3 HTTP/1.1\r\nHost: h\r\nA: 1\r\nA: 2\nB: 3\r\n\r\nbody\n\n\n"
	var h headReader
	for _, b := range []byte(text) {
		h.read([]byte{b})
	}
	if !h.ended || h.size != len(text)-len("body\n\n\n") || h.fields != 8 {
		t.Errorf("%+v", h)
	}
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		t.Fatal(err)
	}
	// The parsed request lacks its first line, its Host line and its last line.
	if parsed, most := costOfHead(r), h.cost(); parsed > most || parsed < most-3*headFieldCost-int64(h.size)*headByteCost {
		t.Errorf("%d once parsed, %d before", parsed, most)
	}
}

// TestLogLinesAreBounded guards against a crowd that fills the log.
func TestLogLinesAreBounded(t *testing.T) {
	g := newGuard(plentyOfMemory)
	now := time.Unix(1000, 0)
	if got := g.reports.count("kind", now); got != 1 {
		t.Errorf("first event: %d", got)
	}
	for i := range 100 {
		if got := g.reports.count("kind", now.Add(time.Duration(i)*time.Millisecond)); got != 0 {
			t.Fatalf("a line is due after %d ms", i)
		}
	}
	if got := g.reports.count("kind", now.Add(reportInterval)); got != 101 {
		t.Errorf("events reported by the next line: %d", got)
	}
}

// TestRestOfPipelinedHead guards against a request that loses bytes because its head arrives in two
// pieces, of which the first comes with the request before it and the second begins with a line end.
func TestRestOfPipelinedHead(t *testing.T) {
	address := serve(t, newGuard(plentyOfMemory))
	for _, first := range []string{"GET / HTTP/1.1\r\nHost: h\r\nA: b", "GET / HTTP/1.1\r\nHost: h\r\nA: b\r", "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n"} {
		second := strings.TrimPrefix("GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n", first)
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		_ = connection.SetDeadline(time.Now().Add(10 * time.Second))
		reader := bufio.NewReader(connection)
		_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+first)
		for i, more := range []string{second, ""} {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("%q: reply %d: %v", first, i, err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode != http.StatusOK {
				t.Errorf("%q: reply %d has status %d", first, i, response.StatusCode)
			}
			_, _ = io.WriteString(connection, more)
		}
	}
}

// TestSlowReaderGetsWholeAnswer guards against the last answer on a connection that is cut because the
// client reads it late, also if the client has closed its sending side.
func TestSlowReaderGetsWholeAnswer(t *testing.T) {
	g := newGuard(plentyOfMemory)
	address := serve(t, g)
	for _, halfClosed := range []bool{false, true} {
		connection, err := net.DialTCP("tcp", nil, mustResolve(t, address))
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		_ = connection.SetReadBuffer(receiveBufferBytes)
		_, _ = io.WriteString(connection, "GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		if halfClosed {
			_ = connection.CloseWrite()
		}
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		size := 0
		for buffer := make([]byte, testAnswerBytes/10); ; {
			n, err := io.ReadFull(response.Body, buffer)
			if size += n; err != nil {
				break
			}
			time.Sleep(4 * sendCheckInterval)
		}
		if size != testAnswerBytes {
			t.Errorf("half closed %v: %d bytes of %d", halfClosed, size, testAnswerBytes)
		}
	}
	awaitEmpty(t, g)
}

// mustResolve returns a TCP address.
func mustResolve(t *testing.T, address string) *net.TCPAddr {
	t.Helper()
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return resolved
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// backend is a stand-in for one backend: an HTTP/1.1 server over TCP that runs one request at a time
// on a connection.
type backend struct {
	service, instance, zone string
	slots                   int
	work                    time.Duration
	// answer writes the answer to a request that has run, in place of the usual one. It reports
	// whether the connection stays open.
	answer func(b *backend, x *exchange) bool
	record *record

	listener net.Listener
	born     int64
	tokens   chan struct{}
	mu       sync.Mutex
	sequence int
	left     bool
	closed   bool
	// down is set after a crash until the backend is back.
	down    bool
	waiting int
	runs    map[string]int
	// arrivals holds when each request arrived.
	arrivals map[string]time.Time
	open     map[net.Conn]bool
}

// exchange is one request with its connection.
type exchange struct {
	request    *http.Request
	body       []byte
	id         string
	connection net.Conn
	reader     *bufio.Reader
}

// start opens the listener.
func (b *backend) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("backend %s: %w", b.instance, err)
	}
	b.listener = listener
	b.born = time.Now().UnixMilli()
	b.tokens = make(chan struct{}, b.slots)
	b.runs = make(map[string]int)
	b.arrivals = make(map[string]time.Time)
	b.open = make(map[net.Conn]bool)
	go b.accept(listener)
	return nil
}

// acceptPause is the time between two looks at whether a backend that is down is back.
const acceptPause = 20 * time.Millisecond

// accept accepts connections until the listener is closed. A backend that is down accepts none.
func (b *backend) accept(listener net.Listener) {
	for {
		if b.isDown() {
			time.Sleep(acceptPause)
			continue
		}
		c, err := listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.open[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

// awaitUp waits while the backend is down. Its connections are reset before it is back.
func (b *backend) awaitUp() {
	for b.isDown() {
		time.Sleep(acceptPause)
	}
}

// isDown reports whether the backend has crashed and is not back yet.
func (b *backend) isDown() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.down
}

// close ends the backend.
func (b *backend) close() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for c := range b.open {
		c.Close()
	}
}

// serve answers the requests of one connection.
func (b *backend) serve(c net.Conn) {
	defer func() {
		c.Close()
		b.mu.Lock()
		delete(b.open, c)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		b.awaitUp()
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		x := &exchange{request: request, body: body, id: request.Header.Get("Attempt-Id"), connection: c, reader: reader}
		if !b.handle(x) {
			return
		}
	}
}

// handle handles one request and reports whether the connection stays open.
func (b *backend) handle(x *exchange) bool {
	if target := x.request.Header.Get("Target-Instance"); target != "" && target != b.instance {
		return x.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", b.instance)
	}
	b.mu.Lock()
	b.waiting++
	b.arrivals[x.id] = time.Now()
	b.mu.Unlock()
	b.tokens <- struct{}{}
	b.mu.Lock()
	b.waiting--
	b.runs[x.id]++
	run := b.runs[x.id]
	b.mu.Unlock()
	b.record.add("run", "backend", b.instance, "id", x.id, "method", x.request.Method, "path", x.request.RequestURI, "body", len(x.body), "times", run)
	time.Sleep(b.work)
	defer func() { <-b.tokens }()
	if b.isDown() {
		b.awaitUp()
		return false
	}
	answer := b.answer
	if answer == nil {
		return b.answerUsually(x)
	}
	open := answer(b, x)
	b.awaitUp()
	return open
}

// answerUsually writes the answer of a backend in order.
func (b *backend) answerUsually(x *exchange) bool { return x.write("%s", b.usualAnswer(x.id)) }

// usualAnswer returns the bytes of the answer of a backend in order.
func (b *backend) usualAnswer(id string) string {
	content := b.content(id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nInstance-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, b.signature(id), b.load(), len(content), content)
}

// load returns the load that the backend states.
func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(b.tokens), b.waiting, b.slots)
}

// content returns the body of an answer.
func (b *backend) content(id string) string {
	return fmt.Sprintf("%-16.16s", b.signature(id)) + strings.Repeat("0123456789abcdef", 5)
}

// signature returns the digest of an answer.
func (b *backend) signature(id string) string {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, b.service+"/"+id)
	return fmt.Sprintf("%016x", sum.Sum64())
}

// write writes a part of an answer.
func (x *exchange) write(format string, arguments ...any) bool {
	_, err := fmt.Fprintf(x.connection, format, arguments...)
	return err == nil
}

// count returns how often the backend ran a request.
func (b *backend) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// leave ends the heartbeats.
func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = true
}

// hasLeft reports whether the backend writes no heartbeats any longer.
func (b *backend) hasLeft() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// key returns the key of the backend's entry.
func (b *backend) key() string { return "servers/" + b.instance }

// entry returns the next value of the backend's entry.
func (b *backend) entry() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	value, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": "ready", "warmupRemainingMs": 0, "sequence": b.sequence, "born": b.born,
	})
	if err != nil {
		panic(err)
	}
	return value
}

// arrival returns when a request arrived.
func (b *backend) arrival(id string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, arrived := b.arrivals[id]
	return at, arrived
}

// isClosed reports whether the backend has ended.
func (b *backend) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upstream is a stand-in for one upstream. It reads requests from its connections itself, so that a
// case controls the bytes of its replies.
type upstream struct {
	service string
	// instance is replaced at each start.
	instance string
	zone     string
	slots    int
	// work is how long a request runs.
	work time.Duration
	// body returns the body of the reply to a request; nil means a short one.
	body func(id string) []byte
	// refuses reports whether a request is refused although slots are free; nil means never.
	refuses func(id string) bool
	// repeats reports whether a reply is sent a second time, late, at the point where the next reply
	// on the connection is expected; nil means never.
	repeats func(id string) bool
	// crashes reports whether a request for a path ends the upstream, and arranges for that; nil
	// means that none does.
	crashes func(path string) bool
	rec     *record

	mu          sync.Mutex
	listener    net.Listener
	address     string
	connections map[net.Conn]bool
	up          bool
	born        int64
	sequence    int
	starts      int
	// inUse holds an element for each slot in use. A new incarnation has a new one.
	inUse chan struct{}
	runs  map[string]int
	// extraHeader is a header line that is added to all replies, or empty.
	extraHeader string
}

// start listens, at the earlier address after a crash.
func (u *upstream) start() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	address := u.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("upstream of %s: %w", u.service, err)
	}
	u.starts++
	u.listener, u.address, u.up = listener, listener.Addr().String(), true
	u.instance = fmt.Sprintf("i-%08x", digest(u.address+"/"+strconv.Itoa(u.starts)))
	u.born = time.Now().UnixMilli()
	u.sequence = 0
	u.connections = make(map[net.Conn]bool)
	u.inUse = make(chan struct{}, u.slots)
	if u.runs == nil {
		u.runs = make(map[string]int)
	}
	go u.accept(listener)
	return nil
}

// crash closes the listener and all connections, as the end of a process does.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.up = false
	u.listener.Close()
	for connection := range u.connections {
		resetOnClose(connection)
		connection.Close()
	}
	u.connections = make(map[net.Conn]bool)
}

// isUp reports whether the upstream runs.
func (u *upstream) isUp() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.up
}

// key returns the key of the upstream's entry in the store.
func (u *upstream) key() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return "servers/" + u.instance
}

// entry returns the next value of the entry.
func (u *upstream) entry() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	value, err := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": "ready", "warmupRemainingMs": 0, "sequence": u.sequence, "born": u.born,
	})
	if err != nil {
		panic(err)
	}
	return value
}

// accept serves the connections of a listener until it is closed.
func (u *upstream) accept(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		if !u.up {
			u.mu.Unlock()
			connection.Close()
			return
		}
		u.connections[connection] = true
		u.mu.Unlock()
		go u.serve(connection)
	}
}

// serve answers the requests of a connection one after the other.
func (u *upstream) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if late != nil {
			u.rec.printf("upstream %s repeats an earlier reply", u.instance)
			if _, err := connection.Write(late); err != nil {
				return
			}
			late = nil
		}
		id := request.Header.Get("Attempt-Id")
		reply := u.handle(id, request.URL.Path, request.Header.Get("Target-Instance"))
		if _, err := connection.Write(reply); err != nil {
			return
		}
		if u.repeats != nil && u.repeats(id) {
			late = reply
		}
	}
}

// handle returns the reply to a request, which it runs or refuses.
func (u *upstream) handle(id, path, target string) []byte {
	switch {
	case target != "" && target != u.instance:
		return u.encode(http.StatusMisdirectedRequest, id, nil, nil)
	case id == "":
		return u.encode(http.StatusBadRequest, id, map[string]string{"Not-Executed": "1"}, nil)
	case u.refuses != nil && u.refuses(id):
		u.rec.printf("upstream %s refuses %s", u.instance, id)
		return u.encode(http.StatusServiceUnavailable, id, map[string]string{"Not-Executed": "1"}, nil)
	}
	end := u.begin(id)
	if u.crashes != nil && u.crashes(path) {
		// The connection ends before the reply.
		time.Sleep(time.Second)
	}
	time.Sleep(u.work)
	end()
	body := []byte("reply to " + id)
	if u.body != nil {
		body = u.body(id)
	}
	return u.encode(http.StatusOK, id, map[string]string{"Response-Signature": signature(u.service, id)}, body)
}

// begin waits for a slot and records that a request runs. The function that it returns frees the
// slot.
func (u *upstream) begin(id string) (end func()) {
	u.mu.Lock()
	slots := u.inUse
	u.mu.Unlock()
	slots <- struct{}{}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id]++
	u.rec.printf("upstream %s runs %s", u.instance, id)
	return func() { <-slots }
}

// encode returns the bytes of a reply.
func (u *upstream) encode(status int, id string, header map[string]string, body []byte) []byte {
	u.mu.Lock()
	running, extra := len(u.inUse), u.extraHeader
	u.mu.Unlock()
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	fmt.Fprintf(&b, "Attempt-Id: %s\r\nInstance-Id: %s\r\nInstance-Load: %d,0,%d\r\n", id, u.instance, running, u.slots)
	b.WriteString(extra)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

// setHeader adds a header to all following replies.
func (u *upstream) setHeader(name, value string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.extraHeader = name + ": " + value + "\r\n"
}

// runsOf returns how many times the upstream began to run a request.
func (u *upstream) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// allRuns returns the requests that the upstream has begun to run, with the number of times.
func (u *upstream) allRuns() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runs)
}

// digest returns a hash of a text.
func digest(text string) uint32 {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, text)
	return sum.Sum32()
}

// signature returns the signature of a service's reply to a request.
func signature(service, id string) string {
	return fmt.Sprintf("%08x", digest(service+"/"+id))
}

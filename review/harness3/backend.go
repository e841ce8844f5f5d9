package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// arrival is a request that a backend has begun to run.
type arrival struct {
	backend, service string
	at               time.Time
}

// runs holds what all backends have run, by the identifier of the request.
type runs struct {
	mu   sync.Mutex
	byID map[string][]arrival
}

// newRuns returns an empty list of runs.
func newRuns() *runs { return &runs{byID: make(map[string][]arrival)} }

// add records that a backend begins to run a request.
func (r *runs) add(id string, a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], a)
}

// of returns the runs of a request.
func (r *runs) of(id string) []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.byID[id])
}

// backend is a sound backend. It registers in the store, and speaks HTTP/1.1 as the pages say.
type backend struct {
	service, id, zone string
	slots             int
	// work is how long the backend works on a request.
	work time.Duration
	runs *runs
	// crashes reports whether a request crashes the backend that begins to run it; nil means that none does.
	crashes func(request *http.Request) bool

	listener net.Listener
	slot     chan struct{}

	mu       sync.Mutex
	born     int64
	sequence int
	open     map[net.Conn]bool
	isOff    bool
}

// start opens a listener.
func (b *backend) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("backend %s: %w", b.id, err)
	}
	b.listener, b.slot, b.open = listener, make(chan struct{}, b.slots), make(map[net.Conn]bool)
	b.born, b.sequence, b.isOff = time.Now().UnixMilli(), 0, false
	go b.accept(listener)
	return nil
}

// crash resets all connections and refuses new ones for a time. The backend is back under its
// id then, at another address.
func (b *backend) crash(downtime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isOff {
		return
	}
	b.isOff = true
	b.listener.Close()
	for c := range b.open {
		if tcp, isTCP := c.(*net.TCPConn); isTCP {
			// An error means that the connection has ended.
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	time.AfterFunc(downtime, func() {
		// Without a port the backend stays down.
		if err := b.start(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	})
}

// stop closes the listener and all connections.
func (b *backend) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isOff = true
	b.listener.Close()
	for c := range b.open {
		c.Close()
	}
}

// entry returns the next value of the backend's entry in the store, or nil if the backend is off.
func (b *backend) entry() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isOff {
		return nil, nil
	}
	b.sequence++
	return json.Marshal(b.fields())
}

// fields returns the fields of the entry. The caller holds the lock.
func (b *backend) fields() map[string]any {
	return map[string]any{
		"service": b.service, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": "ready", "warmupRemainingMs": 0, "sequence": b.sequence, "born": b.born,
	}
}

// lastEntry returns the fields of the entry that was written last.
func (b *backend) lastEntry() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fields()
}

// accept serves connections until the listener is closed.
func (b *backend) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.open[c] = true
		isOff := b.isOff
		b.mu.Unlock()
		if isOff {
			c.Close()
			continue
		}
		go b.serve(c)
	}
}

// serve serves the requests of a connection.
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
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer := b.answer(request)
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// crashDelay is the time after which a request that crashes the backend does so, and downtime how long the
// backend is down then.
const (
	crashDelay = 20 * time.Millisecond
	downtime   = 2500 * time.Millisecond
)

// answer runs a request and returns the answer, or nil if the request crashes the backend. A request for
// another backend is rejected.
func (b *backend) answer(request *http.Request) []byte {
	id := request.Header.Get("Attempt-Id")
	if target := request.Header.Get("Target-Instance"); target != "" && target != b.id {
		return []byte(b.head(http.StatusMisdirectedRequest, id) + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	slot := b.slot
	slot <- struct{}{}
	b.runs.add(id, arrival{backend: b.id, service: b.service, at: time.Now()})
	if b.crashes != nil && b.crashes(request) {
		time.Sleep(crashDelay)
		b.crash(downtime)
		return nil
	}
	time.Sleep(b.work)
	<-slot
	body := b.service + " has run " + id
	return fmt.Appendf(nil, "%sResponse-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", b.head(http.StatusOK, id), signature(b.service, id), len(body), body)
}

// head returns the status line and the headers that all answers have.
func (b *backend) head(status int, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nInstance-Load: %d,0,%d\r\n", status, http.StatusText(status), id, b.id, len(b.slot), b.slots)
}

// signature returns the digest of a service's answer to a request.
func signature(service, id string) string {
	sum := fnv.New64a()
	_, _ = io.WriteString(sum, service+"/"+id)
	return fmt.Sprintf("%016x", sum.Sum64())
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
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

	listener net.Listener
	slot     chan struct{}

	mu       sync.Mutex
	born     int64
	sequence int
	open     map[net.Conn]bool
	isOff    bool
}

// start opens the listener.
func (b *backend) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("backend %s: %w", b.id, err)
	}
	b.listener, b.slot, b.open, b.born = listener, make(chan struct{}, b.slots), make(map[net.Conn]bool), time.Now().UnixMilli()
	go b.accept()
	return nil
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

// entry returns the next value of the backend's entry in the store.
func (b *backend) entry() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return json.Marshal(map[string]any{
		"service": b.service, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": "ready", "warmupRemainingMs": 0, "sequence": b.sequence, "born": b.born,
	})
}

// accept serves connections until the listener is closed.
func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
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
		if _, err := c.Write(b.answer(request)); err != nil {
			return
		}
	}
}

// answer runs a request and returns the answer. A request for another backend is rejected.
func (b *backend) answer(request *http.Request) []byte {
	id := request.Header.Get("Attempt-Id")
	if target := request.Header.Get("Target-Instance"); target != "" && target != b.id {
		return []byte(b.head(http.StatusMisdirectedRequest, id) + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	b.slot <- struct{}{}
	b.runs.add(id, arrival{backend: b.id, service: b.service, at: time.Now()})
	time.Sleep(b.work)
	<-b.slot
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

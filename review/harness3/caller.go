package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// orderPrefix is the prefix of the route for orders, and orderTimeout the time budget of their callers.
const (
	orderPrefix  = "/goka902/"
	orderTimeout = 3 * time.Second
)

// outcome is what a caller has seen of an order.
type outcome struct {
	id, node    string
	sent, ended time.Time
	// status is zero if the connection ended without a complete answer, for the reason in err.
	status    int
	signature string
	err       error
}

// callers records what all callers have seen.
type callers struct {
	mu       sync.Mutex
	outcomes []outcome
}

// connection is a caller's connection to a node.
type connection struct {
	net.Conn
	node   *node
	reader *bufio.Reader
}

// dial opens a connection to a node.
func dial(n *node) (*connection, error) {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", n.name, err)
	}
	return &connection{Conn: c, node: n, reader: bufio.NewReader(c)}, nil
}

// send sends an order and records its outcome. It reports whether the connection can be used again.
func (c *callers) send(conn *connection, path, id, body string) (reusable bool) {
	o := outcome{id: id, node: conn.node.name, sent: time.Now()}
	reusable = conn.exchange(&o, path, body)
	o.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	return reusable
}

// exchange writes an order, reads its answer and completes the outcome. It reports whether the connection
// can be used again.
func (c *connection) exchange(o *outcome, path, body string) (reusable bool) {
	if o.err = c.SetDeadline(time.Now().Add(orderTimeout + time.Second)); o.err != nil {
		return false
	}
	_, o.err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		orderPrefix, path, callerHost, o.id, orderTimeout.Milliseconds(), len(body), body)
	if o.err != nil {
		return false
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		o.err = err
		return false
	}
	if _, o.err = io.Copy(io.Discard, response.Body); o.err != nil {
		return false
	}
	o.status, o.signature = response.StatusCode, response.Header.Get("Response-Signature")
	return !response.Close
}

// kept sends orders to a node on a connection that it keeps.
type kept struct {
	node       *node
	callers    *callers
	connection *connection
}

// send sends an order to a path below orderPrefix, on a new connection if there is none.
func (k *kept) send(path, id, body string) {
	if k.connection == nil {
		conn, err := dial(k.node)
		if err != nil {
			return
		}
		k.connection = conn
	}
	if !k.callers.send(k.connection, path, id, body) {
		k.close()
	}
}

// close closes the connection.
func (k *kept) close() {
	if k.connection != nil {
		k.connection.Close()
		k.connection = nil
	}
}

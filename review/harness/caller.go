package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// host is the host name of all routes.
const host = "hufi27.example"

// newID returns an identifier for an attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a caller got for one attempt.
type answer struct {
	id string
	// status is zero if the connection ended before the answer was complete.
	status int
	body   []byte
	// signature is the signature of the answer, or empty.
	signature string
	promised  int
	err       error
}

// caller holds one connection to a node.
type caller struct {
	connection net.Conn
	reader     *bufio.Reader
	// bytesPerSecond bounds how fast the caller reads; zero means no bound.
	bytesPerSecond int
}

// dialCaller opens a connection to a node.
func dialCaller(n *node) (*caller, error) {
	connection, err := net.DialTimeout("tcp", n.callerAddress(), time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", n.name, err)
	}
	return &caller{connection: connection, reader: bufio.NewReader(connection)}, nil
}

// send sends a request and reads its answer within the time budget.
func (c *caller) send(method, path, id string, budget time.Duration, body []byte) answer {
	if err := c.write(method, path, id, budget, body); err != nil {
		return answer{id: id, err: err}
	}
	return c.read(id, method)
}

// write sends a request.
func (c *caller) write(method, path, id string, budget time.Duration, body []byte) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, budget.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	_ = c.connection.SetDeadline(time.Now().Add(budget))
	_, err := c.connection.Write(b.Bytes())
	return err
}

// read reads an answer.
func (c *caller) read(id, method string) answer {
	request := &http.Request{Method: method}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return answer{id: id, err: err}
	}
	a := answer{id: id, promised: int(response.ContentLength), signature: response.Header.Get("Response-Signature")}
	a.body, a.err = c.readBody(response.Body)
	if a.err == nil {
		a.status = response.StatusCode
	}
	return a
}

// readStep is the size of one read of a slow caller, in bytes.
const readStep = 4096

// readBody reads a body, not faster than the caller's bound.
func (c *caller) readBody(body io.Reader) ([]byte, error) {
	if c.bytesPerSecond == 0 {
		return io.ReadAll(body)
	}
	var all []byte
	buffer := make([]byte, readStep)
	for {
		n, err := body.Read(buffer)
		all = append(all, buffer[:n]...)
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
	}
}

// close closes the connection.
func (c *caller) close() { c.connection.Close() }

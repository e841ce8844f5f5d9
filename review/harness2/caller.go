package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// newID returns the identifier of a requester attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a requester got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// text describes an answer.
func (a answer) text() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, %d bytes", a.status, len(a.body))
}

// ask sends the bytes of a request on a new connection and reads the answer.
func ask(address, request, method string, limit time.Duration, sent func(net.Conn)) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, request); err != nil {
		return answer{err: err}
	}
	if sent != nil {
		sent(c)
	}
	return readAnswer(bufio.NewReader(c), method)
}

// readAnswer reads one answer.
func readAnswer(reader *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: body, err: err}
}

// head returns the bytes of a request.
func head(method, host, path, id string, deadline time.Duration, body string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if body != "" || method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

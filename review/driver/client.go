//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	hostname = "ficu95.example"
	tenant   = "hule930"
	apiKey   = "n2ctnfzs989anu6wsjnb"
)

// client is one connection of a client. It sends one request at a time.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	// prefix lists the parts of the next prompts; empty means two parts, one of them shared.
	prefix string
}

// dial opens a connection; clients allow one second for it.
func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: c, reader: bufio.NewReader(c)}, nil
}

// answer is what a client saw of a request.
type answer struct {
	sentAt, endedAt time.Time
	status          int
	events          int
	// complete is true if the whole answer arrived.
	complete bool
	close    bool
	err      error
}

func (a *answer) String() string {
	return fmt.Sprintf("status %d, %d events, complete %v, after %s, error %v", a.status, a.events, a.complete, a.endedAt.Sub(a.sentAt).Round(time.Millisecond), a.err)
}

// stream sends a request for output tokens and reads the answer.
func (c *client) stream(path, id string, prompt, output int, deadline time.Duration) (a answer) {
	a.sentAt = time.Now()
	defer func() { a.endedAt = time.Now() }()
	body, prefix := "prompt of "+id, c.prefix
	if prefix == "" {
		prefix = fmt.Sprintf("5c1e07a2:%d,%s:%d", prompt/2, id, prompt-prompt/2)
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, a.err = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Count: %d,%d\r\nPrefix-Hash: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\nContent-Length: %d\r\n\r\n%s",
		path, hostname, id, prompt, output, prefix, deadline.Milliseconds(), apiKey, len(body), body); a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.close = resp.StatusCode, resp.Close
	r := bufio.NewReader(resp.Body)
	for {
		line, err := r.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			a.events++
		}
		if errors.Is(err, io.EOF) {
			a.complete = true
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}

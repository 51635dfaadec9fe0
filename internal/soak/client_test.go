package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	tenant   = "workshop"
	apiKey   = "key-of-the-soak"
	hostname = "shop.example"
	// maxTimeout is the longest time that a client waits for a response.
	maxTimeout = 2 * time.Second
	// maxThinkTime is the longest pause between two requests of a client.
	maxThinkTime = 20 * time.Millisecond
	// maxBodyPause is the longest pause between the two parts of a body.
	maxBodyPause = time.Second
	// maxBufferedBytes is more than the HTTP transport buffers before it sends.
	maxBufferedBytes = 16 << 10
)

// requestKinds are the kinds of requests, named after the path prefixes of their
// routes.
var requestKinds = []string{"review", "notes", "booking", "lookup"}

// client sends requests to all processes over persistent connections.
type client struct {
	id           int
	rng          *rand.Rand
	history      *history
	targets      []string
	httpClient   http.Client
	served       *atomic.Int64
	requestCount int
}

// pause is the empty part of a body that takes a time to be sent.
type pause time.Duration

func (p pause) Read([]byte) (int, error) {
	time.Sleep(time.Duration(p))
	return 0, io.EOF
}

func (c *client) run(stop <-chan struct{}, wg *sync.WaitGroup) {
	defer wg.Done()
	for {
		select {
		case <-stop:
			c.httpClient.CloseIdleConnections()
			return
		case <-time.After(time.Duration(c.rng.Int64N(int64(maxThinkTime)))):
		}
		c.send(requestKinds[c.rng.IntN(len(requestKinds))], c.targets[c.rng.IntN(len(c.targets))])
	}
}

// send sends one request and reports whether it was served successfully.
func (c *client) send(kind, target string) bool {
	c.requestCount++
	id := fmt.Sprintf("%d-%d-%s", c.id, c.requestCount, kind)
	promptTokens, maxOutputTokens := 1+c.rng.IntN(400), eventTokens*(1+c.rng.IntN(20))
	timeout := maxTimeout/2 + time.Duration(c.rng.Int64N(int64(maxTimeout/2)))
	if c.rng.IntN(20) == 0 {
		// The client cancels this request early.
		timeout = time.Duration(1 + c.rng.Int64N(int64(30*time.Millisecond)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	body, inParts := "body of "+id, c.rng.IntN(10) == 0
	if inParts {
		body = strings.Repeat(body, maxBufferedBytes/len(body)*2)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/"+kind+"/x", strings.NewReader(body))
	if err != nil {
		c.history.addViolation("%s: %v", id, err)
		return false
	}
	if inParts {
		half := len(body) / 2
		req.Body = io.NopCloser(io.MultiReader(strings.NewReader(body[:half]), pause(c.rng.Int64N(int64(maxBodyPause))), strings.NewReader(body[half:])))
	}
	// Keeps the HTTP transport from retrying the request.
	req.GetBody = nil
	req.Host = hostname
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Key", apiKey)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	streaming := kind == "review" || kind == "notes"
	if streaming {
		req.Header.Set("Token-Count", fmt.Sprintf("%d,%d", promptTokens, maxOutputTokens))
	}
	c.history.update(id, func(rec *requestRecord) {
		rec.kind = kind
		if streaming {
			rec.promptTokens = promptTokens
		}
	})
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return false
	}
	answer, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	c.history.update(id, func(rec *requestRecord) {
		if streaming {
			rec.receivedEvents = strings.Count(string(answer), "\n\n")
		}
		rec.reportedNotRun = resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	})
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return c.checkResponse(id, resp, string(answer), err)
	}
	if resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusNotFound {
		c.history.addViolation("%s was rejected with status %d", id, resp.StatusCode)
	}
	return false
}

// checkResponse compares a successful response with what the endpoint sent.
func (c *client) checkResponse(id string, resp *http.Response, body string, err error) bool {
	var want string
	c.history.update(id, func(rec *requestRecord) { want = rec.fullBody })
	if resp.Header.Get("Server-Seal") != "seal-"+id {
		c.history.addViolation("%s has the unexpected seal %q", id, resp.Header.Get("Server-Seal"))
	}
	if err != nil {
		// The response is visibly incomplete, but what was received must be a prefix of
		// the complete one.
		if !strings.HasPrefix(want, body) {
			c.history.addViolation("%s was truncated after the unexpected body %q", id, body)
		}
		return false
	}
	if body != want {
		c.history.addViolation("%s looks complete with the body %q, want %q", id, body, want)
	}
	c.served.Add(1)
	return true
}

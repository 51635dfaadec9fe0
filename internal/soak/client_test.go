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
	tenant = "workshop"
	apiKey = "key-of-the-soak"
	host   = "shop.example"
	// longestWait is the longest time that a client waits for an answer.
	longestWait = 2 * time.Second
	// thinkTime is the longest pause of a client between requests.
	thinkTime = 20 * time.Millisecond
)

// kinds of requests, by the prefix of their routes.
var kinds = []string{"review", "notes", "booking", "lookup"}

// client sends requests to all processes, each over connections that it keeps.
type client struct {
	n       int
	rand    *rand.Rand
	book    *book
	targets []string
	http    http.Client
	served  *atomic.Int64
	sent    int
}

func (c *client) run(stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	for {
		select {
		case <-stop:
			c.http.CloseIdleConnections()
			return
		case <-time.After(time.Duration(c.rand.Int64N(int64(thinkTime)))):
		}
		c.send(kinds[c.rand.IntN(len(kinds))], c.targets[c.rand.IntN(len(c.targets))])
	}
}

// send sends one request and reports whether it was served.
func (c *client) send(kind, target string) bool {
	c.sent++
	id := fmt.Sprintf("%d-%d-%s", c.n, c.sent, kind)
	prompt, most := 1+c.rand.IntN(400), eventTokens*(1+c.rand.IntN(20))
	wait := longestWait/2 + time.Duration(c.rand.Int64N(int64(longestWait/2)))
	if c.rand.IntN(20) == 0 {
		// This client gives up early.
		wait = time.Duration(1 + c.rand.Int64N(int64(30*time.Millisecond)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/"+kind+"/x", strings.NewReader("body of "+id))
	if err != nil {
		c.book.problem("%s: %v", id, err)
		return false
	}
	// The client's library must not send a request again by itself.
	req.GetBody = nil
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Key", apiKey)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	streams := kind == "review" || kind == "notes"
	if streams {
		req.Header.Set("Token-Count", fmt.Sprintf("%d,%d", prompt, most))
	}
	c.book.see(id, func(a *attempt) {
		a.kind = kind
		if streams {
			a.prompt = prompt
		}
	})
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	c.book.see(id, func(a *attempt) {
		if streams {
			a.received = strings.Count(string(body), "\n\n")
		}
		a.promised = resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	})
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return c.check(id, resp, string(body), err)
	}
	if resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusNotFound {
		c.book.problem("%s was refused with %d", id, resp.StatusCode)
	}
	return false
}

// check compares a success with what the endpoint sent.
func (c *client) check(id string, resp *http.Response, body string, err error) bool {
	var answer string
	c.book.see(id, func(a *attempt) { answer = a.answer })
	if resp.Header.Get("Server-Seal") != "seal-"+id {
		c.book.problem("%s has the seal %q", id, resp.Header.Get("Server-Seal"))
	}
	if err != nil {
		// It does not look complete, but what came must be its beginning.
		if !strings.HasPrefix(answer, body) {
			c.book.problem("%s was cut off in %q", id, body)
		}
		return false
	}
	if body != answer {
		c.book.problem("%s looks complete with %q instead of %q", id, body, answer)
	}
	c.served.Add(1)
	return true
}

package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// eventTokens is how many tokens an event of a stream holds, as the manifest says.
const eventTokens = 5

// conduct is how an endpoint treats requests.
type conduct int

const (
	conductGood conduct = iota
	// conductFails answers with failures of its own.
	conductFails
	// conductDeclines runs nothing and says so.
	conductDeclines
	// conductBreaks cuts answers off.
	conductBreaks
	// conductLoses runs requests and closes the connection without a byte.
	conductLoses
	// conductSlow takes slowness longer for each step.
	conductSlow
	conducts
)

const (
	// eventPause is the time between events, slowness that of a slow endpoint.
	eventPause = 2 * time.Millisecond
	slowness   = 80 * time.Millisecond
)

// attempt is what endpoints and the client saw of one attempt of a client.
type attempt struct {
	kind   string
	prompt int
	// runs counts how often an endpoint began to work on it.
	runs int
	// received counts the events that the client got.
	received int
	// promised is true if the client was told that it has not run and will not.
	promised bool
	// answer is what an endpoint that ran it to a good end sends.
	answer string
}

// book keeps what was seen; promises are checked from it.
type book struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	problems []string
}

func (b *book) see(id string, see func(*attempt)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.attempts[id]
	if a == nil {
		a = &attempt{}
		b.attempts[id] = a
	}
	see(a)
}

func (b *book) problem(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.problems = append(b.problems, fmt.Sprintf(format, args...))
}

// endpoint is a stand-in of a worker behind a link.
type endpoint struct {
	id      string
	service string
	link    *link
	book    *book

	mu      sync.Mutex
	conduct conduct
}

func newEndpoint(t *testing.T, id, service string, b *book) *endpoint {
	e := &endpoint{id: id, service: service, book: b}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	e.link = newLink(t, server.Listener.Addr().String())
	return e
}

func (e *endpoint) set(c conduct) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conduct = c
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	c := e.conduct
	e.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if c == conductDeclines {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Server-Seal", "seal-"+id)
	e.book.see(id, func(a *attempt) { a.runs++ })
	if got := r.Header.Get("Tenant"); got != tenant {
		e.book.problem("%s ran for tenant %q", id, got)
	}
	if c == conductSlow {
		time.Sleep(slowness)
	}
	if c == conductLoses {
		panic(http.ErrAbortHandler)
	}
	if c == conductFails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if e.service == "model" {
		e.stream(w, r, id, c)
		return
	}
	body := "done " + id
	e.book.see(id, func(a *attempt) { a.answer = body })
	if c == conductBreaks {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		body = body[:len(body)/2]
	}
	fmt.Fprint(w, body)
	if c == conductBreaks {
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// stream sends the events behind the one that the request names as its last.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, id string, c conduct) {
	_, most, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(most)
	events := tokens / eventTokens
	var whole strings.Builder
	for n := range events {
		whole.WriteString(eventText(id, n+1))
	}
	e.book.see(id, func(a *attempt) { a.answer = whole.String() })
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		if c == conductBreaks && n > events/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprint(w, eventText(id, n)); err != nil {
			return
		}
		http.NewResponseController(w).Flush()
		time.Sleep(eventPause)
	}
}

func eventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

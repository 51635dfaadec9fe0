package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// eventTokens is the number of tokens per event of a stream, as configured.
const eventTokens = 5

// behavior is how an endpoint handles requests.
type behavior int

const (
	behaviorNormal behavior = iota
	// behaviorFail returns internal server errors.
	behaviorFail
	// behaviorReject rejects requests as not executed.
	behaviorReject
	// behaviorTruncate aborts responses in the middle.
	behaviorTruncate
	// behaviorDropConnection executes requests and closes the connection without a
	// response.
	behaviorDropConnection
	// behaviorSlow delays each response by slowDelay.
	behaviorSlow
	// behaviorUnframed sends responses with neither a length nor chunks.
	behaviorUnframed
	// behaviorUnframedReset resets such responses in the middle.
	behaviorUnframedReset
	// behaviorPause rejects requests and asks for a pause.
	behaviorPause
	// behaviorLimited names a limit in its responses.
	behaviorLimited
	behaviorCount
)

const (
	// eventInterval is the time between the events of a stream, slowDelay the delay of
	// a slow endpoint.
	eventInterval = 2 * time.Millisecond
	slowDelay     = 80 * time.Millisecond
)

// requestRecord holds what the client and the endpoints observed of one request that the
// client sent.
type requestRecord struct {
	kind         string
	promptTokens int
	// executions is how many times an endpoint started to execute the request.
	executions int
	// receivedEvents is the number of events that the client received.
	receivedEvents int
	// reportedNotRun is true if the response told the client that the request was not
	// and will not be executed.
	reportedNotRun bool
	// fullBody is the complete body that an endpoint sends if there is no fault.
	fullBody string
}

// history records all requests, from which the guarantees are checked, and the
// violations that were found.
type history struct {
	mu         sync.Mutex
	requests   map[string]*requestRecord
	violations []string
}

func (h *history) update(id string, modify func(*requestRecord)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec := h.requests[id]
	if rec == nil {
		rec = &requestRecord{}
		h.requests[id] = rec
	}
	modify(rec)
}

func (h *history) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// endpoint is a fake back end behind a fault proxy.
type endpoint struct {
	id      string
	service string
	proxy   *faultProxy
	history *history

	mu       sync.Mutex
	behavior behavior
}

func newEndpoint(t *testing.T, id, service string, h *history) *endpoint {
	e := &endpoint{id: id, service: service, history: h}
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	e.proxy = newFaultProxy(t, server.Listener.Addr().String())
	return e
}

func (e *endpoint) setBehavior(b behavior) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behavior = b
}

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	b := e.behavior
	e.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch b {
	case behaviorPause:
		w.Header().Set("Retry-After", "0.4")
	case behaviorLimited:
		w.Header().Set("Server-Limit", "4")
	}
	if b == behaviorReject || b == behaviorPause {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Server-Seal", "seal-"+id)
	e.history.update(id, func(rec *requestRecord) { rec.executions++ })
	if got := r.Header.Get("Tenant"); got != tenant {
		e.history.addViolation("%s was executed for tenant %q", id, got)
	}
	if b == behaviorSlow {
		time.Sleep(slowDelay)
	}
	if b == behaviorDropConnection {
		panic(http.ErrAbortHandler)
	}
	if b == behaviorFail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if b == behaviorUnframed || b == behaviorUnframedReset {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if e.service == "model" {
		e.stream(w, r, id, b)
		return
	}
	body := "done " + id
	e.history.update(id, func(rec *requestRecord) { rec.fullBody = body })
	switch b {
	case behaviorTruncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		body = body[:len(body)/2]
	case behaviorUnframedReset:
		body = body[:len(body)/2]
	}
	fmt.Fprint(w, body)
	abort(w, b)
}

// abort ends a response early if the behavior says so.
func abort(w http.ResponseWriter, b behavior) {
	switch b {
	case behaviorTruncate:
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case behaviorUnframedReset:
		http.NewResponseController(w).Flush()
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}
}

// stream sends the events after the one given by the request's Last-Event-Id.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, id string, b behavior) {
	_, maxOutputTokens, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	outputTokens, _ := strconv.Atoi(maxOutputTokens)
	events := outputTokens / eventTokens
	var fullBody strings.Builder
	for n := range events {
		fullBody.WriteString(eventText(id, n+1))
	}
	e.history.update(id, func(rec *requestRecord) { rec.fullBody = fullBody.String() })
	w.Header().Set("Content-Type", "text/event-stream")
	lastEventID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := lastEventID + 1; n <= events; n++ {
		if n > events/2 && (b == behaviorTruncate || b == behaviorUnframedReset) {
			abort(w, b)
			return
		}
		if _, err := fmt.Fprint(w, eventText(id, n)); err != nil {
			return
		}
		http.NewResponseController(w).Flush()
		time.Sleep(eventInterval)
	}
}

func eventText(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

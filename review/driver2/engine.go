//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stride is the number of tokens in an event of a stream.
const stride = 5

// run is a request that an endpoint began to work on.
type run struct {
	At       time.Time
	Endpoint string
	ID       string
	Tenant   string
	Path     string
	Body     string
	Parts    string
	Prompt   int64
	Output   int64
}

// engine is a stand-in of a worker. It runs every request at once.
type engine struct {
	id, service, zone string
	address           string
	born              int64
	capacity          int
	server            *http.Server

	mu   sync.Mutex
	runs []run
	// eventGap is the time between the events of a stream, workTime that of a plain request.
	eventGap, workTime time.Duration
	// poison is the path of the request that crashes the endpoint, which is back after
	// downTime.
	poison string
	// poisonPart is the part of a prompt that crashes the endpoint.
	poisonPart string
	// poisonEvents is the number of events that it sends before that.
	poisonEvents int
	crashes      []time.Time
	down         bool
}

// hasPart reports whether a prompt has a part that is not its last.
func hasPart(header, part string) bool {
	entries := strings.Split(header, ",")
	for _, entry := range entries[:len(entries)-1] {
		if id, _, _ := strings.Cut(strings.TrimSpace(entry), ":"); id == part {
			return true
		}
	}
	return false
}

// downTime is how long an endpoint is away after a crash.
const downTime = 2 * time.Second

// crash ends the endpoint as a crash of its process does: its connections are reset and its
// port refuses new ones. It is back with the same id and knows nothing of before.
func (e *engine) crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	e.crashes = append(e.crashes, time.Now())
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(downTime, func() {
		l, err := net.Listen("tcp", e.address)
		if err != nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		e.down, e.born = false, time.Now().UnixMilli()
		e.server = &http.Server{Handler: e}
		go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	})
}

// isDown reports whether the endpoint has crashed and is not back yet.
func (e *engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

func startEngine(id, service, zone, address string) (*engine, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &engine{
		id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), capacity: 64,
		eventGap: 400 * time.Millisecond,
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// entry is what the endpoint says of itself in the store.
func (e *engine) entry(sequence int, state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"backend": e.service, "address": e.address, "zone": e.zone, "version": "v1", "capacity": e.capacity, "state": state,
		"cold_left_ms": 0, "sequence": sequence, "born": e.born,
	}
}

func (e *engine) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	h := w.Header()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		h.Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	prompt, output := tokenCount(r.Header.Get("Token-Count"))
	e.mu.Lock()
	e.runs = append(e.runs, run{
		At: time.Now(), Endpoint: e.id, ID: id, Tenant: r.Header.Get("Tenant"), Path: r.URL.Path, Body: string(body), Parts: r.Header.Get("Prefix-Hash"), Prompt: prompt, Output: output,
	})
	e.mu.Unlock()
	h.Set("Server-Seal", "seal-"+id)
	h.Set("Server-Load", "1,0,"+strconv.Itoa(e.capacity))
	if e.poison != "" && r.URL.Path == e.poison || e.poisonPart != "" && hasPart(r.Header.Get("Prefix-Hash"), e.poisonPart) {
		if e.poisonEvents > 0 {
			h.Set("Content-Type", "text/event-stream")
			e.stream(w, r, int64(e.poisonEvents)*stride)
		}
		go e.crash()
		<-r.Context().Done()
		return
	}
	if output == 0 {
		select {
		case <-time.After(e.workTime):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "answer of %s to %s\n", e.id, id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	e.stream(w, r, output)
}

// stream sends one event for each stride tokens.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, output int64) {
	rc := http.NewResponseController(w)
	for n := int64(1); n <= (output+stride-1)/stride; n++ {
		if n > 1 {
			select {
			case <-time.After(e.eventGap):
			case <-r.Context().Done():
				return
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: {\"piece\":%d}\n\n", n, n); err != nil || rc.Flush() != nil {
			return
		}
	}
}

func tokenCount(header string) (prompt, output int64) {
	p, o, _ := strings.Cut(header, ",")
	prompt, _ = strconv.ParseInt(strings.TrimSpace(p), 10, 64)
	output, _ = strconv.ParseInt(strings.TrimSpace(o), 10, 64)
	return prompt, output
}

// heartbeats writes the entries of endpoints until stop is closed.
func heartbeats(s *store, engines []*engine, stop <-chan struct{}) {
	for sequence := 1; ; sequence++ {
		for _, e := range engines {
			if !e.isDown() {
				s.beat(e, sequence)
			}
		}
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-stop:
			return
		}
	}
}

// beat writes an endpoint's entry. An entry changes only when more than its sequence does.
func (s *store) beat(e *engine, sequence int) {
	s.mu.Lock()
	stored := s.objects["servers"][e.id]
	s.mu.Unlock()
	if stored != nil {
		var old map[string]any
		if json.Unmarshal(stored.Spec, &old) == nil {
			old["sequence"] = sequence
			if sameJSON(mustJSON(old), mustJSON(e.entry(sequence, "ready"))) {
				return
			}
		}
	}
	s.set("servers", e.id, e.entry(sequence, "ready"))
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

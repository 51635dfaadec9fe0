//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a model worker: it streams one event of eventTokens tokens every
// pace, as many as the request asks for.
type worker struct {
	id, address string
	service     string
	zone        string
	pace        time.Duration
	log         *recorder
	// quiet leaves the runs out of the record.
	quiet  bool
	server *http.Server
	born   int64

	mu      sync.Mutex
	running int
	started map[string]int
	// ended maps the id of a request to the number of events that were written, and
	// whether that were all.
	ended map[string]runEnd
}

type runEnd struct {
	events   int
	complete bool
}

const (
	eventTokens = 5
	slots       = 64
)

func startWorker(s *store, log *recorder, id, service, zone string, pace time.Duration, quiet bool) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wk := &worker{
		id: id, address: l.Addr().String(), service: service, zone: zone, pace: pace, log: log, quiet: quiet, born: time.Now().UnixMilli(),
		started: map[string]int{}, ended: map[string]runEnd{},
	}
	wk.server = &http.Server{Handler: wk, IdleTimeout: 30 * time.Second}
	go func() { _ = wk.server.Serve(l) }()
	wk.announce(s, "ready")
	return wk, nil
}

// announce writes the worker's entry to the store.
func (wk *worker) announce(s *store, state string) {
	s.put("servers", wk.id, map[string]any{
		"backend": wk.service, "address": wk.address, "zone": wk.zone, "version": "v1", "capacity": slots, "state": state,
		"cold_left_ms": 0, "phase": "mixed", "model_list": []any{}, "sequence": 1, "born": wk.born,
	})
}

// leave drains the worker as PROTOCOL.md says: it reports draining, serves on for drain and
// a little longer, and ends. Its entry is removed then.
func (wk *worker) leave(s *store, drain time.Duration) {
	wk.announce(s, "draining")
	time.Sleep(drain + 300*time.Millisecond)
	_ = wk.server.Close()
	s.remove("servers", wk.id)
}

// ServeHTTP implements http.Handler.
func (wk *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	wk.mu.Lock()
	wk.running++
	load := fmt.Sprintf("%d,0,%d", wk.running, slots)
	full := wk.running > slots
	wk.mu.Unlock()
	defer func() {
		wk.mu.Lock()
		wk.running--
		wk.mu.Unlock()
	}()
	h := w.Header()
	h.Set("Server-Load", load)
	if id != "" {
		h.Set("Attempt-Id", id)
	}
	switch {
	case r.URL.Path == "/healthz":
		h.Set("Instance-Id", wk.id)
		return
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != wk.id:
		h.Set("Instance-Id", wk.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "" || full:
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, output, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.Atoi(output)
	events := tokens / eventTokens
	wk.mu.Lock()
	wk.started[id]++
	wk.mu.Unlock()
	if !wk.quiet {
		wk.log.printf("worker %s runs %s, %d events", wk.id, id, events)
	}
	h.Set("Server-Seal", "seal."+wk.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	sent := 0
	defer func() {
		wk.mu.Lock()
		wk.ended[id] = runEnd{sent, sent == events}
		wk.mu.Unlock()
		if !wk.quiet {
			wk.log.printf("worker %s ends %s after %d of %d events", wk.id, id, sent, events)
		}
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		select {
		case <-time.After(wk.pace):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		sent = n
	}
}

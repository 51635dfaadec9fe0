package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// Engine is a fake model engine.
type Engine struct {
	mux    *http.ServeMux
	loop   *loop[engineEvent]
	lastID atomic.Uint64
}

// NewEngine starts an engine; Close stops it.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.Clock == nil {
		cfg.Clock = SystemClock{}
	}
	w := &engineWorld{cfg: cfg, now: cfg.Clock.Now()}
	recordLoad(w)
	e := &Engine{mux: http.NewServeMux(), loop: startLoop[engineEvent](cfg.Clock, w)}
	e.mux.HandleFunc("POST /v1/generate", e.generate)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.Handle("/admin/", e.AdminHandler())
	return e
}

// AdminHandler returns a handler of only the admin API, for an address that stays
// reachable while the engine is down.
func (e *Engine) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/faults", adminSetter(e.SetFaults))
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Stats()) })
	mux.HandleFunc("POST /admin/crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
	mux.HandleFunc("POST /admin/revive", func(http.ResponseWriter, *http.Request) { e.Restart() })
	return mux
}

// ServeHTTP implements http.Handler. While the engine is down, it drops connections
// without a response; ServeEngine refuses them instead.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Close stops the engine and aborts open streams.
func (e *Engine) Close() { e.loop.close() }

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f EngineFaults) { e.loop.postAndWait(setEngineFaults{f}) }

// Crash aborts all streams. The engine is down until its restart.
func (e *Engine) Crash() { e.loop.postAndWait(setDown{true}) }

// Restart brings the engine back up after a crash.
func (e *Engine) Restart() { e.loop.postAndWait(setDown{false}) }

// WaitForState blocks until the engine is down, or up if down is false.
func (e *Engine) WaitForState(ctx context.Context, down bool) error {
	waiter := waitForState{down: down, reached: make(chan struct{})}
	e.loop.post(waiter)
	select {
	case <-waiter.reached:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.loop.done:
		return http.ErrServerClosed
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	response := make(chan loadReport, 1)
	e.loop.post(readLoad{response})
	report, ok := receive(e.loop, response)
	if !ok {
		dropConnection()
	}
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	start := startStream{id: streamID(e.lastID.Add(1)), result: make(chan generateResult, 1)}
	if !readJSON(w, r, &start.req) {
		return
	}
	e.loop.post(start)
	result, ok := receive(e.loop, start.result)
	if !ok {
		dropConnection()
	}
	if result.refusal != "" {
		w.Header().Set("Refusal", result.refusal)
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	for {
		// The first flush sends the response headers before the first token is ready.
		if controller.Flush() != nil {
			e.loop.post(cancelStream{start.id})
			return
		}
		select {
		case <-r.Context().Done():
			e.loop.post(cancelStream{start.id})
			return
		case <-e.loop.done:
			dropConnection()
		case line, open := <-result.lines:
			if !open {
				dropConnection()
			}
			if line.truncated {
				return
			}
			if encoder.Encode(line) != nil || line.Done {
				e.loop.post(cancelStream{start.id})
				return
			}
		}
	}
}

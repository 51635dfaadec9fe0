package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
)

// Engine is a stand-in for a model engine.
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
	sampleLoad(w)
	e := &Engine{mux: http.NewServeMux(), loop: startLoop[engineEvent](cfg.Clock, w)}
	e.mux.HandleFunc("POST /v1/generate", e.generate)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.Handle("/admin/", e.Admin())
	return e
}

// Admin returns the handler of the admin endpoints alone, for an address that
// stays reachable while the engine is down.
func (e *Engine) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/faults", adminPost(e.SetFaults))
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Stats()) })
	mux.HandleFunc("POST /admin/crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
	mux.HandleFunc("POST /admin/revive", func(http.ResponseWriter, *http.Request) { e.Revive() })
	return mux
}

// ServeHTTP implements http.Handler. While the engine is down, connections
// are dropped without an answer; ServeEngine refuses them.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Close stops the engine; open streams break.
func (e *Engine) Close() { e.loop.close() }

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f EngineFaults) { e.loop.do(setEngineFaults{f}) }

// Crash drops all streams and refuses work until the engine is revived.
func (e *Engine) Crash() { e.loop.do(setDown{true}) }

// Revive ends a crash.
func (e *Engine) Revive() { e.loop.do(setDown{false}) }

// AwaitDown blocks until the engine is down, or up.
func (e *Engine) AwaitDown(ctx context.Context, down bool) error {
	wait := awaitDown{down: down, reached: make(chan struct{})}
	e.loop.post(wait)
	select {
	case <-wait.reached:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.loop.done:
		return http.ErrServerClosed
	}
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	answer := make(chan loadReport, 1)
	e.loop.post(readLoad{answer})
	report, ok := receive(e.loop, answer)
	if !ok {
		dropConnection()
	}
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	start := newStream{id: streamID(e.lastID.Add(1)), reply: make(chan streamReply, 1)}
	if !readJSON(w, r, &start.req) {
		return
	}
	e.loop.post(start)
	reply, ok := receive(e.loop, start.reply)
	if !ok {
		dropConnection()
	}
	if reply.refusal != "" {
		w.Header().Set("Refusal", reply.refusal)
		w.WriteHeader(http.StatusConflict)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	for {
		// The client waits for the head before the first token.
		if flush.Flush() != nil {
			e.loop.post(cancelStream{start.id})
			return
		}
		select {
		case <-r.Context().Done():
			e.loop.post(cancelStream{start.id})
			return
		case <-e.loop.done:
			dropConnection()
		case step, open := <-reply.steps:
			if !open {
				dropConnection()
			}
			if step.truncated {
				return
			}
			if out.Encode(step) != nil || step.Done {
				e.loop.post(cancelStream{start.id})
				return
			}
		}
	}
}

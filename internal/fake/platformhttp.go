package fake

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// maxWatchWait bounds the wait of one watch.
const maxWatchWait = 60 * time.Second

// Platform is a stand-in for the object API and the membership list.
type Platform struct {
	mux    *http.ServeMux
	loop   *loop[platformEvent]
	lastID atomic.Uint64
}

// NewPlatform starts a platform; Close stops it.
func NewPlatform(cfg PlatformConfig) *Platform {
	w := &platformWorld{lag: cfg.MemberLag, reads: limiter(cfg.ReadsPerSecond), writes: limiter(cfg.WritesPerSecond)}
	p := &Platform{mux: http.NewServeMux(), loop: startLoop[platformEvent](cfg.Clock, w)}
	p.mux.HandleFunc("GET /v1/objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		p.serve(w, r, platformCall{op: opGet})
	})
	p.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.put)
	p.mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) {
		p.serve(w, r, platformCall{op: opDelete, version: queryNumber(r, "version")})
	})
	p.mux.HandleFunc("GET /v1/objects/{kind}", func(w http.ResponseWriter, r *http.Request) {
		p.serve(w, r, platformCall{op: opList, after: r.URL.Query().Get("after")})
	})
	p.mux.HandleFunc("GET /v1/watch/{kind}", p.watch)
	p.mux.HandleFunc("GET /v1/members", func(w http.ResponseWriter, r *http.Request) {
		p.serve(w, r, platformCall{op: opMembers})
	})
	p.mux.HandleFunc("POST /admin/faults", adminPost(p.SetFaults))
	p.mux.HandleFunc("POST /admin/members", adminPost(p.SetMember))
	p.mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Counts())
	})
	return p
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Close stops the platform; open calls end without an answer.
func (p *Platform) Close() { p.loop.close() }

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f PlatformFaults) { p.loop.do(setPlatformFaults{f}) }

// SetMember marks a host as live or leaving.
func (p *Platform) SetMember(m Member) { p.loop.do(setMember{m}) }

// Counts returns the number of calls by kind and operation.
func (p *Platform) Counts() []CallCount {
	answer := make(chan []CallCount, 1)
	p.loop.post(readCounts{answer})
	counts, _ := receive(p.loop, answer)
	return counts
}

// AwaitCalls blocks until n calls of an operation on a kind have arrived.
func (p *Platform) AwaitCalls(ctx context.Context, kind, op string, n int64) error {
	e := awaitCalls{key: countKey{kind, platformOp(op)}, n: n, reached: make(chan struct{})}
	p.loop.post(e)
	select {
	case <-e.reached:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-p.loop.done:
		return http.ErrServerClosed
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Value []byte `json:"value"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	if len(body.Value) > MaxValueBytes {
		writeJSON(w, http.StatusRequestEntityTooLarge, refusalBody{Code: "not_applied"})
		return
	}
	c := platformCall{op: opUpdate, value: body.Value, version: queryNumber(r, "version")}
	if r.URL.Query().Get("create") == "true" {
		c.op = opCreate
	}
	p.serve(w, r, c)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	// Bound the number before the conversion, which could overflow.
	millis := min(queryNumber(r, "wait_ms"), uint64(maxWatchWait.Milliseconds()))
	wait := time.Duration(millis) * time.Millisecond
	p.serve(w, r, platformCall{op: opWatch, version: queryNumber(r, "since"), wait: wait})
}

// serve posts a call and carries its answer to the client.
func (p *Platform) serve(w http.ResponseWriter, r *http.Request, c platformCall) {
	c.id = callID(p.lastID.Add(1))
	c.kind, c.name = r.PathValue("kind"), r.PathValue("name")
	c.answer = make(chan platformAnswer, 1)
	p.loop.post(c)
	select {
	case a := <-c.answer:
		writePlatformAnswer(w, c.op, a)
	case <-r.Context().Done():
		p.loop.post(clientLeft{c.id})
	case <-p.loop.done:
		dropConnection()
	}
}

func writePlatformAnswer(w http.ResponseWriter, op platformOp, a platformAnswer) {
	switch a.outcome {
	case outcomeDropped:
		dropConnection()
	case outcomeNotFound:
		writeJSON(w, http.StatusNotFound, refusalBody{Code: "not_found"})
	case outcomeConflict:
		writeJSON(w, http.StatusConflict, refusalBody{Code: "conflict"})
	case outcomeRateLimited:
		writeJSON(w, http.StatusTooManyRequests, refusalBody{Code: "not_applied"})
	case outcomeOutage:
		writeJSON(w, http.StatusServiceUnavailable, refusalBody{Code: "not_applied"})
	case outcomeOK:
		writeJSON(w, http.StatusOK, resultBody(op, a))
	}
}

// resultBody returns the JSON body of a call that succeeded.
func resultBody(op platformOp, a platformAnswer) any {
	switch op {
	case opGet:
		return a.objects[0]
	case opList:
		return struct {
			Objects []object `json:"objects"`
			Next    string   `json:"next"`
		}{a.objects, a.next}
	case opWatch:
		return struct {
			Objects  []object `json:"objects"`
			Revision uint64   `json:"revision"`
		}{a.objects, a.revision}
	case opMembers:
		return struct {
			Members []Member `json:"members"`
		}{a.members}
	}
	return struct {
		Version uint64 `json:"version"`
	}{a.revision}
}

func queryNumber(r *http.Request, key string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

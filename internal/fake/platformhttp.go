package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"laburnumroad.dev/laburnumroad/platform"
)

const (
	// maxWatchWait bounds the wait of one watch.
	maxWatchWait = 30 * time.Second
	kindPath     = platform.ObjectsPath + "{kind}"
	onePath      = kindPath + "/{name}"
)

// Platform is a stand-in for the platform's store and its membership list. It
// speaks the published protocol of the store.
type Platform struct {
	mux    *http.ServeMux
	loop   *loop[platformEvent]
	lastID atomic.Uint64
}

// NewPlatform starts a platform; Close stops it.
func NewPlatform(cfg PlatformConfig) *Platform {
	w := &platformWorld{lag: cfg.MemberLag, reads: limiter(cfg.ReadsPerSecond), writes: limiter(cfg.WritesPerSecond)}
	p := &Platform{mux: http.NewServeMux(), loop: startLoop[platformEvent](cfg.Clock, w)}
	p.mux.HandleFunc("GET "+onePath, func(w http.ResponseWriter, r *http.Request) {
		p.serve(w, r, platformCall{op: opGet})
	})
	p.mux.HandleFunc("POST "+kindPath, p.create)
	p.mux.HandleFunc("PUT "+onePath, p.update)
	p.mux.HandleFunc("DELETE "+onePath, func(w http.ResponseWriter, r *http.Request) {
		p.serve(w, r, platformCall{op: opDelete, name: r.PathValue("name"), version: queryNumber(r, platform.QueryRevision)})
	})
	p.mux.HandleFunc("GET "+kindPath, p.listOrWatch)
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

func (p *Platform) create(w http.ResponseWriter, r *http.Request) { p.write(w, r, opCreate) }

func (p *Platform) update(w http.ResponseWriter, r *http.Request) { p.write(w, r, opUpdate) }

func (p *Platform) write(w http.ResponseWriter, r *http.Request, op platformOp) {
	var body platform.WireObject
	if !readJSON(w, r, &body) {
		return
	}
	if len(body.Spec) > MaxValueBytes {
		writeJSON(w, http.StatusRequestEntityTooLarge, refusalBody{Error: "the value is too large"})
		return
	}
	name := body.Metadata.Name
	if op == opUpdate {
		name = r.PathValue("name")
	}
	p.serve(w, r, platformCall{op: op, name: name, value: body.Spec, version: body.Metadata.Revision})
}

// listOrWatch serves a list, a watch from a revision, or the membership list.
func (p *Platform) listOrWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch {
	case query.Has(platform.QueryWatch):
		// Bound the number before the conversion, which could overflow.
		millis := min(queryNumber(r, platform.QueryWait), uint64(maxWatchWait.Milliseconds()))
		wait := time.Duration(millis) * time.Millisecond
		p.serve(w, r, platformCall{op: opWatch, version: queryNumber(r, platform.QueryWatch), wait: wait})
	case r.PathValue("kind") == platform.KindMembers:
		p.serve(w, r, platformCall{op: opMembers})
	default:
		p.serve(w, r, platformCall{op: opList, after: query.Get(platform.QueryAfter)})
	}
}

// serve posts a call and carries its answer to the client.
func (p *Platform) serve(w http.ResponseWriter, r *http.Request, c platformCall) {
	c.id = callID(p.lastID.Add(1))
	c.kind = r.PathValue("kind")
	if c.name == "" {
		c.name = r.PathValue("name")
	}
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
		writeJSON(w, http.StatusNotFound, refusalBody{Error: "there is no such object"})
	case outcomeConflict:
		writeJSON(w, http.StatusConflict, body(&a.objects[0]))
	case outcomeCompacted:
		writeJSON(w, http.StatusGone, refusalBody{Error: "the history is gone"})
	case outcomeRateLimited:
		writeJSON(w, http.StatusTooManyRequests, refusalBody{Error: "too many calls"})
	case outcomeOutage:
		writeJSON(w, http.StatusServiceUnavailable, refusalBody{Error: "unavailable"})
	case outcomeOK:
		writeJSON(w, http.StatusOK, resultBody(op, a))
	}
}

func body(o *object) platform.WireObject {
	return platform.WireObject{Metadata: platform.WireMetadata{Name: o.Name, Revision: o.Version}, Spec: o.Value}
}

// encoded returns the body of an object within a list.
func encoded(o *object) json.RawMessage {
	data, err := json.Marshal(body(o))
	if err != nil {
		// The values came in as JSON.
		panic(err)
	}
	return data
}

// resultBody returns the JSON body of a call that succeeded.
func resultBody(op platformOp, a platformAnswer) any {
	switch op {
	case opWatch:
		answer := platform.WireEvents{Events: []platform.WireEvent{}, Revision: a.revision}
		for i := range a.objects {
			answer.Events = append(answer.Events, platform.WireEvent{Deleted: a.objects[i].Deleted, Object: encoded(&a.objects[i])})
		}
		return answer
	case opList, opMembers:
		answer := platform.WireList{Entries: []json.RawMessage{}, HasMore: a.more, Revision: a.revision}
		for i := range a.objects {
			answer.Entries = append(answer.Entries, encoded(&a.objects[i]))
		}
		return answer
	}
	return body(&a.objects[0])
}

func queryNumber(r *http.Request, key string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

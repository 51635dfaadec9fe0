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
	// maxWatchWait bounds the time that a watch waits for changes.
	maxWatchWait   = 30 * time.Second
	collectionPath = platform.ObjectsPath + "{kind}"
	objectPath     = collectionPath + "/{name}"
)

// Copy is a copy of a store.
type Copy struct{ state storedState }

// Platform is a fake of the platform's store and its membership list. It implements
// the public protocol of the store.
type Platform struct {
	mux    *http.ServeMux
	loop   *loop[platformEvent]
	lastID atomic.Uint64
}

// NewPlatform starts a platform; Close stops it.
func NewPlatform(cfg PlatformConfig) *Platform {
	w := &platformWorld{era: cfg.Era, memberLag: cfg.MemberLag, readLimiter: newLimiter(cfg.ReadsPerSecond), writeLimiter: newLimiter(cfg.WritesPerSecond)}
	p := &Platform{mux: http.NewServeMux(), loop: startLoop[platformEvent](cfg.Clock, w)}
	p.mux.HandleFunc("GET "+objectPath, func(w http.ResponseWriter, r *http.Request) {
		p.handleCall(w, r, platformCall{op: opGet})
	})
	p.mux.HandleFunc("POST "+collectionPath, p.create)
	p.mux.HandleFunc("PUT "+objectPath, p.update)
	p.mux.HandleFunc("DELETE "+objectPath, func(w http.ResponseWriter, r *http.Request) {
		p.handleCall(w, r, platformCall{op: opDelete, name: r.PathValue("name"), revision: queryUint(r, platform.QueryRevision)})
	})
	p.mux.HandleFunc("GET "+collectionPath, p.listOrWatch)
	p.mux.HandleFunc("POST /admin/faults", adminSetter(p.SetFaults))
	p.mux.HandleFunc("POST /admin/members", adminSetter(p.SetMember))
	p.mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Counts())
	})
	return p
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Close stops the platform and drops open calls without a response.
func (p *Platform) Close() { p.loop.close() }

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f PlatformFaults) { p.loop.postAndWait(setPlatformFaults{f}) }

// Copy returns a copy of all that the store holds, for ReturnFrom.
func (p *Platform) Copy() Copy {
	response := make(chan storedState, 1)
	p.loop.post(copyStore{response})
	copied, _ := receive(p.loop, response)
	return Copy{copied}
}

// ReturnFrom lets the store come back from a copy: what was written since is lost, revisions
// are given out again, and the era rises by one.
func (p *Platform) ReturnFrom(c Copy) { p.loop.postAndWait(returnFromCopy{c.state}) }

// SetMember sets a host to live or leaving, or removes it from the list.
func (p *Platform) SetMember(m Member) { p.loop.postAndWait(setMember{m}) }

// Counts returns the number of calls by kind and operation.
func (p *Platform) Counts() []CallCount {
	response := make(chan []CallCount, 1)
	p.loop.post(readCounts{response})
	counts, _ := receive(p.loop, response)
	return counts
}

// WaitForCalls blocks until at least n calls of an operation on a kind have arrived.
func (p *Platform) WaitForCalls(ctx context.Context, kind, op string, n int64) error {
	waiter := waitForCalls{key: callCountKey{kind, platformOp(op)}, minCalls: n, reached: make(chan struct{})}
	p.loop.post(waiter)
	select {
	case <-waiter.reached:
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
		writeJSON(w, http.StatusRequestEntityTooLarge, errorBody{Error: "the value is too large"})
		return
	}
	name := body.Metadata.Name
	if op == opUpdate {
		name = r.PathValue("name")
	}
	p.handleCall(w, r, platformCall{op: op, name: name, value: body.Spec, revision: body.Metadata.Revision})
}

// listOrWatch serves a list, a watch from a revision, or the membership list.
func (p *Platform) listOrWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch {
	case query.Has(platform.QueryWatch):
		// Bound the number first because its conversion to a duration could overflow.
		millis := min(queryUint(r, platform.QueryWait), uint64(maxWatchWait.Milliseconds()))
		wait := time.Duration(millis) * time.Millisecond
		p.handleCall(w, r, platformCall{op: opWatch, revision: queryUint(r, platform.QueryWatch), wait: wait})
	case r.PathValue("kind") == platform.KindMembers:
		p.handleCall(w, r, platformCall{op: opMembers})
	default:
		p.handleCall(w, r, platformCall{op: opList, afterName: query.Get(platform.QueryAfter)})
	}
}

// handleCall posts a call and sends its result to the client.
func (p *Platform) handleCall(w http.ResponseWriter, r *http.Request, c platformCall) {
	c.id = callID(p.lastID.Add(1))
	c.kind = r.PathValue("kind")
	if c.name == "" {
		c.name = r.PathValue("name")
	}
	c.result = make(chan callResult, 1)
	p.loop.post(c)
	select {
	case result := <-c.result:
		if result.era > 0 {
			w.Header().Set("Store-Era", strconv.FormatUint(result.era, 10))
		}
		writeCallResult(w, c.op, result)
	case <-r.Context().Done():
		p.loop.post(clientDisconnected{c.id})
	case <-p.loop.done:
		dropConnection()
	}
}

func writeCallResult(w http.ResponseWriter, op platformOp, result callResult) {
	switch result.outcome {
	case outcomeDropped:
		dropConnection()
	case outcomeNotFound:
		writeJSON(w, http.StatusNotFound, errorBody{Error: "there is no such object"})
	case outcomeConflict:
		writeJSON(w, http.StatusConflict, wireObject(&result.objects[0]))
	case outcomeCompacted:
		writeJSON(w, http.StatusGone, errorBody{Error: "the history is gone"})
	case outcomeRateLimited:
		writeJSON(w, http.StatusTooManyRequests, errorBody{Error: "too many calls"})
	case outcomeOutage:
		writeJSON(w, http.StatusServiceUnavailable, errorBody{Error: "unavailable"})
	case outcomeOK:
		writeJSON(w, http.StatusOK, responseBody(op, result))
	}
}

func wireObject(o *object) platform.WireObject {
	return platform.WireObject{Metadata: platform.WireMetadata{Name: o.Name, Revision: o.Version}, Spec: o.Value}
}

// encodeObject encodes an object as an element of a list.
func encodeObject(o *object) json.RawMessage {
	data, err := json.Marshal(wireObject(o))
	if err != nil {
		// The value was decoded from JSON, so it can be encoded.
		panic(err)
	}
	return data
}

// responseBody returns the response body of a successful call.
func responseBody(op platformOp, result callResult) any {
	switch op {
	case opWatch:
		events := platform.WireEvents{Events: []platform.WireEvent{}, Revision: result.revision}
		for i := range result.objects {
			events.Events = append(events.Events, platform.WireEvent{Deleted: result.objects[i].Deleted, Object: encodeObject(&result.objects[i])})
		}
		return events
	case opList, opMembers:
		page := platform.WireList{Entries: []json.RawMessage{}, HasMore: result.hasMore, Revision: result.revision}
		for i := range result.objects {
			page.Entries = append(page.Entries, encodeObject(&result.objects[i]))
		}
		return page
	}
	return wireObject(&result.objects[0])
}

func queryUint(r *http.Request, key string) uint64 {
	n, err := strconv.ParseUint(r.URL.Query().Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

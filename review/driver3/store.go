package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerDelay is how long the store takes for an answer.
const answerDelay = 4 * time.Millisecond

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision,omitempty"`
	Created         uint64   `json:"created,omitempty"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	revision uint64
	kind     string
	deleted  bool
	object   object
}

// state is what the store keeps, and what a copy of it holds.
type state struct {
	revision uint64
	objects  map[string]map[string]object
	history  []change
}

func (s *state) clone() state {
	c := state{revision: s.revision, objects: map[string]map[string]object{}, history: append([]change(nil), s.history...)}
	for kind, objects := range s.objects {
		c.objects[kind] = map[string]object{}
		for name, o := range objects {
			c.objects[kind][name] = o
		}
	}
	return c
}

// store is a stand-in of the platform's store: objects by kind and name, one revision
// counter, conditional writes and watches.
type store struct {
	address string

	mu      sync.Mutex
	state   state
	era     int
	down    bool
	changed chan struct{}
	conns   map[net.Conn]struct{}
	// watchLimit is after what time a watch that waits is cut off; 0 means never.
	watchLimit time.Duration
}

func newStore(ip string) *store {
	s := &store{state: state{revision: 500, objects: map[string]map[string]object{}}, era: 1, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	l := listen(ip)
	s.address = l.Addr().String()
	server := &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(s.conns, c)
			return
		}
		s.conns[c] = struct{}{}
	}}
	go server.Serve(l)
	return s
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	s.mu.Lock()
	down := s.down
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	s.mu.Lock()
	if s.down {
		// The answer is lost with the connection.
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, answer := s.call(r, kind, name, body)
	s.mu.Unlock()
	reply(w, status, answer)
}

func (s *store) call(r *http.Request, kind, name string, body object) (int, any) {
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	old, exists := s.state.objects[kind][name]
	want := body.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		want, _ = strconv.ParseUint(q, 10, 64)
	}
	switch {
	case r.Method == http.MethodGet && name == "":
		entries := []object{}
		for _, n := range sortedNames(s.state.objects[kind]) {
			if n > r.URL.Query().Get("after") {
				entries = append(entries, s.state.objects[kind][n])
			}
		}
		return http.StatusOK, map[string]any{"entries": entries, "has_more": false, "at": s.state.revision}
	case r.Method == http.MethodGet && exists:
		return http.StatusOK, old
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, old
	case r.Method == http.MethodPost:
		return http.StatusOK, s.put(kind, name, body.Spec)
	case !exists:
		return http.StatusNotFound, map[string]any{"error": "there is no such object"}
	case want != 0 && want != old.Metadata.Revision:
		return http.StatusConflict, old
	case r.Method == http.MethodPut:
		return http.StatusOK, s.put(kind, name, body.Spec)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old
	}
	return http.StatusMethodNotAllowed, nil
}

// put stores a value. A value that changes nothing makes no revision; the sequence number
// alone does not change the entry of a worker.
func (s *store) put(kind, name string, spec json.RawMessage) object {
	old, exists := s.state.objects[kind][name]
	if exists && sameValue(kind, old.Spec, spec) {
		return old
	}
	s.state.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.state.revision, Created: old.Metadata.Created, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if !exists {
		o.Metadata.Created = s.state.revision
	}
	if s.state.objects[kind] == nil {
		s.state.objects[kind] = map[string]object{}
	}
	s.state.objects[kind][name] = o
	s.record(change{revision: s.state.revision, kind: kind, object: o})
	return o
}

func (s *store) remove(kind, name string) {
	old, exists := s.state.objects[kind][name]
	if !exists {
		return
	}
	delete(s.state.objects[kind], name)
	s.state.revision++
	old.Metadata.Revision = s.state.revision
	s.record(change{revision: s.state.revision, kind: kind, deleted: true, object: old})
}

func (s *store) record(c change) {
	s.state.history = append(s.state.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer deadline.Stop()
	var cut <-chan time.Time
	s.mu.Lock()
	if s.watchLimit > 0 {
		cut = time.After(s.watchLimit)
	}
	s.mu.Unlock()
	for expired := false; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if since > s.state.revision {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"error": "there is no such revision"})
			return
		}
		events := []any{}
		for _, c := range s.state.history {
			if c.kind == kind && c.revision > since {
				events = append(events, map[string]any{"deleted": c.deleted, "object": c.object})
			}
		}
		at, changed := s.state.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-cut:
			// The server closes the connection.
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// write stores a value as the operator or a worker does. It reports whether the store took it.
func (s *store) write(kind, name string, value any) bool {
	spec, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.put(kind, name, spec)
	return true
}

// writeUntilTaken repeats a write until the store takes it, and returns when that was.
func (s *store) writeUntilTaken(kind, name string, value any) time.Time {
	for !s.write(kind, name, value) {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Now()
}

// cutWatches cuts off each watch that waits longer than a limit, from now on.
func (s *store) cutWatches(limit time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchLimit = limit
}

// drop removes an object as the platform does, and returns when that was.
func (s *store) drop(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
	return time.Now()
}

// copyState returns a copy of all that the store holds.
func (s *store) copyState() state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

func (s *store) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

// goAway drops all connections and answers nothing until comeBack.
func (s *store) goAway() {
	s.mu.Lock()
	s.down = true
	close(s.changed)
	s.changed = make(chan struct{})
	var open []net.Conn
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}

// comeBack serves again, from a copy if there is one.
func (s *store) comeBack(copied *state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if copied != nil {
		s.state = copied.clone()
		s.era++
	}
	s.down = false
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that left gets no answer.
	_ = json.NewEncoder(w).Encode(body)
}

func sameValue(kind string, a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	if kind != "servers" {
		return false
	}
	var left, right map[string]any
	if json.Unmarshal(a, &left) != nil || json.Unmarshal(b, &right) != nil {
		return false
	}
	left["sequence"], right["sequence"] = 0, 0
	x, _ := json.Marshal(left)
	y, _ := json.Marshal(right)
	return bytes.Equal(x, y)
}

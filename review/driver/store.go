//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in of the platform's metadata store: objects by kind and name,
// lists, watches and conditional writes, as PROTOCOL.md describes them.
type store struct {
	address string
	log     *recorder

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*storedObject
	events   []storeEvent
	changed  chan struct{}
	// silent is true while calls get no answer. silences counts the changes, so that a
	// call which was open during a silence gets no answer later.
	silent   bool
	silences int
}

type storedObject struct {
	name              string
	revision, created uint64
	spec              json.RawMessage
}

type storeEvent struct {
	kind     string
	revision uint64
	deleted  bool
	object   json.RawMessage
}

func (o *storedObject) encode() json.RawMessage {
	spec := o.spec
	if len(spec) == 0 {
		spec = json.RawMessage("null")
	}
	data, _ := json.Marshal(map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deletion_pending": false},
		"spec":     spec, "status": nil,
	})
	return data
}

func startStore(log *recorder) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), log: log, objects: map[string]map[string]*storedObject{}, revision: 1, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// setSilent begins or ends an outage in which calls get no answer. Open calls get none
// either, also after its end: what was lost stays lost.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.silences++
}

// awaitClose blocks until the caller closes the connection.
func awaitClose(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// put creates or replaces an object like the operator or a worker.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLocked(kind, name, data)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) setLocked(kind, name string, spec json.RawMessage) *storedObject {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*storedObject{}
	}
	o := s.objects[kind][name]
	if o != nil && string(o.spec) == string(spec) {
		return o
	}
	s.revision++
	if o == nil {
		o = &storedObject{name: name, created: s.revision}
		s.objects[kind][name] = o
	}
	o.revision, o.spec = s.revision, spec
	s.addEventLocked(storeEvent{kind, s.revision, false, o.encode()})
	return o
}

func (s *store) removeLocked(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	o.revision = s.revision
	delete(s.objects[kind], name)
	s.addEventLocked(storeEvent{kind, s.revision, true, o.encode()})
}

func (s *store) addEventLocked(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		reply(w, 404, "unknown path")
		return
	}
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		awaitClose(r)
	}
	kind, name, _ := strings.Cut(rest, "/")
	switch r.Method {
	case http.MethodGet:
		if name != "" {
			s.get(w, kind, name)
		} else if r.URL.Query().Has("watch") {
			s.watch(w, r, kind)
		} else {
			s.list(w, kind, r.URL.Query().Get("after"))
		}
	case http.MethodPost, http.MethodPut:
		s.write(w, r, kind, name)
	case http.MethodDelete:
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.objects[kind][name] == nil {
			reply(w, 404, "no such object")
			return
		}
		s.removeLocked(kind, name)
		reply(w, 200, struct{}{})
	default:
		reply(w, 405, "method")
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.objects[kind][name]; o != nil {
		reply(w, 200, o.encode())
		return
	}
	reply(w, 404, "no such object")
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []json.RawMessage{}
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	if more {
		names = names[:500]
	}
	for _, name := range names {
		entries = append(entries, s.objects[kind][name].encode())
	}
	reply(w, 200, map[string]any{"entries": entries, "has_more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	s.mu.Lock()
	silences := s.silences
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.silences != silences {
			s.mu.Unlock()
			awaitClose(r)
		}
		events := []any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, map[string]any{"deleted": e.deleted, "object": e.object})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			s.mu.Lock()
			lost := s.silences != silences
			s.mu.Unlock()
			if lost {
				awaitClose(r)
			}
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, 400, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	o := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && o != nil, o != nil && body.Metadata.Revision != 0 && body.Metadata.Revision != o.revision:
		reply(w, 409, o.encode())
	case r.Method == http.MethodPut && o == nil:
		reply(w, 404, "no such object")
	default:
		reply(w, 200, s.setLocked(kind, name, body.Spec).encode())
	}
}

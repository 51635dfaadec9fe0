//go:build review

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath = "/api/objects/"
	// answerTime is how long the store takes for an answer.
	answerTime = 4 * time.Millisecond
)

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion_pending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type storeEvent struct {
	Deleted bool    `json:"deleted"`
	Object  *object `json:"object"`
	kind    string
	at      uint64
}

// write is a PUT or POST of a process of the system.
type write struct {
	Kind, Name string
	Method     string
	Condition  uint64
	Spec       json.RawMessage
}

// store is a stand-in of the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	events   []storeEvent
	changed  chan struct{}
	// lose decides on a write before it is carried out: whether its answer is lost, and
	// after which time it is carried out then.
	lose func(write) (time.Duration, bool)
	// onWrite is told of each write that was carried out, and whether it changed anything.
	onWrite func(w write, status int, changed, late bool)
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
}

// put carries out a write and returns the status and the object. The caller holds mu.
func (s *store) put(w write) (status int, o *object, changed bool) {
	old := s.objects[w.Kind][w.Name]
	switch {
	case w.Method == http.MethodPost && old != nil:
		return http.StatusConflict, old, false
	case w.Method == http.MethodPut && old == nil:
		return http.StatusNotFound, nil, false
	case w.Method == http.MethodPut && w.Condition != 0 && w.Condition != old.Metadata.Revision:
		return http.StatusConflict, old, false
	case old != nil && sameJSON(old.Spec, w.Spec):
		// A PUT that changes nothing does not increase the revision.
		return http.StatusOK, old, false
	}
	s.revision++
	next := &object{Metadata: metadata{Name: w.Name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: w.Spec}
	if old != nil {
		next.Metadata.Created = old.Metadata.Created
	}
	if s.objects[w.Kind] == nil {
		s.objects[w.Kind] = map[string]*object{}
	}
	s.objects[w.Kind][w.Name] = next
	s.events = append(s.events, storeEvent{Object: next, kind: w.Kind, at: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, next, true
}

func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

// set writes an object as the operator or an endpoint does.
func (s *store) set(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	method := http.MethodPut
	if s.objects[kind][name] == nil {
		method = http.MethodPost
	}
	s.put(write{Kind: kind, Name: name, Method: method, Spec: value})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, hasName := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodGet && hasName:
		time.Sleep(answerTime)
		s.mu.Lock()
		o := s.objects[kind][name]
		s.mu.Unlock()
		if o == nil {
			answer(w, http.StatusNotFound, map[string]string{"error": "not found"})
			return
		}
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodGet:
		s.listOrWatch(w, r, kind)
	case r.Method == http.MethodPut || r.Method == http.MethodPost:
		s.serveWrite(w, r, kind, name)
	default:
		answer(w, http.StatusMethodNotAllowed, map[string]string{"error": "not supported by the stand-in"})
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(r.Body)
	var o object
	if err != nil || json.Unmarshal(body, &o) != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": "unreadable"})
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	call := write{Kind: kind, Name: name, Method: r.Method, Condition: o.Metadata.Revision, Spec: o.Spec}
	if s.lose != nil {
		if delay, lost := s.lose(call); lost {
			time.AfterFunc(delay, func() { s.carryOut(call, true) })
			// A connection on which a response is lost returns nothing further.
			<-r.Context().Done()
			return
		}
	}
	time.Sleep(answerTime)
	status, stored := s.carryOut(call, false)
	if stored == nil {
		answer(w, status, map[string]string{"error": "not found"})
		return
	}
	answer(w, status, stored)
}

func (s *store) carryOut(call write, late bool) (int, *object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, stored, changed := s.put(call)
	if s.onWrite != nil {
		s.onWrite(call, status, changed, late)
	}
	return status, stored
}

func (s *store) listOrWatch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	if !query.Has("watch") {
		time.Sleep(answerTime)
		s.mu.Lock()
		entries := []*object{}
		for _, o := range s.objects[kind] {
			if o.Metadata.Name > query.Get("after") {
				entries = append(entries, o)
			}
		}
		at := s.revision
		s.mu.Unlock()
		slices.SortFunc(entries, func(a, b *object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
		answer(w, http.StatusOK, map[string]any{"entries": entries, "has_more": false, "at": at})
		return
	}
	since, _ := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.at > since {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			time.Sleep(answerTime)
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

package fake

import (
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// ServiceConfig sets the properties of a Service.
type ServiceConfig struct {
	// Delay is the time between the execution of a call and its answer.
	Delay time.Duration
	Clock Clock
}

// ServiceFaults are the faults in force. Each setting replaces the former.
type ServiceFaults struct {
	// LoseAnswers is the number of calls whose answer is lost after they ran.
	LoseAnswers int `json:"lose_answers"`
	// Refuse answers each call that it was not run.
	Refuse bool `json:"refuse"`
}

// Execution counts how often a call ran.
type Execution struct {
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Count     int64  `json:"count"`
}

// ServiceCounts reports all executions.
type ServiceCounts struct {
	Operations map[string]int64 `json:"operations"`
	Keys       []Execution      `json:"keys"`
}

// ServiceAnswer is the body of an answer.
type ServiceAnswer struct {
	Operation string `json:"operation"`
	Key       string `json:"key"`
	// Count is the number of executions of the key, this one included.
	Count int64 `json:"count"`
	// BodyHash is the xxhash64 of the request body in hexadecimal.
	BodyHash string `json:"body_hash"`
}

type executionKey struct{ operation, key string }

type serviceCallID uint64

// serviceCall is an arrived call; its row lives until it is answered.
type serviceCall struct {
	id     serviceCallID
	key    executionKey
	hash   string
	due    time.Time
	lost   bool
	result ServiceAnswer
	answer chan serviceReply
}

// serviceReply is the answer of a call; a refused call was not run.
type serviceReply struct {
	refused bool
	body    ServiceAnswer
}

// serviceWorld is the state of a service; only its loop touches it.
type serviceWorld struct {
	now        time.Time
	delay      time.Duration
	faults     ServiceFaults
	executions table.Table[executionKey, Execution]
	calls      table.Table[serviceCallID, serviceCall]
}

// serviceEvent enters the tables at the start of a tick.
type serviceEvent interface{ arrive(w *serviceWorld) }

func (w *serviceWorld) tick(now time.Time, events []serviceEvent) time.Time {
	w.now = now
	for _, e := range events {
		e.arrive(w)
	}
	answerCalls(w)
	var next time.Time
	w.calls.Each(func(_ serviceCallID, c *serviceCall) { next = earliest(next, c.due) })
	return next
}

// arrive runs a call; it counts even if its client leaves before the answer.
func (c serviceCall) arrive(w *serviceWorld) {
	if w.faults.Refuse {
		c.answer <- serviceReply{refused: true}
		return
	}
	run := w.executions.Get(c.key)
	if run == nil {
		run = w.executions.Put(c.key, Execution{Operation: c.key.operation, Key: c.key.key})
	}
	run.Count++
	c.result = ServiceAnswer{Operation: run.Operation, Key: run.Key, Count: run.Count, BodyHash: c.hash}
	if w.faults.LoseAnswers > 0 {
		w.faults.LoseAnswers--
		c.lost = true
	}
	c.due = w.now.Add(w.delay)
	w.calls.Put(c.id, c)
}

// answerCalls answers the calls whose delay is over.
func answerCalls(w *serviceWorld) {
	w.calls.DeleteIf(func(_ serviceCallID, c *serviceCall) bool {
		switch {
		case c.due.After(w.now):
			return false
		case c.lost:
			close(c.answer)
		default:
			c.answer <- serviceReply{body: c.result}
		}
		return true
	})
}

type setServiceFaults struct{ faults ServiceFaults }

func (e setServiceFaults) arrive(w *serviceWorld) { w.faults = e.faults }

type readExecutions struct{ answer chan ServiceCounts }

func (e readExecutions) arrive(w *serviceWorld) {
	counts := ServiceCounts{Operations: map[string]int64{}, Keys: []Execution{}}
	w.executions.Each(func(k executionKey, run *Execution) {
		counts.Operations[k.operation] += run.Count
		counts.Keys = append(counts.Keys, *run)
	})
	e.answer <- counts
}

type readActive struct{ answer chan int }

func (e readActive) arrive(w *serviceWorld) { e.answer <- w.calls.Len() }

// Service is a stand-in for a plain service.
type Service struct {
	mux    *http.ServeMux
	loop   *loop[serviceEvent]
	lastID atomic.Uint64
}

// NewService starts a service; Close stops it.
func NewService(cfg ServiceConfig) *Service {
	s := &Service{mux: http.NewServeMux()}
	s.loop = startLoop[serviceEvent](cfg.Clock, &serviceWorld{delay: cfg.Delay})
	s.mux.HandleFunc("POST /v1/call/{operation}", s.call)
	s.mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		answer := make(chan int, 1)
		s.loop.post(readActive{answer})
		active, ok := receive(s.loop, answer)
		if !ok {
			dropConnection()
		}
		writeJSON(w, http.StatusOK, loadReport{Active: active})
	})
	s.mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
	s.mux.HandleFunc("POST /admin/faults", adminPost(s.SetFaults))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close stops the service; open calls end without an answer.
func (s *Service) Close() { s.loop.close() }

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f ServiceFaults) { s.loop.do(setServiceFaults{f}) }

// Counts returns the executions by operation and by key.
func (s *Service) Counts() ServiceCounts {
	answer := make(chan ServiceCounts, 1)
	s.loop.post(readExecutions{answer})
	counts, _ := receive(s.loop, answer)
	return counts
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	key, err := url.QueryUnescape(r.Header.Get("Request-Key"))
	if err != nil {
		refuseBadRequest(w)
		return
	}
	c := serviceCall{
		id:     serviceCallID(s.lastID.Add(1)),
		key:    executionKey{r.PathValue("operation"), key},
		hash:   strconv.FormatUint(xxhash.Sum64(body), 16),
		answer: make(chan serviceReply, 1),
	}
	s.loop.post(c)
	reply, ok := receive(s.loop, c.answer)
	switch {
	case !ok:
		dropConnection()
	case reply.refused:
		w.Header().Set("Refusal", "not_run")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		writeJSON(w, http.StatusOK, reply.body)
	}
}

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

// ServiceConfig configures a Service.
type ServiceConfig struct {
	// ResponseDelay is the time between the execution of a call and its response.
	ResponseDelay time.Duration
	Clock         Clock
}

// ServiceFaults are the injected faults. Setting them replaces all earlier ones.
type ServiceFaults struct {
	// LoseResponses is the number of calls that are executed but whose response is lost.
	LoseResponses int `json:"lose_answers"`
	// Refuse rejects each call as not executed.
	Refuse bool `json:"refuse"`
}

// Execution counts the executions of an operation with a key.
type Execution struct {
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Count     int64  `json:"count"`
}

// ExecutionCounts are the executions by operation and by key.
type ExecutionCounts struct {
	Operations map[string]int64 `json:"operations"`
	Keys       []Execution      `json:"keys"`
}

// ServiceResponse is the body of a response.
type ServiceResponse struct {
	Operation string `json:"operation"`
	Key       string `json:"key"`
	// Count is the number of executions with the key, including this one.
	Count int64 `json:"count"`
	// BodyHash is the xxhash64 of the request body in hexadecimal.
	BodyHash string `json:"body_hash"`
}

type executionKey struct{ operation, key string }

type serviceCallID uint64

// serviceCall is a call that arrived. Its row exists until the call completes.
type serviceCall struct {
	id           serviceCallID
	key          executionKey
	bodyHash     string
	respondAt    time.Time
	loseResponse bool
	response     ServiceResponse
	result       chan serviceResult
}

// serviceResult is the result of a call. A rejected call was not executed.
type serviceResult struct {
	rejected bool
	response ServiceResponse
}

// serviceWorld is the state of a service. Only the goroutine of its event loop
// accesses it.
type serviceWorld struct {
	now           time.Time
	responseDelay time.Duration
	faults        ServiceFaults
	executions    table.Table[executionKey, Execution]
	calls         table.Table[serviceCallID, serviceCall]
}

// serviceEvent is applied to the state at the start of a tick.
type serviceEvent interface{ apply(w *serviceWorld) }

func (w *serviceWorld) tick(now time.Time, events []serviceEvent) time.Time {
	w.now = now
	for _, e := range events {
		e.apply(w)
	}
	completeCalls(w)
	var next time.Time
	w.calls.Each(func(_ serviceCallID, c *serviceCall) { next = earliest(next, c.respondAt) })
	return next
}

// apply executes the call. The execution counts even if the client disconnects
// before the response.
func (c serviceCall) apply(w *serviceWorld) {
	if w.faults.Refuse {
		c.result <- serviceResult{rejected: true}
		return
	}
	execution := w.executions.Get(c.key)
	if execution == nil {
		execution = w.executions.Put(c.key, Execution{Operation: c.key.operation, Key: c.key.key})
	}
	execution.Count++
	c.response = ServiceResponse{Operation: execution.Operation, Key: execution.Key, Count: execution.Count, BodyHash: c.bodyHash}
	if w.faults.LoseResponses > 0 {
		w.faults.LoseResponses--
		c.loseResponse = true
	}
	c.respondAt = w.now.Add(w.responseDelay)
	w.calls.Put(c.id, c)
}

// completeCalls sends the results of the calls whose delay has passed. A closed
// channel drops the client's connection without a response.
func completeCalls(w *serviceWorld) {
	w.calls.DeleteIf(func(_ serviceCallID, c *serviceCall) bool {
		switch {
		case c.respondAt.After(w.now):
			return false
		case c.loseResponse:
			close(c.result)
		default:
			c.result <- serviceResult{response: c.response}
		}
		return true
	})
}

type setServiceFaults struct{ faults ServiceFaults }

func (e setServiceFaults) apply(w *serviceWorld) { w.faults = e.faults }

type readExecutionCounts struct{ counts chan ExecutionCounts }

func (e readExecutionCounts) apply(w *serviceWorld) {
	counts := ExecutionCounts{Operations: map[string]int64{}, Keys: []Execution{}}
	w.executions.Each(func(k executionKey, execution *Execution) {
		counts.Operations[k.operation] += execution.Count
		counts.Keys = append(counts.Keys, *execution)
	})
	e.counts <- counts
}

type readActiveCalls struct{ count chan int }

func (e readActiveCalls) apply(w *serviceWorld) { e.count <- w.calls.Len() }

// Service is a fake plain service.
type Service struct {
	mux    *http.ServeMux
	loop   *loop[serviceEvent]
	lastID atomic.Uint64
}

// NewService starts a service; Close stops it.
func NewService(cfg ServiceConfig) *Service {
	s := &Service{mux: http.NewServeMux()}
	s.loop = startLoop[serviceEvent](cfg.Clock, &serviceWorld{responseDelay: cfg.ResponseDelay})
	s.mux.HandleFunc("POST /v1/call/{operation}", s.call)
	s.mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		response := make(chan int, 1)
		s.loop.post(readActiveCalls{response})
		active, ok := receive(s.loop, response)
		if !ok {
			dropConnection()
		}
		writeJSON(w, http.StatusOK, loadReport{Active: active})
	})
	s.mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
	s.mux.HandleFunc("POST /admin/faults", adminSetter(s.SetFaults))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close stops the service and drops open calls without a response.
func (s *Service) Close() { s.loop.close() }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f ServiceFaults) { s.loop.postAndWait(setServiceFaults{f}) }

// Counts returns the number of executions by operation and by key.
func (s *Service) Counts() ExecutionCounts {
	response := make(chan ExecutionCounts, 1)
	s.loop.post(readExecutionCounts{response})
	counts, _ := receive(s.loop, response)
	return counts
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	key, err := url.QueryUnescape(r.Header.Get("Request-Key"))
	if err != nil {
		rejectBadRequest(w)
		return
	}
	c := serviceCall{
		id:       serviceCallID(s.lastID.Add(1)),
		key:      executionKey{r.PathValue("operation"), key},
		bodyHash: strconv.FormatUint(xxhash.Sum64(body), 16),
		result:   make(chan serviceResult, 1),
	}
	s.loop.post(c)
	result, ok := receive(s.loop, c.result)
	switch {
	case !ok:
		dropConnection()
	case result.rejected:
		w.Header().Set("Refusal", "not_run")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		writeJSON(w, http.StatusOK, result.response)
	}
}

package loadtool

import (
	"math/rand/v2"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// requestID is the sequence number of a request in the run.
type requestID int

// request is a row of the table of requests in flight.
type request struct {
	id requestID
	// due is the scheduled send time, relative to the start of the run.
	due       time.Duration
	callerURL string
	service   string
	budget    string
	// isCall marks a call of the plain service; other requests are generate requests.
	isCall bool
}

// completion is the event that reports the outcome of a request.
type completion struct {
	request requestID
	// code is empty for a complete response, else the code of the refusal or failure.
	code string
	// firstTokenLatency is measured from the scheduled send time. It is 0 if no token
	// arrived.
	firstTokenLatency time.Duration
	tokenIntervals    []time.Duration
	latency           time.Duration
	tokens            int64
}

// state holds the tables of a run. It is confined to the goroutine of Run.
type state struct {
	plan        *Plan
	rand        *rand.Rand
	now         time.Duration
	nextRequest int
	inFlight    table.Table[requestID, request]

	// inbox and outbox are the input and the output of one tick.
	inbox  []completion
	outbox []request
	result Result
}

func newState(p *Plan) *state {
	return &state{plan: p, rand: rand.New(rand.NewPCG(p.Seed, p.Seed)), result: newResult()}
}

// systems run in this order at each tick.
var systems = []func(*state){recordCompletions, sendDueRequests}

func (s *state) tick(now time.Duration) {
	s.now = now
	for _, run := range systems {
		run(s)
	}
	s.inbox = s.inbox[:0]
}

// recordCompletions adds finished requests to the result. It ignores completions of
// requests that are no longer in flight.
func recordCompletions(s *state) {
	for i := range s.inbox {
		e := &s.inbox[i]
		req := s.inFlight.Get(e.request)
		if req == nil {
			continue
		}
		s.result.record(req, e)
		s.inFlight.Delete(e.request)
	}
}

// sendDueRequests sends the requests that are due. The load is open-loop: a request is
// sent at its scheduled time whether or not earlier ones have completed, so that a slow
// fleet shows up as higher latency and not as a lower rate.
func sendDueRequests(s *state) {
	for s.nextRequest < s.plan.requestCount() && s.plan.dueTime(s.nextRequest) <= s.now {
		req := s.newRequest(requestID(s.nextRequest))
		s.nextRequest++
		if s.inFlight.Len() >= s.plan.MaxOpen {
			s.result.NotSent++
			continue
		}
		s.result.Sent++
		s.inFlight.Put(req.id, req)
		s.outbox = append(s.outbox, req)
	}
}

func (s *state) newRequest(id requestID) request {
	p := s.plan
	req := request{
		id: id, due: p.dueTime(int(id)), callerURL: p.CallerURLs[int(id)%len(p.CallerURLs)],
		budget: p.Budgets[s.rand.IntN(len(p.Budgets))], isCall: s.rand.Float64() < p.CallShare,
	}
	req.service = p.CallService
	if !req.isCall {
		req.service = p.Services[s.rand.IntN(len(p.Services))]
	}
	return req
}

// done reports whether all requests were sent and have completed.
func (s *state) done() bool { return s.nextRequest >= s.plan.requestCount() && s.inFlight.Len() == 0 }

// untilNextRequest returns the time until the next request is due. When no request is left
// to send, it returns the request timeout.
func (s *state) untilNextRequest() time.Duration {
	if s.nextRequest >= s.plan.requestCount() {
		return s.plan.Timeout
	}
	return max(0, s.plan.dueTime(s.nextRequest)-s.now)
}

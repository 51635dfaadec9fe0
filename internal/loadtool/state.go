package loadtool

import (
	"math/rand/v2"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
)

// callID numbers the requests of a run in the order in which they are due.
type callID int

// call is an open request.
type call struct {
	id      callID
	due     time.Duration
	caller  string
	service string
	budget  string
	plain   bool
}

// ended is the event at the end of a request.
type ended struct {
	call callID
	// code is empty for a whole answer, or the code of the refusal or failure.
	code string
	// firstToken is the time from when the request was due, or 0 without one.
	firstToken time.Duration
	gaps       []time.Duration
	took       time.Duration
	tokens     int64
}

// state holds the tables of a run. Only the goroutine of Run uses it.
type state struct {
	plan *Plan
	rand *rand.Rand
	now  time.Duration
	next int
	open table.Table[callID, call]

	// inbox and outbox are the input and the output of one tick.
	inbox  []ended
	outbox []call
	result Result
}

func newState(p *Plan) *state {
	return &state{plan: p, rand: rand.New(rand.NewPCG(p.Seed, p.Seed)), result: newResult()}
}

// systems run in this order at each tick.
var systems = []func(*state){collect, schedule}

func (s *state) tick(now time.Duration) {
	s.now = now
	for _, run := range systems {
		run(s)
	}
	s.inbox = s.inbox[:0]
}

// collect records the requests that ended.
func collect(s *state) {
	for i := range s.inbox {
		e := &s.inbox[i]
		c := s.open.Get(e.call)
		if c == nil {
			continue
		}
		s.result.add(c, e)
		s.open.Delete(e.call)
	}
}

// schedule sends the requests that are due. A request is sent at its time
// whether or not earlier ones were answered, so that a slow fleet shows up in
// the times and not as a lower rate.
func schedule(s *state) {
	for s.next < s.plan.total() && s.plan.due(s.next) <= s.now {
		c := s.draw(callID(s.next))
		s.next++
		if s.open.Len() >= s.plan.MaxOpen {
			s.result.NotSent++
			continue
		}
		s.result.Sent++
		s.open.Put(c.id, c)
		s.outbox = append(s.outbox, c)
	}
}

func (s *state) draw(id callID) call {
	p := s.plan
	c := call{
		id: id, due: p.due(int(id)), caller: p.Callers[int(id)%len(p.Callers)],
		budget: p.Budgets[s.rand.IntN(len(p.Budgets))], plain: s.rand.Float64() < p.CallShare,
	}
	c.service = p.CallService
	if !c.plain {
		c.service = p.Services[s.rand.IntN(len(p.Services))]
	}
	return c
}

// done reports whether all requests were sent and have ended.
func (s *state) done() bool { return s.next >= s.plan.total() && s.open.Len() == 0 }

// wait returns the time until the next request is due, or until the end.
func (s *state) wait() time.Duration {
	if s.next >= s.plan.total() {
		return s.plan.Timeout
	}
	return max(0, s.plan.due(s.next)-s.now)
}

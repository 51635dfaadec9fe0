package routing_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

const testSlots = 4

// simulation drives a router with random events from agents that answer, reject
// attempts, fail, leave and lose their sessions. It tracks every attempt independently of
// the router.
type simulation struct {
	*harness
	t   *rapid.T
	now table.Instant
	// openAttempts holds the attempts that have not ended, in dispatch order.
	openAttempts []command.Dispatch
	// mayHaveRun holds the requests that may have run in some attempt.
	mayHaveRun map[table.RequestID]bool
	// rejectedAsBusy holds the requests whose last attempt was rejected as busy, so
	// that their next attempt does not count as a retry.
	rejectedAsBusy map[table.RequestID]bool
	attempts       map[table.RequestID]int
	accepted       map[table.ServiceName]int
	retries        map[table.ServiceName]int
	replied        int
}

func newSimulation(t *rapid.T) *simulation {
	return &simulation{
		harness: newHarness(rapid.IntRange(1, 4).Draw(t, "endpoints"), testSlots), t: t, now: ms(1),
		mayHaveRun: map[table.RequestID]bool{}, rejectedAsBusy: map[table.RequestID]bool{},
		attempts: map[table.RequestID]int{},
		accepted: map[table.ServiceName]int{}, retries: map[table.ServiceName]int{},
	}
}

func (s *simulation) step(events ...event.Event) {
	s.tick(s.now, events...)
	for _, d := range s.takeDispatched() {
		s.checkDispatch(d)
	}
	s.checkReplies()
	s.checkInFlight()
	s.checkWorkConserving()
}

func (s *simulation) checkDispatch(d command.Dispatch) {
	e := s.w.Endpoints.Get(d.Endpoint)
	a := s.w.Processes.Get(e.Agent)
	require.Equal(s.t, table.EndpointLive, e.State, "a request was sent to an endpoint that is not live")
	require.True(s.t, a.Connected && a.State == table.ProcessLive, "a request was sent to an agent that is %s", a.State)
	if !d.Idempotent {
		require.False(s.t, s.mayHaveRun[d.Request], "a call that may have run was sent again")
	}
	s.attempts[d.Request]++
	if s.attempts[d.Request] > 1 && !s.rejectedAsBusy[d.Request] {
		s.retries[d.Service]++
	}
	s.rejectedAsBusy[d.Request] = false
	limit := 10 + 0.1*float64(s.accepted[d.Service])
	require.LessOrEqual(s.t, float64(s.retries[d.Service]), limit, "the retry budget was exceeded")
	s.openAttempts = append(s.openAttempts, d)
}

func (s *simulation) checkReplies() {
	require.Empty(s.t, s.refused)
	for id, o := range s.replies {
		open := slices.ContainsFunc(s.openAttempts, func(d command.Dispatch) bool { return d.Request == id })
		if s.mayHaveRun[id] || open {
			require.NotEqual(s.t, table.NotRun, o.Ran, "%s may have run: %+v", id, o)
		}
		s.replied++
		delete(s.replies, id)
	}
}

// checkInFlight compares the in-flight counters of the endpoints with the open
// attempts.
func (s *simulation) checkInFlight() {
	inFlight := map[table.EndpointID]int{}
	for _, d := range s.openAttempts {
		inFlight[d.Endpoint]++
	}
	s.w.Endpoints.Each(func(id table.EndpointID, e *table.Endpoint) {
		require.Equal(s.t, inFlight[id], e.InFlight, id)
		require.LessOrEqual(s.t, e.InFlight, e.Slots, id)
	})
}

// checkWorkConserving fails if a request is queued while an endpoint that may run
// it has a free slot for its class. A slot that the agent reported as used by other
// routers is not free for long requests.
func (s *simulation) checkWorkConserving() {
	for _, id := range s.w.Requests.InState(table.RequestQueued) {
		r := s.w.Requests.Get(id)
		s.w.Endpoints.Each(func(eid table.EndpointID, e *table.Endpoint) {
			a := s.w.Processes.Get(e.Agent)
			slots := testSlots
			if r.Class == table.ClassLong {
				slots -= 1 + e.OthersInFlight
			}
			allowed := e.Service == r.Service && e.State == table.EndpointLive && a.Connected &&
				a.State == table.ProcessLive && !e.Ejected && e.BusyUntil[r.Class] <= s.now
			require.False(s.t, allowed && e.InFlight < slots, "%s waits while %s has a free slot", id, eid)
		})
	}
}

func (s *simulation) sendArrival() {
	a := s.randomArrival()
	s.accepted[a.Service]++
	s.step(a)
}

func (s *simulation) randomArrival() event.Arrival {
	customer := rapid.IntRange(0, 2).Draw(s.t, "customer")
	var a event.Arrival
	switch rapid.SampledFrom([]string{"quick", "long", "book", "look"}).Draw(s.t, "kind") {
	case "quick":
		a = s.arrival(customer, 50, 50)
	case "long":
		a = s.arrival(customer, 3000, 1000)
	case "book":
		a = s.call(customer, "book")
	default:
		a = s.call(customer, "look")
	}
	a.FirstTokenDeadline = time.Duration(rapid.SampledFrom([]int{0, 20, 500}).Draw(s.t, "deadline ms")) * time.Millisecond
	a.Priority = rapid.IntRange(0, 9).Draw(s.t, "priority")
	return a
}

// takeOpenAttempt removes and returns a random open attempt.
func (s *simulation) takeOpenAttempt() (command.Dispatch, bool) {
	if len(s.openAttempts) == 0 {
		return command.Dispatch{}, false
	}
	i := rapid.IntRange(0, len(s.openAttempts)-1).Draw(s.t, "attempt")
	d := s.openAttempts[i]
	s.openAttempts = slices.Delete(s.openAttempts, i, i+1)
	return d, true
}

func (s *simulation) endAttempt() {
	d, ok := s.takeOpenAttempt()
	if !ok {
		return
	}
	switch rapid.SampledFrom([]string{"done", "busy", "not ready", "broken", "broken before run"}).Draw(s.t, "end") {
	case "done":
		s.completeAttempt(d)
	case "busy":
		s.rejectedAsBusy[d.Request] = true
		e := busyRejection(d)
		e.AgentInFlight = testSlots
		if s.mayHaveRun[d.Request] && d.Idempotent {
			e.Ran = table.RanUnknown
		}
		s.step(e)
	case "not ready":
		e := attemptEnd(d, event.AttemptRejected, table.NotRun)
		e.Code = table.CodeNotReady
		s.step(e)
	case "broken":
		s.mayHaveRun[d.Request] = true
		e := attemptEnd(d, event.AttemptBroken, table.RanUnknown)
		e.DeliveredTokens = table.Tokens(rapid.IntRange(0, 10).Draw(s.t, "delivered"))
		s.step(e)
	default:
		s.step(attemptEnd(d, event.AttemptBroken, table.NotRun))
	}
}

func (s *simulation) completeAttempt(d command.Dispatch) {
	s.mayHaveRun[d.Request] = true
	e := attemptEnd(d, event.AttemptDone, table.DidRun)
	e.PromptTokens, e.DeliveredTokens = 10, 10
	s.step(e)
}

// sendStaleEnd sends an end for an attempt number that is not current.
func (s *simulation) sendStaleEnd() {
	if len(s.openAttempts) == 0 {
		return
	}
	d := s.openAttempts[0]
	d.Attempt += rapid.SampledFrom([]uint32{1, ^uint32(0)}).Draw(s.t, "offset")
	s.step(attemptEnd(d, event.AttemptDone, table.DidRun), event.FirstToken{Request: d.Request, Attempt: d.Attempt})
}

func (s *simulation) sendFirstToken() {
	if len(s.openAttempts) == 0 {
		return
	}
	d := s.openAttempts[rapid.IntRange(0, len(s.openAttempts)-1).Draw(s.t, "attempt")]
	if d.Kind == table.ServiceModel {
		s.mayHaveRun[d.Request] = true
		s.step(event.FirstToken{Request: d.Request, Attempt: d.Attempt})
	}
}

func (s *simulation) randomAgent() *table.Process {
	_, a := s.w.Processes.At(rapid.IntRange(0, s.w.Processes.Len()-1).Draw(s.t, "agent"))
	return a
}

func (s *simulation) loseSession() {
	a := s.randomAgent()
	a.Connected = false
	for _, d := range s.openAttempts {
		if d.To == a.Holder {
			s.mayHaveRun[d.Request] = true
		}
	}
	s.openAttempts = slices.DeleteFunc(s.openAttempts, func(d command.Dispatch) bool { return d.To == a.Holder })
	s.step(event.SessionClosed{Peer: a.Holder})
}

func (s *simulation) changeAgentState() {
	a := s.randomAgent()
	a.Connected = rapid.Bool().Draw(s.t, "connected")
	a.State = rapid.SampledFrom([]table.ProcessState{
		table.ProcessLive, table.ProcessLive, table.ProcessSuspect, table.ProcessLeaving,
	}).Draw(s.t, "state")
	s.step()
}

func (s *simulation) changeEndpointState() {
	_, e := s.w.Endpoints.At(rapid.IntRange(0, s.w.Endpoints.Len()-1).Draw(s.t, "endpoint"))
	e.State = rapid.SampledFrom([]table.EndpointState{
		table.EndpointLive, table.EndpointLive, table.EndpointLeaving, table.EndpointDown,
	}).Draw(s.t, "state")
	s.step()
}

func (s *simulation) sendCancel() {
	key := fmt.Sprintf("k%d", rapid.IntRange(1, max(1, s.keys)).Draw(s.t, "key"))
	s.step(event.Cancel{KeyHash: keyHashOf(rapid.IntRange(0, 2).Draw(s.t, "customer")), Key: key})
}

func (s *simulation) advanceClock() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(s.t, "ms")) * time.Millisecond)
	s.step()
}

// Guards against an exceeded retry budget, a free slot that stays unused, work sent
// to a leaving endpoint, a false NOT_RUN, a second run of a call, and load that
// stays counted after its attempt ended.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt)
		steps := []func(){
			s.sendArrival, s.sendArrival, s.sendArrival, s.endAttempt, s.endAttempt, s.endAttempt,
			s.sendFirstToken, s.sendStaleEnd,
			s.loseSession, s.changeAgentState, s.changeEndpointState, s.sendCancel, s.advanceClock,
		}
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")]()
		}
		s.drain()
	})
}

// drain lets every request end and checks that no request and no load remains.
func (s *simulation) drain() {
	s.w.Processes.Each(func(_ table.ProcessID, a *table.Process) { a.Connected, a.State = true, table.ProcessLive })
	s.w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) { e.State = table.EndpointLive })
	const rounds = 2000
	for range rounds {
		if s.w.Requests.Len() == 0 {
			break
		}
		s.now = s.now.Add(100 * time.Millisecond)
		s.step()
		if len(s.openAttempts) > 0 {
			d := s.openAttempts[0]
			s.openAttempts = s.openAttempts[1:]
			s.completeAttempt(d)
		}
	}
	require.Zero(s.t, s.w.Requests.Len(), "requests never ended")
	requireNoLoad(s.t, s.harness)
}

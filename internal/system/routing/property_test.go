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

// fleet is a random run of a router against agents that answer, refuse, break,
// leave and lose their sessions. It keeps its own account of every attempt.
type fleet struct {
	*harness
	t   *rapid.T
	now table.Instant
	// open are the attempts without an end, in the order of their dispatch.
	open []command.Dispatch
	// mayHaveRun holds requests of which an attempt may have run.
	mayHaveRun map[table.RequestID]bool
	// excused holds requests whose last attempt was refused as busy, so that the
	// next attempt is no retry.
	excused  map[table.RequestID]bool
	attempts map[table.RequestID]int
	accepted map[table.ServiceName]int
	retries  map[table.ServiceName]int
	replied  int
}

func newFleet(t *rapid.T) *fleet {
	return &fleet{
		harness: newHarness(rapid.IntRange(1, 4).Draw(t, "endpoints"), testSlots), t: t, now: ms(1),
		mayHaveRun: map[table.RequestID]bool{}, excused: map[table.RequestID]bool{},
		attempts: map[table.RequestID]int{},
		accepted: map[table.ServiceName]int{}, retries: map[table.ServiceName]int{},
	}
}

func (f *fleet) step(events ...event.Event) {
	f.tick(f.now, events...)
	for _, d := range f.takeSent() {
		f.checkDispatch(d)
	}
	f.checkReplies()
	f.checkAccounts()
	f.checkWorkConserving()
}

func (f *fleet) checkDispatch(d command.Dispatch) {
	e := f.w.Endpoints.Get(d.Endpoint)
	a := f.w.Processes.Get(e.Agent)
	require.Equal(f.t, table.EndpointLive, e.State, "work was sent to an endpoint that takes none")
	require.True(f.t, a.Connected && a.State == table.ProcessLive, "work was sent to an agent that is %s", a.State)
	if !d.Idempotent {
		require.False(f.t, f.mayHaveRun[d.Request], "a call that may have run was sent again")
	}
	f.attempts[d.Request]++
	if f.attempts[d.Request] > 1 && !f.excused[d.Request] {
		f.retries[d.Service]++
	}
	f.excused[d.Request] = false
	limit := 10 + 0.1*float64(f.accepted[d.Service])
	require.LessOrEqual(f.t, float64(f.retries[d.Service]), limit, "the retry budget was exceeded")
	f.open = append(f.open, d)
}

func (f *fleet) checkReplies() {
	require.Empty(f.t, f.refused)
	for id, o := range f.replies {
		open := slices.ContainsFunc(f.open, func(d command.Dispatch) bool { return d.Request == id })
		if f.mayHaveRun[id] || open {
			require.NotEqual(f.t, table.NotRun, o.Ran, "%s may have run: %+v", id, o)
		}
		f.replied++
		delete(f.replies, id)
	}
}

// checkAccounts compares the accounts of the endpoints with the open attempts.
func (f *fleet) checkAccounts() {
	inFlight := map[table.EndpointID]int{}
	for _, d := range f.open {
		inFlight[d.Endpoint]++
	}
	f.w.Endpoints.Each(func(id table.EndpointID, e *table.Endpoint) {
		require.Equal(f.t, inFlight[id], e.InFlight, id)
		require.LessOrEqual(f.t, e.InFlight, e.Slots, id)
	})
}

// checkWorkConserving looks for a queued request and a free slot for its class
// at an endpoint that may get it. A slot that the agent counted as used by other
// routers is not free for long work.
func (f *fleet) checkWorkConserving() {
	for _, id := range f.w.Requests.In(table.RequestQueued) {
		r := f.w.Requests.Get(id)
		f.w.Endpoints.Each(func(eid table.EndpointID, e *table.Endpoint) {
			a := f.w.Processes.Get(e.Agent)
			slots := testSlots
			if r.Class == table.ClassLong {
				slots -= 1 + e.OthersInFlight
			}
			allowed := e.Service == r.Service && e.State == table.EndpointLive && a.Connected &&
				a.State == table.ProcessLive && !e.Ejected && e.BusyUntil[r.Class] <= f.now
			require.False(f.t, allowed && e.InFlight < slots, "%s waits while %s has a free slot", id, eid)
		})
	}
}

func (f *fleet) arrive() {
	a := f.randomArrival()
	f.accepted[a.Service]++
	f.step(a)
}

func (f *fleet) randomArrival() event.Arrival {
	customer := rapid.IntRange(0, 2).Draw(f.t, "customer")
	var a event.Arrival
	switch rapid.SampledFrom([]string{"quick", "long", "book", "look"}).Draw(f.t, "kind") {
	case "quick":
		a = f.arrival(customer, 50, 50)
	case "long":
		a = f.arrival(customer, 3000, 1000)
	case "book":
		a = f.call(customer, "book")
	default:
		a = f.call(customer, "look")
	}
	a.Deadline = time.Duration(rapid.SampledFrom([]int{0, 20, 500}).Draw(f.t, "deadline ms")) * time.Millisecond
	a.Priority = rapid.IntRange(0, 9).Draw(f.t, "priority")
	return a
}

// take removes a random open attempt.
func (f *fleet) take() (command.Dispatch, bool) {
	if len(f.open) == 0 {
		return command.Dispatch{}, false
	}
	i := rapid.IntRange(0, len(f.open)-1).Draw(f.t, "attempt")
	d := f.open[i]
	f.open = slices.Delete(f.open, i, i+1)
	return d, true
}

func (f *fleet) endAttempt() {
	d, ok := f.take()
	if !ok {
		return
	}
	switch rapid.SampledFrom([]string{"done", "busy", "not ready", "broken", "broken before run"}).Draw(f.t, "end") {
	case "done":
		f.finish(d)
	case "busy":
		f.excused[d.Request] = true
		e := busy(d)
		e.AgentInFlight = testSlots
		if f.mayHaveRun[d.Request] && d.Idempotent {
			e.Ran = table.RanUnknown
		}
		f.step(e)
	case "not ready":
		e := end(d, event.AttemptRejected, table.NotRun)
		e.Code = table.CodeNotReady
		f.step(e)
	case "broken":
		f.mayHaveRun[d.Request] = true
		e := end(d, event.AttemptBroken, table.RanUnknown)
		e.Delivered = table.Tokens(rapid.IntRange(0, 10).Draw(f.t, "delivered"))
		f.step(e)
	default:
		f.step(end(d, event.AttemptBroken, table.NotRun))
	}
}

func (f *fleet) finish(d command.Dispatch) {
	f.mayHaveRun[d.Request] = true
	e := end(d, event.AttemptDone, table.DidRun)
	e.Prompt, e.Delivered = 10, 10
	f.step(e)
}

// staleEnd repeats an end for an attempt number that is not current.
func (f *fleet) staleEnd() {
	if len(f.open) == 0 {
		return
	}
	d := f.open[0]
	d.Attempt += rapid.SampledFrom([]uint32{1, ^uint32(0)}).Draw(f.t, "offset")
	f.step(end(d, event.AttemptDone, table.DidRun), event.FirstToken{Request: d.Request, Attempt: d.Attempt})
}

func (f *fleet) firstToken() {
	if len(f.open) == 0 {
		return
	}
	d := f.open[rapid.IntRange(0, len(f.open)-1).Draw(f.t, "attempt")]
	if d.Kind == table.ServiceModel {
		f.mayHaveRun[d.Request] = true
		f.step(event.FirstToken{Request: d.Request, Attempt: d.Attempt})
	}
}

func (f *fleet) randomAgent() *table.Process {
	_, a := f.w.Processes.At(rapid.IntRange(0, f.w.Processes.Len()-1).Draw(f.t, "agent"))
	return a
}

func (f *fleet) loseSession() {
	a := f.randomAgent()
	a.Connected = false
	for _, d := range f.open {
		if d.To == a.Holder {
			f.mayHaveRun[d.Request] = true
		}
	}
	f.open = slices.DeleteFunc(f.open, func(d command.Dispatch) bool { return d.To == a.Holder })
	f.step(event.SessionDown{Peer: a.Holder})
}

func (f *fleet) changeAgent() {
	a := f.randomAgent()
	a.Connected = rapid.Bool().Draw(f.t, "connected")
	a.State = rapid.SampledFrom([]table.ProcessState{
		table.ProcessLive, table.ProcessLive, table.ProcessSuspect, table.ProcessLeaving,
	}).Draw(f.t, "state")
	f.step()
}

func (f *fleet) changeEndpoint() {
	_, e := f.w.Endpoints.At(rapid.IntRange(0, f.w.Endpoints.Len()-1).Draw(f.t, "endpoint"))
	e.State = rapid.SampledFrom([]table.EndpointState{
		table.EndpointLive, table.EndpointLive, table.EndpointLeaving, table.EndpointDown,
	}).Draw(f.t, "state")
	f.step()
}

func (f *fleet) cancel() {
	key := fmt.Sprintf("k%d", rapid.IntRange(1, max(1, f.keys)).Draw(f.t, "key"))
	f.step(event.Cancel{KeyHash: keyOf(rapid.IntRange(0, 2).Draw(f.t, "customer")), Key: key})
}

func (f *fleet) wait() {
	f.now = f.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(f.t, "ms")) * time.Millisecond)
	f.step()
}

// Guards against a retry budget that is exceeded, a free slot that stays unused,
// work for an endpoint that leaves, a NOT_RUN that may be false, a second run of
// a call, and work that stays accounted after its attempt ended.
func TestRandomRunsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt)
		steps := []func(){
			f.arrive, f.arrive, f.arrive, f.endAttempt, f.endAttempt, f.endAttempt, f.firstToken, f.staleEnd,
			f.loseSession, f.changeAgent, f.changeEndpoint, f.cancel, f.wait,
		}
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(rt, "step")]()
		}
		f.settle()
	})
}

// settle lets every request end and checks that nothing is left.
func (f *fleet) settle() {
	f.w.Processes.Each(func(_ table.ProcessID, a *table.Process) { a.Connected, a.State = true, table.ProcessLive })
	f.w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) { e.State = table.EndpointLive })
	const rounds = 2000
	for range rounds {
		if f.w.Requests.Len() == 0 {
			break
		}
		f.now = f.now.Add(100 * time.Millisecond)
		f.step()
		if len(f.open) > 0 {
			d := f.open[0]
			f.open = f.open[1:]
			f.finish(d)
		}
	}
	require.Zero(f.t, f.w.Requests.Len(), "requests never ended")
	requireIdle(f.t, f.harness)
}

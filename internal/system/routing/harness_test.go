package routing_test

import (
	"fmt"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/admission"
	"laburnumroad.dev/laburnumroad/internal/system/retry"
	"laburnumroad.dev/laburnumroad/internal/system/routing"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	model = table.ServiceName("tutor-model")
	plain = table.ServiceName("classroom-app")
)

// harness is a router with the systems under test and stubs for the systems around
// them: every reservation is granted and every ended request is answered.
type harness struct {
	w          *world.World
	systems    []world.System
	replies    map[table.RequestID]table.Outcome
	refused    []table.Outcome
	dispatched []command.Dispatch
	cancelled  []command.CancelRun
	keys       int
}

func newHarness(endpoints, slots int) *harness {
	self := table.Process{Holder: table.Holder{Process: "r1", Incarnation: 1}, Region: "west", Domain: "a"}
	w := world.New(world.Params{Self: self, DetachGrace: 10 * time.Second}, 20261204)
	w.Config.Generation = 1
	w.Config.Defaults = table.FleetDefaults{RetryRatio: 0.1, RetryBurst: 10, EjectionFactor: 3}
	w.Services.Put(model, table.Service{Name: model, Kind: table.ServiceModel})
	w.Services.Put(plain, table.Service{Name: plain, Kind: table.ServicePlain, Operations: map[string]table.Operation{
		"book": {Cost: 5}, "look": {Cost: 1, Idempotent: true},
	}})
	h := &harness{w: w, replies: map[table.RequestID]table.Outcome{}}
	for i := range 3 {
		h.addCustomer(i)
	}
	for i := range endpoints {
		h.addEndpoint(model, i, slots)
		h.addEndpoint(plain, i, slots)
	}
	h.systems = []world.System{
		world.SystemFunc(admission.Run), world.SystemFunc(retry.Run),
		world.SystemFunc(reserveAll), world.SystemFunc(routing.Run), world.SystemFunc(h.answerAll),
	}
	return h
}

func keyHashOf(i int) table.KeyHash { return table.KeyHash{byte(i + 1)} }

func (h *harness) addCustomer(i int) {
	id := table.CustomerID(fmt.Sprintf("c%d", i))
	h.w.Customers.Put(id, table.Customer{
		ID: id, Weight: 1, KeyHashes: []table.KeyHash{keyHashOf(i)}, Services: []table.ServiceName{model, plain},
	})
	h.w.Budgets.Put(table.MakeBudgetID(id, "default"), table.Budget{GrantExpiresAt: table.Never})
	for _, s := range []table.ServiceName{model, plain} {
		h.w.Limits.Put(table.LimitsKey{Customer: id, Service: s}, table.Limits{
			MaxOutput: 4000, QuickTokens: 500, QuickSlotShare: 0.25,
		})
	}
}

func (h *harness) addEndpoint(s table.ServiceName, i, slots int) {
	id := table.EndpointID(fmt.Sprintf("%s-%d", s, i))
	agent := table.ProcessID("agent-" + string(id))
	h.w.Processes.Put(agent, table.Process{
		Holder: table.Holder{Process: agent, Incarnation: 1}, Role: table.RoleAgent,
		Region: "west", Domain: "a", State: table.ProcessLive, Connected: true,
	})
	h.w.Endpoints.Put(id, table.Endpoint{ID: id, Agent: agent, Service: s, Slots: slots, Region: "west", Domain: "a"})
}

// reserveAll is a stub for the systems between admission and routing.
func reserveAll(w *world.World) {
	for _, id := range w.Requests.InState(table.RequestAdmitted) {
		r := w.Requests.Get(id)
		r.Reserved = r.WantedReservation
		r.GrantExpiresAt = w.Budgets.Get(r.Budget).GrantExpiresAt
		w.Requests.SetState(r, table.RequestQueued)
	}
}

// answerAll is a stub for the reply system.
func (h *harness) answerAll(w *world.World) {
	for _, id := range w.Requests.InState(table.RequestEnded) {
		h.replies[id] = w.Requests.Get(id).Outcome
		w.Requests.Remove(id)
		w.ReplyIDs.Delete(id)
	}
}

// tick processes the events at the given time, and every wake-up that is due by
// then.
func (h *harness) tick(now table.Instant, events ...event.Event) {
	for _, e := range events {
		e.AddTo(&h.w.In)
	}
	for {
		h.w.Tick(now, h.systems)
		for _, r := range h.w.Out.Replies {
			h.refused = append(h.refused, r.Outcome)
		}
		h.dispatched = append(h.dispatched, h.w.Out.Dispatches...)
		h.cancelled = append(h.cancelled, h.w.Out.CancelRuns...)
		h.w.Out.Reset()
		h.w.ClearOutbox()
		if h.w.NextWake() > now {
			return
		}
	}
}

// arrival returns a customer's request to the model service.
func (h *harness) arrival(customer int, prompt, output table.Tokens) event.Arrival {
	h.keys++
	return event.Arrival{
		Key: fmt.Sprintf("k%d", h.keys), KeyHash: keyHashOf(customer), ReplyID: uint64(h.keys), Service: model,
		Kind: table.ServiceModel, PromptTokens: prompt, MaxOutput: output,
	}
}

// call returns a customer's request to the plain service.
func (h *harness) call(customer int, operation string) event.Arrival {
	a := h.arrival(customer, 0, 0)
	a.Service, a.Kind, a.Operation = plain, table.ServicePlain, operation
	return a
}

// takeDispatched returns the dispatches since its last call.
func (h *harness) takeDispatched() []command.Dispatch {
	sent := h.dispatched
	h.dispatched = nil
	return sent
}

// attemptEnd returns the end of a dispatched attempt.
func attemptEnd(d command.Dispatch, s event.AttemptStatus, ran table.Ran) event.AttemptEnd {
	return event.AttemptEnd{Request: d.Request, Attempt: d.Attempt, Status: s, Ran: ran}
}

// busyRejection returns an agent's rejection of an attempt because it has no free slot.
func busyRejection(d command.Dispatch) event.AttemptEnd {
	e := attemptEnd(d, event.AttemptRejected, table.NotRun)
	e.Code = table.CodeBusy
	return e
}

func ms(n int) table.Instant { return table.Instant(time.Duration(n) * time.Millisecond) }

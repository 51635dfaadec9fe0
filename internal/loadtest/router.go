package loadtest

import (
	"fmt"
	"math"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/admission"
	"laburnumroad.dev/laburnumroad/internal/system/retry"
	"laburnumroad.dev/laburnumroad/internal/system/routing"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// systemRouter is a router that runs the production systems. Budgets are not under test:
// every reservation is granted.
type systemRouter struct {
	world   *world.World
	systems []world.System
}

func newSystemRouter(r *run, i int) router {
	self := table.Process{
		Holder: table.Holder{Process: table.ProcessID(fmt.Sprintf("r%d", i)), Incarnation: table.Incarnation(i + 1)},
	}
	w := world.New(world.Params{Self: self}, r.Seed)
	w.Config.Generation = 1
	w.Config.Defaults = table.FleetDefaults{RetryRatio: 0.1, RetryBurst: 10, EjectionFactor: 3}
	services := []table.ServiceName{service, longService}
	w.Customers.Put(customer, table.Customer{ID: customer, Weight: 1, KeyHashes: []table.KeyHash{{}}, Services: services})
	w.Budgets.Put(table.MakeBudgetID(customer, "default"), table.Budget{GrantExpiresAt: table.Never})
	limits := table.Limits{MaxOutput: 10_000, QuickTokens: 1000, QuickSlotShare: 0.25}
	if r.SingleClass {
		limits.QuickTokens = math.MaxInt64
	}
	for _, s := range services {
		w.Services.Put(s, table.Service{Name: s, Kind: table.ServiceModel})
		w.Limits.Put(table.LimitsKey{Customer: customer, Service: s}, limits)
	}
	for _, a := range r.agents {
		service := service
		if a.index < r.LongEndpoints {
			service = longService
		}
		w.Processes.Put(a.holder.Process, table.Process{Holder: a.holder, State: table.ProcessLive, Connected: true})
		w.Endpoints.Put(a.id, table.Endpoint{ID: a.id, Agent: a.holder.Process, Service: service, Slots: r.Slots})
	}
	return &systemRouter{world: w, systems: []world.System{
		world.SystemFunc(admission.Run), world.SystemFunc(retry.Run), world.SystemFunc(reserveAll),
		world.SystemFunc(routing.Run), world.SystemFunc(removeEnded),
	}}
}

// reserveAll replaces the systems between admission and routing. It grants every
// reservation in full.
func reserveAll(w *world.World) {
	for _, id := range w.Requests.InState(table.RequestAdmitted) {
		r := w.Requests.Get(id)
		r.Reserved = r.WantedReservation
		r.GrantExpiresAt = table.Never
		w.Requests.SetState(r, table.RequestQueued)
	}
}

// removeEnded replaces the reply system. It removes requests that have ended.
func removeEnded(w *world.World) {
	for _, id := range w.Requests.InState(table.RequestEnded) {
		w.Requests.Remove(id)
	}
}

func (r *systemRouter) handle(now table.Instant, events ...event.Event) []command.Dispatch {
	for _, e := range events {
		e.AddTo(&r.world.In)
	}
	r.world.Tick(now, r.systems)
	dispatches := r.world.Out.Dispatches
	r.world.ClearOutbox()
	return dispatches
}

func (r *systemRouter) nextWake() table.Instant { return r.world.NextWake() }

// resendTimeout is how long the naive router waits for a first token before it resends
// the request.
const resendTimeout = time.Second

// naiveRouter sends requests to the endpoints round-robin and resends them without limit.
type naiveRouter struct {
	run  *run
	next int
	// pending is sorted by resendAt.
	pending []pendingRequest
}

// pendingRequest is a request that may still wait for its first token.
type pendingRequest struct {
	resendAt table.Instant
	id       table.RequestID
	attempt  uint32
}

func newNaiveRouter(r *run, i int) router { return &naiveRouter{run: r, next: i} }

func (n *naiveRouter) handle(now table.Instant, events ...event.Event) []command.Dispatch {
	var dispatches []command.Dispatch
	for _, e := range events {
		if a, ok := e.(event.Arrival); ok {
			dispatches = append(dispatches, n.send(now, pendingRequest{id: table.MakeRequestID(customer, a.Key)}))
		}
	}
	for len(n.pending) > 0 && n.pending[0].resendAt <= now {
		req := n.pending[0]
		n.pending = n.pending[1:]
		if !n.run.requests[req.id].gotFirstToken {
			dispatches = append(dispatches, n.send(now, req))
		}
	}
	return dispatches
}

func (n *naiveRouter) send(now table.Instant, req pendingRequest) command.Dispatch {
	req.attempt++
	req.resendAt = now.Add(resendTimeout)
	n.pending = append(n.pending, req)
	n.next++
	endpoint := n.run.agents[n.next%len(n.run.agents)].id
	return command.Dispatch{Dispatch: event.Dispatch{Request: req.id, Attempt: req.attempt, Endpoint: endpoint}}
}

func (n *naiveRouter) nextWake() table.Instant {
	if len(n.pending) == 0 {
		return table.Never
	}
	return n.pending[0].resendAt
}

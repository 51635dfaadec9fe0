// Package drain ends a process gracefully: no new work, all work in progress
// finishes, grants go back, then the process exits.
package drain

import (
	"cmp"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// returnWait bounds how long an idle router waits for the platform to take its
// unused grants back. Recovery returns them if this was too short.
const returnWait = 5 * time.Second

// System follows one shutdown.
type System struct {
	draining bool
	started  table.Instant
	idle     table.Instant
	exited   bool
}

// New returns the system.
func New() *System { return &System{} }

// Run implements world.System. Recovery starts a drain too, when this
// incarnation was fenced.
func (s *System) Run(w *world.World) {
	if len(w.In.Shutdowns) > 0 {
		w.Draining = true
	}
	if !w.Draining || s.exited {
		return
	}
	if !s.draining {
		s.draining, s.started, w.DrainSince = true, w.Now, w.Now
		w.Change("process", string(w.Self().Process), "serving", "draining", reason(w))
		// The other systems see the drain before it can end.
		w.WakeAt(w.Now)
		return
	}
	s.follow(w)
}

func reason(w *world.World) string {
	if fenced(w) {
		return "this incarnation was fenced"
	}
	return "shutdown requested"
}

func fenced(w *world.World) bool { return w.Fences.Get(w.Self()) != nil }

func (s *System) follow(w *world.World) {
	deadline := s.started.Add(w.Params.DrainTimeout)
	if w.Now >= deadline {
		s.exit(w, "drain_timeout passed with work in progress")
		return
	}
	w.WakeAt(deadline)
	if least := s.started.Add(w.Params.LeastDrain); w.Now < least {
		w.WakeAt(least)
		return
	}
	if closing := deadline.Add(-w.Params.ClosingTime); w.Now < closing && busy(w) {
		w.WakeAt(closing)
		return
	}
	w.Closing = true
	if busy(w) {
		s.idle = 0
		return
	}
	if s.idle == 0 {
		s.idle = w.Now
	}
	if !holdsGrants(w) {
		s.exit(w, "all work finished")
		return
	}
	if giveUp := s.idle.Add(cmp.Or(w.Params.ReturnWait, returnWait)); w.Now < giveUp {
		w.WakeAt(giveUp)
		return
	}
	s.exit(w, "all work finished, grants not returned")
}

func busy(w *world.World) bool {
	if w.Requests.Len() > 0 || w.Exchanges.Len() > 0 {
		return true
	}
	inFlight := 0
	if w.Params.Self.Role == table.RoleAgent {
		w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) { inFlight += e.InFlight })
	}
	return inFlight > 0
}

// holdsGrants reports whether the ledger still has a grant of this process that
// it can return itself.
func holdsGrants(w *world.World) bool {
	if fenced(w) {
		return false
	}
	held := w.Accounts.Len() > 0 && !w.LimitShare.Closed
	w.Budgets.Each(func(_ table.BudgetID, b *table.Budget) {
		held = held || b.Granted > 0 || b.Spent > 0
	})
	return held
}

func (s *System) exit(w *world.World, reason string) {
	s.exited = true
	w.Change("process", string(w.Self().Process), "draining", "stopped", reason)
	w.Out.Exits = append(w.Out.Exits, command.Exit{Reason: reason, Returned: !fenced(w) && !holdsGrants(w)})
}

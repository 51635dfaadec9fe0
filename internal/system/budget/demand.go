package budget

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// defaultHorizon is the time of demand that a grant covers.
	defaultHorizon = time.Minute
	// minReservations is the least number of reservations that a grant covers.
	minReservations = 4
	// minTarget is the least that a router wants to hold of a budget in use, in
	// tokens: a typical request, so that a budget whose first request was small
	// can be spent through an outage of the platform. More strands more of a
	// nearly spent budget; see docs/decisions/0001-budget-grants.md.
	minTarget = 512
	// reservationDecay is how fast a large reservation is forgotten, per request.
	reservationDecay = 0.98
	// lowShare is the part of the target below which more is asked for early.
	lowShare = 4
	// lowInterval bounds how often a low budget asks.
	lowInterval = time.Second
)

func horizon(w *world.World, b *table.Budget) time.Duration {
	if c := w.Customers.Get(b.ID.Customer()); c != nil && c.GrantHorizon > 0 {
		return c.GrantHorizon
	}
	return defaultHorizon
}

// addDemand updates the moving average of the spend rate.
func addDemand(w *world.World, b *table.Budget, spent table.Tokens) {
	b.Demand.Add(w.Now, float64(spent), horizon(w, b))
}

func noteReservation(b *table.Budget, reserve table.Tokens) {
	decayed := table.Tokens(float64(b.Reservation) * reservationDecay)
	b.Reservation = max(decayed, reserve)
}

// setTarget sets how much the router wants to hold.
func setTarget(w *world.World, b *table.Budget) {
	demand := table.Tokens(b.Demand.PerSecond * horizon(w, b).Seconds())
	b.Target = max(demand, minReservations*b.Reservation, b.Waiting, minTarget)
}

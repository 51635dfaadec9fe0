package budget

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// defaultGrantHorizon is the period of demand that a grant covers by default.
	defaultGrantHorizon = time.Minute
	// minTargetReservations is the minimum number of reservations that a grant covers.
	minTargetReservations = 4
	// minTarget is the minimum number of tokens that a router wants to hold of a budget in
	// use. It is the size of a typical request, so that a budget whose first request was
	// small can still be spent during a platform outage. A higher value strands more tokens
	// of a nearly spent budget; see docs/decisions/0001-budget-grants.md.
	minTarget = 512
	// reservationDecay is the decay factor of the large-reservation estimate per request.
	reservationDecay = 0.98
	// lowTargetDivisor sets the low-water mark, Target divided by this value, below which the
	// router requests more.
	lowTargetDivisor = 4
	// lowRefillInterval is the minimum time between refills of a low budget.
	lowRefillInterval = time.Second
)

func grantHorizon(w *world.World, b *table.Budget) time.Duration {
	if c := w.Customers.Get(b.ID.Customer()); c != nil && c.GrantHorizon > 0 {
		return c.GrantHorizon
	}
	return defaultGrantHorizon
}

// recordSpend updates the moving average of the spend rate.
func recordSpend(w *world.World, b *table.Budget, spent table.Tokens) {
	b.SpendRate.Add(w.Now, float64(spent), grantHorizon(w, b))
}

func recordReservation(b *table.Budget, amount table.Tokens) {
	decayed := table.Tokens(float64(b.RecentLargeReservation) * reservationDecay)
	b.RecentLargeReservation = max(decayed, amount)
}

// updateTarget recalculates how many tokens of a budget the router wants to hold.
func updateTarget(w *world.World, b *table.Budget) {
	demand := table.Tokens(b.SpendRate.PerSecond * grantHorizon(w, b).Seconds())
	b.Target = max(demand, minTargetReservations*b.RecentLargeReservation, b.WaitingTokens, minTarget)
}

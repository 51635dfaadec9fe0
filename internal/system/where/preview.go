package where

import (
	"math/rand/v2"
	"slices"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// previewSeed seeds the random numbers of previews.
const previewSeed = 1

// newPreview returns a world on which the decisions about one request may run without effect
// on w: with rows of its own where they change any, and the other tables of w, which they
// only read. copyCustomer and copyLimits add the rows that only later steps change.
func newPreview(w *world.World) *world.World {
	preview := *w
	preview.Rand = rand.New(rand.NewPCG(previewSeed, previewSeed))
	preview.In, preview.Out, preview.Decisions = event.Inbox{}, command.Outbox{}, nil
	preview.Counters = table.Table[string, int64]{}
	preview.ExchangesWaiting, preview.ExchangesEnded = table.Set[table.ExchangeID]{}, table.Set[table.ExchangeID]{}
	return &preview
}

// copyCustomer gives a preview its own rows of what a reservation changes.
func copyCustomer(preview *world.World, c table.CustomerID) {
	preview.Accounts = copyRow(&preview.Accounts, c)
	preview.Delegates = copyRow(&preview.Delegates, string(c))
	demand := table.Table[int, table.DecayingRate]{}
	preview.DemandByPriority.Each(func(priority int, rate *table.DecayingRate) { demand.Put(priority, *rate) })
	preview.DemandByPriority = demand
	if a := preview.Accounts.Get(c); a != nil {
		a.Denials = slices.Clone(a.Denials)
	}
}

// copyLimits gives a preview its own rows of what limits endpoints: permits and send slots
// are dealt out when they are read.
func copyLimits(preview *world.World) {
	notices := table.Table[table.EndpointID, table.EndpointNotice]{}
	preview.EndpointNotices.Each(func(id table.EndpointID, n *table.EndpointNotice) { notices.Put(id, *n) })
	cold := table.Table[table.EndpointID, table.ColdEndpoint]{}
	preview.ColdEndpoints.Each(func(id table.EndpointID, c *table.ColdEndpoint) {
		row := cold.Put(id, *c)
		row.FreeAt = slices.Clone(c.FreeAt)
	})
	preview.EndpointNotices, preview.ColdEndpoints = notices, cold
}

// copyRow returns a table with a copy of one row, if there is such a row.
func copyRow[K comparable, V any](from *table.Table[K, V], key K) table.Table[K, V] {
	to := table.Table[K, V]{}
	if row := from.Get(key); row != nil {
		to.Put(key, *row)
	}
	return to
}

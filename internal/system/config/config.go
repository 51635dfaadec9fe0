// Package config applies fleet configurations.
package config

import (
	"strconv"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Run applies the newest configuration received in this tick, and requests the
// configuration of peers that have a newer one. Invariant: the applied generation
// never decreases.
func Run(w *world.World) {
	for i := range w.In.Configs {
		if c := &w.In.Configs[i]; c.Renewed && c.Fleet.Generation == w.Fleet.Generation {
			apply(w, c)
		}
	}
	if newest := newestConfig(w.In.Configs); newest != nil && newest.Fleet.Generation > w.Fleet.Generation {
		apply(w, newest)
	}
	requestFromPeers(w)
}

func newestConfig(received []event.ConfigSeen) *event.ConfigSeen {
	var newest *event.ConfigSeen
	for i := range received {
		if newest == nil || received[i].Fleet.Generation > newest.Fleet.Generation {
			newest = &received[i]
		}
	}
	return newest
}

func requestFromPeers(w *world.World) {
	for _, h := range w.In.Heartbeats {
		if h.Generation > w.Fleet.Generation {
			w.Out.ConfigAsks = append(w.Out.ConfigAsks, command.AskConfig{To: h.Peer.Process})
			w.Count("config_asked")
		}
	}
}

func apply(w *world.World, received *event.ConfigSeen) {
	old := w.Fleet.Generation
	w.Fleet = received.Fleet
	replaceCustomers(w)
	replaceServices(w)
	replaceLimits(w)
	from := "platform"
	switch {
	case received.Renewed:
		from = "an exception ended"
	case received.From != "":
		from = "peer " + string(received.From)
	}
	w.Count("config_applied")
	w.Change("config", "fleet", formatGeneration(old), formatGeneration(w.Fleet.Generation), "from "+from)
}

// replaceCustomers keeps the counters and rate limit state of existing customers.
func replaceCustomers(w *world.World) {
	old := w.Customers
	w.Customers = table.Table[table.CustomerID, table.Customer]{}
	for _, c := range w.Fleet.Customers {
		if existing := old.Get(c.ID); existing != nil {
			c.InFlight, c.Served = existing.InFlight, existing.Served
			c.RateTokens, c.RateAt = existing.RateTokens, existing.RateAt
		}
		w.Customers.Put(c.ID, c)
	}
}

// replaceServices keeps the averages and retry budgets of existing services.
func replaceServices(w *world.World) {
	old := w.Services
	w.Services = table.Table[table.ServiceName, table.Service]{}
	for _, s := range w.Fleet.Services {
		if existing := old.Get(s.Name); existing != nil {
			s.MeanOutput, s.RetryTokens = existing.MeanOutput, existing.RetryTokens
		}
		w.Services.Put(s.Name, s)
	}
}

func replaceLimits(w *world.World) {
	w.Limits = table.Table[table.RuleKey, table.Limits]{}
	for _, c := range w.Fleet.Customers {
		for _, s := range c.Services {
			key := table.RuleKey{Customer: c.ID, Service: s}
			w.Limits.Put(key, w.Fleet.Limits[key])
		}
	}
}

func formatGeneration(g table.Generation) string {
	return "generation " + strconv.FormatUint(uint64(g), 10)
}

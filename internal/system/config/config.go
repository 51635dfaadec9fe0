// Package config puts fleet configurations in force.
package config

import (
	"strconv"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Run applies the highest generation seen in this tick, and asks peers that
// enforce a higher one for it. Invariant: the generation in force never falls.
func Run(w *world.World) {
	for i := range w.In.Configs {
		if c := &w.In.Configs[i]; c.Renewed && c.Fleet.Generation == w.Fleet.Generation {
			apply(w, c)
		}
	}
	if best := highest(w.In.Configs); best != nil && best.Fleet.Generation > w.Fleet.Generation {
		apply(w, best)
	}
	askPeers(w)
}

func highest(seen []event.ConfigSeen) *event.ConfigSeen {
	var best *event.ConfigSeen
	for i := range seen {
		if best == nil || seen[i].Fleet.Generation > best.Fleet.Generation {
			best = &seen[i]
		}
	}
	return best
}

func askPeers(w *world.World) {
	for _, h := range w.In.Heartbeats {
		if h.Generation > w.Fleet.Generation {
			w.Out.ConfigAsks = append(w.Out.ConfigAsks, command.AskConfig{To: h.Peer.Process})
			w.Count("config_asked")
		}
	}
}

func apply(w *world.World, seen *event.ConfigSeen) {
	old := w.Fleet.Generation
	w.Fleet = seen.Fleet
	replaceCustomers(w)
	replaceServices(w)
	replaceLimits(w)
	from := "platform"
	switch {
	case seen.Renewed:
		from = "an exception ended"
	case seen.From != "":
		from = "peer " + string(seen.From)
	}
	w.Count("config_applied")
	w.Change("config", "fleet", formatGeneration(old), formatGeneration(w.Fleet.Generation), "from "+from)
}

// replaceCustomers keeps what is counted at run time.
func replaceCustomers(w *world.World) {
	old := w.Customers
	w.Customers = table.Table[table.CustomerID, table.Customer]{}
	for _, c := range w.Fleet.Customers {
		if o := old.Get(c.ID); o != nil {
			c.InFlight, c.Served = o.InFlight, o.Served
			c.RateTokens, c.RateAt = o.RateTokens, o.RateAt
		}
		w.Customers.Put(c.ID, c)
	}
}

// replaceServices keeps what is learned at run time.
func replaceServices(w *world.World) {
	old := w.Services
	w.Services = table.Table[table.ServiceName, table.Service]{}
	for _, s := range w.Fleet.Services {
		if o := old.Get(s.Name); o != nil {
			s.MeanOutput, s.RetryTokens = o.MeanOutput, o.RetryTokens
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

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
// configuration of peers that have a newer one. A reevaluated configuration is
// applied only if it has the generation of the active one. Invariant: the applied
// generation never decreases.
func Run(w *world.World) {
	for i := range w.In.Configs {
		if c := &w.In.Configs[i]; c.Reevaluated && c.Config.Generation == w.Config.Generation {
			apply(w, c)
		}
	}
	if newest := newestConfig(w.In.Configs); newest != nil && newest.Config.Generation > w.Config.Generation {
		apply(w, newest)
	}
	requestFromPeers(w)
}

func newestConfig(received []event.ConfigReceived) *event.ConfigReceived {
	var newest *event.ConfigReceived
	for i := range received {
		if newest == nil || received[i].Config.Generation > newest.Config.Generation {
			newest = &received[i]
		}
	}
	return newest
}

func requestFromPeers(w *world.World) {
	for _, h := range w.In.Heartbeats {
		if h.Generation > w.Config.Generation {
			w.Out.ConfigRequests = append(w.Out.ConfigRequests, command.RequestConfig{To: h.Peer.Process})
			w.Count("config_asked")
		}
	}
}

func apply(w *world.World, received *event.ConfigReceived) {
	old := w.Config.Generation
	w.Config = received.Config
	replaceCustomers(w)
	replaceServices(w)
	replaceLimits(w)
	from := "platform"
	switch {
	case received.Reevaluated:
		from = "an exception ended"
	case received.From != "":
		from = "peer " + string(received.From)
	}
	w.Count("config_applied")
	w.RecordStateChange("config", "fleet", formatGeneration(old), formatGeneration(w.Config.Generation), "from "+from)
}

// replaceCustomers replaces the customers, but keeps the counters and the rate limit
// state of existing ones.
func replaceCustomers(w *world.World) {
	old := w.Customers
	w.Customers = table.Table[table.CustomerID, table.Customer]{}
	for _, c := range w.Config.Customers {
		if existing := old.Get(c.ID); existing != nil {
			c.InFlight, c.WeightedWork = existing.InFlight, existing.WeightedWork
			c.RateBucketLevel, c.RateBucketAt = existing.RateBucketLevel, existing.RateBucketAt
		}
		w.Customers.Put(c.ID, c)
	}
}

// replaceServices replaces the services, but keeps the averages and retry budgets of
// existing ones.
func replaceServices(w *world.World) {
	old := w.Services
	w.Services = table.Table[table.ServiceName, table.Service]{}
	for _, s := range w.Config.Services {
		if existing := old.Get(s.Name); existing != nil {
			s.MeanOutputTokens, s.RetryBucketLevel = existing.MeanOutputTokens, existing.RetryBucketLevel
		}
		w.Services.Put(s.Name, s)
	}
}

func replaceLimits(w *world.World) {
	w.Limits = table.Table[table.LimitsKey, table.Limits]{}
	for _, c := range w.Config.Customers {
		for _, s := range c.Services {
			key := table.LimitsKey{Customer: c.ID, Service: s}
			w.Limits.Put(key, w.Config.Limits[key])
		}
	}
}

func formatGeneration(g table.Generation) string {
	return "generation " + strconv.FormatUint(uint64(g), 10)
}

package config

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Guards against reverting to an older configuration when stale or repeated ones
// arrive from the platform and from peers in any order.
func TestGenerationNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := world.New(world.Params{}, 1)
		systems := []world.System{world.SystemFunc(Run)}
		var highest table.Generation
		for tick := range rapid.IntRange(1, 20).Draw(rt, "ticks") {
			for range rapid.IntRange(0, 4).Draw(rt, "events") {
				g := table.Generation(rapid.Uint64Range(0, 9).Draw(rt, "generation"))
				w.In.Configs = append(w.In.Configs, event.ConfigReceived{Config: fleetOf(g)})
				highest = max(highest, g)
			}
			w.Tick(table.Instant(tick), systems)
			require.Equal(rt, highest, w.Config.Generation)
			require.Equal(rt, fleetOf(highest).YAML, w.Config.YAML)
			require.Equal(rt, len(fleetOf(highest).Customers), w.Customers.Len())
			w.ClearOutbox()
		}
	})
}

// fleetOf returns a configuration whose content depends on its generation.
func fleetOf(g table.Generation) table.FleetConfig {
	if g == 0 {
		return table.FleetConfig{}
	}
	f := table.FleetConfig{Generation: g, YAML: string(rune('a' + g))}
	for i := range g {
		f.Customers = append(f.Customers, table.Customer{ID: table.CustomerID(rune('a' + i))})
	}
	return f
}

// Guards against counters and rate limits that are reset by each change of the
// configuration, which would let a customer exceed its limits.
func TestRuntimeStateSurvivesChange(t *testing.T) {
	w := world.New(world.Params{}, 1)
	systems := []world.System{world.SystemFunc(Run)}
	w.In.Configs = []event.ConfigReceived{{Config: fleetOf(1)}}
	w.Tick(1, systems)
	w.Customers.Get("a").InFlight = 3
	w.In.Configs = []event.ConfigReceived{{Config: fleetOf(2)}}
	w.Tick(2, systems)
	require.Equal(t, 3, w.Customers.Get("a").InFlight)
}

// Guards against a process that keeps an old configuration although a peer has a
// newer one.
func TestPeerWithNewerGenerationIsAsked(t *testing.T) {
	w := world.New(world.Params{}, 1)
	w.In.Heartbeats = []event.Heartbeat{
		{Peer: table.Holder{Process: "router-1"}, Generation: 4},
		{Peer: table.Holder{Process: "router-2"}},
	}
	w.Tick(1, []world.System{world.SystemFunc(Run)})
	require.Len(t, w.Out.ConfigRequests, 1)
	require.EqualValues(t, "router-1", w.Out.ConfigRequests[0].To)
}

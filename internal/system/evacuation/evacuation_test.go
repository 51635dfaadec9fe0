package evacuation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/catalog"
	"laburnumroad.dev/laburnumroad/internal/system/evacuation"
	"laburnumroad.dev/laburnumroad/internal/system/warmup"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Guards against a router that sends its whole load to a domain whose endpoints started
// again, unnoticed, while the domain was evacuated.
func TestEndpointsAreColdAfterEvacuation(t *testing.T) {
	p := world.Params{}
	p.Front.EvacuationBound = 5 * time.Second
	w := world.New(p, 1)
	systems := []world.System{world.SystemFunc(catalog.Run), world.SystemFunc(evacuation.Run), world.SystemFunc(warmup.Run)}
	step := func(at time.Duration, events ...event.Event) {
		for _, e := range append(events, event.PlatformState{Reachable: true}) {
			e.AddTo(&w.In)
		}
		w.Tick(table.Instant(at), systems)
	}
	step(time.Second, event.ManifestReceived{Manifest: table.Manifest{
		Version: 1, Services: []table.DirectService{{Name: "model", ColdTime: 3 * time.Second, ColdRate: 10}},
	}}, event.EndpointChanges{Full: true, Covered: 1, Present: []event.EndpointEntry{
		{ID: "m0", Service: "model", Domain: "a", Slots: 4, ColdKnown: true}, {ID: "m1", Service: "model", Domain: "b", Slots: 4, ColdKnown: true},
	}})
	step(2*time.Second, event.EvacuationChanges{Full: true, Covered: 2, Present: []string{"a"}})
	require.False(t, warmup.IsCold(w, w.DirectEndpoints.Get("m0")))
	step(8*time.Second, event.EvacuationChanges{Since: 2, Covered: 3, Removed: []string{"a"}})
	require.True(t, warmup.IsCold(w, w.DirectEndpoints.Get("m0")))
	require.False(t, warmup.IsCold(w, w.DirectEndpoints.Get("m1")))
	step(12 * time.Second)
	require.False(t, warmup.IsCold(w, w.DirectEndpoints.Get("m0")))
}

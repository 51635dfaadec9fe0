package gateway

import (
	"fmt"
	"testing"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// BenchmarkTickInLargeFleet measures a tick without a request in a router that has
// sessions with the other routers of a fleet.
func BenchmarkTickInLargeFleet(b *testing.B) {
	for _, routers := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			w := newLargeFleetWorld(routers, 40, 160)
			systems := Systems()
			now := table.Instant(10 * time.Second)
			w.Tick(now, systems)
			w.ClearOutbox()
			b.ReportAllocs()
			for b.Loop() {
				now += 1000
				w.Tick(now, systems)
				w.ClearOutbox()
			}
		})
	}
}

// newLargeFleetWorld returns the world of a router that knows the limits of all
// routers of its fleet.
func newLargeFleetWorld(routers, customers, endpoints int) *world.World {
	w := world.New(world.Params{
		Self:  table.Process{Holder: table.Holder{Process: "edge-050", Incarnation: 50}, Domain: "a"},
		Front: world.FrontParams{RetryRatio: 0.2, RetryBurst: 4, PeerAddress: "127.0.0.1:1"},
	}, 1)
	m := testManifest(1)
	m.Customers = nil
	ledger := table.LimitLedger{ClosedTokens: map[table.CustomerID]table.Tokens{}}
	for c := range customers {
		m.Customers = append(m.Customers, table.PrepaidCustomer{ID: table.CustomerID(fmt.Sprintf("customer-%d", c)), Limited: true, Total: 1_000_000})
	}
	event.PlatformState{Reachable: true}.AddTo(&w.In)
	event.ManifestReceived{Manifest: m}.AddTo(&w.In)
	list := event.EndpointChanges{Full: true}
	for e := range endpoints {
		list.Present = append(list.Present, endpointEntry(fmt.Sprintf("m%d", e), "model"))
	}
	list.AddTo(&w.In)
	for r := range routers {
		h := table.LimitHolder{
			Holder: table.Holder{Process: table.ProcessID(fmt.Sprintf("edge-%03d", r)), Incarnation: table.Incarnation(r)}, Address: "x",
			Entries: map[table.CustomerID]table.LimitEntry{},
		}
		for _, c := range m.Customers {
			h.Entries[c.ID] = table.LimitEntry{Limit: 2000}
		}
		ledger.Holders = append(ledger.Holders, h)
		if h.Process != w.Self().Process {
			event.SessionOpened{Session: uint64(r + 1), Process: table.Process{Holder: h.Holder}}.AddTo(&w.In)
		}
	}
	w.LimitLedgerView.CallOpen = true
	event.LimitLedgerResult{Status: event.CallConflict, Revision: 7, Content: ledger}.AddTo(&w.In)
	return w
}

package load_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/load"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

func newWorld(routers, endpoints int) *world.World {
	w := world.New(world.Params{Self: table.Process{Holder: table.Holder{Process: "r0"}}}, 1)
	w.Now = table.Instant(time.Minute)
	w.LimitLedgerView.RouterCount = routers
	for i := range endpoints {
		id := table.EndpointID(rune('a' + i))
		w.DirectEndpoints.Put(id, table.DirectEndpoint{ID: id, Service: "model"})
	}
	w.RouterPeers.Put("r1", table.RouterPeer{Connected: true})
	return w
}

func report(running int, age time.Duration) event.LoadReport {
	return event.LoadReport{Present: true, Running: running, Slowdown: 1, Age: age}
}

// Guards against an old report that replaces a newer one, whichever router received it.
func TestLatestReportCounts(t *testing.T) {
	w := newWorld(2, 1)
	e := w.DirectEndpoints.Get("a")
	load.Record(w, e, report(5, 100*time.Millisecond))
	load.Record(w, e, report(50, time.Second))
	peer := w.RouterPeers.Get("r1")
	load.OnReport(w, peer, &event.RouterReport{Loads: []event.ReportedLoad{{Endpoint: "a", Running: 70, SlowdownPercent: 100, AgeMs: 500}}})
	require.Equal(t, 5, e.ReportedRunning)
	load.OnReport(w, peer, &event.RouterReport{Loads: []event.ReportedLoad{{Endpoint: "a", Running: 8, SlowdownPercent: 100, AgeMs: 20}}})
	require.Equal(t, 8, e.ReportedRunning)
	require.Empty(t, load.Report(w, time.Second), "what another router passed on is not passed on again")
}

// Guards against requests of this router that are counted twice, in a report and by itself,
// or not at all.
func TestOwnRequestsSinceTheReportCount(t *testing.T) {
	w := newWorld(2, 1)
	e := w.DirectEndpoints.Get("a")
	send := func() {
		e.InFlight++
		load.CountSend(w, e, false)
	}
	send()
	w.Now = w.Now.Add(time.Second)
	send()
	send()
	// The endpoint sent the report before the last two requests: it has this router's
	// first one and three of others.
	load.Record(w, e, report(4, 10*time.Millisecond))
	require.InDelta(t, 6, load.Of(w, e).Running, 0.1)
	w.Now = w.Now.Add(100 * time.Millisecond)
	load.Record(w, e, report(6, 0))
	require.InDelta(t, 6, load.Of(w, e).Running, 0.1)
}

// Guards against control traffic that grows with the fleet, and against a fleet in which some
// endpoints are never reported.
func TestPassedOnReportsAreBounded(t *testing.T) {
	const limit = 6000.0
	for _, routers := range []int{4, 23, 103, 330} {
		w := newWorld(routers, 20)
		passed := map[table.EndpointID]bool{}
		interval := min(max(time.Duration(routers)*20*time.Millisecond, 500*time.Millisecond), 2*time.Second)
		for range 40 {
			w.Now = w.Now.Add(interval)
			w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) { load.Record(w, e, report(3, 0)) })
			loads := load.Report(w, interval)
			bytesPerSecond := float64(30*len(loads)*(routers-1)) / interval.Seconds()
			require.LessOrEqual(t, bytesPerSecond, limit, "%d routers", routers)
			for _, l := range loads {
				passed[l.Endpoint] = true
			}
		}
		require.Len(t, passed, 20, "%d routers", routers)
	}
}

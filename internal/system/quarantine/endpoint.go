package quarantine

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// detectCrashes reports the requests that ran when an endpoint went down, and
// those that finished while they ran alone. It runs before the gate system,
// which removes ended runs from EndpointRuns.
func detectCrashes(w *world.World) {
	for _, e := range w.In.EngineReports {
		if !e.Up {
			reportEndpointDown(w, e.Endpoint)
		}
	}
	for _, e := range w.In.RunEnds {
		row := w.Runs.Get(e.Request)
		if row == nil || row.State != table.RunRunning || row.Attempt != e.Attempt {
			continue
		}
		switch {
		case e.Status == event.RunBroken && !knownDown(w, row.Endpoint):
			recordBrokenRun(w, row)
		case e.Status == event.RunDone && row.MustRunAlone:
			reportCrash(w, event.Crash{Endpoint: row.Endpoint, Fingerprints: []table.Fingerprint{row.Fingerprint}, Cleared: true})
		}
	}
}

// knownDown reports whether the endpoint is already known to be down, or is
// reported down in this tick.
func knownDown(w *world.World, id table.EndpointID) bool {
	endpoint := w.Endpoints.Get(id)
	if endpoint != nil && endpoint.State == table.EndpointDown {
		return true
	}
	return slices.ContainsFunc(w.In.EngineReports, func(e event.EngineReport) bool { return e.Endpoint == id && !e.Up })
}

// recordBrokenRun records a run whose stream broke, in case its endpoint is
// found down later.
func recordBrokenRun(w *world.World, row *table.Run) {
	runs := w.EndpointRuns.Get(row.Endpoint)
	if runs == nil {
		return
	}
	runs.RecentlyBroken = dropExpired(runs.RecentlyBroken, w.Now)
	runs.RecentlyBroken = append(runs.RecentlyBroken, table.BrokenRun{Fingerprint: row.Fingerprint, EndedAt: w.Now})
}

func dropExpired(broken []table.BrokenRun, now table.Instant) []table.BrokenRun {
	return slices.DeleteFunc(broken, func(b table.BrokenRun) bool { return b.EndedAt.Add(brokenRunWindow) < now })
}

// reportEndpointDown reports the running and recently broken runs of an
// endpoint that went down.
func reportEndpointDown(w *world.World, id table.EndpointID) {
	runs := w.EndpointRuns.Get(id)
	if endpoint := w.Endpoints.Get(id); runs == nil || endpoint == nil || endpoint.State == table.EndpointDown {
		return
	}
	var fingerprints []table.Fingerprint
	for _, run := range runs.Running {
		fingerprints = append(fingerprints, w.Runs.Get(run).Fingerprint)
	}
	for _, b := range dropExpired(runs.RecentlyBroken, w.Now) {
		fingerprints = append(fingerprints, b.Fingerprint)
	}
	runs.RecentlyBroken = nil
	if len(fingerprints) > 0 {
		reportCrash(w, event.Crash{Endpoint: id, Fingerprints: fingerprints})
	}
}

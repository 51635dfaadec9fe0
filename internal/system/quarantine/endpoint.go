package quarantine

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// watchEndpoints reports the runs of endpoints that died. It runs before the
// gate, which removes ended runs from the running ones.
func watchEndpoints(w *world.World) {
	for _, e := range w.In.EngineStates {
		if !e.Up {
			reportDeath(w, e.Endpoint)
		}
	}
	for _, e := range w.In.RunEnds {
		row := w.Runs.Get(e.Request)
		if row == nil || row.State != table.RunRunning || row.Attempt != e.Attempt {
			continue
		}
		switch {
		case e.Status == event.RunBroken && !isDown(w, row.Endpoint):
			rememberBroken(w, row)
		case e.Status == event.RunDone && row.Alone:
			reportCrash(w, event.Crash{Endpoint: row.Endpoint, Fingerprints: []table.Fingerprint{row.Fingerprint}, Cleared: true})
		}
	}
}

// isDown reports whether the endpoint's death was reported already.
func isDown(w *world.World, id table.EndpointID) bool {
	ep := w.Endpoints.Get(id)
	if ep != nil && ep.State == table.EndpointDown {
		return true
	}
	return slices.ContainsFunc(w.In.EngineStates, func(e event.EngineState) bool { return e.Endpoint == id && !e.Up })
}

func rememberBroken(w *world.World, row *table.Run) {
	runs := w.EndpointRuns.Get(row.Endpoint)
	if runs == nil {
		return
	}
	runs.Broken = dropOld(runs.Broken, w.Now)
	runs.Broken = append(runs.Broken, table.BrokenRun{Fingerprint: row.Fingerprint, At: w.Now})
}

func dropOld(broken []table.BrokenRun, now table.Instant) []table.BrokenRun {
	return slices.DeleteFunc(broken, func(b table.BrokenRun) bool { return b.At.Add(brokenWindow) < now })
}

func reportDeath(w *world.World, id table.EndpointID) {
	runs := w.EndpointRuns.Get(id)
	if ep := w.Endpoints.Get(id); runs == nil || ep == nil || ep.State == table.EndpointDown {
		return
	}
	var prints []table.Fingerprint
	for _, run := range runs.Running {
		prints = append(prints, w.Runs.Get(run).Fingerprint)
	}
	for _, b := range dropOld(runs.Broken, w.Now) {
		prints = append(prints, b.Fingerprint)
	}
	runs.Broken = nil
	if len(prints) > 0 {
		reportCrash(w, event.Crash{Endpoint: id, Fingerprints: prints})
	}
}

package fake

// EngineStats are the counters and the state of an engine.
type EngineStats struct {
	// Active is the number of running streams.
	Active int `json:"active"`
	// Started and Crashes count the started runs and the crashes.
	Started int  `json:"started"`
	Crashes int  `json:"crashes"`
	Down    bool `json:"down"`
}

type readStats struct{ stats chan EngineStats }

func (e readStats) apply(w *engineWorld) {
	e.stats <- EngineStats{Active: w.active.Len(), Started: w.startedRuns, Crashes: w.crashes, Down: w.down}
}

// Stats returns the counters and the state of the engine.
func (e *Engine) Stats() EngineStats {
	response := make(chan EngineStats, 1)
	e.loop.post(readStats{response})
	stats, _ := receive(e.loop, response)
	return stats
}

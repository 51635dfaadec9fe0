package fake

// EngineStats is what an engine has done so far.
type EngineStats struct {
	// Active is the number of streams that run now.
	Active int `json:"active"`
	// Started counts runs that started, Crashes the crashes.
	Started int  `json:"started"`
	Crashes int  `json:"crashes"`
	Down    bool `json:"down"`
}

type readStats struct{ answer chan EngineStats }

func (e readStats) arrive(w *engineWorld) {
	e.answer <- EngineStats{Active: w.active.Len(), Started: w.started, Crashes: w.crashes, Down: w.down}
}

// Stats returns what the engine has done so far.
func (e *Engine) Stats() EngineStats {
	answer := make(chan EngineStats, 1)
	e.loop.post(readStats{answer})
	s, _ := receive(e.loop, answer)
	return s
}

package routing

import (
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// expectedTokens estimates the tokens that an attempt will process: the prompt plus
// the output that is still missing. A plain call counts as one token.
func expectedTokens(w *world.World, r *table.Request) table.Tokens {
	if r.Kind == table.ServicePlain {
		return 1
	}
	output := r.MaxOutput
	if s := w.Services.Get(r.Service); s != nil && s.MeanOutput > 0 {
		output = min(output, table.Tokens(s.MeanOutput))
	}
	return r.PromptTokens + max(0, output-r.Delivered)
}

// addLoad adds an attempt to the in-flight counters of its endpoint and records it
// in the request, so that removeLoad can subtract it again.
func addLoad(w *world.World, r *table.Request, e *table.Endpoint, tokens table.Tokens) {
	r.Work = table.Work{
		Attempt: r.Attempt, Endpoint: e.ID, Agent: r.Agent, Class: r.Class, Tokens: tokens, Probe: e.Ejected,
	}
	e.InFlight++
	if r.Class == table.ClassQuick {
		e.InFlightQuick++
		if e.Waiting == 0 {
			e.WaitingSince = w.Now
		}
		e.Waiting++
	}
	if r.Alone {
		e.HeldFor = r.ID
	}
	if e.Ejected {
		startProbe(e)
	}
	e.InFlightTokens += tokens
}

// releaseEndedAttempts removes the load of attempts that ended in this tick.
// Systems that run after routing may also end requests; their load is removed in
// the next tick.
func releaseEndedAttempts(w *world.World) {
	for _, e := range w.In.AttemptEnds {
		if r := w.Requests.Get(e.Request); r != nil && r.Work.Attempt == e.Attempt {
			removeLoad(w, r)
		}
	}
	for _, e := range w.In.SessionDowns {
		releaseAgentAttempts(w, e.Peer)
	}
	for _, id := range w.Requests.In(table.RequestEnded) {
		removeLoad(w, w.Requests.Get(id))
	}
}

// releaseAgentAttempts removes the load of attempts at an agent whose session was
// lost. The retry system has already ended these attempts.
func releaseAgentAttempts(w *world.World, peer table.Holder) {
	for _, s := range []table.RequestState{table.RequestBackoff, table.RequestQueued} {
		for _, id := range w.Requests.In(s) {
			if r := w.Requests.Get(id); r.Work.Agent == peer {
				removeLoad(w, r)
			}
		}
	}
}

// removeLoad subtracts the request's current attempt from the counters of its
// endpoint.
func removeLoad(w *world.World, r *table.Request) {
	work := r.Work
	r.Work = table.Work{}
	e := w.Endpoints.Get(work.Endpoint)
	if work.Attempt == 0 || e == nil {
		return
	}
	// If the endpoint's row was replaced while the attempt ran, its counters
	// restarted at zero.
	e.InFlight = max(0, e.InFlight-1)
	if work.Class == table.ClassQuick {
		e.InFlightQuick = max(0, e.InFlightQuick-1)
		if work.MarkAt == 0 {
			e.Waiting = max(0, e.Waiting-1)
			e.WaitingSince = w.Now
		}
	}
	if work.Probe {
		endProbe(w, e)
	}
	e.InFlightTokens = max(0, e.InFlightTokens-work.Tokens)
}

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
	if s := w.Services.Get(r.Service); s != nil && s.MeanOutputTokens > 0 {
		output = min(output, table.Tokens(s.MeanOutputTokens))
	}
	return r.PromptTokens + max(0, output-r.DeliveredTokens)
}

// addLoad adds an attempt to the in-flight counters of its endpoint and records it
// in the request, so that removeLoad can subtract it again.
func addLoad(w *world.World, r *table.Request, e *table.Endpoint, tokens table.Tokens) {
	r.Load = table.AttemptLoad{
		Attempt: r.Attempt, Endpoint: e.ID, Agent: r.Agent, Class: r.Class, Tokens: tokens, Probe: e.Ejected,
	}
	e.InFlight++
	if r.Class == table.ClassQuick {
		e.InFlightQuick++
		if e.AwaitingFirstToken == 0 {
			e.AwaitingFirstTokenSince = w.Now
		}
		e.AwaitingFirstToken++
	}
	if r.MustRunAlone {
		e.HeldForRequest = r.ID
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
		if r := w.Requests.Get(e.Request); r != nil && r.Load.Attempt == e.Attempt {
			removeLoad(w, r)
		}
	}
	for _, e := range w.In.SessionsClosed {
		releaseAgentAttempts(w, e.Peer)
	}
	for _, id := range w.Requests.InState(table.RequestEnded) {
		removeLoad(w, w.Requests.Get(id))
	}
}

// releaseAgentAttempts removes the load of attempts at an agent whose session was
// lost. The retry system has already ended these attempts.
func releaseAgentAttempts(w *world.World, peer table.Holder) {
	for _, s := range []table.RequestState{table.RequestBackoff, table.RequestQueued} {
		for _, id := range w.Requests.InState(s) {
			if r := w.Requests.Get(id); r.Load.Agent == peer {
				removeLoad(w, r)
			}
		}
	}
}

// removeLoad subtracts the request's current attempt from the counters of its
// endpoint.
func removeLoad(w *world.World, r *table.Request) {
	load := r.Load
	r.Load = table.AttemptLoad{}
	e := w.Endpoints.Get(load.Endpoint)
	if load.Attempt == 0 || e == nil {
		return
	}
	// If the endpoint's row was replaced while the attempt ran, its counters
	// restarted at zero.
	e.InFlight = max(0, e.InFlight-1)
	if load.Class == table.ClassQuick {
		e.InFlightQuick = max(0, e.InFlightQuick-1)
		if load.ProgressAt == 0 {
			e.AwaitingFirstToken = max(0, e.AwaitingFirstToken-1)
			e.AwaitingFirstTokenSince = w.Now
		}
	}
	if load.Probe {
		endProbe(w, e)
	}
	e.InFlightTokens = max(0, e.InFlightTokens-load.Tokens)
}

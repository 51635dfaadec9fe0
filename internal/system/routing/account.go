package routing

import (
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// expectedTokens is the work that an attempt is expected to do. A plain call
// counts as one token.
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

// occupy accounts an attempt to its endpoint.
func occupy(w *world.World, r *table.Request, e *table.Endpoint, work table.Tokens) {
	r.Work = table.Work{
		Attempt: r.Attempt, Endpoint: e.ID, Agent: r.Agent, Class: r.Class, Tokens: work, Probe: e.Ejected,
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
	e.InFlightTokens += work
}

// release frees the work of attempts that ended in this tick. Requests that were
// ended by a system behind routing are seen in the next tick.
func release(w *world.World) {
	for _, e := range w.In.AttemptEnds {
		if r := w.Requests.Get(e.Request); r != nil && r.Work.Attempt == e.Attempt {
			free(w, r)
		}
	}
	for _, e := range w.In.SessionDowns {
		releaseAgent(w, e.Peer)
	}
	for _, id := range w.Requests.In(table.RequestEnded) {
		free(w, w.Requests.Get(id))
	}
}

// releaseAgent frees the attempts at a lost agent, which retry has ended.
func releaseAgent(w *world.World, peer table.Holder) {
	for _, s := range []table.RequestState{table.RequestBackoff, table.RequestQueued} {
		for _, id := range w.Requests.In(s) {
			if r := w.Requests.Get(id); r.Work.Agent == peer {
				free(w, r)
			}
		}
	}
}

func free(w *world.World, r *table.Request) {
	work := r.Work
	r.Work = table.Work{}
	e := w.Endpoints.Get(work.Endpoint)
	if work.Attempt == 0 || e == nil {
		return
	}
	// A row that was replaced while the attempt ran started again from zero.
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

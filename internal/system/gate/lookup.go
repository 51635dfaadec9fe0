package gate

import (
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

func answerLookups(w *world.World) {
	for _, l := range w.In.Lookups {
		w.Out.LookupResults = append(w.Out.LookupResults, command.SendLookupResult{To: l.From, Result: lookup(w, l)})
	}
}

// lookup says what this agent knows of a key. Found means that the key ran or
// runs here.
func lookup(w *world.World, l event.Lookup) event.LookupResult {
	result := event.LookupResult{Agent: w.Self(), Call: l.Call, Request: l.Request}
	row := w.Runs.Get(l.Request)
	if row.Ran() {
		result.Found, result.State, result.Fingerprint = true, row.State, row.Fingerprint
		if l.Refuse && row.State == table.RunFailed {
			row.Only = l.Nonce
		}
		return result
	}
	// A row without a run may be newer than a run that was forgotten.
	if l.KeyUntil != 0 && l.KeyUntil <= w.Now {
		result.Forgotten = true
		return result
	}
	if l.Refuse {
		refuse(w, l)
		result.State = table.RunRefused
	}
	return result
}

// refuse gives the key to one call and refuses all others. The mark outlives
// every dispatch it is meant for: a dispatch without a key deadline is refused
// after its grant's deadline, which is at most one grant lifetime ahead, and a
// dispatch under a claim after the claim's deadline.
func refuse(w *world.World, l event.Lookup) {
	row := w.Runs.Get(l.Request)
	if row == nil {
		row = w.Runs.Put(l.Request, table.Run{ID: l.Request})
	}
	row.State, row.Only = table.RunRefused, l.Nonce
	keep(w, row, max(l.KeyUntil, w.Now.Add(MaxKeyLifetime)))
}

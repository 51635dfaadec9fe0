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

// lookup returns what this agent knows about a key. Found means that the key ran or
// is running here.
func lookup(w *world.World, l event.Lookup) event.LookupResult {
	result := event.LookupResult{Agent: w.Self(), Call: l.Call, Request: l.Request}
	row := w.Runs.Get(l.Request)
	if row.MayHaveRun() {
		result.Found, result.State, result.Fingerprint = true, row.State, row.Fingerprint
		if l.Refuse && row.State == table.RunFailed {
			row.AllowedNonce = l.Nonce
		}
		return result
	}
	// The record of an earlier run may have been deleted after the key's deadline. A
	// record without a run does not rule that out, because it may be newer.
	if l.KeyDeadline != 0 && l.KeyDeadline <= w.Now {
		result.Forgotten = true
		return result
	}
	if l.Refuse {
		reserveKey(w, l)
		result.State = table.RunRefused
	}
	return result
}

// reserveKey reserves the key for the call with the lookup's nonce and refuses all
// others. The reservation outlives every dispatch that it must refuse: a dispatch
// without a key deadline is rejected after its grant's deadline, which is at most
// one grant lifetime ahead, and a dispatch under a claim after the claim's deadline.
func reserveKey(w *world.World, l event.Lookup) {
	row := w.Runs.Get(l.Request)
	if row == nil {
		row = w.Runs.Put(l.Request, table.Run{ID: l.Request})
	}
	row.State, row.AllowedNonce = table.RunRefused, l.Nonce
	extendRetention(w, row, max(l.KeyDeadline, w.Now.Add(MaxKeyLifetime)))
}

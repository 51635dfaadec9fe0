package allowance

import (
	"strconv"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Settle charges the exchanges that ended, removes their rows, and writes the
// ledger if a limit has to change.
func Settle(w *world.World) {
	for _, id := range w.ExchangesEnded.Keys() {
		if x := w.Exchanges.Get(id); x != nil {
			charge(w, x)
		}
		w.ExchangesEnded.Remove(id)
		w.Exchanges.Delete(id)
	}
	returnUnused(w)
	planWrite(w)
}

// charge replaces the reservation of an exchange by its actual cost. A prompt
// is charged once however often it was sent, and not at all if it certainly
// did not run.
func charge(w *world.World, x *table.Exchange) {
	if x.Reserved == 0 {
		return
	}
	a := ensureAccount(w, x.Customer)
	a.Reserved -= x.Reserved
	cost := Cost(x)
	a.Spent += cost
	w.CountN("allowance.charged", int64(cost))
	w.RecordDecision(x.Request, System, "charged", tokensInput("cost", cost), tokensInput("reserved", x.Reserved),
		tokensInput("free", a.Available()), table.Input{Name: "events", Value: strconv.FormatInt(x.DeliveredEvents, 10)})
}

// Cost returns what an ended exchange costs. Each event counts with the most
// tokens that it may contain, so that the cost is never below the actual use.
func Cost(x *table.Exchange) table.Tokens {
	if !x.MayHaveRun {
		return 0
	}
	output := table.Tokens(x.DeliveredEvents) * x.MaxEventTokens
	if x.MaxEventTokens == 0 {
		output = x.MaxOutput
	}
	return x.PromptTokens + min(output, x.MaxOutput)
}

func tokensInput(name string, n table.Tokens) table.Input {
	return table.Input{Name: name, Value: strconv.FormatInt(int64(n), 10)}
}

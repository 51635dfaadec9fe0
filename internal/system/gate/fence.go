package gate

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// remember fences a holder for the rest of this agent's life: an incarnation
// never comes back into use.
func remember(w *world.World, h table.Holder) {
	if w.Fences.Get(h) == nil {
		w.Fences.Put(h, w.Now)
		w.Change("holder", string(h.Process), "accepted", "fenced", "")
	}
}

// applyFences reports the charges of fenced holders. While runs of the holder
// are in progress the report is repeated when the last of them ends.
func applyFences(w *world.World) {
	for _, f := range w.In.Fences {
		remember(w, f.Holder)
		call := table.FenceCall{From: f.From, Call: f.Call}
		if report(w, f.Holder, call) {
			ask(holderWork(w, f.Holder), call)
		}
	}
}

func ask(work *table.HolderWork, call table.FenceCall) {
	sameRouter := func(c table.FenceCall) bool { return c.From == call.From }
	work.Asking = append(slices.DeleteFunc(work.Asking, sameRouter), call)
}

func answerAsking(w *world.World, h table.Holder) {
	asking := holderWork(w, h).Asking
	holderWork(w, h).Asking = nil
	for _, call := range asking {
		report(w, h, call)
	}
}

// report sends the holder's charges and says whether they may still grow.
func report(w *world.World, h table.Holder, call table.FenceCall) bool {
	result := event.FenceResult{Agent: w.Self(), Call: call.Call, Holder: h, Complete: complete(w, h)}
	if work := w.HolderWork.Get(h); work != nil {
		result.Running = work.Running > 0
		result.Charges = chargesOf(w, h, work)
		if !result.Running {
			w.ChargeExpiry.Set(h, w.Now.Add(chargeRetention))
		}
	}
	w.Out.FenceResults = append(w.Out.FenceResults, command.SendFenceResult{To: call.From, Result: result})
	return result.Running
}

func noteStarts(w *world.World) {
	for _, up := range w.In.SessionUps {
		if up.Process.Role == table.RoleRouter {
			w.HolderStarts.Put(up.Process.Holder, up.Process.Start)
		}
	}
}

// complete reports whether no earlier incarnation of this agent can have run
// work under the holder's grants: there was none, or the holder started later.
func complete(w *world.World, h table.Holder) bool {
	if w.FirstStart {
		return true
	}
	started := w.HolderStarts.Get(h)
	return started != nil && *started > w.Params.Self.Start
}

func chargesOf(w *world.World, h table.Holder, work *table.HolderWork) []event.HolderCharge {
	charges := make([]event.HolderCharge, 0, len(work.Budgets))
	for _, b := range work.Budgets {
		c := w.Charges.Get(table.ChargeKey{Holder: h, Budget: b})
		charges = append(charges, event.HolderCharge{Budget: b, Spent: c.Spent})
	}
	return charges
}

package gate

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// addFence fences a holder for as long as this agent runs. Incarnations are never
// reused, so a fence is never removed.
func addFence(w *world.World, h table.Holder) {
	if w.FencedHolders.Get(h) == nil {
		w.FencedHolders.Put(h, w.Now)
		w.RecordStateChange("holder", string(h.Process), "accepted", "fenced", "")
	}
}

// handleFences fences holders and reports their charges. If runs of a holder are in
// progress, the report is sent again when the last of them ends.
func handleFences(w *world.World) {
	for _, f := range w.In.Fences {
		addFence(w, f.Holder)
		call := table.FenceCall{From: f.From, Call: f.Call}
		if reportCharges(w, f.Holder, call) {
			addOpenFenceCall(ensureHolderWork(w, f.Holder), call)
		}
	}
}

// addOpenFenceCall records a fence call to be answered again with the final charges. It
// replaces an earlier call of the same router.
func addOpenFenceCall(work *table.HolderWork, call table.FenceCall) {
	sameRouter := func(c table.FenceCall) bool { return c.From == call.From }
	work.OpenFenceCalls = append(slices.DeleteFunc(work.OpenFenceCalls, sameRouter), call)
}

// answerOpenFenceCalls sends a holder's final charges to the routers that wait for
// them.
func answerOpenFenceCalls(w *world.World, h table.Holder) {
	open := ensureHolderWork(w, h).OpenFenceCalls
	ensureHolderWork(w, h).OpenFenceCalls = nil
	for _, call := range open {
		reportCharges(w, h, call)
	}
}

// reportCharges sends the holder's charges and returns true if they may still grow.
func reportCharges(w *world.World, h table.Holder, call table.FenceCall) bool {
	result := event.FenceResult{Agent: w.Self(), Call: call.Call, Holder: h, Complete: chargesComplete(w, h)}
	if work := w.HolderWork.Get(h); work != nil {
		result.Running = work.Running > 0
		result.Charges = holderCharges(w, h, work)
		if !result.Running {
			w.ChargeTimers.Schedule(h, w.Now.Add(chargeRetention))
		}
	}
	w.Out.FenceResults = append(w.Out.FenceResults, command.SendFenceResult{To: call.From, Result: result})
	return result.Running
}

// recordHolderStarts stores the start numbers of routers that opened a session.
func recordHolderStarts(w *world.World) {
	for _, opened := range w.In.SessionsOpened {
		if opened.Process.Role == table.RoleRouter {
			w.HolderStartNumbers.Put(opened.Process.Holder, opened.Process.StartNumber)
		}
	}
}

// chargesComplete reports whether the charges of this incarnation are all that this
// agent can have run under the holder's grants: the agent had no earlier
// incarnation, or the holder started after this one.
func chargesComplete(w *world.World, h table.Holder) bool {
	if w.FirstIncarnation {
		return true
	}
	started := w.HolderStartNumbers.Get(h)
	return started != nil && *started > w.Params.Self.StartNumber
}

func holderCharges(w *world.World, h table.Holder, work *table.HolderWork) []event.HolderCharge {
	charges := make([]event.HolderCharge, 0, len(work.Budgets))
	for _, b := range work.Budgets {
		c := w.Charges.Get(table.ChargeKey{Holder: h, Budget: b})
		charges = append(charges, event.HolderCharge{Budget: b, Spent: c.Spent})
	}
	return charges
}

// Package gate performs an agent's final checks before one of its endpoints runs a
// request.
//
// Invariants: a non-idempotent key runs at most once per incarnation of the agent;
// a rejected attempt never runs later; and every token spent under a holder's grant
// is included in that holder's charges.
package gate

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// fenceReadInterval is the delay between attempts to read the fence list while the
	// platform is unavailable. An agent that starts during an outage accepts no work
	// until a read succeeds.
	fenceReadInterval = time.Second
	// chargeRetention is how long charges are kept after they were reported as
	// final, so that a router that lost the report can request it again. It is
	// longer than any outage that the fleet must survive.
	chargeRetention = 7 * 24 * time.Hour
)

// Run processes the tick's dispatches, run events, fences and lookups, and deletes
// expired records.
func Run(w *world.World) {
	recordHolderStarts(w)
	advanceStartup(w)
	applyEngineReports(w)
	handleFences(w)
	applyProgress(w)
	applyRunEnds(w)
	applyCancels(w)
	answerLookups(w)
	for i := range w.In.Dispatches {
		handleDispatch(w, &w.In.Dispatches[i])
	}
	expireRuns(w)
}

// advanceStartup registers the agent, then reads the fence list, then accepts work.
// In this order no fence is missed: a router that fences a holder after the list was
// read finds this agent among the registered ones and notifies it.
func advanceStartup(w *world.World) {
	if w.Readiness == table.AgentStarting {
		if len(w.In.Registrations) > 0 {
			w.Readiness = table.AgentReadingFences
			w.FirstIncarnation = w.In.Registrations[0].FirstIncarnation
			readFences(w)
		}
		// A fence list received in this tick may have been read before the registration.
		return
	}
	for _, l := range w.In.FenceLists {
		applyFenceList(w, l)
	}
	if w.Readiness == table.AgentReadingFences {
		retryFenceRead(w)
	}
}

func readFences(w *world.World) {
	w.Out.ReadFenceLists = append(w.Out.ReadFenceLists, command.ReadFenceList{})
	w.NextFenceReadAt = w.Now.Add(fenceReadInterval)
	w.WakeAt(w.NextFenceReadAt)
}

func applyFenceList(w *world.World, l event.FenceList) {
	if l.Status != event.CallOK {
		return
	}
	for _, h := range l.Holders {
		addFence(w, h)
	}
	if w.Readiness == table.AgentReadingFences {
		w.Readiness = table.AgentReady
		w.RecordStateChange("agent", string(w.Self().Process), "starting", "ready", "the fence list was read")
	}
}

func retryFenceRead(w *world.World) {
	if w.Now >= w.NextFenceReadAt {
		readFences(w)
		return
	}
	w.WakeAt(w.NextFenceReadAt)
}

func applyEngineReports(w *world.World) {
	for _, e := range w.In.EngineReports {
		ep := w.Endpoints.Get(e.Endpoint)
		if ep == nil {
			continue
		}
		ep.ReportTokens, ep.ReportAge = e.ReportTokens, e.ReportAge
		switch {
		case !e.Up && ep.State == table.EndpointLive:
			ep.State, ep.Reason = table.EndpointDown, "engine is down"
			w.RecordStateChange("endpoint", string(ep.ID), "live", "down", ep.Reason)
		case e.Up && ep.State == table.EndpointDown:
			ep.State, ep.Reason = table.EndpointLive, ""
			w.RecordStateChange("endpoint", string(ep.ID), "down", "live", "engine is up")
		}
	}
}

// expireRuns deletes run records and charges whose retention has ended. It skips
// runs in progress: their end sets a new expiry time.
func expireRuns(w *world.World) {
	for id, due := w.RunTimers.PopDue(w.Now); due; id, due = w.RunTimers.PopDue(w.Now) {
		row := w.Runs.Get(id)
		if row == nil || row.State == table.RunRunning {
			continue
		}
		freeAnswer(w, row)
		if row.KeepUntil > w.Now {
			w.RunTimers.Schedule(id, row.KeepUntil)
			continue
		}
		w.Runs.Delete(id)
	}
	expireCharges(w)
	w.WakeAt(w.RunTimers.NextDue())
	w.WakeAt(w.ChargeTimers.NextDue())
}

// freeAnswer frees the text of an answer at the end of its retention. The record is
// kept longer, until no dispatch of the key can arrive any more.
func freeAnswer(w *world.World, row *table.Run) {
	if row.AnswerUntil == 0 {
		return
	}
	if row.AnswerUntil > w.Now {
		row.KeepUntil = max(row.KeepUntil, row.AnswerUntil)
		return
	}
	row.AnswerUntil = 0
	w.Out.FreeAnswers = append(w.Out.FreeAnswers, command.FreeAnswer{Request: row.ID})
}

func expireCharges(w *world.World) {
	for h, due := w.ChargeTimers.PopDue(w.Now); due; h, due = w.ChargeTimers.PopDue(w.Now) {
		work := w.HolderWork.Get(h)
		if work == nil || work.Running > 0 {
			continue
		}
		for _, b := range work.Budgets {
			w.Charges.Delete(table.ChargeKey{Holder: h, Budget: b})
		}
		w.HolderWork.Delete(h)
	}
}

// Package gate is the last check before an endpoint of this agent runs work.
//
// It keeps these invariants: a key that must not repeat runs at most once in an
// incarnation; an attempt that was refused never runs later; and every token
// that ran under a holder's grant is in that holder's charges.
package gate

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// fenceRetry is the pause between reads of the fence list while the platform
	// is away. An agent that starts in an outage accepts no work until then.
	fenceRetry = time.Second
	// chargeRetention is how long charges are kept after they were reported as
	// final, for a router that asks again after a lost answer. It is longer than
	// any outage that is planned for.
	chargeRetention = 7 * 24 * time.Hour
)

// Run checks dispatches and keeps the records of what ran.
func Run(w *world.World) {
	noteStarts(w)
	start(w)
	applyEngineStates(w)
	applyFences(w)
	applyProgress(w)
	applyRunEnds(w)
	applyCancels(w)
	answerLookups(w)
	for i := range w.In.Dispatches {
		check(w, &w.In.Dispatches[i])
	}
	expire(w)
}

// start follows the order that makes fencing complete: register first, then
// read the fences, then accept work. A router that fences a holder later finds
// this agent among the registered ones and tells it.
func start(w *world.World) {
	if w.Readiness == table.Starting {
		if len(w.In.Registered) > 0 {
			w.Readiness = table.ReadingFences
			w.FirstStart = w.In.Registered[0].First
			readFences(w)
		}
		// A list of this tick may have been read before the registration.
		return
	}
	for _, l := range w.In.FenceLists {
		applyFenceList(w, l)
	}
	if w.Readiness == table.ReadingFences {
		retryFences(w)
	}
}

func readFences(w *world.World) {
	w.Out.ReadFences = append(w.Out.ReadFences, command.ReadFences{})
	w.FenceReadAt = w.Now.Add(fenceRetry)
	w.WakeAt(w.FenceReadAt)
}

func applyFenceList(w *world.World, l event.FenceList) {
	if l.Status != event.CallOK {
		return
	}
	for _, h := range l.Holders {
		remember(w, h)
	}
	if w.Readiness == table.ReadingFences {
		w.Readiness = table.Ready
		w.Change("agent", string(w.Self().Process), "starting", "ready", "the fence list was read")
	}
}

func retryFences(w *world.World) {
	if w.Now >= w.FenceReadAt {
		readFences(w)
		return
	}
	w.WakeAt(w.FenceReadAt)
}

func applyEngineStates(w *world.World) {
	for _, e := range w.In.EngineStates {
		ep := w.Endpoints.Get(e.Endpoint)
		if ep == nil {
			continue
		}
		ep.ReportTokens, ep.ReportAge = e.ReportTokens, e.ReportAge
		switch {
		case !e.Up && ep.State == table.EndpointLive:
			ep.State, ep.Reason = table.EndpointDown, "engine is down"
			w.Change("endpoint", string(ep.ID), "live", "down", ep.Reason)
		case e.Up && ep.State == table.EndpointDown:
			ep.State, ep.Reason = table.EndpointLive, ""
			w.Change("endpoint", string(ep.ID), "down", "live", "engine is up")
		}
	}
}

// expire forgets rows whose time has come. Rows of runs in progress are looked
// at again later; their end sets a new time.
func expire(w *world.World) {
	for id, due := w.RunExpiry.Pop(w.Now); due; id, due = w.RunExpiry.Pop(w.Now) {
		row := w.Runs.Get(id)
		if row == nil || row.State == table.RunRunning {
			continue
		}
		freeAnswer(w, row)
		if row.Keep > w.Now {
			w.RunExpiry.Set(id, row.Keep)
			continue
		}
		w.Runs.Delete(id)
	}
	expireCharges(w)
	w.WakeAt(w.RunExpiry.Next())
	w.WakeAt(w.ChargeExpiry.Next())
}

// freeAnswer frees the text of an answer at the end of its retention. The row
// stays until no dispatch of the key can arrive any more, which takes longer.
func freeAnswer(w *world.World, row *table.Run) {
	if row.AnswerUntil == 0 {
		return
	}
	if row.AnswerUntil > w.Now {
		row.Keep = max(row.Keep, row.AnswerUntil)
		return
	}
	row.AnswerUntil = 0
	w.Out.Forgets = append(w.Out.Forgets, command.Forget{Request: row.ID})
}

func expireCharges(w *world.World) {
	for h, due := w.ChargeExpiry.Pop(w.Now); due; h, due = w.ChargeExpiry.Pop(w.Now) {
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

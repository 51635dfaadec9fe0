package gate

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// startRun starts a run and charges its limit to the paying holder until it ends.
func startRun(w *world.World, d *event.Dispatch) {
	row := w.Runs.Get(d.Request)
	if row == nil {
		row = w.Runs.Put(d.Request, table.Run{ID: d.Request})
	}
	initRun(w, row, d)
	w.Out.Runs = append(w.Out.Runs, command.Run{
		Session: d.Session, Request: d.Request, Attempt: d.Attempt, Endpoint: d.Endpoint,
		Kind: d.Kind, Operation: d.Operation, Limit: d.Limit, MaxOutput: d.MaxOutput,
		Priority: d.Priority, Position: d.Position, Fence: w.Params.Self.Start,
	})
	ep := w.Endpoints.Get(d.Endpoint)
	ep.InFlight++
	ep.InFlightTokens += d.Limit
	if d.Class == table.ClassQuick {
		ep.InFlightQuick++
	}
	runs := w.EndpointRuns.Get(d.Endpoint)
	if runs == nil {
		runs = w.EndpointRuns.Put(d.Endpoint, table.EndpointRuns{})
	}
	runs.Running = append(runs.Running, d.Request)
	runs.Alone = d.Alone
	charge := ensureCharge(w, row.Payer, d.Budget)
	charge.Running += d.Limit
	charge.LastUse = w.Now
	ensureHolderWork(w, row.Payer).Running++
	w.Count("gate.run")
}

// initRun resets the record of a key for a new run.
func initRun(w *world.World, row *table.Run, d *event.Dispatch) {
	row.State = table.RunRunning
	row.Payer = chargedHolder(d)
	row.Holder, row.Nonce, row.Attempt, row.Session = d.Holder, d.Nonce, d.Attempt, d.Session
	row.Latest = d.Attempt
	row.Budget, row.Endpoint, row.Service, row.Kind = d.Budget, d.Endpoint, d.Service, d.Kind
	row.Fingerprint, row.Idempotent = d.Fingerprint, d.Idempotent || d.Kind == table.ServiceModel
	row.Limit, row.Position, row.Alone, row.Class = d.Limit, d.Position, d.Alone, d.Class
	row.Prompt, row.Output, row.PaceSeen, row.AnswerUntil = 0, 0, false, 0
	row.Expires, row.Started = d.Expires, w.Now
	row.Keep = max(row.Keep, d.KeyUntil)
	if key, ok := table.ParseIssuedKey(d.Request.Key()); ok {
		row.Keep = max(row.Keep, key.Until)
	}
}

// extendRetention keeps a run record at least until t.
func extendRetention(w *world.World, row *table.Run, t table.Instant) {
	row.Keep = max(row.Keep, t)
	w.RunExpiry.Set(row.ID, row.Keep)
}

// ensureCharge returns the charge of a holder to a budget and creates it if needed.
func ensureCharge(w *world.World, h table.Holder, b table.BudgetID) *table.Charge {
	key := table.ChargeKey{Holder: h, Budget: b}
	if c := w.Charges.Get(key); c != nil {
		return c
	}
	work := ensureHolderWork(w, h)
	work.Budgets = append(work.Budgets, b)
	return w.Charges.Put(key, table.Charge{})
}

// ensureHolderWork returns the work record of a holder and creates it if needed.
func ensureHolderWork(w *world.World, h table.Holder) *table.HolderWork {
	if work := w.HolderWork.Get(h); work != nil {
		return work
	}
	return w.HolderWork.Put(h, table.HolderWork{})
}

func applyProgress(w *world.World) {
	for _, e := range w.In.RunProgress {
		row := w.Runs.Get(e.Request)
		if row == nil || row.State != table.RunRunning {
			continue
		}
		row.Prompt, row.Output = max(row.Prompt, e.Prompt), max(row.Output, e.Output)
		updateTokenTimes(w, row, e.Pace)
	}
}

func applyRunEnds(w *world.World) {
	for _, e := range w.In.RunEnds {
		row := w.Runs.Get(e.Request)
		if row == nil || row.State != table.RunRunning || row.Attempt != e.Attempt {
			continue
		}
		endRun(w, row, e)
	}
}

// endRun records the result of a run, settles its charge and frees its slot.
func endRun(w *world.World, row *table.Run, e event.RunEnd) {
	row.Prompt, row.Output = max(row.Prompt, e.Prompt), max(row.Output, e.Output)
	row.State = finalState(e.Status)
	updateTokenTimes(w, row, e.Pace)
	if e.Status == event.RunNotRun {
		row.Prompt, row.Output = 0, 0
		addRejectedAttempt(row, table.RejectedAttempt{Holder: row.Holder, Nonce: row.Nonce, Attempt: row.Attempt})
	}
	row.AnswerUntil = w.Now.Add(w.Params.AnswerRetention)
	extendRetention(w, row, max(row.AnswerUntil, row.Expires))
	w.RunExpiry.Set(row.ID, row.AnswerUntil)
	releaseSlot(w, row)
	settleCharge(w, row)
	w.Count("gate.end")
}

func finalState(s event.RunStatus) table.RunState {
	switch s {
	case event.RunDone:
		return table.RunDone
	case event.RunNotRun:
		return table.RunRejected
	}
	return table.RunFailed
}

// settleCharge replaces the reserved limit of a run by its actual cost. When the last
// run of the holder ends, it answers the pending fence calls.
func settleCharge(w *world.World, row *table.Run) {
	charge := ensureCharge(w, row.Payer, row.Budget)
	charge.Running -= row.Limit
	charge.Spent += runCost(row)
	charge.LastUse = w.Now
	work := ensureHolderWork(w, row.Payer)
	work.Running--
	if work.Running == 0 {
		answerPendingCalls(w, row.Payer)
	}
}

// runCost returns the tokens to charge for a run, at most its limit. A plain call
// that completed costs its whole limit, which is its price.
func runCost(row *table.Run) table.Tokens {
	if row.Kind == table.ServicePlain && row.State == table.RunDone {
		return row.Limit
	}
	return min(row.Limit, row.Prompt+row.Output)
}

// releaseSlot removes an ended run from the counts and the list of its endpoint.
func releaseSlot(w *world.World, row *table.Run) {
	if ep := w.Endpoints.Get(row.Endpoint); ep != nil {
		ep.InFlight--
		ep.InFlightTokens -= row.Limit
		if row.Class == table.ClassQuick {
			ep.InFlightQuick--
		}
	}
	runs := w.EndpointRuns.Get(row.Endpoint)
	if runs == nil {
		return
	}
	if i := slices.Index(runs.Running, row.ID); i >= 0 {
		runs.Running = slices.Delete(runs.Running, i, i+1)
	}
	runs.Alone = false
}

// applyCancels stops runs that are cancelled by the call that started them. A call
// that only receives a replay cannot stop the run.
func applyCancels(w *world.World) {
	for _, c := range w.In.RunCancels {
		row := w.Runs.Get(c.Request)
		if row == nil || row.State != table.RunRunning || row.Holder != c.Holder || row.Latest != c.Attempt {
			continue
		}
		w.Out.StopRuns = append(w.Out.StopRuns, command.StopRun{Request: c.Request})
	}
}

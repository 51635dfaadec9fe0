package gate

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// startRun starts a run. Until it ends, its charge limit counts as reserved under the
// holder of its grant.
func startRun(w *world.World, d *event.Dispatch) {
	row := w.Runs.Get(d.Request)
	if row == nil {
		row = w.Runs.Put(d.Request, table.Run{ID: d.Request})
	}
	initRun(w, row, d)
	w.Out.Runs = append(w.Out.Runs, command.Run{
		Session: d.Session, Request: d.Request, Attempt: d.Attempt, Endpoint: d.Endpoint,
		Kind: d.Kind, Operation: d.Operation, ChargeLimit: d.ChargeLimit, MaxOutput: d.MaxOutput,
		Priority: d.Priority, StartPosition: d.StartPosition, FencingToken: w.Params.Self.StartNumber,
	})
	ep := w.Endpoints.Get(d.Endpoint)
	ep.InFlight++
	ep.InFlightTokens += d.ChargeLimit
	if d.Class == table.ClassQuick {
		ep.InFlightQuick++
	}
	runs := w.EndpointRuns.Get(d.Endpoint)
	if runs == nil {
		runs = w.EndpointRuns.Put(d.Endpoint, table.EndpointRuns{})
	}
	runs.Running = append(runs.Running, d.Request)
	runs.RunningAlone = d.MustRunAlone
	charge := ensureCharge(w, row.GrantHolder, d.Budget)
	charge.RunningLimit += d.ChargeLimit
	charge.LastUsedAt = w.Now
	ensureHolderWork(w, row.GrantHolder).Running++
	w.Count("gate.run")
}

// initRun resets the record of a key for a new run.
func initRun(w *world.World, row *table.Run, d *event.Dispatch) {
	row.State = table.RunRunning
	row.GrantHolder = chargedHolder(d)
	row.Holder, row.Nonce, row.Attempt, row.Session = d.Holder, d.Nonce, d.Attempt, d.Session
	row.LatestAttempt = d.Attempt
	row.Budget, row.Endpoint, row.Service, row.Kind = d.Budget, d.Endpoint, d.Service, d.Kind
	row.Fingerprint, row.Idempotent = d.Fingerprint, d.Idempotent || d.Kind == table.ServiceModel
	row.ChargeLimit, row.StartPosition, row.MustRunAlone, row.Class = d.ChargeLimit, d.StartPosition, d.MustRunAlone, d.Class
	row.PromptTokens, row.OutputTokens, row.FirstTokenSampled, row.AnswerUntil = 0, 0, false, 0
	row.GrantExpiresAt, row.StartedAt = d.GrantExpiresAt, w.Now
	row.KeepUntil = max(row.KeepUntil, d.KeyDeadline)
	if key, ok := table.ParseIssuedKey(d.Request.Key()); ok {
		row.KeepUntil = max(row.KeepUntil, key.ExpiresAt)
	}
}

// extendRetention keeps a run record at least until t.
func extendRetention(w *world.World, row *table.Run, t table.Instant) {
	row.KeepUntil = max(row.KeepUntil, t)
	w.RunTimers.Schedule(row.ID, row.KeepUntil)
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
		row.PromptTokens, row.OutputTokens = max(row.PromptTokens, e.PromptTokens), max(row.OutputTokens, e.OutputTokens)
		updateTokenTimes(w, row, e.Latency)
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
	row.PromptTokens, row.OutputTokens = max(row.PromptTokens, e.PromptTokens), max(row.OutputTokens, e.OutputTokens)
	row.State = finalState(e.Status)
	updateTokenTimes(w, row, e.Latency)
	if e.Status == event.RunNotRun {
		row.PromptTokens, row.OutputTokens = 0, 0
		addRejectedAttempt(row, table.RejectedAttempt{Holder: row.Holder, Nonce: row.Nonce, Attempt: row.Attempt})
	}
	row.AnswerUntil = w.Now.Add(w.Params.AnswerRetention)
	extendRetention(w, row, max(row.AnswerUntil, row.GrantExpiresAt))
	w.RunTimers.Schedule(row.ID, row.AnswerUntil)
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
// run of the holder ends, it answers the open fence calls.
func settleCharge(w *world.World, row *table.Run) {
	charge := ensureCharge(w, row.GrantHolder, row.Budget)
	charge.RunningLimit -= row.ChargeLimit
	charge.Spent += runCost(row)
	charge.LastUsedAt = w.Now
	work := ensureHolderWork(w, row.GrantHolder)
	work.Running--
	if work.Running == 0 {
		answerOpenFenceCalls(w, row.GrantHolder)
	}
}

// runCost returns the tokens to charge for a run, at most its limit. A plain call
// that completed costs its whole limit, which is its price.
func runCost(row *table.Run) table.Tokens {
	if row.Kind == table.ServicePlain && row.State == table.RunDone {
		return row.ChargeLimit
	}
	return min(row.ChargeLimit, row.PromptTokens+row.OutputTokens)
}

// releaseSlot removes an ended run from the counts and the list of its endpoint.
func releaseSlot(w *world.World, row *table.Run) {
	if ep := w.Endpoints.Get(row.Endpoint); ep != nil {
		ep.InFlight--
		ep.InFlightTokens -= row.ChargeLimit
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
	runs.RunningAlone = false
}

// applyCancels stops runs that are cancelled by the call that started them. A call
// that only receives a replay cannot stop the run.
func applyCancels(w *world.World) {
	for _, c := range w.In.RunCancels {
		row := w.Runs.Get(c.Request)
		if row == nil || row.State != table.RunRunning || row.Holder != c.Holder || row.LatestAttempt != c.Attempt {
			continue
		}
		w.Out.StopRuns = append(w.Out.StopRuns, command.StopRun{Request: c.Request})
	}
}

package gate

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// MaxKeyLifetime is the longest time from now to the deadline of an accepted key.
// The agent keeps a record of each key until its deadline, so this limits the
// agent's memory use.
const MaxKeyLifetime = 2 * time.Hour

// rejection is the reason a dispatch is not run. The zero value means that it may run.
type rejection struct {
	code   table.Code
	reason string
	ran    table.Ran
}

func (r rejection) rejected() bool { return r.code != "" }

// handleDispatch starts a run for a dispatch, replays an existing answer or rejects
// the dispatch.
func handleDispatch(w *world.World, d *event.Dispatch) {
	row := w.Runs.Get(d.Request)
	if r := checkIncarnations(w, d, row); r.rejected() {
		reject(w, d, r)
		return
	}
	if row != nil {
		if handled := handleKnownKey(w, d, row); handled {
			return
		}
	}
	for _, check := range []func(*world.World, *event.Dispatch) rejection{checkKey, checkRejectedAttempts, checkGrant, checkQuarantine, checkEndpoint} {
		if r := check(w, d); r.rejected() {
			reject(w, d, r)
			return
		}
	}
	startRun(w, d)
}

// ranStatus returns what a rejection reports about earlier runs of the key. For
// idempotent work it reports only on the rejected attempt, so that the router can
// retry on another endpoint.
func ranStatus(row *table.Run) table.Ran {
	switch {
	case !row.MayHaveRun() || row.Idempotent:
		return table.NotRun
	case row.State == table.RunDone:
		return table.DidRun
	}
	return table.RanUnknown
}

// checkIncarnations rejects dispatches addressed to another incarnation of this
// agent, dispatches that arrive before the fence list was read, and dispatches
// whose router or holder of the charged grant is fenced.
func checkIncarnations(w *world.World, d *event.Dispatch, row *table.Run) rejection {
	if d.Agent != w.Self() {
		return wrongIncarnation(d)
	}
	if w.Readiness != table.AgentReady {
		return rejection{table.CodeNotReady, "the agent has not read the fence list yet", ranStatus(row)}
	}
	if w.FencedHolders.Get(d.Holder) != nil {
		return rejection{table.CodeFenced, "the router's incarnation is fenced", ranStatus(row)}
	}
	if w.FencedHolders.Get(chargedHolder(d)) != nil && !d.ReplayOnly {
		return rejection{table.CodeFenced, "the holder of the grant that pays is fenced", ranStatus(row)}
	}
	return rejection{}
}

// wrongIncarnation returns the rejection of a dispatch addressed to an earlier
// incarnation of this agent. Only a dispatch that requests a new run is certain
// not to have run.
func wrongIncarnation(d *event.Dispatch) rejection {
	_, issued := table.ParseIssuedKey(d.Request.Key())
	if d.ReplayOnly || issued {
		return rejection{table.CodeKeyLost, "the agent that knew the key has restarted", table.RanUnknown}
	}
	return rejection{table.CodeNotReady, "the dispatch is addressed to another incarnation of the agent", table.NotRun}
}

// handleKnownKey handles a dispatch whose key has a record. It returns false if the
// key may run now.
func handleKnownKey(w *world.World, d *event.Dispatch, row *table.Run) bool {
	if row.MayHaveRun() && row.Fingerprint != d.Fingerprint {
		reject(w, d, rejection{table.CodeKeyMismatch, "the key was used for another request", table.NotRun})
		return true
	}
	switch row.State {
	case table.RunDone:
		if row.AnswerUntil == 0 {
			reject(w, d, rejection{table.CodeKeyLost, "the call was run, but its answer is no longer kept", table.DidRun})
			return true
		}
		replayAnswer(w, d, row)
		return true
	case table.RunRunning:
		replayAnswer(w, d, row)
		return true
	case table.RunFailed:
		return handleFailedRun(w, d, row)
	case table.RunRefused:
		if row.AllowedNonce == 0 || row.AllowedNonce != d.Nonce {
			reject(w, d, rejection{table.CodeKeyInUse, "the key was given to another call", table.NotRun})
			return true
		}
	}
	return false
}

// handleFailedRun handles a dispatch whose key has a failed run. Idempotent work may
// run again, unless the dispatch is a late duplicate of the failed attempt. It
// returns false if the key may run now.
func handleFailedRun(w *world.World, d *event.Dispatch, row *table.Run) bool {
	if d.ReplayOnly {
		reject(w, d, rejection{table.CodeEndpointFailed, "the run ended early", table.DidRun})
		return true
	}
	if !row.Idempotent {
		reject(w, d, rejection{table.CodeEndpointFailed, "the run ended early and must not repeat", table.RanUnknown})
		return true
	}
	if row.AllowedNonce != 0 && row.AllowedNonce != d.Nonce {
		reject(w, d, rejection{table.CodeKeyInUse, "the key was given to another call", table.NotRun})
		return true
	}
	if sameCall(d, row) && d.Attempt <= row.Attempt {
		reject(w, d, rejection{table.CodeEndpointFailed, "the attempt ended early", table.DidRun})
		return true
	}
	return false
}

// chargedHolder returns the holder of the ledger grant to charge. A slice is charged
// to the grant that it is a part of, so that recovery of that grant's holder finds the
// charge.
func chargedHolder(d *event.Dispatch) table.Holder {
	if d.GrantHolder == (table.Holder{}) {
		return d.Holder
	}
	return d.GrantHolder
}

func sameCall(d *event.Dispatch, row *table.Run) bool {
	return row.Holder == d.Holder && row.Nonce == d.Nonce
}

// checkKey rejects a key for which the agent cannot rule out an earlier run. After
// the key's deadline the record of a run may have been deleted; a record without a
// run proves nothing, because it may have been created after that deletion.
func checkKey(w *world.World, d *event.Dispatch) rejection {
	if d.ReplayOnly {
		return rejection{table.CodeKeyLost, "no answer is kept for the key", table.RanUnknown}
	}
	until := d.KeyDeadline
	if key, ok := table.ParseIssuedKey(d.Request.Key()); ok {
		if key.Agent != w.Self() {
			return rejection{table.CodeKeyLost, "the key belongs to another agent or to an earlier start of it", table.RanUnknown}
		}
		until = key.ExpiresAt
	}
	if until == 0 {
		return rejection{}
	}
	if until > w.Now.Add(MaxKeyLifetime) {
		return rejection{table.CodeBadRequest, "the key's deadline is too far ahead", table.NotRun}
	}
	if until <= w.Now {
		return rejection{table.CodeKeyLost, "the key's deadline has passed", table.RanUnknown}
	}
	return rejection{}
}

func checkRejectedAttempts(w *world.World, d *event.Dispatch) rejection {
	row := w.Runs.Get(d.Request)
	if row == nil {
		return rejection{}
	}
	for _, r := range row.RejectedAttempts {
		if r.Holder == d.Holder && r.Nonce == d.Nonce && d.Attempt <= r.Attempt {
			return rejection{table.CodeExpired, "the attempt was refused before", ranStatus(row)}
		}
	}
	return rejection{}
}

func checkGrant(w *world.World, d *event.Dispatch) rejection {
	if d.GrantExpiresAt < w.Now {
		return rejection{table.CodeExpired, "the router's grant has expired", ranStatus(w.Runs.Get(d.Request))}
	}
	return rejection{}
}

func checkQuarantine(w *world.World, d *event.Dispatch) rejection {
	if s := w.CrashSuspects.Get(d.Fingerprint); s != nil && s.Quarantined && w.Now < s.QuarantinedUntil {
		return rejection{table.CodeQuarantined, "the request is quarantined because it crashed endpoints", ranStatus(w.Runs.Get(d.Request))}
	}
	return rejection{}
}

func checkEndpoint(w *world.World, d *event.Dispatch) rejection {
	ran := ranStatus(w.Runs.Get(d.Request))
	ep := w.Endpoints.Get(d.Endpoint)
	switch {
	case ep == nil || ep.Agent != w.Self().Process || ep.Service != d.Service:
		return rejection{table.CodeNoEndpoint, "the endpoint is not at this agent", ran}
	case w.Draining || ep.State == table.EndpointLeaving:
		return rejection{table.CodeDraining, "the endpoint is leaving", ran}
	case ep.State != table.EndpointLive:
		return rejection{table.CodeEndpointFailed, "the endpoint is down", ran}
	}
	runs := w.EndpointRuns.Get(d.Endpoint)
	switch {
	case ep.InFlight >= ep.Slots:
		return rejection{table.CodeBusy, "all slots of the endpoint are in use", ran}
	case runs != nil && runs.RunningAlone:
		return rejection{table.CodeBusy, "the endpoint runs a request that must run alone", ran}
	case d.MustRunAlone && ep.InFlight > 0:
		return rejection{table.CodeBusy, "the request must run alone", ran}
	}
	return rejection{}
}

// reject sends a rejection and records the attempt until its grant expires. Without
// the record, a duplicate that arrives after the cause has gone would run.
func reject(w *world.World, d *event.Dispatch, r rejection) {
	inFlight := 0
	if ep := w.Endpoints.Get(d.Endpoint); ep != nil {
		inFlight = ep.InFlight
	}
	w.Out.Rejects = append(w.Out.Rejects, command.Reject{
		Session: d.Session, Request: d.Request, Attempt: d.Attempt,
		Code: r.code, Reason: r.reason, Ran: r.ran, InFlight: inFlight,
	})
	w.Count("gate.reject." + string(r.code))
	if d.Agent == w.Self() && !d.ReplayOnly && d.GrantExpiresAt >= w.Now {
		recordRejectedAttempt(w, d)
	}
}

// recordRejectedAttempt adds the attempt to the record of its key.
func recordRejectedAttempt(w *world.World, d *event.Dispatch) {
	row := w.Runs.Get(d.Request)
	if row == nil {
		row = w.Runs.Put(d.Request, table.Run{ID: d.Request, State: table.RunRejected})
	}
	addRejectedAttempt(row, table.RejectedAttempt{Holder: d.Holder, Nonce: d.Nonce, Attempt: d.Attempt})
	extendRetention(w, row, max(d.GrantExpiresAt, d.KeyDeadline))
}

func addRejectedAttempt(row *table.Run, a table.RejectedAttempt) {
	for i := range row.RejectedAttempts {
		r := &row.RejectedAttempts[i]
		if r.Holder == a.Holder && r.Nonce == a.Nonce {
			r.Attempt = max(r.Attempt, a.Attempt)
			return
		}
	}
	row.RejectedAttempts = append(row.RejectedAttempts, a)
}

// replayAnswer sends the kept or in-progress answer, unless the session already
// receives it.
func replayAnswer(w *world.World, d *event.Dispatch, row *table.Run) {
	same := sameCall(d, row)
	if same && d.Session == row.Session && d.Attempt <= row.Attempt {
		w.Count("gate.duplicate")
		return
	}
	if same {
		row.LatestAttempt = max(row.LatestAttempt, d.Attempt)
	}
	w.Out.Replays = append(w.Out.Replays, command.Replay{
		Session: d.Session, Request: d.Request, Attempt: d.Attempt, FromPosition: d.StartPosition, SameCall: same,
	})
	w.Count("gate.replay")
}

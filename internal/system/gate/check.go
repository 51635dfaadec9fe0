package gate

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// MaxKeyLifetime bounds how far ahead the deadline of a key may be. It bounds
// how long the agent must remember a key, and so its memory.
const MaxKeyLifetime = 2 * time.Hour

// refusal is why a dispatch does not run. Its zero value lets it run.
type refusal struct {
	code   table.Code
	reason string
	ran    table.Ran
}

func (r refusal) refused() bool { return r.code != "" }

// check runs, replays or refuses one dispatch.
func check(w *world.World, d *event.Dispatch) {
	row := w.Runs.Get(d.Request)
	if r := checkSender(w, d, row); r.refused() {
		reject(w, d, r)
		return
	}
	if row != nil {
		if answered := checkKnown(w, d, row); answered {
			return
		}
	}
	for _, test := range []func(*world.World, *event.Dispatch) refusal{checkKey, checkRejected, checkGrant, checkContent, checkEndpoint} {
		if r := test(w, d); r.refused() {
			reject(w, d, r)
			return
		}
	}
	run(w, d)
}

// ranHere says what the refusal of a dispatch leaves open. Work that may repeat
// is judged by the attempt alone, so that it can go on elsewhere.
func ranHere(row *table.Run) table.Ran {
	switch {
	case !row.Ran() || row.Idempotent:
		return table.NotRun
	case row.State == table.RunDone:
		return table.DidRun
	}
	return table.RanUnknown
}

func checkSender(w *world.World, d *event.Dispatch, row *table.Run) refusal {
	if d.Agent != w.Self() {
		return otherIncarnation(d)
	}
	if w.Readiness != table.Ready {
		return refusal{table.CodeNotReady, "the agent has not read the fence list yet", ranHere(row)}
	}
	if w.Fences.Get(d.Holder) != nil {
		return refusal{table.CodeFenced, "the router's incarnation is fenced", ranHere(row)}
	}
	if w.Fences.Get(payer(d)) != nil && !d.ReplayOnly {
		return refusal{table.CodeFenced, "the holder of the grant that pays is fenced", ranHere(row)}
	}
	return refusal{}
}

// otherIncarnation refuses what was meant for an earlier start of this agent.
// Only a dispatch that asks for a new run is certain not to have run.
func otherIncarnation(d *event.Dispatch) refusal {
	_, issued := table.ParseIssuedKey(d.Request.Key())
	if d.ReplayOnly || issued {
		return refusal{table.CodeKeyLost, "the agent that knew the key has restarted", table.RanUnknown}
	}
	return refusal{table.CodeNotReady, "the dispatch is addressed to another incarnation of the agent", table.NotRun}
}

// checkKnown answers a dispatch of a key that has a row. It returns false if
// the key may run now.
func checkKnown(w *world.World, d *event.Dispatch, row *table.Run) bool {
	if row.Ran() && row.Fingerprint != d.Fingerprint {
		reject(w, d, refusal{table.CodeKeyMismatch, "the key was used for another request", table.NotRun})
		return true
	}
	switch row.State {
	case table.RunDone:
		if row.AnswerUntil == 0 {
			reject(w, d, refusal{table.CodeKeyLost, "the call was run, but its answer is no longer kept", table.DidRun})
			return true
		}
		replay(w, d, row)
		return true
	case table.RunRunning:
		replay(w, d, row)
		return true
	case table.RunFailed:
		return checkFailed(w, d, row)
	case table.RunRefused:
		if row.Only == 0 || row.Only != d.Nonce {
			reject(w, d, refusal{table.CodeKeyInUse, "the key was given to another call", table.NotRun})
			return true
		}
	}
	return false
}

// checkFailed decides on a key whose run ended early. Work that may repeat runs
// again, except for a late duplicate of the attempt that failed.
func checkFailed(w *world.World, d *event.Dispatch, row *table.Run) bool {
	if d.ReplayOnly {
		reject(w, d, refusal{table.CodeEndpointFailed, "the run ended early", table.DidRun})
		return true
	}
	if !row.Idempotent {
		reject(w, d, refusal{table.CodeEndpointFailed, "the run ended early and must not repeat", table.RanUnknown})
		return true
	}
	if row.Only != 0 && row.Only != d.Nonce {
		reject(w, d, refusal{table.CodeKeyInUse, "the key was given to another call", table.NotRun})
		return true
	}
	if sameCall(d, row) && d.Attempt <= row.Attempt {
		reject(w, d, refusal{table.CodeEndpointFailed, "the attempt ended early", table.DidRun})
		return true
	}
	return false
}

// payer returns whose ledger grant is charged. A slice belongs to the grant it
// was cut from, so recovery of that grant's holder must find the charge.
func payer(d *event.Dispatch) table.Holder {
	if d.Grant == (table.Holder{}) {
		return d.Holder
	}
	return d.Grant
}

func sameCall(d *event.Dispatch, row *table.Run) bool {
	return row.Holder == d.Holder && row.Nonce == d.Nonce
}

// checkKey refuses a key that the agent cannot vouch for: past its deadline a key
// may have run and been forgotten. A row without a run may be newer than that.
func checkKey(w *world.World, d *event.Dispatch) refusal {
	if d.ReplayOnly {
		return refusal{table.CodeKeyLost, "no answer is kept for the key", table.RanUnknown}
	}
	until := d.KeyUntil
	if key, ok := table.ParseIssuedKey(d.Request.Key()); ok {
		if key.Agent != w.Self() {
			return refusal{table.CodeKeyLost, "the key belongs to another agent or to an earlier start of it", table.RanUnknown}
		}
		until = key.Until
	}
	if until == 0 {
		return refusal{}
	}
	if until > w.Now.Add(MaxKeyLifetime) {
		return refusal{table.CodeBadRequest, "the key's deadline is too far ahead", table.NotRun}
	}
	if until <= w.Now {
		return refusal{table.CodeKeyLost, "the key's deadline has passed", table.RanUnknown}
	}
	return refusal{}
}

func checkRejected(w *world.World, d *event.Dispatch) refusal {
	row := w.Runs.Get(d.Request)
	if row == nil {
		return refusal{}
	}
	for _, r := range row.Rejected {
		if r.Holder == d.Holder && r.Nonce == d.Nonce && d.Attempt <= r.Attempt {
			return refusal{table.CodeExpired, "the attempt was refused before", ranHere(row)}
		}
	}
	return refusal{}
}

func checkGrant(w *world.World, d *event.Dispatch) refusal {
	if d.Expires < w.Now {
		return refusal{table.CodeExpired, "the router's grant has expired", ranHere(w.Runs.Get(d.Request))}
	}
	return refusal{}
}

func checkContent(w *world.World, d *event.Dispatch) refusal {
	if s := w.Suspects.Get(d.Fingerprint); s != nil && s.Quarantined && w.Now < s.Until {
		return refusal{table.CodeQuarantined, "the request is quarantined because it crashed endpoints", ranHere(w.Runs.Get(d.Request))}
	}
	return refusal{}
}

func checkEndpoint(w *world.World, d *event.Dispatch) refusal {
	ran := ranHere(w.Runs.Get(d.Request))
	ep := w.Endpoints.Get(d.Endpoint)
	switch {
	case ep == nil || ep.Agent != w.Self().Process || ep.Service != d.Service:
		return refusal{table.CodeNoEndpoint, "the endpoint is not at this agent", ran}
	case w.Draining || ep.State == table.EndpointLeaving:
		return refusal{table.CodeDraining, "the endpoint is leaving", ran}
	case ep.State != table.EndpointLive:
		return refusal{table.CodeEndpointFailed, "the endpoint is down", ran}
	}
	runs := w.EndpointRuns.Get(d.Endpoint)
	switch {
	case ep.InFlight >= ep.Slots:
		return refusal{table.CodeBusy, "all slots of the endpoint are in use", ran}
	case runs != nil && runs.Alone:
		return refusal{table.CodeBusy, "the endpoint runs a request that must run alone", ran}
	case d.Alone && ep.InFlight > 0:
		return refusal{table.CodeBusy, "the request must run alone", ran}
	}
	return refusal{}
}

// reject refuses a dispatch. The attempt is remembered until its grant expires,
// because a duplicate that arrives later could find the cause gone.
func reject(w *world.World, d *event.Dispatch, r refusal) {
	inFlight := 0
	if ep := w.Endpoints.Get(d.Endpoint); ep != nil {
		inFlight = ep.InFlight
	}
	w.Out.Rejects = append(w.Out.Rejects, command.Reject{
		Session: d.Session, Request: d.Request, Attempt: d.Attempt,
		Code: r.code, Reason: r.reason, Ran: r.ran, InFlight: inFlight,
	})
	w.Count("gate.reject." + string(r.code))
	if d.Agent == w.Self() && !d.ReplayOnly && d.Expires >= w.Now {
		rememberRejected(w, d)
	}
}

func rememberRejected(w *world.World, d *event.Dispatch) {
	row := w.Runs.Get(d.Request)
	if row == nil {
		row = w.Runs.Put(d.Request, table.Run{ID: d.Request, State: table.RunRejected})
	}
	addRejected(row, table.RejectedAttempt{Holder: d.Holder, Nonce: d.Nonce, Attempt: d.Attempt})
	keep(w, row, max(d.Expires, d.KeyUntil))
}

func addRejected(row *table.Run, a table.RejectedAttempt) {
	for i := range row.Rejected {
		r := &row.Rejected[i]
		if r.Holder == a.Holder && r.Nonce == a.Nonce {
			r.Attempt = max(r.Attempt, a.Attempt)
			return
		}
	}
	row.Rejected = append(row.Rejected, a)
}

// replay sends the kept or running answer, unless the session gets it already.
func replay(w *world.World, d *event.Dispatch, row *table.Run) {
	same := sameCall(d, row)
	if same && d.Session == row.Session && d.Attempt <= row.Attempt {
		w.Count("gate.duplicate")
		return
	}
	if same {
		row.Latest = max(row.Latest, d.Attempt)
	}
	w.Out.Replays = append(w.Out.Replays, command.Replay{
		Session: d.Session, Request: d.Request, Attempt: d.Attempt, Position: d.Position, SameCall: same,
	})
	w.Count("gate.replay")
}

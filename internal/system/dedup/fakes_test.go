package dedup_test

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// fakeAdmission admits all arrivals, except those with the id of a request in progress.
func fakeAdmission(w *world.World) {
	for _, a := range w.In.Arrivals {
		id := table.MakeRequestID(customer, a.Key)
		if w.Requests.Get(id) != nil {
			w.Out.Replies = append(w.Out.Replies, command.Reply{
				ReplyID: a.ReplyID, Outcome: table.Outcome{Code: table.CodeKeyInUse, Ran: table.RanUnknown},
			})
			continue
		}
		w.Requests.Insert(table.Request{
			ID: id, Customer: customer, Service: testService, Kind: a.Kind, Idempotent: a.Kind == table.ServiceModel,
			CallerKey: a.CallerKey, CallerRetry: a.CallerRetry, Fingerprint: a.Fingerprint, WantedReservation: 10,
		}, table.RequestAdmitted)
		w.ReplyIDs.Put(id, a.ReplyID)
	}
}

// fakeBudget grants every reservation in full.
func fakeBudget(w *world.World) {
	for _, id := range w.Requests.InState(table.RequestReserving) {
		r := w.Requests.Get(id)
		r.Reserved = r.WantedReservation
		w.Requests.SetState(r, table.RequestQueued)
	}
	for _, id := range w.Requests.InState(table.RequestEnded) {
		w.Requests.Get(id).Reserved = 0
	}
}

// fakeRouting dispatches queued requests to their pinned agent or to a random one.
func fakeRouting(w *world.World) {
	for _, id := range w.Requests.InState(table.RequestQueued) {
		r := w.Requests.Get(id)
		agent := r.PinnedAgent
		if agent == (table.Holder{}) {
			agent = randomAgent(w)
		}
		p := w.Processes.Get(agent.Process)
		r.Attempt++
		r.Attempts++
		r.Agent, r.Endpoint = agent, endpointOf(agent.Process)
		w.Requests.SetState(r, table.RequestRunning)
		w.Out.Dispatches = append(w.Out.Dispatches, command.Dispatch{To: agent, Dispatch: event.Dispatch{
			Request: id, Attempt: r.Attempt, Endpoint: r.Endpoint, Service: r.Service, Kind: r.Kind,
			Fingerprint: r.Fingerprint, Idempotent: r.Idempotent, MustRunAlone: r.MustRunAlone, ReplayOnly: r.ReplayOnly, ChargeLimit: r.Reserved,
			GrantExpiresAt: p.PeerClock.Add(w.Now.Sub(p.PeerClockAt) + grantLifetime),
			Nonce:          r.Nonce, KeyDeadline: r.KeyDeadline,
		}})
	}
}

func randomAgent(w *world.World) table.Holder {
	var agents []table.Holder
	w.Processes.Each(func(_ table.ProcessID, p *table.Process) {
		if p.Role == table.RoleAgent {
			agents = append(agents, p.Holder)
		}
	})
	return agents[w.Rand.IntN(len(agents))]
}

const (
	// maxAttempts limits the attempts of a request in fakeRetry. Attempts of model
	// requests that a busy agent rejected are not counted. Calls have a lower limit, so
	// that some of them end with NotRun.
	maxAttempts     = 8
	maxCallAttempts = 2
	busyDelay       = 10 * time.Millisecond
)

// fakeRetry implements the rules of the retry system without its budget: requests that
// certainly did not run, or are idempotent, are tried again.
func fakeRetry(w *world.World) {
	for _, e := range w.In.AttemptEnds {
		r := w.Requests.Get(e.Request)
		if r == nil || r.State() != table.RequestRunning || r.Attempt != e.Attempt {
			continue
		}
		switch {
		case e.Status == event.AttemptDone:
			w.Requests.End(r, table.Outcome{OK: true, Ran: table.DidRun, Replayed: e.Replayed})
		case e.Code == table.CodeBusy && e.Ran == table.NotRun && r.Idempotent:
			r.Attempts--
			r.NextAttemptAt = w.Now.Add(busyDelay)
			w.Requests.SetState(r, table.RequestBackoff)
		case e.Status == event.AttemptRejected && (e.Ran != table.NotRun || isFinal(e.Code)):
			w.Requests.End(r, table.Outcome{Code: e.Code, Ran: finalRan(r, e)})
		case e.Status != event.AttemptRejected && (!r.Idempotent || r.ReplayOnly):
			w.Requests.End(r, table.Outcome{Code: table.CodeEndpointFailed, Ran: table.RanUnknown})
		case r.Attempts >= maxAttempts || (!r.Idempotent && r.Attempts >= maxCallAttempts):
			w.Requests.End(r, table.Outcome{Code: e.Code, Ran: finalRan(r, e)})
		default:
			w.Requests.SetState(r, table.RequestQueued)
		}
	}
	for _, id := range w.Requests.InState(table.RequestBackoff) {
		r := w.Requests.Get(id)
		if r.NextAttemptAt > w.Now {
			w.WakeAt(r.NextAttemptAt)
			continue
		}
		w.Requests.SetState(r, table.RequestQueued)
	}
}

func isFinal(c table.Code) bool {
	return slices.Contains([]table.Code{
		table.CodeFenced, table.CodeQuarantined, table.CodeBadRequest, table.CodeKeyMismatch, table.CodeKeyLost, table.CodeKeyInUse,
	}, c)
}

// finalRan returns the Ran status of a request that ends with this attempt. It is NotRun
// only for calls: all earlier attempts of a call were rejected, because any other end of
// an attempt ends the call.
func finalRan(r *table.Request, e event.AttemptEnd) table.Ran {
	if r.Idempotent && e.Ran == table.NotRun {
		return table.RanUnknown
	}
	return e.Ran
}

// platformMode selects how the fake platform handles calls.
type platformMode uint8

const (
	platformUp platformMode = iota
	// platformDown rejects all calls, with a result that says they had no effect.
	platformDown
	// platformLosesAnswers applies writes but loses their answers.
	platformLosesAnswers
	// platformDelaysWrites loses the answer and applies the write later.
	platformDelaysWrites
	platformModeCount
)

type storedClaim struct {
	version uint64
	claim   event.Claim
}

// fakePlatform stores the platform objects that these systems use.
type fakePlatform struct {
	mode       platformMode
	claims     map[table.RequestID]storedClaim
	fences     []table.Holder
	quarantine event.QuarantineList
	// cancelled holds the nonces of the claims that were cancelled.
	cancelled map[uint64]bool
	// calls counts all claim calls, and writes those that are not reads.
	calls, writes int
}

func (p *fakePlatform) handleClaimCall(f *fleet, n *node, c command.ClaimCall) {
	result := event.ClaimResult{Request: c.Claim.Request, Read: c.Read, Claim: c.Claim}
	p.calls++
	if !c.Read {
		p.writes++
	}
	switch {
	case p.mode == platformDown:
		result.Status = event.CallNotApplied
	case c.Read && p.mode != platformUp:
		result.Status = event.CallOutcomeUnknown
	case c.Read:
		stored := p.claims[c.Claim.Request]
		result.Status, result.Version, result.Claim = event.CallOK, stored.version, stored.claim
	case p.mode == platformDelaysWrites:
		result.Status = event.CallOutcomeUnknown
		f.messages = append(f.messages, message{from: n.holder(), apply: func() { p.writeClaim(f, c) }})
	case p.mode == platformLosesAnswers:
		p.writeClaim(f, c)
		result.Status = event.CallOutcomeUnknown
	default:
		result.Status, result.Version = p.writeClaim(f, c)
	}
	f.messages = append(f.messages, message{to: n.holder().Process, toHolder: n.holder(), event: result})
}

func (p *fakePlatform) writeClaim(f *fleet, c command.ClaimCall) (event.CallStatus, uint64) {
	stored := p.claims[c.Claim.Request]
	if stored.version != c.Version {
		return event.CallConflict, 0
	}
	p.claims[c.Claim.Request] = storedClaim{version: c.Version + 1, claim: c.Claim}
	if c.Claim.State == event.ClaimCancelled {
		f.checkCancelledClaim(c.Claim)
		p.cancelled[c.Claim.Nonce] = true
	}
	return event.CallOK, c.Version + 1
}

func (p *fakePlatform) readFences(f *fleet, n *node) {
	list := event.FenceList{Status: event.CallOK, Holders: slices.Clone(p.fences)}
	if p.mode != platformUp {
		list = event.FenceList{Status: event.CallNotApplied}
	}
	f.messages = append(f.messages, message{to: n.holder().Process, toHolder: n.holder(), event: list})
}

func (p *fakePlatform) readQuarantine(f *fleet, n *node) {
	list := p.quarantine
	list.Status = event.CallOK
	f.messages = append(f.messages, message{to: n.holder().Process, toHolder: n.holder(), event: list})
}

func (p *fakePlatform) writeQuarantine(f *fleet, n *node, c command.WriteQuarantineList) {
	if c.Version != p.quarantine.Version {
		f.messages = append(f.messages, message{to: n.holder().Process, toHolder: n.holder(), event: event.QuarantineList{Status: event.CallConflict}})
		return
	}
	p.quarantine = event.QuarantineList{Version: c.Version + 1, Entries: c.Entries}
	p.readQuarantine(f, n)
}

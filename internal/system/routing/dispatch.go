package routing

import (
	"strconv"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// dispatch starts an attempt at an endpoint.
func dispatch(w *world.World, r *table.Request, e *table.Endpoint, sampled []scoredEndpoint) {
	tokens := expectedTokens(w, r)
	w.Requests.ChargeWork(r, chargeCustomer(w, r, tokens))
	startAttempt(w, r, w.Processes.Get(e.Agent), e.ID)
	addLoad(w, r, e, tokens)
	explainDispatch(w, r, sampled)
}

// dispatchReplay asks an agent for a kept answer, which takes no slot.
func dispatchReplay(w *world.World, r *table.Request, agent *table.Process) {
	startAttempt(w, r, agent, "")
	explainDispatch(w, r, nil)
}

// startAttempt sends the request's next attempt to an agent.
func startAttempt(w *world.World, r *table.Request, agent *table.Process, endpoint table.EndpointID) {
	r.Attempt++
	r.Attempts++
	r.Endpoint = endpoint
	r.Agent = agent.Holder
	r.Session = agent.Session
	r.DispatchedAt = w.Now
	w.Requests.SetState(r, table.RequestRunning)
	w.Out.Dispatches = append(w.Out.Dispatches, command.Dispatch{To: agent.Holder, Dispatch: event.Dispatch{
		Agent: agent.Holder, Request: r.ID, Attempt: r.Attempt, Endpoint: endpoint,
		Service: r.Service, Kind: r.Kind, Operation: r.Operation, Budget: r.Budget,
		Fingerprint: r.Fingerprint, Idempotent: r.Idempotent, Class: r.Class,
		MustRunAlone: r.MustRunAlone, ReplayOnly: r.ReplayOnly,
		ChargeLimit: r.Reserved, Priority: r.Priority, MaxOutput: r.MaxOutput - r.DeliveredTokens,
		GrantExpiresAt: expiryInAgentClock(r, agent), GrantHolder: r.GrantHolder, Nonce: r.Nonce, KeyDeadline: r.KeyDeadline,
	}})
	w.Count("routing.dispatched." + r.Class.String())
}

// chargeCustomer adds the tokens, divided by the customer's weight, to the
// customer's WeightedWork and returns the weighted amount.
func chargeCustomer(w *world.World, r *table.Request, tokens table.Tokens) float64 {
	c := w.Customers.Get(r.Customer)
	if c == nil {
		return float64(tokens)
	}
	weighted := float64(tokens)
	if c.Weight > 0 {
		weighted /= c.Weight
	}
	c.WeightedWork += weighted
	return weighted
}

// expiryInAgentClock converts the expiry of the request's grant to the agent's
// clock. The result is never later than the true expiry. Attempts that spend
// nothing never expire.
func expiryInAgentClock(r *table.Request, agent *table.Process) table.Instant {
	if r.ReplayOnly || r.Reserved == 0 {
		return table.Never
	}
	return agent.PeerClock.Add(r.GrantExpiresAt.Sub(agent.PeerClockAt))
}

// grantExpired reports whether the grant behind the request's reservation has
// expired, so that the reserved amount may no longer be spent.
func grantExpired(w *world.World, r *table.Request) bool {
	return r.Reserved > 0 && r.GrantExpiresAt <= w.Now
}

func explainDispatch(w *world.World, r *table.Request, sampled []scoredEndpoint) {
	inputs := []table.Input{
		{Name: "attempt", Value: strconv.Itoa(r.Attempts)},
		{Name: "class", Value: r.Class.String()},
		{Name: "queued", Value: w.Now.Sub(r.ArrivedAt).String()},
	}
	for _, c := range sampled {
		inputs = append(inputs, table.Input{Name: "candidate " + string(c.endpoint.ID), Value: c.firstTokenTime.String()})
	}
	w.RecordDecision(r.ID, System, "sent to "+string(r.Agent.Process)+" "+string(r.Endpoint), inputs...)
}

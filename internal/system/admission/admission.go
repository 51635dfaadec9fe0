// Package admission decides which requests of callers the router accepts.
//
// It resolves the caller's key, applies the limits of the customer at the service,
// and sets the class, deadline, priority and reservation. It also ends requests
// that callers cancel or abandon.
package admission

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System is the name of this system in recorded decisions.
const System = "admission"

const (
	// notReadyRetryAfter is the suggested retry delay while the router has no
	// configuration, and drainingRetryAfter while it shuts down.
	notReadyRetryAfter = time.Second
	drainingRetryAfter = 100 * time.Millisecond
	// concurrencyRetryAfter is an estimate of when one of the customer's requests
	// ends.
	concurrencyRetryAfter = 500 * time.Millisecond
	// maxPriority is the highest priority that the caller API accepts.
	maxPriority = 9
	// maxKeyLength limits the memory used by a caller's key.
	maxKeyLength = 256
	// defaultBudget is the budget of requests that do not name one.
	defaultBudget = "default"
)

// Run processes the arrivals, cancellations and disconnects of this tick.
func Run(w *world.World) {
	for i := range w.In.Arrivals {
		handleArrival(w, &w.In.Arrivals[i])
	}
	for _, e := range w.In.Cancels {
		handleCancel(w, e)
	}
	for _, e := range w.In.CallerDisconnects {
		detach(w, e.Request)
	}
	cancelExpiredDetached(w)
}

// refusal states why an arrival is not admitted. The zero value admits it.
type refusal struct {
	code       table.Code
	reason     string
	retryAfter time.Duration
}

func (r refusal) refused() bool { return r.code != "" }

// candidate is an arrival with the rows that its admission depends on.
type candidate struct {
	arrival  *event.Arrival
	customer *table.Customer
	service  *table.Service
	limits   *table.Limits
	id       table.RequestID
}

func handleArrival(w *world.World, a *event.Arrival) {
	c := candidate{arrival: a}
	if r := c.resolve(w); r.refused() {
		refuse(w, a, r)
		return
	}
	if r := w.Requests.Get(c.id); r != nil {
		handleDuplicate(w, a, r)
		return
	}
	for _, check := range []func(*world.World) refusal{c.checkFields, c.checkDraining, c.checkConcurrency, c.checkRate} {
		if r := check(w); r.refused() {
			refuse(w, a, r)
			return
		}
	}
	c.admit(w)
}

// refuse answers an arrival that is not admitted. A retry may already have run at
// another router, so its outcome is RanUnknown instead of NotRun.
func refuse(w *world.World, a *event.Arrival, r refusal) {
	ran := table.NotRun
	if a.CallerRetry {
		ran = table.RanUnknown
	}
	w.Count("admission.refused." + string(r.code))
	w.Out.Replies = append(w.Out.Replies, command.Reply{
		ReplyID: a.ReplyID,
		Outcome: table.Outcome{Code: r.code, Reason: r.reason, Ran: ran, RetryAfter: r.retryAfter},
	})
}

func (c *candidate) admit(w *world.World) {
	a := c.arrival
	r := table.Request{
		ID:                 c.id,
		Customer:           c.customer.ID,
		Budget:             table.MakeBudgetID(c.customer.ID, budgetName(a.BudgetName)),
		Service:            a.Service,
		Kind:               a.Kind,
		Operation:          a.Operation,
		Idempotent:         c.idempotent(),
		CallerKey:          a.CallerKey,
		CallerRetry:        a.CallerRetry,
		Fingerprint:        a.Fingerprint,
		Priority:           c.priority(),
		ResumePosition:     a.ResumePosition,
		PromptTokens:       a.PromptTokens,
		MaxOutput:          c.maxOutput(),
		ArrivedAt:          w.Now,
		FirstTokenDeadline: c.deadline(w.Now),
	}
	r.WantedReservation = c.maxCost(r.MaxOutput)
	expected := c.expectedTokens(r.MaxOutput)
	r.Class = table.ClassQuick
	if expected > c.limits.QuickTokens {
		r.Class = table.ClassLong
	}
	w.Requests.Insert(r, table.RequestAdmitted)
	c.customer.InFlight = w.Requests.CustomerCount(c.customer.ID)
	w.ReplyIDs.Put(r.ID, a.ReplyID)
	w.Out.Accepts = append(w.Out.Accepts, command.Accept{ReplyID: a.ReplyID, Request: r.ID})
	w.Count("admission.accepted")
	w.Count("admission.accepted." + r.Class.String())
	c.explain(w, &r, expected)
}

func budgetName(name string) string {
	if name == "" {
		return defaultBudget
	}
	return name
}

// idempotent reports whether the request may run more than once: model answers can
// be generated again, and the configuration declares which operations are
// idempotent.
func (c *candidate) idempotent() bool {
	if c.service.Kind == table.ServiceModel {
		return true
	}
	return c.service.Operations[c.arrival.Operation].Idempotent
}

func (c *candidate) priority() int {
	if c.arrival.Priority == 0 {
		return c.limits.Priority
	}
	return c.arrival.Priority
}

func (c *candidate) maxOutput() table.Tokens {
	if c.service.Kind == table.ServicePlain {
		return 0
	}
	if c.arrival.MaxOutput == 0 || c.arrival.MaxOutput > c.limits.MaxOutput {
		return c.limits.MaxOutput
	}
	return c.arrival.MaxOutput
}

func (c *candidate) deadline(now table.Instant) table.Instant {
	timeout := c.arrival.FirstTokenDeadline
	if timeout == 0 {
		timeout = c.limits.FirstTokenDeadline
	}
	if timeout == 0 {
		return table.Never
	}
	return now.Add(timeout)
}

// maxCost returns the most that the request can cost, which is the amount to
// reserve.
func (c *candidate) maxCost(maxOutput table.Tokens) table.Tokens {
	if c.service.Kind == table.ServicePlain {
		return c.service.Operations[c.arrival.Operation].Cost
	}
	return c.arrival.PromptTokens + maxOutput
}

// expectedTokens returns the prompt tokens plus the service's mean output. The
// output limit replaces the mean until answers were observed. Plain calls count as
// 0: they are short whatever they cost.
func (c *candidate) expectedTokens(maxOutput table.Tokens) table.Tokens {
	if c.service.Kind == table.ServicePlain {
		return 0
	}
	output := maxOutput
	if mean := table.Tokens(c.service.MeanOutputTokens); mean > 0 {
		output = min(output, mean)
	}
	return c.arrival.PromptTokens + output
}

// Package admission decides which callers' requests enter the router.
//
// It resolves the caller's key, applies the limits in force for the customer at
// the service, and sets class, deadline, priority and the amount to reserve. It
// also ends requests that callers cancel or leave.
package admission

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System names this system in explanations.
const System = "admission"

const (
	// notReadyRetry is how soon a caller may ask again before a configuration
	// is known, and drainingRetry while this router shuts down.
	notReadyRetry = time.Second
	drainingRetry = 100 * time.Millisecond
	// concurrencyRetry is a guess at when one of the customer's requests ends.
	concurrencyRetry = 500 * time.Millisecond
	// maxPriority is the highest priority of the caller API.
	maxPriority = 9
	// maxKeyLength bounds the memory that a caller's key takes.
	maxKeyLength = 256
	// defaultBudget is the budget of requests that name none.
	defaultBudget = "default"
)

// Run admits or refuses the arrivals of this tick.
func Run(w *world.World) {
	for i := range w.In.Arrivals {
		arrive(w, &w.In.Arrivals[i])
	}
	for _, e := range w.In.Cancels {
		cancel(w, e)
	}
	for _, e := range w.In.Disconnects {
		disconnect(w, e.Request)
	}
	endDetached(w)
}

// refusal is why an arrival is not admitted; an empty code admits it.
type refusal struct {
	code       table.Code
	reason     string
	retryAfter time.Duration
}

func (f refusal) refused() bool { return f.code != "" }

// candidate is an arrival with the rows that its admission depends on.
type candidate struct {
	arrival  *event.Arrival
	customer *table.Customer
	service  *table.Service
	limits   *table.Limits
	id       table.RequestID
}

func arrive(w *world.World, a *event.Arrival) {
	c := candidate{arrival: a}
	if f := c.identify(w); f.refused() {
		refuse(w, a, f)
		return
	}
	if r := w.Requests.Get(c.id); r != nil {
		repeat(w, a, r)
		return
	}
	for _, check := range []func(*world.World) refusal{c.checkShape, c.checkDraining, c.checkConcurrency, c.checkRate} {
		if f := check(w); f.refused() {
			refuse(w, a, f)
			return
		}
	}
	c.admit(w)
}

// refuse answers an arrival that gets no row. A caller that says it sent the
// request before may have had it run elsewhere, so NotRun would be a guess.
func refuse(w *world.World, a *event.Arrival, f refusal) {
	ran := table.NotRun
	if a.Retry {
		ran = table.RanUnknown
	}
	w.Count("admission.refused." + string(f.code))
	w.Out.Replies = append(w.Out.Replies, command.Reply{
		Reply:   a.Reply,
		Outcome: table.Outcome{Code: f.code, Reason: f.reason, Ran: ran, RetryAfter: f.retryAfter},
	})
}

func (c *candidate) admit(w *world.World) {
	a := c.arrival
	r := table.Request{
		ID:           c.id,
		Customer:     c.customer.ID,
		Budget:       table.MakeBudgetID(c.customer.ID, budgetName(a.Budget)),
		Service:      a.Service,
		Kind:         a.Kind,
		Operation:    a.Operation,
		Idempotent:   c.idempotent(),
		CallerKey:    a.CallerKey,
		Retry:        a.Retry,
		Fingerprint:  a.Fingerprint,
		Priority:     c.priority(),
		Position:     a.Position,
		PromptTokens: a.PromptTokens,
		MaxOutput:    c.maxOutput(),
		Arrived:      w.Now,
		Deadline:     c.deadline(w.Now),
	}
	r.Reserve = c.reserve(r.MaxOutput)
	expected := c.expectedWork(r.MaxOutput)
	r.Class = table.ClassQuick
	if expected > c.limits.QuickTokens {
		r.Class = table.ClassLong
	}
	w.Requests.Insert(r, table.RequestAdmitted)
	c.customer.InFlight = w.Requests.OfCustomer(c.customer.ID)
	w.Replies.Put(r.ID, a.Reply)
	w.Out.Accepts = append(w.Out.Accepts, command.Accept{Reply: a.Reply, Request: r.ID})
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

// idempotent is true for model answers, which may be produced again, and for
// operations that the configuration declares as such.
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
	limit := c.arrival.Deadline
	if limit == 0 {
		limit = c.limits.FirstTokenDeadline
	}
	if limit == 0 {
		return table.Never
	}
	return now.Add(limit)
}

// reserve is the most that the request may cost.
func (c *candidate) reserve(maxOutput table.Tokens) table.Tokens {
	if c.service.Kind == table.ServicePlain {
		return c.service.Operations[c.arrival.Operation].Cost
	}
	return c.arrival.PromptTokens + maxOutput
}

// expectedWork is the prompt and the service's learned mean output; before
// anything was learned, the output limit stands for the mean. Plain calls run
// for a short time whatever they cost.
func (c *candidate) expectedWork(maxOutput table.Tokens) table.Tokens {
	if c.service.Kind == table.ServicePlain {
		return 0
	}
	output := maxOutput
	if mean := table.Tokens(c.service.MeanOutput); mean > 0 {
		output = min(output, mean)
	}
	return c.arrival.PromptTokens + output
}

// Package where answers what would happen to a request now: where it would go and why, or
// with what it would be refused. Nothing is sent and nothing changes.
//
// Operators ask it, a few times a minute. The answer comes from the functions that decide on
// requests, which run on a copy of what they change.
package where

import (
	"fmt"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/allowance"
	"laburnumroad.dev/laburnumroad/internal/system/intake"
	"laburnumroad.dev/laburnumroad/internal/system/placement"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// MaxTokens bounds each size of a query, and MaxParts the number of its prompt parts.
	MaxTokens table.Tokens = 100_000_000
	MaxParts  int          = 256
	// maxBodyBytes bounds the body of the request that a query describes.
	maxBodyBytes = 1 << 30
)

// Run answers the queries of this tick.
func Run(w *world.World) {
	for i := range w.In.WhereQueries {
		w.Count("where.queries")
		w.Out.WhereReplies = append(w.Out.WhereReplies, answer(w, &w.In.WhereQueries[i]))
	}
}

func answer(w *world.World, q *event.WhereQuery) command.WhereReply {
	r := command.WhereReply{ReplyID: q.ReplyID, Self: w.Self().Process, Customer: q.Customer}
	if w.Closing {
		r.Problem, r.ProblemReason = command.WhereShuttingDown, "the router shuts down"
		return r
	}
	if reason := invalid(q); reason != "" {
		r.Problem, r.ProblemReason = command.WhereInvalid, reason
		return r
	}
	keyHash, hasKey, reason := keyOf(w, q)
	if reason != "" {
		r.Problem, r.ProblemReason = command.WhereUnknown, reason
		return r
	}
	if route := intake.RouteOf(w, q.Host, q.Path); route != nil {
		r.Route, r.Kind, r.Priority, r.Services = route.Name, route.Kind, route.Priority, intake.ServiceShares(route)
	}
	preview := newPreview(w)
	x, outcome := intake.Preview(preview, &event.HTTPArrival{
		Host: q.Host, Path: q.Path, HasKey: hasKey, KeyHash: keyHash, BodyBytes: q.BodyBytes,
		PromptTokens: q.PromptTokens, MaxOutput: q.MaxOutput, PromptParts: q.PromptParts,
	})
	if x == nil {
		if outcome.Code == table.CodeUnknownRoute || outcome.Code == table.CodeUnauthenticated {
			r.Problem, r.ProblemReason = command.WhereUnknown, outcome.Reason
			return r
		}
		r.Verdict, r.System, r.Outcome = command.WhereRefused, intake.System, outcome
		return r
	}
	r.Service, r.Customer, r.Priority = x.Service, x.Customer, x.Priority
	addBudgetAndPlacement(preview, x, &r)
	return r
}

// addBudgetAndPlacement adds what follows for an admitted request. The candidates are shown
// too if the budget keeps the request from them.
func addBudgetAndPlacement(preview *world.World, x *table.Exchange, r *command.WhereReply) {
	copyCustomer(preview, x.Customer)
	r.Budget = allowance.Preview(preview, x)
	x.State = table.ExchangePlacing
	copyLimits(preview)
	plan := placement.Preview(preview, x)
	r.Candidates = plan.Candidates
	switch {
	case r.Budget.Verdict != command.WhereSent:
		r.Verdict, r.System, r.Outcome = r.Budget.Verdict, allowance.System, r.Budget.Outcome
		r.Wait, r.WaitFor = r.Budget.Wait, "budget from the ledger or another router"
	default:
		r.Verdict, r.System, r.Outcome = plan.Verdict, placement.System, plan.Outcome
		r.Wait, r.WaitFor = plan.Wait, "an endpoint that takes it"
	}
	if r.Verdict != command.WhereWaits {
		r.WaitFor = ""
	}
}

// invalid returns why the sizes of a query make no sense, or an empty string.
func invalid(q *event.WhereQuery) string {
	if q.PromptTokens < 0 || q.MaxOutput < 0 || q.PromptTokens > MaxTokens || q.MaxOutput > MaxTokens {
		return fmt.Sprintf("prompt tokens and most output tokens must be 0 to %d", MaxTokens)
	}
	if q.BodyBytes < 0 || q.BodyBytes > maxBodyBytes {
		return fmt.Sprintf("the body must have 0 to %d bytes", maxBodyBytes)
	}
	if len(q.PromptParts) > MaxParts {
		return fmt.Sprintf("a prompt has at most %d parts", MaxParts)
	}
	left := q.PromptTokens
	for _, p := range q.PromptParts {
		if p.ID == "" || p.Tokens < 0 || p.Tokens > left {
			return "the parts of the prompt need ids, and no more tokens than the prompt has"
		}
		left -= p.Tokens
	}
	return ""
}

// keyOf returns a key hash by which requests of the query's customer are known, or why there
// is none.
func keyOf(w *world.World, q *event.WhereQuery) (table.KeyHash, bool, string) {
	if q.Customer == "" {
		return q.KeyHash, q.HasKey, ""
	}
	customer := w.PrepaidCustomers.Get(q.Customer)
	switch {
	case w.Manifest.Version == 0:
		// Intake refuses whatever the key is.
		return table.KeyHash{}, false, ""
	case customer == nil:
		return table.KeyHash{}, false, "the customer is not in the configuration"
	case len(customer.KeyHashes) == 0:
		return table.KeyHash{}, false, "the customer has no key, so its requests are refused"
	}
	return customer.KeyHashes[0], true, ""
}

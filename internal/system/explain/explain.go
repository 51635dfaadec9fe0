// Package explain stores the most recent decisions about requests and answers
// operators' queries about requests and about the status of the fleet.
package explain

import (
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Run stores the decisions of the tick and answers explain and status queries.
func Run(w *world.World) {
	for _, d := range w.Decisions {
		w.DecisionHistory.Add(d, w.Params.MaxDecisions)
	}
	for _, q := range w.In.ExplainQueries {
		id, decisions := findDecisions(w, q.Request)
		w.Out.ExplainReplies = append(w.Out.ExplainReplies, command.ExplainReply{ReplyID: q.ReplyID, Self: w.Self().Process, Request: id, Decisions: decisions})
	}
	for _, q := range w.In.StatusQueries {
		w.Out.StatusReplies = append(w.Out.StatusReplies, fleetStatus(w, q.ReplyID))
	}
}

// findDecisions returns the decisions about a request, oldest first. The query is the
// full request id or its key part. If several customers used the key, it selects the
// request with the latest decision.
func findDecisions(w *world.World, query string) (table.RequestID, []table.Decision) {
	query = table.Shorten(query)
	var id table.RequestID
	w.DecisionHistory.Each(func(d *table.Decision) {
		exact := string(d.Request) == query
		if exact || (d.Request.Key() == query && string(id) != query) {
			id = d.Request
		}
	})
	var decisions []table.Decision
	w.DecisionHistory.Each(func(d *table.Decision) {
		if id != "" && d.Request == id {
			decisions = append(decisions, *d)
		}
	})
	return id, decisions
}

// fleetStatus returns the state of the fleet as this process sees it.
func fleetStatus(w *world.World, replyID uint64) command.StatusReply {
	s := command.StatusReply{
		ReplyID: replyID, Self: w.Self().Process, Generation: w.Config.Generation,
		PlatformReachable: w.PlatformReachable, PlatformStateAge: w.Now.Sub(w.PlatformStateSince), Now: w.Now,
	}
	w.Processes.Each(func(_ table.ProcessID, p *table.Process) { s.Processes = append(s.Processes, *p) })
	w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) { s.Endpoints = append(s.Endpoints, *e) })
	w.CrashSuspects.Each(func(f table.Fingerprint, suspect *table.CrashSuspect) {
		if suspect.Quarantined && w.Now < suspect.QuarantinedUntil {
			s.Quarantined = append(s.Quarantined, f)
		}
	})
	w.Budgets.Each(func(id table.BudgetID, b *table.Budget) {
		if b.Short {
			s.ShortBudgets = append(s.ShortBudgets, id)
		}
	})
	return s
}

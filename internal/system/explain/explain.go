// Package explain keeps the last decisions about requests and answers the
// operators' questions about requests and about the state of the fleet.
package explain

import (
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Run stores the tick's decisions and answers queries.
func Run(w *world.World) {
	for _, d := range w.Decisions {
		w.History.Add(d, w.Params.ExplainLimit)
	}
	for _, q := range w.In.Explains {
		id, decisions := find(w, q.Request)
		w.Out.ExplainReplies = append(w.Out.ExplainReplies, command.ExplainReply{Reply: q.Reply, Self: w.Self().Process, Request: id, Decisions: decisions})
	}
	for _, q := range w.In.StatusQueries {
		w.Out.StatusReplies = append(w.Out.StatusReplies, status(w, q.Reply))
	}
}

// find returns the decisions about a request, oldest first. The name is the
// full id or its key part; a key that several customers used means the request
// with the latest decision.
func find(w *world.World, name string) (table.RequestID, []table.Decision) {
	var id table.RequestID
	w.History.Each(func(d *table.Decision) {
		exact := string(d.Request) == name
		if exact || (d.Request.Key() == name && string(id) != name) {
			id = d.Request
		}
	})
	var decisions []table.Decision
	w.History.Each(func(d *table.Decision) {
		if id != "" && d.Request == id {
			decisions = append(decisions, *d)
		}
	})
	return id, decisions
}

func status(w *world.World, reply uint64) command.StatusReply {
	s := command.StatusReply{
		Reply: reply, Self: w.Self().Process, Generation: w.Fleet.Generation,
		PlatformUp: w.PlatformUp, PlatformSince: w.Now.Sub(w.PlatformSince), Now: w.Now,
	}
	w.Processes.Each(func(_ table.ProcessID, p *table.Process) { s.Processes = append(s.Processes, *p) })
	w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) { s.Endpoints = append(s.Endpoints, *e) })
	w.Suspects.Each(func(f table.Fingerprint, x *table.Suspect) {
		if x.Quarantined && w.Now < x.Until {
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

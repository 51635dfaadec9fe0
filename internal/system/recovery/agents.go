package recovery

import (
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// startCollectingCharges determines the agents to query: all registered ones, and those
// that this router knows although they are no longer registered.
func startCollectingCharges(w *world.World, r *table.Recovery, e event.ProcessList) {
	for i := range e.Processes {
		if e.Processes[i].Role == table.RoleAgent {
			r.Agents = append(r.Agents, table.RecoveryAgent{Agent: e.Processes[i].Holder})
		}
	}
	w.Processes.Each(func(_ table.ProcessID, p *table.Process) {
		if p.Role == table.RoleAgent && !hasAgent(r, p.Process) {
			r.Agents = append(r.Agents, table.RecoveryAgent{Agent: p.Holder})
		}
	})
	r.Charges = make(map[table.BudgetID]table.Tokens)
	enterStage(w, r, table.RecoveryCollectingCharges)
}

func hasAgent(r *table.Recovery, id table.ProcessID) bool {
	for _, a := range r.Agents {
		if a.Agent.Process == id {
			return true
		}
	}
	return false
}

// collectCharges fences the holder at each agent that has not sent a final answer.
func collectCharges(w *world.World, r *table.Recovery) {
	skipGoneAgents(w, r)
	if allAgentsDone(r) {
		enterStage(w, r, table.RecoveryWritingLedger)
		for _, id := range r.Shards.Keys() {
			reclaimShard(w, r, id)
		}
		return
	}
	if next := r.CallSentAt.Add(fenceRetryInterval); r.CallSentAt > 0 && next > w.Now {
		w.WakeAt(next)
		return
	}
	r.OpenCall, r.CallSentAt = w.NextCall(), w.Now
	for _, a := range r.Agents {
		if a.Answered {
			continue
		}
		w.Out.Fences = append(w.Out.Fences, command.SendFence{
			To: a.Agent.Process, Fence: event.Fence{From: w.Self(), Call: r.OpenCall, Holder: r.Holder},
		})
	}
	w.WakeAt(w.Now.Add(fenceRetryInterval))
}

// skipGoneAgents stops waiting for agents that are gone and marks their charges as
// incomplete.
func skipGoneAgents(w *world.World, r *table.Recovery) {
	for i := range r.Agents {
		a := &r.Agents[i]
		p := w.Processes.Get(a.Agent.Process)
		if !a.Answered && p != nil && p.State == table.ProcessGone {
			a.Answered, a.ChargesIncomplete = true, true
			w.Count("recovery.agents_gone")
		}
	}
}

func allAgentsDone(r *table.Recovery) bool {
	for _, a := range r.Agents {
		if !a.Answered {
			return false
		}
	}
	return true
}

// onFenceResult adds the charges of an agent once, as soon as the holder has no work in
// progress there.
func onFenceResult(w *world.World, e event.FenceResult) {
	r := w.Recoveries.Get(e.Holder)
	if r == nil || r.Stage != table.RecoveryCollectingCharges || e.Running {
		return
	}
	for i := range r.Agents {
		a := &r.Agents[i]
		if a.Agent.Process != e.Agent.Process || a.Answered {
			continue
		}
		a.Answered = true
		a.ChargesIncomplete = !e.Complete || a.Agent != e.Agent
		for _, c := range e.Charges {
			r.Charges[c.Budget] += c.Spent
		}
	}
}

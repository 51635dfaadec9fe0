package dedup

import (
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// issuedLifetime is how long an issued key may be used. The agent keeps the records of
// used keys for that time: at 2 calls per second and agent, 7,200 records of about 300
// bytes.
const issuedLifetime = time.Hour

func issueKeys(w *world.World) {
	for _, e := range w.In.KeyIssueRequests {
		w.Out.KeyReplies = append(w.Out.KeyReplies, issueKey(w, e))
	}
}

func issueKey(w *world.World, e event.KeyIssueRequest) command.KeyReply {
	reply := command.KeyReply{ReplyID: e.ReplyID}
	if code, reason := authorizeIssue(w, e); code != "" {
		reply.Refusal = table.Outcome{Code: code, Reason: reason, Ran: table.NotRun}
		return reply
	}
	agent := chooseAgent(w, e.Service)
	if agent == nil {
		reply.Refusal = table.Outcome{
			Code: table.CodeNoEndpoint, Reason: "no agent of the service is live", Ran: table.NotRun, RetryAfter: retryAfter,
		}
		return reply
	}
	key := table.IssuedKey{Agent: agent.Holder, ExpiresAt: estimateAgentClock(w, agent).Add(issuedLifetime), Random: w.Rand.Uint64()}
	reply.Key, reply.ValidFor = key.String(), issuedLifetime
	w.Count("dedup.issued")
	return reply
}

// authorizeIssue checks whether the caller may get a key for the service. It returns an
// empty code if so.
func authorizeIssue(w *world.World, e event.KeyIssueRequest) (code table.Code, reason string) {
	customer := w.CustomerByKeyHash(e.KeyHash)
	switch {
	case customer == nil:
		return table.CodeUnauthenticated, "the caller's key is not known"
	case w.Services.Get(e.Service) == nil:
		return table.CodeUnknownService, "the service is not known"
	case !slices.Contains(customer.Services, e.Service):
		return table.CodeForbidden, "the customer may not use the service"
	}
	return "", ""
}

// useIssuedKey pins a request to the agent that its key names. A retry queries the
// agent first, because replaying a kept answer needs no budget.
func useIssuedKey(w *world.World, r *table.Request, key table.IssuedKey) {
	if agentReachability(w, key.Agent) == agentGone {
		refuse(w, r, table.CodeKeyLost, table.RanUnknown, "the agent that the key names is gone or has restarted")
		return
	}
	r.PinnedAgent, r.KeyDeadline = key.Agent, key.ExpiresAt
	if r.CallerRetry {
		queryAgent(w, r, startSearch(w, r), key.Agent)
		return
	}
	proceed(w, r, "pinned to the agent that the key names")
}

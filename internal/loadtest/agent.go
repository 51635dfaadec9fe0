package loadtest

import (
	"fmt"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

const (
	// Service-time model: the first token takes prefillBase plus prefillPerToken for each
	// prompt token, each further token takes decodePerToken.
	prefillBase     = 50 * time.Millisecond
	prefillPerToken = 100 * time.Microsecond
	decodePerToken  = 20 * time.Millisecond
	// progressInterval is the interval of progress reports on delivered output.
	progressInterval = time.Second
)

// agent simulates an agent with one endpoint. When all slots are in use, it rejects
// attempts as busy, or queues them in FIFO order if QueueAtEndpoint is set.
type agent struct {
	run    *run
	index  int
	id     table.EndpointID
	holder table.Holder
	queue  []attempt

	inFlight       int
	inFlightQuick  int
	inFlightTokens table.Tokens
	// averages holds the moving averages of first-token and token times, and history a
	// copy of them for each heartbeat.
	averages event.EndpointLoad
	history  []event.EndpointLoad
}

// attempt is an attempt of a request that a router sent to an agent.
type attempt struct {
	router   int
	request  *request
	dispatch command.Dispatch
}

func (r *run) addAgent(i int) {
	a := &agent{run: r, index: i, id: table.EndpointID(fmt.Sprintf("e%d", i))}
	a.holder = table.Holder{Process: table.ProcessID("agent-" + string(a.id)), Incarnation: 1}
	r.agents = append(r.agents, a)
	r.agentsByID[a.id] = a
	r.schedule(time.Duration(r.rand.Int64N(int64(heartbeatInterval))), a.heartbeat)
}

func (a *agent) dispatch(router int, d command.Dispatch) {
	att := attempt{router, a.run.requests[d.Request], d}
	switch {
	case a.inFlight < a.run.Slots:
		a.start(att)
	case a.run.QueueAtEndpoint:
		a.queue = append(a.queue, att)
	default:
		if att.request.measured {
			a.run.result.RejectedAttempts++
		}
		a.send(att, event.AttemptEnd{
			Request: d.Request, Attempt: d.Attempt, Status: event.AttemptRejected, Code: table.CodeBusy,
			Ran: table.NotRun, AgentInFlight: a.inFlight,
		})
	}
}

func (a *agent) start(att attempt) {
	a.inFlight++
	if !att.request.long {
		a.inFlightQuick++
	}
	a.inFlightTokens += att.request.prompt + att.request.output
	a.run.recordStart(att.request)
	prefill := a.applySlowFactor(prefillBase + time.Duration(att.request.prompt)*prefillPerToken)
	a.run.schedule(prefill, func() {
		if !att.request.long {
			a.updateAverage(&a.averages.FirstTokenTime, prefill)
		}
		a.run.schedule(networkDelay, func() { a.run.recordFirstToken(att.request) })
		a.send(att, event.FirstToken{Request: att.dispatch.Request, Attempt: att.dispatch.Attempt})
		a.generate(att, 1)
	})
}

// generate simulates token generation until the next progress report or the end of the
// output.
func (a *agent) generate(att attempt, delivered table.Tokens) {
	tokenTime := a.applySlowFactor(decodePerToken)
	n := min(att.request.output-delivered, max(1, table.Tokens(progressInterval/tokenTime)))
	a.run.schedule(time.Duration(n)*tokenTime, func() {
		delivered += n
		a.updateAverage(&a.averages.TokenTime, tokenTime)
		if delivered >= att.request.output {
			a.finish(att, delivered)
			return
		}
		a.send(att, event.AttemptProgress{Request: att.dispatch.Request, Attempt: att.dispatch.Attempt, DeliveredTokens: delivered})
		a.generate(att, delivered)
	})
}

func (a *agent) finish(att attempt, delivered table.Tokens) {
	a.inFlight--
	if !att.request.long {
		a.inFlightQuick--
	}
	a.inFlightTokens -= att.request.prompt + att.request.output
	a.send(att, event.AttemptEnd{
		Request: att.dispatch.Request, Attempt: att.dispatch.Attempt, Status: event.AttemptDone,
		Ran: table.DidRun, PromptTokens: att.request.prompt, DeliveredTokens: delivered,
	})
	if len(a.queue) > 0 {
		next := a.queue[0]
		a.queue = a.queue[1:]
		a.start(next)
	}
}

func (a *agent) send(att attempt, e event.Event) {
	a.run.schedule(networkDelay, func() { a.run.deliver(att.router, e) })
}

// applySlowFactor returns d scaled by the endpoint's current slow factor.
func (a *agent) applySlowFactor(d time.Duration) time.Duration {
	return time.Duration(float64(d) * a.run.slowFactor(a.index, a.run.now))
}

// updateAverage adds a sample to one of the agent's moving averages.
func (a *agent) updateAverage(average *time.Duration, sample time.Duration) {
	*average = table.UpdateMovingAverage(*average, sample)
	a.averages.Samples++
}

// heartbeat reports the agent's load to all routers. The counts of requests in flight
// are current, the averages are as old as ReportDelay.
func (a *agent) heartbeat() {
	a.history = append(a.history, a.averages)
	ageInHeartbeats := min(len(a.history)-1, int(a.run.ReportDelay/heartbeatInterval))
	load := a.history[len(a.history)-1-ageInHeartbeats]
	load.Endpoint, load.Slots = a.id, a.run.Slots
	load.InFlight, load.InFlightQuick, load.InFlightTokens = a.inFlight, a.inFlightQuick, a.inFlightTokens
	for i := range a.run.routers {
		a.run.schedule(networkDelay, func() {
			a.run.deliver(i, event.Heartbeat{Peer: a.holder, Endpoints: []event.EndpointLoad{load}})
		})
	}
	a.run.schedule(heartbeatInterval, a.heartbeat)
}

package dedup_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/dedup"
	"laburnumroad.dev/laburnumroad/internal/system/gate"
	"laburnumroad.dev/laburnumroad/internal/system/quarantine"
	"laburnumroad.dev/laburnumroad/internal/system/reply"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	testService   = table.ServiceName("desk")
	customer      = table.CustomerID("guild")
	retention     = 10 * time.Minute
	grantLifetime = 30 * time.Minute
)

// node simulates a daemon: its world and the state of its traffic goroutines.
type node struct {
	fleet   *fleet
	w       *world.World
	systems []world.System
	started table.Instant
	dead    bool
	paused  bool
	// pendingEvents holds the events that arrived while the process was paused.
	pendingEvents []event.Event
	// previousRequests holds the requests as they were before the current tick.
	previousRequests map[table.RequestID]table.Request
	// storedAnswers holds the answers stored at an agent, as the fingerprints of the
	// requests they answer.
	storedAnswers map[table.RequestID]table.Fingerprint
	// pendingReplies holds the reply ids of the requests that a router has not answered.
	pendingReplies []int
}

func (n *node) holder() table.Holder { return n.w.Self() }

// now returns the node's own clock, which differs from those of other nodes.
func (n *node) now() table.Instant { return n.fleet.now - n.started + 1 }

// message is in transit to a process, or to the platform if apply is set. Results of
// the platform have no sender: they come from the process's own client, which answers
// each call once, but possibly late or with an unknown outcome.
type message struct {
	from table.Holder
	to   table.ProcessID
	// toHolder is the only incarnation that may receive the message, if it is set.
	toHolder table.Holder
	event    event.Event
	apply    func()
}

// sentByNetwork reports whether the network can lose or duplicate the message.
func (m message) sentByNetwork() bool { return m.apply == nil && m.from != table.Holder{} }

// clientRequest is a request that a caller sent to a router.
type clientRequest struct {
	id          table.RequestID
	fingerprint table.Fingerprint
	router      *node
	nonce       uint64
	answered    bool
	outcome     table.Outcome
}

// execution is a run that an endpoint started.
type execution struct {
	id          table.RequestID
	holder      table.Holder
	nonce       uint64
	fingerprint table.Fingerprint
	agent       *node
	attempt     uint32
	endpoint    table.EndpointID
	subscribers []subscriber
	ended       bool
	completed   bool
}

// subscriber is an attempt of a router that receives a run's output.
type subscriber struct {
	router   table.Holder
	attempt  uint32
	replayed bool
}

type answerKey struct {
	router  table.Holder
	request table.RequestID
	attempt uint32
}

// fleet simulates several routers and agents. It runs the real dedup, quarantine, gate
// and reply systems, with fakes for admission, budget, routing, retry, the network, the
// engines and the platform.
type fleet struct {
	t                rapid.TB
	rapidT           *rapid.T
	now              table.Instant
	lastIncarnation  table.Incarnation
	routers          []*node
	agents           []*node
	messages         []message
	requests         []*clientRequest
	runs             []*execution
	answers          map[answerKey]table.Fingerprint
	platform         fakePlatform
	issuedKeys       []string
	modelRequests    bool
	crashFingerprint table.Fingerprint
	// slots is the number of slots of each endpoint.
	slots int
}

// newRapidFleet returns a fleet whose actions draw their choices from t.
func newRapidFleet(t *rapid.T, routers, agents int) *fleet {
	f := newFleet(t, routers, agents)
	f.rapidT = t
	return f
}

func newFleet(t rapid.TB, routers, agents int) *fleet {
	f := &fleet{t: t, now: table.Instant(time.Hour), answers: map[answerKey]table.Fingerprint{}, slots: 2}
	f.platform.claims = map[table.RequestID]storedClaim{}
	f.platform.cancelled = map[uint64]bool{}
	for i := range routers {
		f.routers = append(f.routers, f.newRouter(table.ProcessID(fmt.Sprintf("r%d", i))))
	}
	for i := range agents {
		f.agents = append(f.agents, f.newAgent(table.ProcessID(fmt.Sprintf("a%d", i))))
	}
	f.syncAllMembership()
	f.runUntilIdle()
	return f
}

func (f *fleet) newNode(id table.ProcessID, role table.Role, systems ...func(*world.World)) *node {
	f.lastIncarnation++
	n := &node{
		fleet: f, started: f.now - table.Instant(f.lastIncarnation)*table.Instant(time.Second),
		previousRequests: map[table.RequestID]table.Request{}, storedAnswers: map[table.RequestID]table.Fingerprint{},
	}
	n.w = world.New(world.Params{
		Self:            table.Process{Holder: table.Holder{Process: id, Incarnation: f.lastIncarnation}, Role: role},
		AnswerRetention: retention, GrantLifetime: grantLifetime,
	}, uint64(f.lastIncarnation))
	for _, s := range systems {
		n.systems = append(n.systems, world.SystemFunc(s))
	}
	return n
}

func (f *fleet) newRouter(id table.ProcessID) *node {
	n := f.newNode(id, table.RoleRouter, fakeAdmission, quarantine.Run, dedup.Run, fakeRetry, fakeBudget, fakeRouting, dedup.Finish, reply.Run)
	n.w.Services.Put(testService, table.Service{Name: testService})
	n.w.Customers.Put(customer, table.Customer{ID: customer, KeyHashes: []table.KeyHash{{1}}, Services: []table.ServiceName{testService}})
	return n
}

func (f *fleet) newAgent(id table.ProcessID) *node {
	n := f.newNode(id, table.RoleAgent, quarantine.Run, gate.Run)
	e := endpointOf(id)
	n.w.Endpoints.Put(e, table.Endpoint{ID: e, Agent: id, Service: testService, Slots: f.slots})
	f.tick(n, event.Registered{})
	return n
}

func endpointOf(id table.ProcessID) table.EndpointID { return table.EndpointID("e-" + id) }

// syncAllMembership gives every router a current view of the processes.
func (f *fleet) syncAllMembership() {
	for _, r := range f.routers {
		f.syncMembership(r)
	}
}

// syncMembership replaces the membership system: it updates a router's view of the
// live processes and their endpoints.
func (f *fleet) syncMembership(r *node) {
	if r.paused {
		return
	}
	for _, n := range append(slices.Clone(f.routers), f.agents...) {
		p := table.Process{Holder: n.holder(), Role: n.w.Params.Self.Role, State: table.ProcessLive, Connected: true}
		p.PeerClock, p.PeerClockAt = n.now(), r.now()
		r.w.Processes.Put(p.Process, p)
	}
	for _, a := range f.agents {
		e := endpointOf(a.holder().Process)
		r.w.Endpoints.Put(e, table.Endpoint{ID: e, Agent: a.holder().Process, Service: testService, Slots: 2})
	}
}

func (f *fleet) findNode(id table.ProcessID) *node {
	for _, n := range append(slices.Clone(f.routers), f.agents...) {
		if n.holder().Process == id {
			return n
		}
	}
	return nil
}

// tick runs one tick of a node and executes its commands.
func (f *fleet) tick(n *node, events ...event.Event) {
	if n.dead {
		return
	}
	if n.paused {
		n.pendingEvents = append(n.pendingEvents, events...)
		return
	}
	for _, e := range events {
		e.AddTo(&n.w.In)
	}
	n.w.Tick(n.now(), n.systems)
	out := n.w.Out
	n.w.ClearOutbox()
	f.handleRouterCommands(n, &out)
	f.handleAgentCommands(n, &out)
	clear(n.previousRequests)
	n.w.Requests.Each(func(id table.RequestID, r *table.Request) { n.previousRequests[id] = *r })
}

func (f *fleet) send(n *node, to table.ProcessID, toHolder table.Holder, e event.Event) {
	f.messages = append(f.messages, message{from: n.holder(), to: to, toHolder: toHolder, event: e})
}

func (f *fleet) handleRouterCommands(n *node, out *command.Outbox) {
	for _, d := range out.Dispatches {
		f.send(n, d.To.Process, table.Holder{}, event.Dispatch{
			Session: uint64(n.holder().Incarnation), Holder: n.holder(), Agent: d.To, Request: d.Request, Attempt: d.Attempt,
			Endpoint: d.Endpoint, Service: d.Service, Kind: d.Kind, Budget: "guild/b", Fingerprint: d.Fingerprint,
			Idempotent: d.Idempotent, MustRunAlone: d.MustRunAlone, ReplayOnly: d.ReplayOnly, ChargeLimit: d.ChargeLimit, GrantExpiresAt: d.GrantExpiresAt,
			Nonce: d.Nonce, KeyDeadline: d.KeyDeadline,
		})
	}
	for _, r := range out.Replies {
		f.deliverReply(n, r)
	}
	for _, k := range out.KeyReplies {
		if k.Key != "" {
			f.issuedKeys = append(f.issuedKeys, k.Key)
		}
	}
	for _, m := range out.KeyRecords {
		f.send(n, m.To, table.Holder{}, m.Record)
	}
	for _, m := range out.KeyQueries {
		f.send(n, m.To, table.Holder{}, m.Query)
	}
	for _, m := range out.KeyResults {
		f.send(n, m.To.Process, m.To, m.Result)
	}
	for _, m := range out.Lookups {
		f.send(n, m.To, table.Holder{}, m.Lookup)
	}
	for _, c := range out.ClaimCalls {
		f.messages = append(f.messages, message{from: n.holder(), apply: func() { f.platform.handleClaimCall(f, n, c) }})
	}
	for _, q := range out.WriteQuarantineLists {
		f.messages = append(f.messages, message{from: n.holder(), apply: func() { f.platform.writeQuarantine(f, n, q) }})
	}
	for range out.ReadQuarantineLists {
		f.messages = append(f.messages, message{from: n.holder(), apply: func() { f.platform.readQuarantine(f, n) }})
	}
}

func (f *fleet) handleAgentCommands(n *node, out *command.Outbox) {
	for _, r := range out.Runs {
		f.startRun(n, r)
	}
	for _, r := range out.Replays {
		f.replayAnswer(n, r)
	}
	for _, r := range out.Rejects {
		f.sendToSession(n, r.Session, event.AttemptEnd{
			Request: r.Request, Attempt: r.Attempt, Status: event.AttemptRejected, Code: r.Code, Reason: r.Reason, Ran: r.Ran,
		})
	}
	for _, id := range out.FreeAnswers {
		delete(n.storedAnswers, id.Request)
	}
	for _, m := range out.LookupResults {
		f.send(n, m.To.Process, m.To, m.Result)
	}
	for _, c := range out.Crashes {
		for _, r := range f.routers {
			f.send(n, r.holder().Process, table.Holder{}, c.Crash)
		}
	}
	for range out.ReadFenceLists {
		f.messages = append(f.messages, message{from: n.holder(), apply: func() { f.platform.readFences(f, n) }})
	}
}

// sendToSession sends an event to the router incarnation that owns a session.
func (f *fleet) sendToSession(n *node, session uint64, e event.Event) {
	for _, r := range f.routers {
		if uint64(r.holder().Incarnation) == session {
			f.send(n, r.holder().Process, r.holder(), e)
		}
	}
}

func (f *fleet) startRun(n *node, r command.Run) {
	row := n.w.Runs.Get(r.Request)
	f.runs = append(f.runs, &execution{
		id: r.Request, holder: row.Holder, nonce: row.Nonce, fingerprint: row.Fingerprint, agent: n, attempt: r.Attempt,
		endpoint: r.Endpoint, subscribers: []subscriber{{router: row.Holder, attempt: r.Attempt}},
	})
}

func (f *fleet) replayAnswer(n *node, r command.Replay) {
	sub := subscriber{attempt: r.Attempt, replayed: !r.SameCall}
	for _, router := range f.routers {
		if uint64(router.holder().Incarnation) == r.Session {
			sub.router = router.holder()
		}
	}
	for _, x := range f.runs {
		if x.id == r.Request && x.agent == n && !x.ended {
			x.subscribers = append(x.subscribers, sub)
			return
		}
	}
	fingerprint, ok := n.storedAnswers[r.Request]
	require.True(f.t, ok, "replay of an answer that is not stored")
	f.sendAttemptEnd(n, r.Request, sub, event.AttemptDone, fingerprint)
}

// endRun ends a run at its engine and notifies its subscribers.
func (f *fleet) endRun(x *execution, status event.RunStatus) {
	x.ended = true
	x.completed = status == event.RunDone
	if x.completed {
		x.agent.storedAnswers[x.id] = x.fingerprint
	}
	f.tick(x.agent, event.RunEnd{Request: x.id, Attempt: x.attempt, Status: status, PromptTokens: 1, OutputTokens: 1})
	attempt := event.AttemptBroken
	if x.completed {
		attempt = event.AttemptDone
	}
	for _, sub := range x.subscribers {
		f.sendAttemptEnd(x.agent, x.id, sub, attempt, x.fingerprint)
	}
}

func (f *fleet) sendAttemptEnd(n *node, id table.RequestID, sub subscriber, s event.AttemptStatus, fingerprint table.Fingerprint) {
	f.answers[answerKey{sub.router, id, sub.attempt}] = fingerprint
	f.send(n, sub.router.Process, sub.router, event.AttemptEnd{
		Request: id, Attempt: sub.attempt, Status: s, Ran: table.DidRun, PromptTokens: 1, DeliveredTokens: 1, Replayed: sub.replayed,
	})
}

// deliverReply passes a reply to its caller and checks it.
func (f *fleet) deliverReply(n *node, r command.Reply) {
	c := f.requests[r.ReplyID]
	require.False(f.t, c.answered, "a second reply")
	row := n.previousRequests[c.id]
	c.answered, c.outcome = true, r.Outcome
	if r.Request != "" {
		c.nonce = row.Nonce
	}
	if row.ClaimVersion != 0 && r.Outcome.Ran == table.NotRun {
		require.True(f.t, f.platform.cancelled[row.Nonce], "the holder of the claim of %s was told NotRun before it was cancelled", c.id)
	}
	if r.Outcome.OK {
		require.Equal(f.t, c.fingerprint, f.answers[answerKey{n.holder(), c.id, row.Attempt}], "an answer for another request")
	}
	n.pendingReplies = slices.DeleteFunc(n.pendingReplies, func(i int) bool { return i == int(r.ReplyID) })
}

func (f *fleet) sendRequest(n *node, id table.RequestID, fingerprint table.Fingerprint, retry bool) *clientRequest {
	c := &clientRequest{id: id, fingerprint: fingerprint, router: n}
	f.requests = append(f.requests, c)
	replyID := len(f.requests) - 1
	n.pendingReplies = append(n.pendingReplies, replyID)
	kind := table.ServicePlain
	if f.modelRequests {
		kind = table.ServiceModel
	}
	f.tick(n, event.Arrival{Key: id.Key(), CallerKey: true, ReplyID: uint64(replyID), Kind: kind, Fingerprint: fingerprint, CallerRetry: retry})
	return c
}

// checkCancelledClaim fails if a claim is cancelled, and NotRun reported to its holder,
// after any call ran the key. Another call may run the key later.
func (f *fleet) checkCancelledClaim(c event.Claim) {
	ran := slices.ContainsFunc(f.runs, func(x *execution) bool { return x.id == c.Request })
	require.False(f.t, ran, "the claim of %s was cancelled after the key ran", c.Request)
}

// deliver delivers the message at index i.
func (f *fleet) deliver(i int) {
	m := f.messages[i]
	f.messages = slices.Delete(f.messages, i, i+1)
	if m.apply != nil {
		m.apply()
		return
	}
	n := f.findNode(m.to)
	if n != nil && (m.toHolder == table.Holder{} || m.toHolder == n.holder()) {
		f.tick(n, m.event)
	}
}

// advanceTime advances the time and ticks the nodes whose wake-up time has come.
func (f *fleet) advanceTime(d time.Duration) {
	f.now = f.now.Add(d)
	for _, n := range append(slices.Clone(f.routers), f.agents...) {
		for i := 0; i < 10 && !n.paused && n.w.NextWake() <= n.now(); i++ {
			f.tick(n)
		}
	}
}

// runUntilIdle delivers all messages in order and completes all runs, without faults,
// until nothing is left to do.
func (f *fleet) runUntilIdle() {
	for range 10_000 {
		running := slices.IndexFunc(f.runs, func(x *execution) bool { return !x.ended })
		switch {
		case len(f.messages) > 0:
			f.deliver(0)
		case running >= 0 && !f.runs[running].agent.paused:
			f.finishRun(f.runs[running])
		case slices.ContainsFunc(f.routers, func(r *node) bool { return !r.paused && r.w.Requests.CountInState(table.RequestBackoff) > 0 }):
			f.advanceTime(busyDelay)
		default:
			return
		}
	}
	f.t.Fatalf("the fleet does not become idle")
}

// finishRun completes a run, or crashes its endpoint if the request is the crashing one.
func (f *fleet) finishRun(x *execution) {
	if f.crashFingerprint == 0 || x.fingerprint != f.crashFingerprint {
		f.endRun(x, event.RunDone)
		return
	}
	f.crashEndpoint(x.agent)
}

// crashEndpoint ends all runs of an agent's endpoint early and restarts its engine.
func (f *fleet) crashEndpoint(a *node) {
	for _, x := range f.runs {
		if x.agent == a && !x.ended {
			f.endRun(x, event.RunBroken)
		}
	}
	e := endpointOf(a.holder().Process)
	f.tick(a, event.EngineReport{Endpoint: e})
	f.tick(a, event.EngineReport{Endpoint: e, Up: true})
}

// kill ends a process and starts a new incarnation of it. Messages in transit from the
// old incarnation may still arrive.
func (f *fleet) kill(n *node) {
	n.dead = true
	for _, x := range f.runs {
		if x.agent == n {
			x.ended = true
		}
	}
	if i := slices.Index(f.agents, n); i >= 0 {
		f.agents[i] = f.newAgent(n.holder().Process)
		for _, r := range f.routers {
			f.endSession(r, n.holder())
		}
		return
	}
	i := slices.Index(f.routers, n)
	f.routers[i] = f.newRouter(n.holder().Process)
	f.syncMembership(f.routers[i])
}

// endSession drops the messages between a router and an agent and ends the router's
// attempts at the agent, as the end of their session would.
func (f *fleet) endSession(r *node, agent table.Holder) {
	f.messages = slices.DeleteFunc(f.messages, func(m message) bool {
		return m.apply == nil && ((m.from == r.holder() && m.to == agent.Process) || (m.from == agent && m.to == r.holder().Process))
	})
	var lost []event.Event
	r.w.Requests.Each(func(id table.RequestID, row *table.Request) {
		if row.State() == table.RequestRunning && row.Agent.Process == agent.Process {
			lost = append(lost, event.AttemptEnd{Request: id, Attempt: row.Attempt, Status: event.AttemptLost, Ran: table.RanUnknown})
		}
	})
	if len(lost) > 0 {
		f.tick(r, lost...)
	}
}

func (f *fleet) resume(n *node) {
	n.paused = false
	events := n.pendingEvents
	n.pendingEvents = nil
	f.tick(n, events...)
}

// endFaults ends all faults: it restores the platform, resumes paused processes, and ends
// the sessions, which ends the attempts whose messages were lost.
func (f *fleet) endFaults() {
	f.platform.mode = platformUp
	for _, n := range append(slices.Clone(f.routers), f.agents...) {
		if n.paused {
			f.resume(n)
		}
	}
	f.syncAllMembership()
	for range 30 {
		f.runUntilIdle()
		f.advanceTime(time.Second)
		for _, r := range f.routers {
			for _, a := range f.agents {
				f.endSession(r, a.holder())
			}
		}
	}
}

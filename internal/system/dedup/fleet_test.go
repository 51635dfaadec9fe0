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
	testService = table.ServiceName("desk")
	customer    = table.CustomerID("guild")
	retention   = 10 * time.Minute
	grantLife   = 30 * time.Minute
)

// node is a daemon: its world, and what its traffic goroutines would keep.
type node struct {
	f       *fleet
	w       *world.World
	systems []world.System
	started table.Instant
	dead    bool
	paused  bool
	// waiting are events that arrived while the process was paused.
	waiting []event.Event
	// seen are the requests as they were before the current tick.
	seen map[table.RequestID]table.Request
	// kept are the answers at an agent, by the fingerprint they belong to.
	kept map[table.RequestID]table.Fingerprint
	// unanswered are the handlers of a router that wait for a reply.
	unanswered []int
}

func (n *node) holder() table.Holder { return n.w.Self() }

// now is the node's own clock, which differs from those of the others.
func (n *node) now() table.Instant { return n.f.now - n.started + 1 }

// message is on its way to a process, or to the platform if apply is set. The
// platform's results have no sender: they come from the process's own client,
// which answers each call once, but late or with an unknown outcome.
type message struct {
	from  table.Holder
	to    table.ProcessID
	only  table.Holder
	event event.Event
	apply func()
}

// onWire reports whether the network can lose or repeat the message.
func (m message) onWire() bool { return m.apply == nil && m.from != table.Holder{} }

// call is one request of a caller.
type call struct {
	id       table.RequestID
	print    table.Fingerprint
	router   *node
	nonce    uint64
	answered bool
	outcome  table.Outcome
}

// execution is one run that an endpoint started.
type execution struct {
	id        table.RequestID
	holder    table.Holder
	nonce     uint64
	print     table.Fingerprint
	agent     *node
	attempt   uint32
	endpoint  table.EndpointID
	listeners []listener
	ended     bool
	whole     bool
}

// listener is a session that gets a run's output.
type listener struct {
	router   table.Holder
	attempt  uint32
	replayed bool
}

type answerKey struct {
	router  table.Holder
	request table.RequestID
	attempt uint32
}

// fleet runs the real systems of some routers and agents, with stand-ins for
// admission, budget, routing, retry, the network, the engines and the platform.
type fleet struct {
	t        rapid.TB
	draw     *rapid.T
	now      table.Instant
	next     table.Incarnation
	routers  []*node
	agents   []*node
	net      []message
	calls    []*call
	runs     []*execution
	answers  map[answerKey]table.Fingerprint
	platform fakePlatform
	issued   []string
	model    bool
	crasher  table.Fingerprint
	// slots of each endpoint.
	slots int
}

func drawnFleet(t *rapid.T, routers, agents int) *fleet {
	f := newFleet(t, routers, agents)
	f.draw = t
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
	f.syncAll()
	f.settle()
	return f
}

func (f *fleet) newNode(id table.ProcessID, role table.Role, systems ...func(*world.World)) *node {
	f.next++
	n := &node{
		f: f, started: f.now - table.Instant(f.next)*table.Instant(time.Second),
		seen: map[table.RequestID]table.Request{}, kept: map[table.RequestID]table.Fingerprint{},
	}
	n.w = world.New(world.Params{
		Self:            table.Process{Holder: table.Holder{Process: id, Incarnation: f.next}, Role: role},
		AnswerRetention: retention, GrantLifetime: grantLife,
	}, uint64(f.next))
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

// syncAll gives every router a fresh view of the processes.
func (f *fleet) syncAll() {
	for _, r := range f.routers {
		f.sync(r)
	}
}

// sync is what membership would do: it shows a router who is live.
func (f *fleet) sync(r *node) {
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

func (f *fleet) find(id table.ProcessID) *node {
	for _, n := range append(slices.Clone(f.routers), f.agents...) {
		if n.holder().Process == id {
			return n
		}
	}
	return nil
}

// tick runs one tick of a node and carries out its commands.
func (f *fleet) tick(n *node, events ...event.Event) {
	if n.dead {
		return
	}
	if n.paused {
		n.waiting = append(n.waiting, events...)
		return
	}
	for _, e := range events {
		e.AddTo(&n.w.In)
	}
	n.w.Tick(n.now(), n.systems)
	out := n.w.Out
	n.w.Clear()
	f.flushRouter(n, &out)
	f.flushAgent(n, &out)
	clear(n.seen)
	n.w.Requests.Each(func(id table.RequestID, r *table.Request) { n.seen[id] = *r })
}

func (f *fleet) send(n *node, to table.ProcessID, only table.Holder, e event.Event) {
	f.net = append(f.net, message{from: n.holder(), to: to, only: only, event: e})
}

func (f *fleet) flushRouter(n *node, out *command.Outbox) {
	for _, d := range out.Dispatches {
		f.send(n, d.To.Process, table.Holder{}, event.Dispatch{
			Session: uint64(n.holder().Incarnation), Holder: n.holder(), Agent: d.To, Request: d.Request, Attempt: d.Attempt,
			Endpoint: d.Endpoint, Service: d.Service, Kind: d.Kind, Budget: "guild/b", Fingerprint: d.Fingerprint,
			Idempotent: d.Idempotent, Alone: d.Alone, ReplayOnly: d.ReplayOnly, Limit: d.Limit, Expires: d.Expires,
			Nonce: d.Nonce, KeyUntil: d.KeyUntil,
		})
	}
	for _, r := range out.Replies {
		f.answer(n, r)
	}
	for _, k := range out.KeyReplies {
		if k.Key != "" {
			f.issued = append(f.issued, k.Key)
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
		f.net = append(f.net, message{from: n.holder(), apply: func() { f.platform.claim(f, n, c) }})
	}
	for _, q := range out.WriteQuarantines {
		f.net = append(f.net, message{from: n.holder(), apply: func() { f.platform.writeQuarantine(f, n, q) }})
	}
	for range out.ReadQuarantines {
		f.net = append(f.net, message{from: n.holder(), apply: func() { f.platform.readQuarantine(f, n) }})
	}
}

func (f *fleet) flushAgent(n *node, out *command.Outbox) {
	for _, r := range out.Runs {
		f.start(n, r)
	}
	for _, r := range out.Replays {
		f.replay(n, r)
	}
	for _, r := range out.Rejects {
		f.toSession(n, r.Session, event.AttemptEnd{
			Request: r.Request, Attempt: r.Attempt, Status: event.AttemptRejected, Code: r.Code, Reason: r.Reason, Ran: r.Ran,
		})
	}
	for _, id := range out.Forgets {
		delete(n.kept, id.Request)
	}
	for _, m := range out.LookupResults {
		f.send(n, m.To.Process, m.To, m.Result)
	}
	for _, c := range out.Crashes {
		for _, r := range f.routers {
			f.send(n, r.holder().Process, table.Holder{}, c.Crash)
		}
	}
	for range out.ReadFences {
		f.net = append(f.net, message{from: n.holder(), apply: func() { f.platform.readFences(f, n) }})
	}
}

// toSession sends to the router incarnation that a session belongs to.
func (f *fleet) toSession(n *node, session uint64, e event.Event) {
	for _, r := range f.routers {
		if uint64(r.holder().Incarnation) == session {
			f.send(n, r.holder().Process, r.holder(), e)
		}
	}
}

func (f *fleet) start(n *node, r command.Run) {
	row := n.w.Runs.Get(r.Request)
	f.runs = append(f.runs, &execution{
		id: r.Request, holder: row.Holder, nonce: row.Nonce, print: row.Fingerprint, agent: n, attempt: r.Attempt,
		endpoint: r.Endpoint, listeners: []listener{{router: row.Holder, attempt: r.Attempt}},
	})
}

func (f *fleet) replay(n *node, r command.Replay) {
	l := listener{attempt: r.Attempt, replayed: !r.SameCall}
	for _, router := range f.routers {
		if uint64(router.holder().Incarnation) == r.Session {
			l.router = router.holder()
		}
	}
	for _, x := range f.runs {
		if x.id == r.Request && x.agent == n && !x.ended {
			x.listeners = append(x.listeners, l)
			return
		}
	}
	print, ok := n.kept[r.Request]
	require.True(f.t, ok, "replay of an answer that is not kept")
	f.sendEnd(n, r.Request, l, event.AttemptDone, print)
}

// end is the end of a run at its engine.
func (f *fleet) end(x *execution, status event.RunStatus) {
	x.ended = true
	x.whole = status == event.RunDone
	if x.whole {
		x.agent.kept[x.id] = x.print
	}
	f.tick(x.agent, event.RunEnd{Request: x.id, Attempt: x.attempt, Status: status, Prompt: 1, Output: 1})
	attempt := event.AttemptBroken
	if x.whole {
		attempt = event.AttemptDone
	}
	for _, l := range x.listeners {
		f.sendEnd(x.agent, x.id, l, attempt, x.print)
	}
}

func (f *fleet) sendEnd(n *node, id table.RequestID, l listener, s event.AttemptStatus, print table.Fingerprint) {
	f.answers[answerKey{l.router, id, l.attempt}] = print
	f.send(n, l.router.Process, l.router, event.AttemptEnd{
		Request: id, Attempt: l.attempt, Status: s, Ran: table.DidRun, Prompt: 1, Delivered: 1, Replayed: l.replayed,
	})
}

// answer gives a caller its reply and checks it.
func (f *fleet) answer(n *node, r command.Reply) {
	c := f.calls[r.Reply]
	require.False(f.t, c.answered, "a second reply")
	row := n.seen[c.id]
	c.answered, c.outcome = true, r.Outcome
	if r.Request != "" {
		c.nonce = row.Nonce
	}
	if row.ClaimVersion != 0 && r.Outcome.Ran == table.NotRun {
		require.True(f.t, f.platform.cancelled[row.Nonce], "the holder of the claim of %s was told NotRun before it was cancelled", c.id)
	}
	if r.Outcome.OK {
		require.Equal(f.t, c.print, f.answers[answerKey{n.holder(), c.id, row.Attempt}], "an answer for another request")
	}
	n.unanswered = slices.DeleteFunc(n.unanswered, func(i int) bool { return i == int(r.Reply) })
}

func (f *fleet) call(n *node, id table.RequestID, print table.Fingerprint, retry bool) *call {
	c := &call{id: id, print: print, router: n}
	f.calls = append(f.calls, c)
	handler := len(f.calls) - 1
	n.unanswered = append(n.unanswered, handler)
	kind := table.ServicePlain
	if f.model {
		kind = table.ServiceModel
	}
	f.tick(n, event.Arrival{Key: id.Key(), CallerKey: true, Reply: uint64(handler), Kind: kind, Fingerprint: print, Retry: retry})
	return c
}

// checkCancelled fails if a claim is cancelled, and its holder told NotRun, after
// the key ran for anyone. Another call may run it later.
func (f *fleet) checkCancelled(c event.Claim) {
	ran := slices.ContainsFunc(f.runs, func(x *execution) bool { return x.id == c.Request })
	require.False(f.t, ran, "the claim of %s was cancelled after the key ran", c.Request)
}

// deliver carries out the message at a position.
func (f *fleet) deliver(i int) {
	m := f.net[i]
	f.net = slices.Delete(f.net, i, i+1)
	if m.apply != nil {
		m.apply()
		return
	}
	n := f.find(m.to)
	if n != nil && (m.only == table.Holder{} || m.only == n.holder()) {
		f.tick(n, m.event)
	}
}

// advance lets time pass and ticks the nodes that asked for it.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for _, n := range append(slices.Clone(f.routers), f.agents...) {
		for i := 0; i < 10 && !n.paused && n.w.NextWake() <= n.now(); i++ {
			f.tick(n)
		}
	}
}

// settle delivers everything in order until nothing is left to do, without faults.
func (f *fleet) settle() {
	for range 10_000 {
		open := slices.IndexFunc(f.runs, func(x *execution) bool { return !x.ended })
		switch {
		case len(f.net) > 0:
			f.deliver(0)
		case open >= 0 && !f.runs[open].agent.paused:
			f.finishRun(f.runs[open])
		case slices.ContainsFunc(f.routers, func(r *node) bool { return !r.paused && r.w.Requests.Count(table.RequestBackoff) > 0 }):
			f.advance(busyDelay)
		default:
			return
		}
	}
	f.t.Fatalf("the fleet does not settle")
}

// finishRun ends a run as its engine would: a crasher kills its endpoint.
func (f *fleet) finishRun(x *execution) {
	if f.crasher == 0 || x.print != f.crasher {
		f.end(x, event.RunDone)
		return
	}
	f.crash(x.agent)
}

func (f *fleet) crash(a *node) {
	for _, x := range f.runs {
		if x.agent == a && !x.ended {
			f.end(x, event.RunBroken)
		}
	}
	e := endpointOf(a.holder().Process)
	f.tick(a, event.EngineState{Endpoint: e})
	f.tick(a, event.EngineState{Endpoint: e, Up: true})
}

// kill ends a process; its messages on the way may still arrive. A new
// incarnation takes its place.
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
			f.lose(r, n.holder())
		}
		return
	}
	i := slices.Index(f.routers, n)
	f.routers[i] = f.newRouter(n.holder().Process)
	f.sync(f.routers[i])
}

// lose ends a router's attempts at an agent, as the end of their session does.
func (f *fleet) lose(r *node, agent table.Holder) {
	f.net = slices.DeleteFunc(f.net, func(m message) bool {
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
	events := n.waiting
	n.waiting = nil
	f.tick(n, events...)
}

// heal ends all faults: lost messages become ended sessions.
func (f *fleet) heal() {
	f.platform.mode = platformUp
	for _, n := range append(slices.Clone(f.routers), f.agents...) {
		if n.paused {
			f.resume(n)
		}
	}
	f.syncAll()
	for range 30 {
		f.settle()
		f.advance(time.Second)
		for _, r := range f.routers {
			for _, a := range f.agents {
				f.lose(r, a.holder())
			}
		}
	}
}

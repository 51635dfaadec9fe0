package budget_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/budget"
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/system/recovery"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// fleet simulates routers with their real systems, a minimal object store, agents and the
// network on one simulated clock.
type fleet struct {
	now           time.Duration
	rng           *rand.Rand
	params        world.Params
	events        simQueue
	eventSequence int
	routers       map[table.ProcessID]*simRouter
	routerIDs     []table.ProcessID
	agents        []*simAgent
	store         simStore
	// partitioned holds the pairs of processes that cannot reach each other. The id of the
	// platform is platformID.
	partitioned       map[[2]table.ProcessID]bool
	duplicateMessages bool
	// staleReads makes some shard reads return the previous version.
	staleReads   bool
	incarnation  table.Incarnation
	requestCount int
	// runs and billed count the executions and charges of each request.
	runs     map[table.RequestID]int
	billed   map[table.RequestID]int
	cost     map[table.RequestID]table.Tokens
	spent    map[table.BudgetID]table.Tokens
	served   int
	refusals map[table.Code]int
	// onEnd, if set, is called with each ended request.
	onEnd func(r *table.Request)
	// onRequest and onQueued, if set, are called for new requests and for reserved ones.
	onRequest  func(id table.RequestID)
	onQueued   func(id table.RequestID)
	violations []string
	maxRunTime time.Duration
	// costOf returns the actual cost of a request.
	costOf func(d command.Dispatch) table.Tokens
}

const platformID = table.ProcessID("platform")

type simRouter struct {
	holder  table.Holder
	started time.Duration
	world   *world.World
	systems []world.System
	alive   bool
	paused  bool
	// presumedGoneAt is when the other processes consider this one gone.
	presumedGoneAt time.Duration
	// presumedGone is true once the others were made to consider a paused process gone. It
	// stays true after the process resumes.
	presumedGone bool
	// agentClocks holds, per agent, its last clock reading and the router's time of it.
	agentClocks map[table.Holder][2]table.Instant
	topUps      map[uint64]command.TopUpReply
	queries     []command.BudgetReply
	// ticks counts the ticks since tickWindowStart, within at most tickWindow.
	ticks           int
	tickWindowStart time.Duration
}

// maxTicks limits the ticks of a router within tickWindow of simulated time.
const (
	maxTicks   = 1000
	tickWindow = 10 * time.Millisecond
)

type simAgent struct {
	holder           table.Holder
	started          time.Duration
	alive            bool
	ready            bool
	firstIncarnation bool
	presumedGoneAt   time.Duration
	fenced           map[table.Holder]bool
	charges          map[table.ChargeKey]table.Tokens
	running          map[table.RequestID]command.Dispatch
}

type simStore struct {
	up     bool
	shards map[table.ShardID]*simObject
	fences event.FenceList
	// processes holds the registered incarnations.
	processes map[table.ProcessID]table.Process
	writes    int
	reads     int
	// lostAnswers holds the faults of the next writes, whose answers are lost. 0 is no fault.
	// 1 applies the write, 2 does not, and 3 applies it up to 3 s later.
	lostAnswers []int
}

type simObject struct {
	version uint64
	content table.ShardContent
	// previous is the content before the last write.
	previous table.ShardContent
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newFleet(seed uint64, routers, agents int, p world.Params) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), params: p,
		routers: map[table.ProcessID]*simRouter{}, partitioned: map[[2]table.ProcessID]bool{},
		runs: map[table.RequestID]int{}, billed: map[table.RequestID]int{}, cost: map[table.RequestID]table.Tokens{},
		spent: map[table.BudgetID]table.Tokens{}, refusals: map[table.Code]int{},
		store: simStore{up: true, shards: map[table.ShardID]*simObject{}, processes: map[table.ProcessID]table.Process{}},
		now:   time.Second, maxRunTime: 2 * time.Second,
	}
	f.costOf = func(d command.Dispatch) table.Tokens { return 1 + table.Tokens(f.rng.Int64N(int64(d.ChargeLimit))) }
	for i := range agents {
		a := &simAgent{holder: table.Holder{Process: table.ProcessID(fmt.Sprintf("a%d", i))}, firstIncarnation: true}
		f.agents = append(f.agents, a)
		f.startAgent(a)
	}
	for i := range routers {
		id := table.ProcessID(fmt.Sprintf("r%d", i))
		f.routerIDs = append(f.routerIDs, id)
		f.startRouter(id)
	}
	f.heartbeat()
	return f
}

func (f *fleet) startRouter(id table.ProcessID) {
	f.incarnation++
	r := &simRouter{
		holder: table.Holder{Process: id, Incarnation: f.incarnation}, started: f.now, alive: true,
		agentClocks: map[table.Holder][2]table.Instant{}, topUps: map[uint64]command.TopUpReply{},
	}
	p := f.params
	p.Self = table.Process{Holder: r.holder, Role: table.RoleRouter, State: table.ProcessLive}
	r.world = world.New(p, uint64(f.incarnation))
	r.world.PlatformReachable = true
	r.systems = []world.System{ledger.New(), recovery.New(), budget.New()}
	f.routers[id] = r
	f.store.processes[id] = p.Self
	f.refreshProcesses()
	// A real process also ticks once when its control loop starts.
	f.tick(r)
}

func (f *fleet) startAgent(a *simAgent) {
	f.incarnation++
	a.holder.Incarnation = f.incarnation
	a.started, a.alive, a.ready = f.now, true, false
	a.fenced = map[table.Holder]bool{}
	a.charges = map[table.ChargeKey]table.Tokens{}
	a.running = map[table.RequestID]command.Dispatch{}
	f.registerAgent(a)
}

// registerAgent registers an agent, which then reads the fence list. Until then it accepts
// no work.
func (f *fleet) registerAgent(a *simAgent) {
	if !a.alive || a.ready || !f.store.up || f.isPartitioned(a.holder.Process, platformID) {
		return
	}
	f.store.processes[a.holder.Process] = table.Process{Holder: a.holder, Role: table.RoleAgent}
	for _, h := range f.store.fences.Holders {
		a.fenced[h] = true
	}
	a.ready = true
}

func (f *fleet) isPartitioned(a, b table.ProcessID) bool {
	return f.partitioned[[2]table.ProcessID{a, b}] || f.partitioned[[2]table.ProcessID{b, a}]
}

func (f *fleet) schedule(d time.Duration, run func()) {
	f.eventSequence++
	heap.Push(&f.events, simEvent{at: f.now + max(0, d), seq: f.eventSequence, run: run})
}

func (f *fleet) networkDelay() time.Duration {
	return time.Duration(500+f.rng.IntN(4000)) * time.Microsecond
}

// localTime converts simulated time to the local clock of a process, which is never 0.
func localTime(now, started time.Duration) table.Instant { return table.Instant(now-started) + 1 }

// heartbeat updates each process's view of the others once per second.
func (f *fleet) heartbeat() {
	for _, a := range f.agents {
		f.registerAgent(a)
	}
	f.refreshProcesses()
	f.schedule(time.Second, f.heartbeat)
}

func (f *fleet) refreshProcesses() {
	for _, id := range f.routerIDs {
		if r := f.routers[id]; r != nil && r.alive && !r.paused {
			f.refreshRouter(r)
		}
	}
}

func (f *fleet) refreshRouter(r *simRouter) {
	r.world.PlatformReachable = f.store.up && !f.isPartitioned(r.holder.Process, platformID)
	for _, id := range f.routerIDs {
		if other := f.routers[id]; other != nil && other != r {
			reachable := other.alive && !other.paused && !f.isPartitioned(r.holder.Process, id)
			f.updateProcess(r, table.Process{Holder: other.holder, Role: table.RoleRouter}, reachable, other.presumedGoneAt)
		}
	}
	for _, a := range f.agents {
		reachable := a.alive && a.ready && !f.isPartitioned(r.holder.Process, a.holder.Process)
		if reachable {
			r.agentClocks[a.holder] = [2]table.Instant{localTime(f.now, a.started), localTime(f.now, r.started)}
		}
		f.updateProcess(r, table.Process{Holder: a.holder, Role: table.RoleAgent}, reachable, a.presumedGoneAt)
	}
}

func (f *fleet) updateProcess(r *simRouter, p table.Process, reachable bool, goneAt time.Duration) {
	p.Connected, p.State = reachable, table.ProcessSuspect
	if reachable {
		p.State = table.ProcessLive
	} else if goneAt > 0 && f.now >= goneAt {
		p.State = table.ProcessGone
	} else if old := r.world.Processes.Get(p.Process); old != nil {
		// A new incarnation becomes known only after contact with it.
		p.Incarnation = old.Incarnation
	}
	r.world.Processes.Put(p.Process, p)
}

// runUntil runs events and ticks up to the given simulated time.
func (f *fleet) runUntil(end time.Duration) {
	for {
		next := end
		if len(f.events) > 0 {
			next = min(next, f.events[0].at)
		}
		for _, id := range f.routerIDs {
			if r := f.routers[id]; r != nil && r.alive && !r.paused {
				next = min(next, f.nextWake(r))
			}
		}
		if next >= end {
			f.now = end
			return
		}
		f.now = max(f.now, next)
		for len(f.events) > 0 && f.events[0].at <= f.now {
			heap.Pop(&f.events).(simEvent).run()
		}
		for _, id := range f.routerIDs {
			if r := f.routers[id]; r != nil && r.alive && !r.paused && f.nextWake(r) <= f.now {
				f.tick(r)
			}
		}
	}
}

func (f *fleet) nextWake(r *simRouter) time.Duration {
	wake := r.world.NextWake()
	if wake == table.Never {
		return 1<<62 - 1
	}
	return max(f.now, r.started+time.Duration(wake)-1)
}

// deliver delivers an event to a router. A paused router processes it when it resumes.
func (f *fleet) deliver(h table.Holder, e event.Event) {
	r := f.routers[h.Process]
	if r == nil || !r.alive || r.holder != h {
		return
	}
	e.AddTo(&r.world.In)
	if !r.paused {
		f.tick(r)
	}
}

func (f *fleet) tick(r *simRouter) {
	w := r.world
	f.checkTickRate(r)
	// The clock of a real process advances between any two ticks.
	w.Tick(max(localTime(f.now, r.started), w.Now+1), r.systems)
	out := w.Out
	w.ClearOutbox()
	f.removeEndedRequests(r)
	f.dispatchQueued(r)
	f.executeCommands(r, &out)
}

// checkTickRate detects a system that requests ticks in an endless loop, which would keep a
// CPU busy.
func (f *fleet) checkTickRate(r *simRouter) {
	if f.now > r.tickWindowStart+tickWindow {
		r.tickWindowStart, r.ticks = f.now, 0
	}
	if r.ticks++; r.ticks > maxTicks {
		w := r.world
		panic(fmt.Sprintf("%s exceeds the tick limit at %v: wake %v, shards %v, budgets %v, slices %v %v", r.holder.Process, f.now,
			w.NextWake()-w.Now, w.ShardTimers.NextDue()-w.Now, w.BudgetTimers.NextDue()-w.Now, w.ReceivedSliceTimers.NextDue()-w.Now, w.GrantedSliceTimers.NextDue()-w.Now))
	}
}

// removeEndedRequests stands in for the reply system.
func (f *fleet) removeEndedRequests(r *simRouter) {
	w := r.world
	for _, id := range w.Requests.InState(table.RequestEnded) {
		request := w.Requests.Get(id)
		f.billed[id]++
		if request.Outcome.Ran == table.NotRun {
			f.refusals[request.Outcome.Code]++
			if f.runs[id] > 0 {
				f.violations = append(f.violations, fmt.Sprintf("%s was refused as not run, but it ran", id))
			}
		} else {
			f.served++
		}
		if request.Outcome.Charged != f.cost[id] {
			f.violations = append(f.violations, fmt.Sprintf("%s was charged %d, its cost is %d", id, request.Outcome.Charged, f.cost[id]))
		}
		if request.Reserved != 0 {
			f.violations = append(f.violations, fmt.Sprintf("%s ended with a remaining reservation", id))
		}
		if f.onEnd != nil {
			f.onEnd(request)
		}
		w.Requests.Remove(id)
	}
}

// dispatchQueued stands in for the routing system: it sends queued requests to an agent.
func (f *fleet) dispatchQueued(r *simRouter) {
	w := r.world
	for _, id := range w.Requests.InState(table.RequestQueued) {
		request := w.Requests.Get(id)
		if f.onQueued != nil {
			f.onQueued(id)
		}
		var reachable []*simAgent
		for _, a := range f.agents {
			if _, known := r.agentClocks[a.holder]; known && a.alive && !f.isPartitioned(r.holder.Process, a.holder.Process) {
				reachable = append(reachable, a)
			}
		}
		if len(reachable) == 0 {
			f.endRequest(r.holder, id, table.Outcome{Code: table.CodeNoEndpoint, Ran: table.NotRun})
			w.Requests.SetState(request, table.RequestRunning)
			continue
		}
		a := reachable[f.rng.IntN(len(reachable))]
		clock := r.agentClocks[a.holder]
		d := command.Dispatch{To: a.holder, Dispatch: event.Dispatch{
			Request: id, Budget: request.Budget, GrantHolder: request.GrantHolder, ChargeLimit: request.Reserved,
			GrantExpiresAt: clock[0] + (request.GrantExpiresAt - clock[1]),
		}}
		w.Requests.SetState(request, table.RequestRunning)
		holder := r.holder
		f.schedule(f.networkDelay(), func() { f.handleDispatch(a, holder, d) })
	}
}

func (f *fleet) endRequest(h table.Holder, id table.RequestID, o table.Outcome) {
	f.schedule(f.networkDelay(), func() {
		r := f.routers[h.Process]
		if r == nil || !r.alive || r.holder != h {
			return
		}
		if request := r.world.Requests.Get(id); request != nil && request.State() == table.RequestRunning {
			r.world.Requests.End(request, o)
			if !r.paused {
				f.tick(r)
			}
		}
	})
}

// handleDispatch stands in for the gate of an agent.
func (f *fleet) handleDispatch(a *simAgent, from table.Holder, d command.Dispatch) {
	refused := !a.alive || !a.ready || a.holder != d.To || f.isPartitioned(from.Process, a.holder.Process) ||
		a.fenced[from] || a.fenced[d.GrantHolder] || localTime(f.now, a.started) >= d.GrantExpiresAt
	if refused {
		f.endRequest(from, d.Request, table.Outcome{Code: table.CodeExpired, Ran: table.NotRun})
		return
	}
	cost := f.costOf(d)
	f.runs[d.Request]++
	a.running[d.Request] = d
	f.recordSpend(a, d, cost/2)
	f.schedule(time.Duration(f.rng.Int64N(int64(f.maxRunTime)+1)), func() {
		if a.alive && a.holder == d.To {
			delete(a.running, d.Request)
			f.recordSpend(a, d, cost-cost/2)
		}
		f.reportResult(a.holder.Process, from, d.Request)
	})
}

// recordSpend records tokens that were used at an agent.
func (f *fleet) recordSpend(a *simAgent, d command.Dispatch, n table.Tokens) {
	f.cost[d.Request] += n
	f.spent[d.Budget] += n
	a.charges[table.ChargeKey{Holder: d.GrantHolder, Budget: d.Budget}] += n
	f.checkSpend(d.Budget)
}

// reportResult reports the actual cost to the router as soon as the agent can reach it.
func (f *fleet) reportResult(agent table.ProcessID, to table.Holder, id table.RequestID) {
	if f.isPartitioned(agent, to.Process) {
		f.schedule(time.Second, func() { f.reportResult(agent, to, id) })
		return
	}
	cost := f.cost[id]
	f.endRequest(to, id, table.Outcome{OK: true, Ran: table.DidRun, PromptTokens: cost / 2, OutputTokens: cost - cost/2})
}

func (f *fleet) checkSpend(id table.BudgetID) {
	if deposited := f.deposited(id); f.spent[id] > deposited {
		f.violations = append(f.violations, fmt.Sprintf("overspend of %s: spent %d, deposited %d", id, f.spent[id], deposited))
	}
}

func (f *fleet) ledgerRow(id table.BudgetID) *table.LedgerBudget {
	for _, o := range f.store.shards {
		if row := o.content.Find(id); row != nil {
			return row
		}
	}
	return &table.LedgerBudget{ID: id}
}

func (f *fleet) deposited(id table.BudgetID) table.Tokens { return f.ledgerRow(id).Deposited }

// executeCommands executes the commands of a router's tick.
func (f *fleet) executeCommands(r *simRouter, out *command.Outbox) {
	h := r.holder
	for _, c := range out.ReadShards {
		f.platformCall(h, false, func(s event.CallStatus) event.Event { return f.readShard(c, s) })
	}
	for _, c := range out.WriteShards {
		f.platformCall(h, true, func(s event.CallStatus) event.Event { return f.writeShard(c, s) })
	}
	for range out.ReadFenceLists {
		f.platformCall(h, false, func(s event.CallStatus) event.Event {
			l := f.store.fences
			l.Status = s
			return l
		})
	}
	for _, c := range out.WriteFenceLists {
		f.platformCall(h, true, func(s event.CallStatus) event.Event { return f.writeFences(c, s) })
	}
	for _, c := range out.ReadProcesses {
		f.platformCall(h, false, func(s event.CallStatus) event.Event { return f.listProcesses(c, s) })
	}
	for _, c := range out.SliceRequests {
		f.sendMessage(h, c.To, 0, c.Request)
	}
	for _, c := range out.SliceGrants {
		f.sendMessage(h, c.To.Process, c.To.Incarnation, c.Grant)
	}
	for _, c := range out.SliceReports {
		f.sendMessage(h, c.To.Process, c.To.Incarnation, c.Report)
	}
	for _, c := range out.Fences {
		f.schedule(f.networkDelay(), func() { f.fenceAtAgent(h, c) })
	}
	r.queries = append(r.queries, out.BudgetReplies...)
	for _, c := range out.TopUpReplies {
		r.topUps[c.ReplyID] = c
	}
}

// sendMessage delivers a message between routers after a random delay, so that messages can
// be reordered, and sometimes twice.
func (f *fleet) sendMessage(from table.Holder, to table.ProcessID, incarnation table.Incarnation, e event.Event) {
	copies := 1
	if f.duplicateMessages && f.rng.IntN(5) == 0 {
		copies = 2
	}
	for range copies {
		d := f.networkDelay()
		if f.duplicateMessages {
			d += time.Duration(f.rng.Int64N(int64(300 * time.Millisecond)))
		}
		f.schedule(d, func() {
			r := f.routers[to]
			if r == nil || f.isPartitioned(from.Process, to) || incarnation != 0 && r.holder.Incarnation != incarnation {
				return
			}
			f.deliver(r.holder, e)
		})
	}
}

// platformCall performs a call to the platform and delivers its result.
func (f *fleet) platformCall(h table.Holder, write bool, do func(event.CallStatus) event.Event) {
	f.schedule(f.networkDelay(), func() {
		if !f.store.up || f.isPartitioned(h.Process, platformID) {
			status := event.CallNotApplied
			if write && f.rng.IntN(2) == 0 {
				status = event.CallOutcomeUnknown
			}
			f.schedule(f.networkDelay(), func() { f.deliver(h, do(status)) })
			return
		}
		f.performCall(h, write, do)
	})
}

func (f *fleet) performCall(h table.Holder, write bool, do func(event.CallStatus) event.Event) {
	loss := 0
	if write && len(f.store.lostAnswers) > 0 {
		loss, f.store.lostAnswers = f.store.lostAnswers[0], f.store.lostAnswers[1:]
	}
	switch loss {
	case 1:
		do(event.CallOK)
	case 3:
		f.schedule(time.Duration(f.rng.Int64N(int64(3*time.Second))), func() { do(event.CallOK) })
	case 0:
		e := do(event.CallOK)
		f.schedule(f.networkDelay(), func() { f.deliver(h, e) })
		return
	}
	f.schedule(f.networkDelay(), func() { f.deliver(h, do(event.CallOutcomeUnknown)) })
}

func (f *fleet) shard(id table.ShardID) *simObject {
	if o := f.store.shards[id]; o != nil {
		return o
	}
	o := &simObject{}
	f.store.shards[id] = o
	return o
}

func (f *fleet) readShard(c command.ReadShard, s event.CallStatus) event.Event {
	e := event.ShardReadResult{Shard: c.Shard, Status: s}
	if s == event.CallOK {
		f.store.reads++
		o := f.shard(c.Shard)
		e.Version, e.Content = o.version, o.content
		if f.staleReads && o.version > 1 && f.rng.IntN(10) == 0 {
			e.Version, e.Content = o.version-1, o.previous
		}
	}
	return e
}

func (f *fleet) writeShard(c command.WriteShard, s event.CallStatus) event.Event {
	e := event.ShardWriteResult{Shard: c.Shard, Sequence: c.Sequence, Status: s}
	if s != event.CallOK {
		return e
	}
	o := f.shard(c.Shard)
	if o.version != c.Version {
		e.Status = event.CallConflict
		return e
	}
	f.store.writes++
	o.version++
	o.previous, o.content = o.content, c.Content
	e.Version = o.version
	f.checkLedgerInvariants(c.Content)
	return e
}

func (f *fleet) checkLedgerInvariants(c table.ShardContent) {
	for _, b := range c.Budgets {
		violated := b.Ungranted() < 0 || b.Settled < 0 || b.Withheld < 0
		for _, g := range b.Grants {
			violated = violated || g.Amount < 0
		}
		if violated {
			f.violations = append(f.violations, fmt.Sprintf("ledger row violates its invariant: %+v", b))
		}
	}
}

func (f *fleet) writeFences(c command.WriteFenceList, s event.CallStatus) event.Event {
	if s != event.CallOK {
		return event.FenceListWriteResult{Status: s}
	}
	if c.Version != f.store.fences.Version {
		return event.FenceListWriteResult{Status: event.CallConflict}
	}
	f.store.fences = event.FenceList{Version: c.Version + 1, Holders: c.Holders}
	return event.FenceListWriteResult{Status: s, Version: c.Version + 1}
}

func (f *fleet) listProcesses(c command.ReadProcesses, s event.CallStatus) event.Event {
	list := event.ProcessList{Call: c.Call}
	if s != event.CallOK {
		return event.PlatformState{}
	}
	for _, id := range f.routerIDs {
		list.Processes = append(list.Processes, f.store.processes[id])
	}
	for _, a := range f.agents {
		if p, ok := f.store.processes[a.holder.Process]; ok {
			list.Processes = append(list.Processes, p)
		}
	}
	return list
}

// fenceAtAgent fences a holder at an agent, which reports the holder's charges.
func (f *fleet) fenceAtAgent(from table.Holder, c command.SendFence) {
	i := slices.IndexFunc(f.agents, func(a *simAgent) bool { return a.holder.Process == c.To })
	a := f.agents[i]
	if !a.alive || !a.ready || f.isPartitioned(from.Process, c.To) {
		return
	}
	h := c.Fence.Holder
	a.fenced[h] = true
	e := event.FenceResult{Agent: a.holder, Call: c.Fence.Call, Holder: h, Complete: a.firstIncarnation}
	for _, d := range a.running {
		e.Running = e.Running || d.GrantHolder == h
	}
	for key, spent := range a.charges {
		if key.Holder == h {
			e.Charges = append(e.Charges, event.HolderCharge{Budget: key.Budget, Spent: spent})
		}
	}
	f.schedule(f.networkDelay(), func() {
		if !f.isPartitioned(from.Process, c.To) {
			f.deliver(from, e)
		}
	})
}

// Actions of the tests.

func (f *fleet) addRequest(router table.ProcessID, id table.BudgetID, reserve table.Tokens) table.RequestID {
	r := f.routers[router]
	if r == nil || !r.alive || r.paused || r.world.Draining {
		return ""
	}
	f.requestCount++
	requestID := table.MakeRequestID(id.Customer(), fmt.Sprint(f.requestCount))
	if f.onRequest != nil {
		f.onRequest(requestID)
	}
	r.world.Requests.Insert(table.Request{
		ID: requestID, Customer: id.Customer(), Budget: id, Kind: table.ServiceModel, WantedReservation: reserve, FirstTokenDeadline: table.Never,
	}, table.RequestReserving)
	f.tick(r)
	return requestID
}

func (f *fleet) topUp(router table.ProcessID, id table.BudgetID, amount table.Tokens, topUpID string) {
	if r := f.routers[router]; r != nil {
		f.requestCount++
		f.deliver(r.holder, event.TopUp{ReplyID: uint64(f.requestCount), Budget: id, Amount: amount, ID: topUpID})
	}
}

// deposit stores a deposit for a budget before the test starts.
func (f *fleet) deposit(id table.BudgetID, amount table.Tokens) {
	r := f.routers[f.routerIDs[0]]
	o := f.shard(ledger.ShardOf(r.world, id))
	o.version++
	content := table.ShardContent{Budgets: slices.Clone(o.content.Budgets), Writers: o.content.Writers}
	content.FindOrInsert(id).Deposited += amount
	o.content = content
}

func (f *fleet) kill(r *simRouter) {
	r.alive = false
	r.presumedGoneAt = f.now + 5*time.Second
}

func (f *fleet) killAgent(a *simAgent) {
	a.alive = false
	a.presumedGoneAt = f.now + 5*time.Second
}

func (f *fleet) resume(r *simRouter) {
	r.paused, r.presumedGoneAt = false, 0
	f.refreshRouter(r)
	f.tick(r)
}

// endFailures ends all failures. It does not restart dead routers.
func (f *fleet) endFailures() {
	f.store.up, f.store.lostAnswers = true, nil
	f.partitioned = map[[2]table.ProcessID]bool{}
	for _, id := range f.routerIDs {
		r := f.routers[id]
		if r.alive && r.paused {
			f.resume(r)
		}
	}
	for _, a := range f.agents {
		if !a.alive {
			a.firstIncarnation, a.presumedGoneAt = false, 0
			f.startAgent(a)
		}
	}
	f.refreshProcesses()
}

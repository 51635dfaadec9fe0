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

// fleet simulates routers with their real systems, a small object API, agents
// and a network, on one simulated clock.
type fleet struct {
	now     time.Duration
	rand    *rand.Rand
	params  world.Params
	queue   simQueue
	seq     int
	routers map[table.ProcessID]*simRouter
	names   []table.ProcessID
	agents  []*simAgent
	store   simStore
	// cut holds the pairs of processes that cannot reach each other; the
	// platform has the id "platform".
	cut        map[[2]table.ProcessID]bool
	duplicates bool
	// staleReads lets some reads of shards give the version before the last.
	staleReads  bool
	incarnation table.Incarnation
	requests    int
	// runs and billed count per request, as a central counter would.
	runs   map[table.RequestID]int
	billed map[table.RequestID]int
	cost   map[table.RequestID]table.Tokens
	spent  map[table.BudgetID]table.Tokens
	served int
	refuse map[table.Code]int
	// onEnd, if set, is told each outcome at a router.
	onEnd func(r *table.Request)
	// onRequest and onQueued, if set, are told new and reserved requests.
	onRequest func(id table.RequestID)
	onQueued  func(id table.RequestID)
	faults    []string
	runTime   time.Duration
	// costOf gives the true cost of a request.
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
	// goneAt is when the others believe that the process is gone.
	goneAt time.Duration
	// suspected is true once the others were to believe that it is gone.
	suspected bool
	// clocks are the last readings of the agents' clocks with their local time.
	clocks  map[table.Holder][2]table.Instant
	topUps  map[uint64]command.TopUpReply
	queries []command.BudgetReply
	// ticks counts the ticks since tickedAt, over at most tickWindow.
	ticks    int
	tickedAt time.Duration
}

// maxTicks bounds the ticks of a router within tickWindow of the simulated clock.
const (
	maxTicks   = 1000
	tickWindow = 10 * time.Millisecond
)

type simAgent struct {
	holder  table.Holder
	started time.Duration
	alive   bool
	ready   bool
	first   bool
	goneAt  time.Duration
	fenced  map[table.Holder]bool
	charges map[table.ChargeKey]table.Tokens
	running map[table.RequestID]command.Dispatch
}

type simStore struct {
	up     bool
	shards map[table.ShardID]*simObject
	fences event.FenceList
	// processes are the registered incarnations.
	processes map[table.ProcessID]table.Process
	writes    int
	reads     int
	// loseNext loses the answers of the next writes: 1 after the effect, 2
	// before it, 3 with the effect after the answer.
	loseNext []int
}

type simObject struct {
	version uint64
	content table.ShardContent
	// older is the content before the last write.
	older table.ShardContent
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
		rand: rand.New(rand.NewPCG(seed, 1)), params: p,
		routers: map[table.ProcessID]*simRouter{}, cut: map[[2]table.ProcessID]bool{},
		runs: map[table.RequestID]int{}, billed: map[table.RequestID]int{}, cost: map[table.RequestID]table.Tokens{},
		spent: map[table.BudgetID]table.Tokens{}, refuse: map[table.Code]int{},
		store: simStore{up: true, shards: map[table.ShardID]*simObject{}, processes: map[table.ProcessID]table.Process{}},
		now:   time.Second, runTime: 2 * time.Second,
	}
	f.costOf = func(d command.Dispatch) table.Tokens { return 1 + table.Tokens(f.rand.Int64N(int64(d.Limit))) }
	for i := range agents {
		a := &simAgent{holder: table.Holder{Process: table.ProcessID(fmt.Sprintf("a%d", i))}, first: true}
		f.agents = append(f.agents, a)
		f.startAgent(a)
	}
	for i := range routers {
		id := table.ProcessID(fmt.Sprintf("r%d", i))
		f.names = append(f.names, id)
		f.startRouter(id)
	}
	f.heartbeat()
	return f
}

func (f *fleet) startRouter(id table.ProcessID) {
	f.incarnation++
	r := &simRouter{
		holder: table.Holder{Process: id, Incarnation: f.incarnation}, started: f.now, alive: true,
		clocks: map[table.Holder][2]table.Instant{}, topUps: map[uint64]command.TopUpReply{},
	}
	p := f.params
	p.Self = table.Process{Holder: r.holder, Role: table.RoleRouter, State: table.ProcessLive}
	r.world = world.New(p, uint64(f.incarnation))
	r.world.PlatformUp = true
	r.systems = []world.System{ledger.New(), recovery.New(), budget.New()}
	f.routers[id] = r
	f.store.processes[id] = p.Self
	f.refreshProcesses()
	// The control loop ticks once at the start.
	f.tick(r)
}

func (f *fleet) startAgent(a *simAgent) {
	f.incarnation++
	a.holder.Incarnation = f.incarnation
	a.started, a.alive, a.ready = f.now, true, false
	a.fenced = map[table.Holder]bool{}
	a.charges = map[table.ChargeKey]table.Tokens{}
	a.running = map[table.RequestID]command.Dispatch{}
	f.readyAgent(a)
}

// readyAgent registers an agent and then reads the fences; until then it
// accepts no work.
func (f *fleet) readyAgent(a *simAgent) {
	if !a.alive || a.ready || !f.store.up || f.isCut(a.holder.Process, platformID) {
		return
	}
	f.store.processes[a.holder.Process] = table.Process{Holder: a.holder, Role: table.RoleAgent}
	for _, h := range f.store.fences.Holders {
		a.fenced[h] = true
	}
	a.ready = true
}

func (f *fleet) isCut(a, b table.ProcessID) bool {
	return f.cut[[2]table.ProcessID{a, b}] || f.cut[[2]table.ProcessID{b, a}]
}

func (f *fleet) at(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, simEvent{at: f.now + max(0, d), seq: f.seq, run: run})
}

func (f *fleet) delay() time.Duration {
	return time.Duration(500+f.rand.IntN(4000)) * time.Microsecond
}

// local converts the simulated time to a process's own clock, which is never 0.
func local(now, started time.Duration) table.Instant { return table.Instant(now-started) + 1 }

// heartbeat refreshes what the processes believe of each other once a second.
func (f *fleet) heartbeat() {
	for _, a := range f.agents {
		f.readyAgent(a)
	}
	f.refreshProcesses()
	f.at(time.Second, f.heartbeat)
}

func (f *fleet) refreshProcesses() {
	for _, id := range f.names {
		if r := f.routers[id]; r != nil && r.alive && !r.paused {
			f.refresh(r)
		}
	}
}

func (f *fleet) refresh(r *simRouter) {
	r.world.PlatformUp = f.store.up && !f.isCut(r.holder.Process, platformID)
	for _, id := range f.names {
		if o := f.routers[id]; o != nil && o != r {
			up := o.alive && !o.paused && !f.isCut(r.holder.Process, id)
			f.believe(r, table.Process{Holder: o.holder, Role: table.RoleRouter}, up, o.goneAt)
		}
	}
	for _, a := range f.agents {
		up := a.alive && a.ready && !f.isCut(r.holder.Process, a.holder.Process)
		if up {
			r.clocks[a.holder] = [2]table.Instant{local(f.now, a.started), local(f.now, r.started)}
		}
		f.believe(r, table.Process{Holder: a.holder, Role: table.RoleAgent}, up, a.goneAt)
	}
}

func (f *fleet) believe(r *simRouter, p table.Process, up bool, goneAt time.Duration) {
	p.Connected, p.State = up, table.ProcessSuspect
	if up {
		p.State = table.ProcessLive
	} else if goneAt > 0 && f.now >= goneAt {
		p.State = table.ProcessGone
	} else if old := r.world.Processes.Get(p.Process); old != nil {
		// A new incarnation is known only once it was heard from.
		p.Incarnation = old.Incarnation
	}
	r.world.Processes.Put(p.Process, p)
}

// runUntil advances the simulated clock.
func (f *fleet) runUntil(end time.Duration) {
	for {
		next := end
		if len(f.queue) > 0 {
			next = min(next, f.queue[0].at)
		}
		for _, id := range f.names {
			if r := f.routers[id]; r != nil && r.alive && !r.paused {
				next = min(next, f.wakeOf(r))
			}
		}
		if next >= end {
			f.now = end
			return
		}
		f.now = max(f.now, next)
		for len(f.queue) > 0 && f.queue[0].at <= f.now {
			heap.Pop(&f.queue).(simEvent).run()
		}
		for _, id := range f.names {
			if r := f.routers[id]; r != nil && r.alive && !r.paused && f.wakeOf(r) <= f.now {
				f.tick(r)
			}
		}
	}
}

func (f *fleet) wakeOf(r *simRouter) time.Duration {
	w := r.world.NextWake()
	if w == table.Never {
		return 1<<62 - 1
	}
	return max(f.now, r.started+time.Duration(w)-1)
}

// post delivers an event to a router; a paused one takes it when it resumes.
func (f *fleet) post(h table.Holder, e event.Event) {
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
	f.guardSpin(r)
	// The clock of a real process moves on between any two ticks.
	w.Tick(max(local(f.now, r.started), w.Now+1), r.systems)
	out := w.Out
	w.Clear()
	f.finish(r)
	f.dispatch(r)
	f.send(r, &out)
}

// guardSpin guards against a system that asks for ticks without end, which
// would keep a processor busy.
func (f *fleet) guardSpin(r *simRouter) {
	if f.now > r.tickedAt+tickWindow {
		r.tickedAt, r.ticks = f.now, 0
	}
	if r.ticks++; r.ticks > maxTicks {
		w := r.world
		panic(fmt.Sprintf("%s ticks without end at %v: wake %v, shards %v, budgets %v, slices %v %v", r.holder.Process, f.now,
			w.NextWake()-w.Now, w.ShardTimers.Next()-w.Now, w.BudgetTimers.Next()-w.Now, w.SliceInTimers.Next()-w.Now, w.SliceOutTimers.Next()-w.Now))
	}
}

// finish plays the reply system: it removes ended requests.
func (f *fleet) finish(r *simRouter) {
	w := r.world
	for _, id := range w.Requests.In(table.RequestEnded) {
		q := w.Requests.Get(id)
		f.billed[id]++
		if q.Outcome.Ran == table.NotRun {
			f.refuse[q.Outcome.Code]++
			if f.runs[id] > 0 {
				f.faults = append(f.faults, fmt.Sprintf("%s was refused as not run, but ran", id))
			}
		} else {
			f.served++
		}
		if q.Outcome.Charged != f.cost[id] {
			f.faults = append(f.faults, fmt.Sprintf("%s was charged %d, its cost is %d", id, q.Outcome.Charged, f.cost[id]))
		}
		if q.Reserved != 0 {
			f.faults = append(f.faults, fmt.Sprintf("%s ended with a reservation", id))
		}
		if f.onEnd != nil {
			f.onEnd(q)
		}
		w.Requests.Remove(id)
	}
}

// dispatch plays the routing system: it sends queued requests to an agent.
func (f *fleet) dispatch(r *simRouter) {
	w := r.world
	for _, id := range w.Requests.In(table.RequestQueued) {
		q := w.Requests.Get(id)
		if f.onQueued != nil {
			f.onQueued(id)
		}
		var up []*simAgent
		for _, a := range f.agents {
			if _, known := r.clocks[a.holder]; known && a.alive && !f.isCut(r.holder.Process, a.holder.Process) {
				up = append(up, a)
			}
		}
		if len(up) == 0 {
			f.endRequest(r.holder, id, table.Outcome{Code: table.CodeNoEndpoint, Ran: table.NotRun})
			w.Requests.Move(q, table.RequestRunning)
			continue
		}
		a := up[f.rand.IntN(len(up))]
		reading := r.clocks[a.holder]
		d := command.Dispatch{To: a.holder, Dispatch: event.Dispatch{
			Request: id, Budget: q.Budget, Grant: q.Grant, Limit: q.Reserved,
			Expires: reading[0] + (q.GrantExpires - reading[1]),
		}}
		w.Requests.Move(q, table.RequestRunning)
		holder := r.holder
		f.at(f.delay(), func() { f.arrive(a, holder, d) })
	}
}

func (f *fleet) endRequest(h table.Holder, id table.RequestID, o table.Outcome) {
	f.at(f.delay(), func() {
		r := f.routers[h.Process]
		if r == nil || !r.alive || r.holder != h {
			return
		}
		if q := r.world.Requests.Get(id); q != nil && q.State() == table.RequestRunning {
			r.world.Requests.End(q, o)
			if !r.paused {
				f.tick(r)
			}
		}
	})
}

// arrive plays the gate of an agent.
func (f *fleet) arrive(a *simAgent, from table.Holder, d command.Dispatch) {
	refused := !a.alive || !a.ready || a.holder != d.To || f.isCut(from.Process, a.holder.Process) ||
		a.fenced[from] || a.fenced[d.Grant] || local(f.now, a.started) >= d.Expires
	if refused {
		f.endRequest(from, d.Request, table.Outcome{Code: table.CodeExpired, Ran: table.NotRun})
		return
	}
	cost := f.costOf(d)
	f.runs[d.Request]++
	a.running[d.Request] = d
	f.spend(a, d, cost/2)
	f.at(time.Duration(f.rand.Int64N(int64(f.runTime)+1)), func() {
		if a.alive && a.holder == d.To {
			delete(a.running, d.Request)
			f.spend(a, d, cost-cost/2)
		}
		f.reportEnd(a.holder.Process, from, d.Request)
	})
}

// spend counts tokens that ran at an agent.
func (f *fleet) spend(a *simAgent, d command.Dispatch, n table.Tokens) {
	f.cost[d.Request] += n
	f.spent[d.Budget] += n
	a.charges[table.ChargeKey{Holder: d.Grant, Budget: d.Budget}] += n
	f.checkSpend(d.Budget)
}

// reportEnd tells the router the true count, as soon as it can be reached.
func (f *fleet) reportEnd(agent table.ProcessID, to table.Holder, id table.RequestID) {
	if f.isCut(agent, to.Process) {
		f.at(time.Second, func() { f.reportEnd(agent, to, id) })
		return
	}
	cost := f.cost[id]
	f.endRequest(to, id, table.Outcome{OK: true, Ran: table.DidRun, Prompt: cost / 2, Output: cost - cost/2})
}

func (f *fleet) checkSpend(id table.BudgetID) {
	if deposited := f.deposited(id); f.spent[id] > deposited {
		f.faults = append(f.faults, fmt.Sprintf("overspend of %s: %d of %d", id, f.spent[id], deposited))
	}
}

func (f *fleet) rowOf(id table.BudgetID) *table.LedgerBudget {
	for _, o := range f.store.shards {
		if row := o.content.Find(id); row != nil {
			return row
		}
	}
	return &table.LedgerBudget{ID: id}
}

func (f *fleet) deposited(id table.BudgetID) table.Tokens { return f.rowOf(id).Deposited }

// send carries out the commands of a router's tick.
func (f *fleet) send(r *simRouter, out *command.Outbox) {
	h := r.holder
	for _, c := range out.ReadShards {
		f.call(h, false, func(s event.CallStatus) event.Event { return f.readShard(c, s) })
	}
	for _, c := range out.WriteShards {
		f.call(h, true, func(s event.CallStatus) event.Event { return f.writeShard(c, s) })
	}
	for range out.ReadFences {
		f.call(h, false, func(s event.CallStatus) event.Event {
			l := f.store.fences
			l.Status = s
			return l
		})
	}
	for _, c := range out.WriteFences {
		f.call(h, true, func(s event.CallStatus) event.Event { return f.writeFences(c, s) })
	}
	for _, c := range out.ReadProcesses {
		f.call(h, false, func(s event.CallStatus) event.Event { return f.listProcesses(c, s) })
	}
	for _, c := range out.SliceRequests {
		f.message(h, c.To, 0, c.Request)
	}
	for _, c := range out.SliceGrants {
		f.message(h, c.To.Process, c.To.Incarnation, c.Grant)
	}
	for _, c := range out.SliceReports {
		f.message(h, c.To.Process, c.To.Incarnation, c.Report)
	}
	for _, c := range out.Fences {
		f.at(f.delay(), func() { f.fence(h, c) })
	}
	r.queries = append(r.queries, out.BudgetReplies...)
	for _, c := range out.TopUpReplies {
		r.topUps[c.Reply] = c
	}
}

// message delivers a message between routers: delayed, so that messages can
// overtake each other, and twice at times.
func (f *fleet) message(from table.Holder, to table.ProcessID, incarnation table.Incarnation, e event.Event) {
	copies := 1
	if f.duplicates && f.rand.IntN(5) == 0 {
		copies = 2
	}
	for range copies {
		d := f.delay()
		if f.duplicates {
			d += time.Duration(f.rand.Int64N(int64(300 * time.Millisecond)))
		}
		f.at(d, func() {
			r := f.routers[to]
			if r == nil || f.isCut(from.Process, to) || incarnation != 0 && r.holder.Incarnation != incarnation {
				return
			}
			f.post(r.holder, e)
		})
	}
}

// call performs a platform call and delivers its result.
func (f *fleet) call(h table.Holder, write bool, do func(event.CallStatus) event.Event) {
	f.at(f.delay(), func() {
		if !f.store.up || f.isCut(h.Process, platformID) {
			status := event.CallNotApplied
			if write && f.rand.IntN(2) == 0 {
				status = event.CallUnknown
			}
			f.at(f.delay(), func() { f.post(h, do(status)) })
			return
		}
		f.perform(h, write, do)
	})
}

func (f *fleet) perform(h table.Holder, write bool, do func(event.CallStatus) event.Event) {
	lose := 0
	if write && len(f.store.loseNext) > 0 {
		lose, f.store.loseNext = f.store.loseNext[0], f.store.loseNext[1:]
	}
	switch lose {
	case 1:
		do(event.CallOK)
	case 3:
		f.at(time.Duration(f.rand.Int64N(int64(3*time.Second))), func() { do(event.CallOK) })
	case 0:
		e := do(event.CallOK)
		f.at(f.delay(), func() { f.post(h, e) })
		return
	}
	f.at(f.delay(), func() { f.post(h, do(event.CallUnknown)) })
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
	e := event.ShardRead{Shard: c.Shard, Status: s}
	if s == event.CallOK {
		f.store.reads++
		o := f.shard(c.Shard)
		e.Version, e.Content = o.version, o.content
		if f.staleReads && o.version > 1 && f.rand.IntN(10) == 0 {
			e.Version, e.Content = o.version-1, o.older
		}
	}
	return e
}

func (f *fleet) writeShard(c command.WriteShard, s event.CallStatus) event.Event {
	e := event.ShardWrite{Shard: c.Shard, Sequence: c.Sequence, Status: s}
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
	o.older, o.content = o.content, c.Content
	e.Version = o.version
	f.checkContent(c.Content)
	return e
}

func (f *fleet) checkContent(c table.ShardContent) {
	for _, b := range c.Budgets {
		bad := b.Free() < 0 || b.Settled < 0 || b.Withheld < 0
		for _, g := range b.Grants {
			bad = bad || g.Amount < 0
		}
		if bad {
			f.faults = append(f.faults, fmt.Sprintf("ledger row breaks its invariant: %+v", b))
		}
	}
}

func (f *fleet) writeFences(c command.WriteFences, s event.CallStatus) event.Event {
	if s != event.CallOK {
		return event.FenceWrite{Status: s}
	}
	if c.Version != f.store.fences.Version {
		return event.FenceWrite{Status: event.CallConflict}
	}
	f.store.fences = event.FenceList{Version: c.Version + 1, Holders: c.Holders}
	return event.FenceWrite{Status: s, Version: c.Version + 1}
}

func (f *fleet) listProcesses(c command.ReadProcesses, s event.CallStatus) event.Event {
	list := event.ProcessList{Call: c.Call}
	if s != event.CallOK {
		return event.PlatformState{}
	}
	for _, id := range f.names {
		list.Processes = append(list.Processes, f.store.processes[id])
	}
	for _, a := range f.agents {
		if p, ok := f.store.processes[a.holder.Process]; ok {
			list.Processes = append(list.Processes, p)
		}
	}
	return list
}

// fence plays an agent that refuses a holder and tells its charges.
func (f *fleet) fence(from table.Holder, c command.SendFence) {
	i := slices.IndexFunc(f.agents, func(a *simAgent) bool { return a.holder.Process == c.To })
	a := f.agents[i]
	if !a.alive || !a.ready || f.isCut(from.Process, c.To) {
		return
	}
	h := c.Fence.Holder
	a.fenced[h] = true
	e := event.FenceResult{Agent: a.holder, Call: c.Fence.Call, Holder: h, Complete: a.first}
	for _, d := range a.running {
		e.Running = e.Running || d.Grant == h
	}
	for key, spent := range a.charges {
		if key.Holder == h {
			e.Charges = append(e.Charges, event.HolderCharge{Budget: key.Budget, Spent: spent})
		}
	}
	f.at(f.delay(), func() {
		if !f.isCut(from.Process, c.To) {
			f.post(from, e)
		}
	})
}

// The actions of tests.

func (f *fleet) request(router table.ProcessID, id table.BudgetID, reserve table.Tokens) table.RequestID {
	r := f.routers[router]
	if r == nil || !r.alive || r.paused || r.world.Draining {
		return ""
	}
	f.requests++
	key := table.MakeRequestID(id.Customer(), fmt.Sprint(f.requests))
	if f.onRequest != nil {
		f.onRequest(key)
	}
	r.world.Requests.Insert(table.Request{
		ID: key, Customer: id.Customer(), Budget: id, Kind: table.ServiceModel, Reserve: reserve, Deadline: table.Never,
	}, table.RequestReserving)
	f.tick(r)
	return key
}

func (f *fleet) topUp(router table.ProcessID, id table.BudgetID, amount table.Tokens, key string) {
	if r := f.routers[router]; r != nil {
		f.requests++
		f.post(r.holder, event.TopUp{Reply: uint64(f.requests), Budget: id, Amount: amount, ID: key})
	}
}

// deposit puts a budget into the store before the start.
func (f *fleet) deposit(id table.BudgetID, amount table.Tokens) {
	r := f.routers[f.names[0]]
	o := f.shard(ledger.ShardOf(r.world, id))
	o.version++
	content := table.ShardContent{Budgets: slices.Clone(o.content.Budgets), Writers: o.content.Writers}
	content.Insert(id).Deposited += amount
	o.content = content
}

func (f *fleet) kill(r *simRouter) {
	r.alive = false
	r.goneAt = f.now + 5*time.Second
}

func (f *fleet) killAgent(a *simAgent) {
	a.alive = false
	a.goneAt = f.now + 5*time.Second
}

func (f *fleet) resume(r *simRouter) {
	r.paused, r.goneAt = false, 0
	f.refresh(r)
	f.tick(r)
}

// heal ends all failures.
func (f *fleet) heal() {
	f.store.up, f.store.loseNext = true, nil
	f.cut = map[[2]table.ProcessID]bool{}
	for _, id := range f.names {
		r := f.routers[id]
		if r.alive && r.paused {
			f.resume(r)
		}
	}
	for _, a := range f.agents {
		if !a.alive {
			a.first, a.goneAt = false, 0
			f.startAgent(a)
		}
	}
	f.refreshProcesses()
}

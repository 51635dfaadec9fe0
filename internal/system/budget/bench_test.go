package budget_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/budget"
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/system/recovery"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// arrival is one request of the trace that all ways of keeping budgets serve.
type arrival struct {
	at       time.Duration
	router   int
	customer int
	reserve  table.Tokens
	cost     table.Tokens
	length   time.Duration
}

const (
	benchRouters   = 3
	benchCustomers = 10
	benchLarge     = 3
	benchLength    = 20 * time.Minute
	cutFrom        = 2 * time.Minute
	cutUntil       = 18 * time.Minute
	topUpAt        = 10 * time.Minute
)

// trace draws the requests: three large customers, each with a preferred
// router, and small ones.
func trace(r *rand.Rand) []arrival {
	var all []arrival
	for c := range benchCustomers {
		rate := 0.3
		if c < benchLarge {
			rate = 4
		}
		for at := time.Duration(0); ; {
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at >= benchLength {
				break
			}
			reserve := 200 + table.Tokens(r.Int64N(800))
			all = append(all, arrival{
				at: at, router: pick(r, c), customer: c, reserve: reserve,
				cost: reserve/4 + table.Tokens(r.Int64N(int64(reserve)/2)), length: time.Duration(r.Int64N(int64(4 * time.Second))),
			})
		}
	}
	return all
}

// pick gives 60% of a customer's requests to one router.
func pick(r *rand.Rand, customer int) int {
	if r.IntN(10) < 6 {
		return customer % benchRouters
	}
	return r.IntN(benchRouters)
}

// funds is what each customer pays at the start, and again in the middle: the
// first amount lasts for about 80% of the first half, the second for 90%.
func funds(all []arrival, customer int) (first, second table.Tokens) {
	var demand table.Tokens
	for _, a := range all {
		if a.customer == customer {
			demand += a.cost
		}
	}
	return demand / 2 * 8 / 10, demand / 2 * 9 / 10
}

func benchBudget(customer int) table.BudgetID {
	return table.MakeBudgetID(table.CustomerID(fmt.Sprintf("c%d", customer)), "main")
}

// tally counts refusals per side of the partition.
type tally struct {
	requests, refused, falseRefusals [2]int
	// reachable counts the false refusals where enough budget was in reach.
	reachable [2]int
	overspend table.Tokens
}

func (t *tally) share(side int) float64 {
	return 100 * float64(t.falseRefusals[side]) / float64(max(1, t.requests[side]))
}

func (t *tally) reachableShare(side int) float64 {
	return 100 * float64(t.reachable[side]) / float64(max(1, t.requests[side]))
}

// inReach returns what of a budget a router can get at: what is unused at the
// routers that it reaches, itself included, and with the platform what is free
// in the ledger. Slices without a report count as used.
func (f *fleet) inReach(from table.ProcessID, id table.BudgetID) table.Tokens {
	var sum table.Tokens
	for _, name := range f.names {
		if b := f.routers[name].world.Budgets.Get(id); b != nil && !f.isCut(from, name) {
			sum += b.Held() + b.Returning
		}
	}
	if !f.isCut(from, platformID) {
		sum += f.rowOf(id).Free()
	}
	return sum
}

// central is the reference: what a single counter would have left.
type central struct{ deposited, spent, open table.Tokens }

func (c *central) left() table.Tokens { return c.deposited - c.spent - c.open }

// side is 1 for the router that the partition cuts off.
func side(router int) int {
	if router == benchRouters-1 {
		return 1
	}
	return 0
}

// runProduct serves the trace with the real systems.
func runProduct(all []arrival, cutPlatform, manyBudgets bool) (*tally, *fleet) {
	f := newFleet(11, benchRouters, 6, world.Params{
		Shards: 64, GrantLifetime: 30 * time.Minute, SettleInterval: 2 * time.Minute, ManyBudgets: manyBudgets,
	})
	t := &tally{}
	counters := make([]central, benchCustomers)
	byID := map[table.RequestID]*arrival{}
	f.costOf = func(d command.Dispatch) table.Tokens { return byID[d.Request].cost }
	for c := range benchCustomers {
		first, second := funds(all, c)
		f.deposit(benchBudget(c), first)
		counters[c].deposited = first
		f.at(topUpAt, func() {
			counters[c].deposited += second
			f.topUp("r0", benchBudget(c), second, "second")
		})
	}
	f.onEnd = func(r *table.Request) {
		a := byID[r.ID]
		c := &counters[a.customer]
		c.spent += r.Outcome.Charged
		if r.Outcome.Ran == table.DidRun {
			c.open -= a.reserve
			return
		}
		t.refused[side(a.router)]++
		if c.left() >= a.reserve {
			t.falseRefusals[side(a.router)]++
		}
		if min(c.left(), f.inReach(f.names[a.router], r.Budget)) >= a.reserve {
			t.reachable[side(a.router)]++
		}
	}
	f.onQueued = func(id table.RequestID) { counters[byID[id].customer].open += byID[id].reserve }
	for i := range all {
		a := &all[i]
		t.requests[side(a.router)]++
		f.at(a.at, func() {
			f.onRequest = func(id table.RequestID) { byID[id] = a }
			f.request(f.names[a.router], benchBudget(a.customer), a.reserve)
		})
	}
	f.at(cutFrom, func() { f.cutOff("r2", cutPlatform) })
	f.at(cutUntil, func() { f.cut = map[[2]table.ProcessID]bool{} })
	f.runUntil(benchLength + 30*time.Second)
	for c := range counters {
		t.overspend += max(0, f.spent[benchBudget(c)]-counters[c].deposited)
	}
	return t, f
}

// cutOff cuts a router from the other routers, and perhaps from the platform.
func (f *fleet) cutOff(id table.ProcessID, platform bool) {
	for _, other := range f.names {
		if other != id {
			f.cut[[2]table.ProcessID{id, other}] = true
		}
	}
	if platform {
		f.cut[[2]table.ProcessID{id, platformID}] = true
	}
	f.refreshProcesses()
}

// runStaticSplit serves the trace with a third of each payment at each router.
func runStaticSplit(all []arrival) *tally {
	t := &tally{}
	counters := make([]central, benchCustomers)
	held := make([][benchRouters]table.Tokens, benchCustomers)
	add := func(c int, amount table.Tokens) {
		counters[c].deposited += amount
		for r := range held[c] {
			held[c][r] += amount / benchRouters
		}
	}
	var q simQueue
	for c := range benchCustomers {
		first, second := funds(all, c)
		add(c, first)
		heap.Push(&q, simEvent{at: topUpAt, run: func() { add(c, second) }})
	}
	for i := range all {
		a := &all[i]
		heap.Push(&q, simEvent{at: a.at, seq: i, run: func() {
			t.requests[side(a.router)]++
			c := &counters[a.customer]
			if held[a.customer][a.router] < a.reserve {
				t.refused[side(a.router)]++
				if c.left() >= a.reserve {
					t.falseRefusals[side(a.router)]++
				}
				if splitInReach(held[a.customer], a) >= a.reserve {
					t.reachable[side(a.router)]++
				}
				return
			}
			held[a.customer][a.router] -= a.reserve
			c.open += a.reserve
			heap.Push(&q, simEvent{at: a.at + a.length, seq: i, run: func() {
				c.open -= a.reserve
				c.spent += a.cost
				held[a.customer][a.router] += a.reserve - a.cost
			}})
		}})
	}
	for len(q) > 0 {
		heap.Pop(&q).(simEvent).run()
	}
	for c := range counters {
		t.overspend += max(0, counters[c].spent-counters[c].deposited)
	}
	return t
}

// splitInReach returns what routers on the same side hold of a budget.
func splitInReach(held [benchRouters]table.Tokens, a *arrival) table.Tokens {
	var sum table.Tokens
	for r, amount := range held {
		if apart := a.at >= cutFrom && a.at < cutUntil; !apart || side(r) == side(a.router) {
			sum += amount
		}
	}
	return sum
}

// BenchmarkPartition compares overspend and false refusals with a static split
// on the same trace. Side a can reach the platform and another router; side b
// is one router that is cut off from its peers, and in one case from the
// platform too. A refusal is false if a central counter had enough left;
// it is false in reach if so much was unused within reach of the router.
func BenchmarkPartition(b *testing.B) {
	for _, manyBudgets := range []bool{false, true} {
		for _, cutPlatform := range []bool{false, true} {
			b.Run(fmt.Sprintf("many-budgets=%v/platform-cut=%v", manyBudgets, cutPlatform), func(b *testing.B) {
				for range b.N {
					benchPartition(b, cutPlatform, manyBudgets)
				}
			})
		}
	}
}

func benchPartition(b *testing.B, cutPlatform, manyBudgets bool) {
	all := trace(rand.New(rand.NewPCG(20261204, 1)))
	product, f := runProduct(all, cutPlatform, manyBudgets)
	naive := runStaticSplit(all)
	if len(f.faults) > 0 {
		b.Fatal(f.faults[0])
	}
	b.ReportMetric(float64(product.overspend), "overspend-tokens")
	b.ReportMetric(float64(naive.overspend), "split-overspend-tokens")
	for s, name := range []string{"a", "b"} {
		b.ReportMetric(product.share(s), "false-"+name+"-%")
		b.ReportMetric(naive.share(s), "split-false-"+name+"-%")
		b.ReportMetric(product.reachableShare(s), "false-in-reach-"+name+"-%")
		b.ReportMetric(naive.reachableShare(s), "split-false-in-reach-"+name+"-%")
	}
	b.ReportMetric(float64(product.refused[0]+product.refused[1]), "refused")
	b.ReportMetric(float64(naive.refused[0]+naive.refused[1]), "split-refused")
	b.ReportMetric(float64(len(all)), "requests")
	b.ReportMetric(float64(f.store.writes)/float64(f.served), "writes/request")
}

// BenchmarkSteadyWrites counts platform writes per served request without
// failures; a write per request is the naive way.
func BenchmarkSteadyWrites(b *testing.B) {
	for _, manyBudgets := range []bool{false, true} {
		b.Run(fmt.Sprintf("many-budgets=%v", manyBudgets), func(b *testing.B) {
			for range b.N {
				benchSteady(b, manyBudgets)
			}
		})
	}
}

func benchSteady(b *testing.B, manyBudgets bool) {
	all := trace(rand.New(rand.NewPCG(20261204, 2)))
	f := newFleet(12, benchRouters, 6, world.Params{
		Shards: 64, GrantLifetime: 30 * time.Minute, SettleInterval: 2 * time.Minute, ManyBudgets: manyBudgets,
	})
	for c := range benchCustomers {
		first, second := funds(all, c)
		f.deposit(benchBudget(c), 4*(first+second))
	}
	for i := range all {
		a := &all[i]
		f.at(a.at, func() { f.request(f.names[a.router], benchBudget(a.customer), a.reserve) })
	}
	f.runUntil(benchLength + 30*time.Second)
	b.ReportMetric(float64(f.store.writes)/float64(f.served), "writes/request")
	b.ReportMetric(1, "naive-writes/request")
	b.ReportMetric(float64(f.store.reads)/float64(f.served), "reads/request")
	b.ReportMetric(float64(f.served), "served")
}

// bigRouter returns a router that holds grants of n budgets, 308 per shard.
func bigRouter(n int) *router {
	r := newRouter(0)
	r.Params.ManyBudgets = true
	r.systems = []world.System{ledger.New(), recovery.New(), budget.New()}
	r.Params.Shards = uint32(max(1, n/308))
	contents := map[table.ShardID]*table.ShardContent{}
	for i := range n {
		id := benchBudget(i)
		s := ledger.ShardOf(r.World, id)
		if contents[s] == nil {
			contents[s] = &table.ShardContent{}
		}
		contents[s].Insert(id).Deposited = 1_000_000
		r.Requests.Insert(table.Request{
			ID: table.MakeRequestID(id.Customer(), "first"), Budget: id, Kind: table.ServiceModel, Reserve: 1000, Deadline: table.Never,
		}, table.RequestReserving)
	}
	versions := map[table.ShardID]uint64{}
	for r.Requests.Count(table.RequestReserving) > 0 {
		r.now++
		r.Tick(r.now, r.systems)
		reads, writes := r.Out.ReadShards, r.Out.WriteShards
		r.Clear()
		for _, c := range reads {
			r.In.ShardReads = append(r.In.ShardReads, event.ShardRead{Shard: c.Shard, Status: event.CallOK, Version: 1, Content: *contents[c.Shard]})
			versions[c.Shard] = 1
		}
		for _, c := range writes {
			versions[c.Shard]++
			r.In.ShardWrites = append(r.In.ShardWrites, event.ShardWrite{
				Shard: c.Shard, Sequence: c.Sequence, Status: event.CallOK, Version: versions[c.Shard],
			})
		}
	}
	for i := range n {
		id := table.MakeRequestID(benchBudget(i).Customer(), "first")
		r.Requests.End(r.Requests.Get(id), table.Outcome{Ran: table.NotRun})
	}
	r.Tick(r.now, r.systems)
	// The capacity that n requests at once need is not part of the budgets.
	r.Requests, r.ShortBudgets = table.RequestTable{}, table.Set[table.BudgetID]{}
	r.Shards.Each(func(_ table.ShardID, s *table.Shard) { s.Dirty = table.Set[table.BudgetID]{} })
	r.Clear()
	return r
}

// BenchmarkDecision measures one request from reservation to settlement, which
// must not depend on the number of budgets, and the memory per budget.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{1_000, 21_000, 100_000, 630_000} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			before := heapInUse()
			r := bigRouter(n)
			perBudget := float64(heapInUse()-before) / float64(n)
			ids := make([]table.BudgetID, n)
			for i := range ids {
				ids[i] = benchBudget(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r.decide(ids[(i*7919)%n])
			}
			b.ReportMetric(perBudget, "B/budget")
		})
	}
}

// BenchmarkDecisionStaticSplit is the naive counterpart: a counter per budget.
func BenchmarkDecisionStaticSplit(b *testing.B) {
	for _, n := range []int{1_000, 21_000, 100_000, 630_000} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			before := heapInUse()
			held := make(map[table.BudgetID]table.Tokens, n)
			ids := make([]table.BudgetID, n)
			for i := range ids {
				ids[i] = benchBudget(i)
				held[ids[i]] = 1_000_000
			}
			perBudget := float64(heapInUse()-before) / float64(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := ids[(i*7919)%n]
				if held[id] >= 1000 {
					held[id] -= 1000
					held[id] += 999
				}
			}
			b.ReportMetric(perBudget, "B/budget")
		})
	}
}

// decide reserves and settles one request.
func (r *router) decide(id table.BudgetID) {
	const request = table.RequestID("c/1")
	r.now += table.Instant(time.Microsecond)
	r.Requests.Insert(table.Request{
		ID: request, Budget: id, Kind: table.ServiceModel, Reserve: 1000, Deadline: table.Never,
	}, table.RequestReserving)
	r.Tick(r.now, r.systems)
	r.Requests.End(r.Requests.Get(request), table.Outcome{OK: true, Ran: table.DidRun, Prompt: 1})
	r.Tick(r.now, r.systems)
	r.Requests.Remove(request)
	r.Clear()
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkRecovery measures the simulated time from the death of a router, and
// from the moment it is believed gone, until the ledger has its grants back.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{64, 640} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			for range b.N {
				f := newFleet(13, benchRouters, 10, world.Params{
					Shards: 64, GrantLifetime: 30 * time.Minute, SettleInterval: 2 * time.Minute,
				})
				for c := range n {
					f.deposit(benchBudget(c), 1_000_000)
				}
				for c := range n {
					f.request("r1", benchBudget(c), 500)
				}
				f.runUntil(f.now + 20*time.Second)
				dead, killed := f.routers["r1"], f.now
				f.kill(dead)
				for f.grants(dead.holder) > 0 && f.now < killed+10*time.Minute {
					f.runUntil(f.now + 10*time.Millisecond)
				}
				b.ReportMetric((f.now - killed).Seconds(), "s-since-death")
				b.ReportMetric((f.now - dead.goneAt).Seconds(), "s-since-gone")
			}
		})
	}
}

func (f *fleet) grants(h table.Holder) int {
	n := 0
	for _, o := range f.store.shards {
		if ledger.HasGrant(&o.content, h) {
			n++
		}
	}
	return n
}

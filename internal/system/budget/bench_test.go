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

// traceRequest is one request of the trace that every budget scheme serves.
type traceRequest struct {
	at       time.Duration
	router   int
	customer int
	reserve  table.Tokens
	cost     table.Tokens
	duration time.Duration
}

const (
	benchRouters        = 3
	benchCustomers      = 10
	benchLargeCustomers = 3
	benchDuration       = 20 * time.Minute
	partitionStart      = 2 * time.Minute
	partitionEnd        = 18 * time.Minute
	topUpAt             = 10 * time.Minute
)

// generateTrace generates the requests of three large customers, each with a preferred
// router, and of seven small ones.
func generateTrace(r *rand.Rand) []traceRequest {
	var requests []traceRequest
	for c := range benchCustomers {
		rate := 0.3
		if c < benchLargeCustomers {
			rate = 4
		}
		for at := time.Duration(0); ; {
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at >= benchDuration {
				break
			}
			reserve := 200 + table.Tokens(r.Int64N(800))
			requests = append(requests, traceRequest{
				at: at, router: pickRouter(r, c), customer: c, reserve: reserve,
				cost: reserve/4 + table.Tokens(r.Int64N(int64(reserve)/2)), duration: time.Duration(r.Int64N(int64(4 * time.Second))),
			})
		}
	}
	return requests
}

// pickRouter sends 60% of a customer's requests to its preferred router and spreads the
// rest evenly over all routers.
func pickRouter(r *rand.Rand, customer int) int {
	if r.IntN(10) < 6 {
		return customer % benchRouters
	}
	return r.IntN(benchRouters)
}

// deposits returns a customer's deposits at the start and at topUpAt. The first covers
// about 80% of the expected demand of the first half, the second 90% of the second half.
func deposits(requests []traceRequest, customer int) (first, second table.Tokens) {
	var demand table.Tokens
	for _, a := range requests {
		if a.customer == customer {
			demand += a.cost
		}
	}
	return demand / 2 * 8 / 10, demand / 2 * 9 / 10
}

func benchBudget(customer int) table.BudgetID {
	return table.MakeBudgetID(table.CustomerID(fmt.Sprintf("c%d", customer)), "main")
}

// refusalStats counts requests and refusals on each side of the partition.
type refusalStats struct {
	requests, refused, falseRefusals [2]int
	// falseRefusalsInReach counts refusals although the router could reach enough budget.
	falseRefusalsInReach [2]int
	overspend            table.Tokens
}

func (t *refusalStats) falseRefusalPercent(side int) float64 {
	return 100 * float64(t.falseRefusals[side]) / float64(max(1, t.requests[side]))
}

func (t *refusalStats) falseRefusalInReachPercent(side int) float64 {
	return 100 * float64(t.falseRefusalsInReach[side]) / float64(max(1, t.requests[side]))
}

// reachableTokens returns how much of a budget a router could obtain: the unused tokens at
// the routers that it can reach, itself included, plus the ungranted tokens in the ledger
// if it can reach the platform. Unreported slices count as used.
func (f *fleet) reachableTokens(from table.ProcessID, id table.BudgetID) table.Tokens {
	var sum table.Tokens
	for _, name := range f.routerIDs {
		if b := f.routers[name].world.Budgets.Get(id); b != nil && !f.isPartitioned(from, name) {
			sum += b.Available() + b.Returning
		}
	}
	if !f.isPartitioned(from, platformID) {
		sum += f.ledgerRow(id).Ungranted()
	}
	return sum
}

// centralCounter is the reference: a single counter of a budget without partitions.
type centralCounter struct{ deposited, spent, reserved table.Tokens }

func (c *centralCounter) available() table.Tokens { return c.deposited - c.spent - c.reserved }

// partitionSide returns 1 for the router that the partition isolates, 0 for the others.
func partitionSide(router int) int {
	if router == benchRouters-1 {
		return 1
	}
	return 0
}

// runSystems serves the trace with the ledger, recovery and budget systems.
func runSystems(requests []traceRequest, cutPlatform, reduceLedgerLoad bool) (*refusalStats, *fleet) {
	f := newFleet(11, benchRouters, 6, world.Params{
		LedgerShards: 64, GrantLifetime: 30 * time.Minute, SettleInterval: 2 * time.Minute, ReduceLedgerLoad: reduceLedgerLoad,
	})
	t := &refusalStats{}
	counters := make([]centralCounter, benchCustomers)
	byID := map[table.RequestID]*traceRequest{}
	f.costOf = func(d command.Dispatch) table.Tokens { return byID[d.Request].cost }
	for c := range benchCustomers {
		first, second := deposits(requests, c)
		f.deposit(benchBudget(c), first)
		counters[c].deposited = first
		f.schedule(topUpAt, func() {
			counters[c].deposited += second
			f.topUp("r0", benchBudget(c), second, "second")
		})
	}
	f.onEnd = func(r *table.Request) {
		a := byID[r.ID]
		c := &counters[a.customer]
		c.spent += r.Outcome.Charged
		if r.Outcome.Ran == table.DidRun {
			c.reserved -= a.reserve
			return
		}
		t.refused[partitionSide(a.router)]++
		if c.available() >= a.reserve {
			t.falseRefusals[partitionSide(a.router)]++
		}
		if min(c.available(), f.reachableTokens(f.routerIDs[a.router], r.Budget)) >= a.reserve {
			t.falseRefusalsInReach[partitionSide(a.router)]++
		}
	}
	f.onQueued = func(id table.RequestID) { counters[byID[id].customer].reserved += byID[id].reserve }
	for i := range requests {
		a := &requests[i]
		t.requests[partitionSide(a.router)]++
		f.schedule(a.at, func() {
			f.onRequest = func(id table.RequestID) { byID[id] = a }
			f.addRequest(f.routerIDs[a.router], benchBudget(a.customer), a.reserve)
		})
	}
	f.schedule(partitionStart, func() { f.isolate("r2", cutPlatform) })
	f.schedule(partitionEnd, func() { f.partitioned = map[[2]table.ProcessID]bool{} })
	f.runUntil(benchDuration + 30*time.Second)
	for c := range counters {
		t.overspend += max(0, f.spent[benchBudget(c)]-counters[c].deposited)
	}
	return t, f
}

// isolate partitions a router from the other routers, and optionally from the platform.
func (f *fleet) isolate(id table.ProcessID, platform bool) {
	for _, other := range f.routerIDs {
		if other != id {
			f.partitioned[[2]table.ProcessID{id, other}] = true
		}
	}
	if platform {
		f.partitioned[[2]table.ProcessID{id, platformID}] = true
	}
	f.refreshProcesses()
}

// runStaticSplit serves the trace with each deposit split evenly between the routers.
func runStaticSplit(requests []traceRequest) *refusalStats {
	t := &refusalStats{}
	counters := make([]centralCounter, benchCustomers)
	held := make([][benchRouters]table.Tokens, benchCustomers)
	add := func(c int, amount table.Tokens) {
		counters[c].deposited += amount
		for r := range held[c] {
			held[c][r] += amount / benchRouters
		}
	}
	var q simQueue
	for c := range benchCustomers {
		first, second := deposits(requests, c)
		add(c, first)
		heap.Push(&q, simEvent{at: topUpAt, run: func() { add(c, second) }})
	}
	for i := range requests {
		a := &requests[i]
		heap.Push(&q, simEvent{at: a.at, seq: i, run: func() {
			t.requests[partitionSide(a.router)]++
			c := &counters[a.customer]
			if held[a.customer][a.router] < a.reserve {
				t.refused[partitionSide(a.router)]++
				if c.available() >= a.reserve {
					t.falseRefusals[partitionSide(a.router)]++
				}
				if splitReachableTokens(held[a.customer], a) >= a.reserve {
					t.falseRefusalsInReach[partitionSide(a.router)]++
				}
				return
			}
			held[a.customer][a.router] -= a.reserve
			c.reserved += a.reserve
			heap.Push(&q, simEvent{at: a.at + a.duration, seq: i, run: func() {
				c.reserved -= a.reserve
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

// splitReachableTokens returns the tokens at the routers that the request's router reaches.
func splitReachableTokens(held [benchRouters]table.Tokens, a *traceRequest) table.Tokens {
	var sum table.Tokens
	for r, amount := range held {
		if separated := a.at >= partitionStart && a.at < partitionEnd; !separated || partitionSide(r) == partitionSide(a.router) {
			sum += amount
		}
	}
	return sum
}

// BenchmarkPartition compares overspend and false refusals with those of a static split on
// the same trace. Side a can reach the platform and another router. Side b is one router
// that is partitioned from its peers and, in one case, from the platform too. A refusal is
// false if a central counter had enough left. It is false in reach if the router could also
// have reached that many unused tokens.
func BenchmarkPartition(b *testing.B) {
	for _, reduceLedgerLoad := range []bool{false, true} {
		for _, cutPlatform := range []bool{false, true} {
			b.Run(fmt.Sprintf("many-budgets=%v/platform-cut=%v", reduceLedgerLoad, cutPlatform), func(b *testing.B) {
				for range b.N {
					benchPartition(b, cutPlatform, reduceLedgerLoad)
				}
			})
		}
	}
}

func benchPartition(b *testing.B, cutPlatform, reduceLedgerLoad bool) {
	requests := generateTrace(rand.New(rand.NewPCG(20261204, 1)))
	systems, f := runSystems(requests, cutPlatform, reduceLedgerLoad)
	split := runStaticSplit(requests)
	if len(f.violations) > 0 {
		b.Fatal(f.violations[0])
	}
	b.ReportMetric(float64(systems.overspend), "overspend-tokens")
	b.ReportMetric(float64(split.overspend), "split-overspend-tokens")
	for s, name := range []string{"a", "b"} {
		b.ReportMetric(systems.falseRefusalPercent(s), "false-"+name+"-%")
		b.ReportMetric(split.falseRefusalPercent(s), "split-false-"+name+"-%")
		b.ReportMetric(systems.falseRefusalInReachPercent(s), "false-in-reach-"+name+"-%")
		b.ReportMetric(split.falseRefusalInReachPercent(s), "split-false-in-reach-"+name+"-%")
	}
	b.ReportMetric(float64(systems.refused[0]+systems.refused[1]), "refused")
	b.ReportMetric(float64(split.refused[0]+split.refused[1]), "split-refused")
	b.ReportMetric(float64(len(requests)), "requests")
	b.ReportMetric(float64(f.store.writes)/float64(f.served), "writes/request")
}

// BenchmarkSteadyWrites counts platform writes per served request without failures. The
// baseline is one write per request.
func BenchmarkSteadyWrites(b *testing.B) {
	for _, reduceLedgerLoad := range []bool{false, true} {
		b.Run(fmt.Sprintf("many-budgets=%v", reduceLedgerLoad), func(b *testing.B) {
			for range b.N {
				benchSteady(b, reduceLedgerLoad)
			}
		})
	}
}

func benchSteady(b *testing.B, reduceLedgerLoad bool) {
	requests := generateTrace(rand.New(rand.NewPCG(20261204, 2)))
	f := newFleet(12, benchRouters, 6, world.Params{
		LedgerShards: 64, GrantLifetime: 30 * time.Minute, SettleInterval: 2 * time.Minute, ReduceLedgerLoad: reduceLedgerLoad,
	})
	for c := range benchCustomers {
		first, second := deposits(requests, c)
		f.deposit(benchBudget(c), 4*(first+second))
	}
	for i := range requests {
		a := &requests[i]
		f.schedule(a.at, func() { f.addRequest(f.routerIDs[a.router], benchBudget(a.customer), a.reserve) })
	}
	f.runUntil(benchDuration + 30*time.Second)
	b.ReportMetric(float64(f.store.writes)/float64(f.served), "writes/request")
	b.ReportMetric(1, "naive-writes/request")
	b.ReportMetric(float64(f.store.reads)/float64(f.served), "reads/request")
	b.ReportMetric(float64(f.served), "served")
}

// newLoadedRouter returns a router that holds grants of n budgets, about 308 per shard.
func newLoadedRouter(n int) *testRouter {
	r := newTestRouter(0)
	r.Params.ReduceLedgerLoad = true
	r.systems = []world.System{ledger.New(), recovery.New(), budget.New()}
	r.Params.LedgerShards = uint32(max(1, n/308))
	contents := map[table.ShardID]*table.ShardContent{}
	for i := range n {
		id := benchBudget(i)
		s := ledger.ShardOf(r.World, id)
		if contents[s] == nil {
			contents[s] = &table.ShardContent{}
		}
		contents[s].FindOrInsert(id).Deposited = 1_000_000
		r.Requests.Insert(table.Request{
			ID: table.MakeRequestID(id.Customer(), "first"), Budget: id, Kind: table.ServiceModel, WantedReservation: 1000, FirstTokenDeadline: table.Never,
		}, table.RequestReserving)
	}
	versions := map[table.ShardID]uint64{}
	for r.Requests.CountInState(table.RequestReserving) > 0 {
		r.now++
		r.Tick(r.now, r.systems)
		reads, writes := r.Out.ReadShards, r.Out.WriteShards
		r.ClearOutbox()
		for _, c := range reads {
			r.In.ShardReadResults = append(r.In.ShardReadResults, event.ShardReadResult{Shard: c.Shard, Status: event.CallOK, Version: 1, Content: *contents[c.Shard]})
			versions[c.Shard] = 1
		}
		for _, c := range writes {
			versions[c.Shard]++
			r.In.ShardWriteResults = append(r.In.ShardWriteResults, event.ShardWriteResult{
				Shard: c.Shard, Sequence: c.Sequence, Status: event.CallOK, Version: versions[c.Shard],
			})
		}
	}
	for i := range n {
		id := table.MakeRequestID(benchBudget(i).Customer(), "first")
		r.Requests.End(r.Requests.Get(id), table.Outcome{Ran: table.NotRun})
	}
	r.Tick(r.now, r.systems)
	// Excludes the tables sized for n simultaneous requests from the memory per budget.
	r.Requests, r.ShortBudgets = table.RequestTable{}, table.Set[table.BudgetID]{}
	r.Shards.Each(func(_ table.ShardID, s *table.Shard) { s.DirtyBudgets = table.Set[table.BudgetID]{} })
	r.ClearOutbox()
	return r
}

// BenchmarkDecision measures the time from reservation to settlement of one request, which
// must not depend on the number of budgets, and the memory per budget.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{1_000, 21_000, 100_000, 630_000} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			before := heapInUse()
			r := newLoadedRouter(n)
			perBudget := float64(heapInUse()-before) / float64(n)
			ids := make([]table.BudgetID, n)
			for i := range ids {
				ids[i] = benchBudget(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r.reserveAndSettle(ids[(i*7919)%n])
			}
			b.ReportMetric(perBudget, "B/budget")
		})
	}
}

// BenchmarkDecisionStaticSplit measures the baseline: one counter per budget.
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

// reserveAndSettle runs one request from its reservation to its settlement.
func (r *testRouter) reserveAndSettle(id table.BudgetID) {
	const request = table.RequestID("c/1")
	r.now += table.Instant(time.Microsecond)
	r.Requests.Insert(table.Request{
		ID: request, Budget: id, Kind: table.ServiceModel, WantedReservation: 1000, FirstTokenDeadline: table.Never,
	}, table.RequestReserving)
	r.Tick(r.now, r.systems)
	r.Requests.End(r.Requests.Get(request), table.Outcome{OK: true, Ran: table.DidRun, PromptTokens: 1})
	r.Tick(r.now, r.systems)
	r.Requests.Remove(request)
	r.ClearOutbox()
}

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkRecovery measures the simulated time until all grants of a dead router are
// reclaimed, from its crash and from the moment when the others consider it gone.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{64, 640} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			for range b.N {
				f := newFleet(13, benchRouters, 10, world.Params{
					LedgerShards: 64, GrantLifetime: 30 * time.Minute, SettleInterval: 2 * time.Minute,
				})
				for c := range n {
					f.deposit(benchBudget(c), 1_000_000)
				}
				for c := range n {
					f.addRequest("r1", benchBudget(c), 500)
				}
				f.runUntil(f.now + 20*time.Second)
				dead, killed := f.routers["r1"], f.now
				f.kill(dead)
				for f.shardsWithGrants(dead.holder) > 0 && f.now < killed+10*time.Minute {
					f.runUntil(f.now + 10*time.Millisecond)
				}
				b.ReportMetric((f.now - killed).Seconds(), "s-since-death")
				b.ReportMetric((f.now - dead.presumedGoneAt).Seconds(), "s-since-gone")
			}
		})
	}
}

func (f *fleet) shardsWithGrants(h table.Holder) int {
	n := 0
	for _, o := range f.store.shards {
		if ledger.HasGrant(&o.content, h) {
			n++
		}
	}
	return n
}

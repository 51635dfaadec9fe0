package daemon

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/control"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
)

var (
	budgetCounts   = []int{1_000, 10_000, 100_000, 630_000}
	endpointCounts = []int{10, 60, 200, 400, 600}
	processCounts  = []int{1, 10, 100, 200, 330}
	customerCounts = []int{10, 50, 150, 310}
)

// benchmarkSizes runs a sub-benchmark for each size of one dimension.
func benchmarkSizes(b *testing.B, dimension string, sizes []int, benchmark func(b *testing.B, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("%s=%d", dimension, n), func(b *testing.B) { benchmark(b, n) })
	}
}

// BenchmarkBudgetTables measures the heap size of the budget rows and their ledger
// contents, and the cost of a garbage collection over it.
func BenchmarkBudgetTables(b *testing.B) {
	benchmarkSizes(b, "budgets", budgetCounts, func(b *testing.B, n int) {
		for range b.N {
			before := liveHeapBytes()
			router := newBenchFixture(b, table.RoleRouter, routerSystems())
			router.addBudgets(n, plannedCustomers)
			reportHeap(b, before)
			reportGC(b)
			runtime.KeepAlive(router)
		}
	})
}

// BenchmarkShardContents measures the heap size of the ledger contents alone. A router
// holds contents without budget rows if it uses other budgets of the same shards.
func BenchmarkShardContents(b *testing.B) {
	benchmarkSizes(b, "budgets", budgetCounts, func(b *testing.B, n int) {
		for range b.N {
			before := liveHeapBytes()
			content := &table.ShardContent{}
			for i := range n {
				content.Budgets = append(content.Budgets, newLedgerBudget(i))
			}
			reportHeap(b, before)
			runtime.KeepAlive(content)
		}
	})
}

func newLedgerBudget(i int) table.LedgerBudget {
	return table.LedgerBudget{
		ID: newBudgetID(i, plannedCustomers), Deposited: 1_000_000, Settled: 250_000,
		Grants: []table.LedgerGrant{{Holder: newHolder(i % plannedRouters), Amount: 50_000, Settled: 10_000}},
		TopUps: []string{fmt.Sprintf("topup-%08d", i)},
	}
}

// reportHeap reports the growth of the live heap since before. It removes ns/op from
// the result, which would be the time to build the tables.
func reportHeap(b *testing.B, before uint64) {
	b.ReportMetric(float64(liveHeapBytes()-before), "heap-B")
	b.ReportMetric(0, "ns/op")
}

// reportGC reports the duration and the pause time of one garbage collection.
func reportGC(b *testing.B) {
	var before, after debug.GCStats
	debug.ReadGCStats(&before)
	start := time.Now()
	runtime.GC()
	b.ReportMetric(float64(time.Since(start)), "gc-ns")
	debug.ReadGCStats(&after)
	b.ReportMetric(float64(after.PauseTotal-before.PauseTotal), "gc-pause-ns")
}

// BenchmarkIdleTick measures a tick without events for different numbers of budgets.
func BenchmarkIdleTick(b *testing.B) {
	benchmarkSizes(b, "budgets", budgetCounts, func(b *testing.B, n int) {
		router := newRouterFixture(b, fleetSize{plannedCustomers, n, plannedEndpoints, plannedProcesses})
		runtime.GC()
		b.ReportAllocs()
		for b.Loop() {
			router.w.Tick(router.now, router.systems)
			router.clearOutbox()
		}
	})
}

// BenchmarkRequestBudgets measures a request for different numbers of budgets.
func BenchmarkRequestBudgets(b *testing.B) {
	benchmarkSizes(b, "budgets", budgetCounts, func(b *testing.B, n int) {
		benchmarkRequests(b, fleetSize{plannedCustomers, n, plannedEndpoints, plannedProcesses}, 0)
	})
}

// BenchmarkRequestEndpoints measures a request for different numbers of endpoints.
func BenchmarkRequestEndpoints(b *testing.B) {
	benchmarkSizes(b, "endpoints", endpointCounts, func(b *testing.B, n int) {
		benchmarkRequests(b, fleetSize{plannedCustomers, 10_000, n, max(1, n/2) * 11 / 10}, 0)
	})
}

// BenchmarkRequestCustomers measures a request for different numbers of customers.
func BenchmarkRequestCustomers(b *testing.B) {
	benchmarkSizes(b, "customers", customerCounts, func(b *testing.B, n int) {
		benchmarkRequests(b, fleetSize{n, 10_000, plannedEndpoints, plannedProcesses}, 0)
	})
}

// BenchmarkRequestRunning measures a request for different numbers of requests in
// progress.
func BenchmarkRequestRunning(b *testing.B) {
	benchmarkSizes(b, "running", []int{1, 100, 1_000, 3_000}, func(b *testing.B, n int) {
		benchmarkRequests(b, fleetSize{plannedCustomers, 10_000, plannedEndpoints, plannedProcesses}, n)
	})
}

// meanOutputTokens is the mean output of a request in the capacity plan.
const meanOutputTokens = table.Tokens(312)

// benchmarkRequests runs complete requests with one tick per event, as at low load, where
// a request costs the control thread the most.
func benchmarkRequests(b *testing.B, size fleetSize, running int) {
	router := newRouterFixture(b, size)
	for i := range running {
		router.startRequest(i)
	}
	runtime.GC()
	b.ReportAllocs()
	b.ResetTimer()
	ticks := 0
	for i := range b.N {
		ticks += router.runRequest(running + i)
	}
	b.ReportMetric(float64(ticks)/float64(b.N), "ticks/op")
}

// startRequest processes the arrival of a request and returns the dispatched attempt.
func (f *benchFixture) startRequest(i int) attemptID {
	f.lastReplyID++
	customers := f.w.Customers.Len()
	budgets := f.w.Budgets.Len()
	budget := newBudgetID((i*7919)%budgets, customers)
	f.tick(event.Arrival{
		Key: fmt.Sprintf("key-%d", i), KeyHash: newKeyHash((i * 7919) % budgets % customers), ReplyID: f.lastReplyID,
		Service: newServiceName(i % plannedServices), BudgetName: budgetNameIn(budget), Kind: table.ServiceModel,
		Fingerprint: table.Fingerprint(i), PromptTokens: 100, MaxOutput: 400, FirstTokenDeadline: time.Minute,
	})
	if len(f.w.Out.Dispatches) != 1 {
		f.tb.Fatalf("request %d was not dispatched, replies: %+v", i, f.w.Out.Replies)
	}
	id := attemptID{f.w.Out.Dispatches[0].Request, f.w.Out.Dispatches[0].Attempt}
	f.clearOutbox()
	return id
}

type attemptID struct {
	request table.RequestID
	attempt uint32
}

func budgetNameIn(id table.BudgetID) string { return string(id)[len(id.Customer())+1:] }

// runRequest runs one request until its reply and returns the number of ticks.
func (f *benchFixture) runRequest(i int) int {
	id := f.startRequest(i)
	ticks := 1
	tick := func(e event.Event) {
		f.tick(e)
		ticks++
	}
	tick(event.FirstToken{Request: id.request, Attempt: id.attempt})
	f.clearOutbox()
	const progressInterval = 32
	for n := table.Tokens(progressInterval); n < meanOutputTokens; n += progressInterval {
		tick(event.AttemptProgress{Request: id.request, Attempt: id.attempt, DeliveredTokens: n})
		f.clearOutbox()
	}
	tick(event.AttemptEnd{
		Request: id.request, Attempt: id.attempt, Status: event.AttemptDone, Ran: table.DidRun,
		PromptTokens: 90, DeliveredTokens: meanOutputTokens,
	})
	if len(f.w.Out.Replies) != 1 {
		f.tb.Fatalf("request %d was not answered", i)
	}
	f.clearOutbox()
	return ticks
}

// BenchmarkHeartbeatReceived measures one heartbeat from each process, with one tick
// per heartbeat.
func BenchmarkHeartbeatReceived(b *testing.B) {
	benchmarkSizes(b, "processes", processCounts, func(b *testing.B, n int) {
		router := newRouterFixture(b, fleetSize{plannedCustomers, 1_000, 2 * n, n})
		b.ReportAllocs()
		for b.Loop() {
			for i := range n {
				router.tick(newHeartbeat(i))
				router.clearOutbox()
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/heartbeat")
	})
}

func newHeartbeat(i int) event.Heartbeat {
	return event.Heartbeat{
		Peer: newHolder(i), Clock: table.Instant(time.Hour), Generation: 1,
		Endpoints: []event.EndpointLoad{
			{Endpoint: table.EndpointID(fmt.Sprintf("endpoint-%04d", i)), Slots: plannedSlots, InFlight: 9, InFlightTokens: 2_800, ReportTokens: 3_000, ReportAge: 2 * time.Second},
		},
	}
}

// BenchmarkPublish measures the copy of the state for traffic goroutines, which is
// made once per publishInterval.
func BenchmarkPublish(b *testing.B) {
	benchmarkSizes(b, "processes", processCounts, func(b *testing.B, n int) {
		router := newRouterFixture(b, fleetSize{plannedCustomers, 1_000, 2 * n, n})
		router.runRequest(0)
		m := newMetrics(&Options{ID: "self"}, guard.New(guard.Limits{}, guard.Policy{}))
		b.ReportAllocs()
		for b.Loop() {
			router.w.Now = router.w.Now.Add(publishInterval)
			m.publish(router.w, control.Usage{})
		}
	})
}

// BenchmarkConfiguration measures parsing and converting a configuration.
func BenchmarkConfiguration(b *testing.B) {
	benchmarkSizes(b, "customers", customerCounts, func(b *testing.B, n int) {
		text := fleetYAML(n)
		d := &Daemon{}
		b.ReportAllocs()
		for b.Loop() {
			if _, err := d.parseConfig(1, text); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(text)), "text-B")
	})
}

// BenchmarkConfigurationRows measures the heap size of the active configuration.
func BenchmarkConfigurationRows(b *testing.B) {
	benchmarkSizes(b, "customers", customerCounts, func(b *testing.B, n int) {
		for range b.N {
			before := liveHeapBytes()
			router := newBenchFixture(b, table.RoleRouter, routerSystems())
			router.addFleet(fleetSize{customers: n})
			router.tick()
			router.clearOutbox()
			reportHeap(b, before)
			runtime.KeepAlive(router)
		}
	})
}

// BenchmarkFleetRows measures the heap size of the process and endpoint rows.
func BenchmarkFleetRows(b *testing.B) {
	benchmarkSizes(b, "processes", processCounts, func(b *testing.B, n int) {
		for range b.N {
			before := liveHeapBytes()
			router := newBenchFixture(b, table.RoleRouter, routerSystems())
			router.addFleet(fleetSize{customers: 1, processes: n, endpoints: 2 * n})
			reportHeap(b, before)
			runtime.KeepAlive(router)
		}
	})
}

// BenchmarkExplainHistory measures the heap size of the decisions kept for explain.
func BenchmarkExplainHistory(b *testing.B) {
	benchmarkSizes(b, "requests", []int{500, 1_000, 2_000, 5_000}, func(b *testing.B, n int) {
		for range b.N {
			router := newRouterFixture(b, fleetSize{plannedCustomers, 1_000, plannedEndpoints, plannedProcesses})
			before := liveHeapBytes()
			for i := range n {
				router.runRequest(i)
			}
			reportHeap(b, before)
			runtime.KeepAlive(router)
		}
	})
}

// newAgentFixture returns a ready agent with two endpoints.
func newAgentFixture(tb testing.TB) *benchFixture {
	f := newBenchFixture(tb, table.RoleAgent, agentSystems())
	f.addFleet(fleetSize{customers: plannedCustomers, processes: plannedRouters})
	for i := range 2 {
		id := table.EndpointID(fmt.Sprintf("endpoint-%04d", i))
		f.w.Endpoints.Put(id, table.Endpoint{ID: id, Agent: "self", Service: newServiceName(0), Slots: plannedSlots})
	}
	f.w.Readiness = table.AgentReady
	f.tick()
	f.clearOutbox()
	return f
}

// runDispatch runs one dispatch through the agent's systems with one tick per event.
func (f *benchFixture) runDispatch(i int) {
	id := table.MakeRequestID(newCustomerID(i%plannedCustomers), fmt.Sprintf("key-%d", i))
	f.tick(event.Dispatch{
		Session: 1, Holder: newHolder(i % plannedRouters), Agent: f.w.Self(), Request: id, Attempt: 1,
		Endpoint: table.EndpointID(fmt.Sprintf("endpoint-%04d", i%2)), Service: newServiceName(0), Kind: table.ServiceModel,
		Budget: newBudgetID(i, plannedCustomers), Fingerprint: table.Fingerprint(i), Idempotent: true,
		ChargeLimit: 500, MaxOutput: 400, GrantExpiresAt: f.now.Add(f.w.Params.GrantLifetime),
	})
	if len(f.w.Out.Runs) != 1 {
		f.tb.Fatalf("dispatch %d was rejected: %+v", i, f.w.Out.Rejects)
	}
	f.clearOutbox()
	const progressInterval = 64
	for n := table.Tokens(progressInterval); n < meanOutputTokens; n += progressInterval {
		f.tick(event.RunProgress{Request: id, PromptTokens: 90, OutputTokens: n})
		f.clearOutbox()
	}
	f.tick(event.RunEnd{Request: id, Attempt: 1, Status: event.RunDone, PromptTokens: 90, OutputTokens: meanOutputTokens})
	f.clearOutbox()
}

var retainedRunCounts = []int{100, 1_000, 5_000, 15_000}

// BenchmarkAgentRun measures a run for different numbers of retained runs.
func BenchmarkAgentRun(b *testing.B) {
	benchmarkSizes(b, "kept", retainedRunCounts, func(b *testing.B, n int) {
		agent := newAgentFixture(b)
		for i := range n {
			agent.runDispatch(i)
		}
		runtime.GC()
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			agent.runDispatch(n + i)
		}
	})
}

// BenchmarkAgentRows measures the heap size of retained runs and charges.
func BenchmarkAgentRows(b *testing.B) {
	benchmarkSizes(b, "kept", retainedRunCounts, func(b *testing.B, n int) {
		for range b.N {
			agent := newAgentFixture(b)
			before := liveHeapBytes()
			for i := range n {
				agent.runDispatch(i)
			}
			reportHeap(b, before)
			runtime.KeepAlive(agent)
		}
	})
}

// Guards against benchmarks that measure rejected work: at a small size, requests and
// runs must pass through the whole pipeline.
func TestCapacityBenchmarksRunCompleteRequests(t *testing.T) {
	router := newRouterFixture(t, fleetSize{3, 30, 8, 6})
	for i := range 10 {
		router.runRequest(i)
	}
	require.Zero(t, router.w.Requests.Len())
	agent := newAgentFixture(t)
	for i := range 10 {
		agent.runDispatch(i)
	}
	require.Equal(t, 10, agent.w.Runs.Len())
}

package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

func testParams() world.Params {
	return world.Params{LedgerShards: 1, GrantLifetime: 30 * time.Minute, SettleInterval: 5 * time.Second, ReduceLedgerLoad: true}
}

// spendRemaining sends small requests to a router until its budget is exhausted.
func spendRemaining(f *fleet, router table.ProcessID) {
	for range 400 {
		f.addRequest(router, testBudget, 10)
		f.runUntil(f.now + 100*time.Millisecond)
	}
	f.runUntil(f.now + 10*time.Second)
}

// Guards against a resumed holder that spends a reclaimed grant at an agent that restarted
// after the fencing and so never received the fence message.
func TestRestartedAgentRefusesFencedHolder(t *testing.T) {
	f := newFleet(1, 2, 1, testParams())
	f.deposit(testBudget, 600)
	f.partitioned[[2]table.ProcessID{"r0", "r1"}] = true
	f.refreshProcesses()
	for range 3 {
		f.addRequest("r0", testBudget, 50)
		f.addRequest("r1", testBudget, 50)
		f.runUntil(f.now + 5*time.Second)
	}
	paused := f.routers["r1"]
	require.Positive(t, paused.world.Budgets.Get(testBudget).AvailableFromGrant())
	paused.paused, paused.presumedGoneAt = true, f.now
	f.runUntil(f.now + 60*time.Second)
	require.Zero(t, f.ledgerRow(testBudget).GrantOf(paused.holder).Amount)
	spendRemaining(f, "r0")

	f.killAgent(f.agents[0])
	f.agents[0].firstIncarnation, f.agents[0].presumedGoneAt = false, 0
	f.startAgent(f.agents[0])
	f.resume(paused)
	f.partitioned[[2]table.ProcessID{"r1", platformID}] = true
	runsBefore := len(f.runs)
	for range 10 {
		f.addRequest("r1", testBudget, 10)
		f.runUntil(f.now + 10*time.Millisecond)
	}
	f.runUntil(f.now + 10*time.Second)
	require.Empty(t, f.violations)
	require.Len(t, f.runs, runsBefore, "a request of the fenced holder ran")
}

// Guards against a recovery that reclaims a grant while work under it still runs.
func TestRecoveryWaitsForRunningWork(t *testing.T) {
	p := testParams()
	p.ReduceLedgerLoad = false
	f := newFleet(2, 2, 2, p)
	f.deposit(testBudget, 5000)
	f.maxRunTime = 5 * time.Minute
	for range 4 {
		f.addRequest("r1", testBudget, 100)
	}
	f.runUntil(f.now + time.Second)
	dead := f.routers["r1"]
	f.kill(dead)
	running := func() int { return len(f.agents[0].running) + len(f.agents[1].running) }
	require.Positive(t, running())
	for running() > 0 {
		require.Positive(t, f.ledgerRow(testBudget).GrantOf(dead.holder).Amount)
		f.runUntil(f.now + time.Second)
	}
	f.runUntil(f.now + 30*time.Second)
	row := f.ledgerRow(testBudget)
	require.Zero(t, row.GrantOf(dead.holder).Amount)
	require.Equal(t, f.spent[testBudget], row.Settled)
	require.Zero(t, row.Withheld)
}

// Guards against freeing the rest of a reclaimed grant although an agent that may have
// charges under it is gone.
func TestGoneAgentLeavesRestWithheld(t *testing.T) {
	f := newFleet(3, 1, 2, testParams())
	f.deposit(testBudget, 5000)
	for range 8 {
		f.addRequest("r0", testBudget, 100)
	}
	f.runUntil(f.now + 500*time.Millisecond)
	f.kill(f.routers["r0"])
	f.killAgent(f.agents[0])
	f.startRouter("r0")
	f.runUntil(f.now + 60*time.Second)
	row := f.ledgerRow(testBudget)
	require.Empty(t, row.Grants)
	require.NotZero(t, row.Withheld)
	require.GreaterOrEqual(t, row.Settled+row.Withheld, f.spent[testBudget])
}

// Guards against spending a slice again when its grant message arrives a second time, after
// the slice was reported and its row deleted.
func TestDuplicateSliceGrantIsNotSpentAgain(t *testing.T) {
	f := newFleet(4, 2, 1, testParams())
	f.deposit(testBudget, 100_000)
	home := ledger.HomeRouter(f.routers["r0"].world, 0)
	other := table.ProcessID("r0")
	if home == "r0" {
		other = "r1"
	}
	f.addRequest(other, testBudget, 100)
	f.runUntil(f.now + 3*time.Second)
	w := f.routers[other].world
	require.NotZero(t, w.ReceivedSlices.Len())
	// The last slice answers the last request round, whose call number is repeated below.
	key, slice := w.ReceivedSlices.At(w.ReceivedSlices.Len() - 1)
	repeated := event.SliceGrant{
		From: key.Peer, Call: w.SliceRequestRounds.Get(testBudget).Call, Slice: key.Number,
		Budget: testBudget, Amount: slice.Amount, Lifetime: time.Hour,
	}
	f.runUntil(f.now + 6*time.Minute)
	require.Zero(t, w.ReceivedSlices.Len())
	f.deliver(f.routers[other].holder, repeated)
	require.Zero(t, w.Budgets.Get(testBudget).ReceivedSliceTokens)
}

// Guards against reserving tokens while a pending write returns them to the ledger.
func TestReturnedTokensAreNotReserved(t *testing.T) {
	r := newTestRouter(10_000)
	r.Processes.Put("r2", table.Process{
		Holder: table.Holder{Process: "r2", Incarnation: 9}, Role: table.RoleRouter, State: table.ProcessLive, Connected: true,
	})
	r.addRequest("workshop/a", 100)
	r.runUntilIdle()
	held := r.Budgets.Get(testBudget).AvailableFromGrant()
	require.Positive(t, held)
	r.In.SliceRequests = append(r.In.SliceRequests, event.SliceRequest{
		From: table.Holder{Process: "r2", Incarnation: 9}, Call: 1, Budget: testBudget, Want: 9000, Need: 9000, Forwarded: true,
	})
	r.Tick(r.now, r.systems)
	r.Tick(r.now, r.systems)
	require.Len(t, r.Out.WriteShards, 1)
	r.addRequest("workshop/b", held)
	r.Tick(r.now, r.systems)
	require.Equal(t, table.RequestReserving, r.Requests.Get("workshop/b").State())
}

// Guards against a platform outage that stops routers although they, or their peers, still
// hold budget.
func TestOutageSpendsHeldBudgetAndSlices(t *testing.T) {
	f := newFleet(5, 3, 2, testParams())
	f.deposit(testBudget, 100_000)
	for range 10 {
		f.addRequest("r0", testBudget, 100)
		f.runUntil(f.now + time.Second)
	}
	f.addRequest("r1", testBudget, 100)
	f.runUntil(f.now + 5*time.Second)
	f.store.up = false
	f.refreshProcesses()
	served := f.served
	f.addRequest("r0", testBudget, 100)
	f.addRequest("r1", testBudget, 100)
	f.addRequest("r2", testBudget, 100)
	f.runUntil(f.now + 6*time.Second)
	require.Equal(t, served+3, f.served, "refusals: %v", f.refusals)
}

// Guards against a top-up that is only visible on one side of a partition.
func TestTopUpDuringPartitionCountsOnBothSides(t *testing.T) {
	f := newFleet(6, 2, 2, testParams())
	f.partitioned[[2]table.ProcessID{"r0", "r1"}] = true
	f.refreshProcesses()
	f.topUp("r0", testBudget, 1000, "order-7")
	f.runUntil(f.now + time.Second)
	f.addRequest("r0", testBudget, 100)
	f.addRequest("r1", testBudget, 100)
	f.runUntil(f.now + 5*time.Second)
	require.Equal(t, 2, f.served, "refusals: %v", f.refusals)
}

// Guards against a top-up reply that claims an outcome which is not known.
func TestTopUpReplyWaitsForOutcome(t *testing.T) {
	f := newFleet(7, 1, 1, testParams())
	f.store.lostAnswers = []int{1}
	f.topUp("r0", testBudget, 500, "order-8")
	f.runUntil(f.now + 3*time.Second)
	require.Len(t, f.routers["r0"].topUps, 1)
	for _, reply := range f.routers["r0"].topUps {
		require.True(t, reply.OK)
		require.Equal(t, table.Tokens(500), reply.Deposited)
	}
	f.store.up = false
	f.topUp("r0", testBudget, 500, "order-9")
	f.runUntil(f.now + 15*time.Second)
	require.Len(t, f.routers["r0"].topUps, 2)
	for _, reply := range f.routers["r0"].topUps {
		require.Equal(t, reply.Deposited == 500, reply.OK)
	}
}

// Guards against a budget query that omits shards that have not been read yet.
func TestBudgetQueryReadsAllShards(t *testing.T) {
	p := testParams()
	p.LedgerShards = 200
	f := newFleet(8, 1, 1, p)
	ids := []table.BudgetID{"a/1", "a/2", "a/3", "b/1"}
	for _, id := range ids {
		f.deposit(id, 10)
	}
	r := f.routers["r0"]
	f.deliver(r.holder, event.BudgetQuery{ReplyID: 5, Customer: "a"})
	f.runUntil(f.now + 2*time.Second)
	require.Len(t, r.queries, 1)
	require.Len(t, r.queries[0].Budgets, 3)
}

// Guards against charges for plain calls that did not run and for replayed answers.
func TestPlainCallAndReplayCharges(t *testing.T) {
	r := newTestRouter(10_000)
	r.Services.Put("desk", table.Service{Name: "desk", Kind: table.ServicePlain,
		Operations: map[string]table.Operation{"book": {Cost: 7}}})
	outcomes := map[table.RequestID]table.Outcome{
		"workshop/ran":      {OK: true, Ran: table.DidRun},
		"workshop/not-run":  {Ran: table.NotRun},
		"workshop/unknown":  {Ran: table.RanUnknown},
		"workshop/replayed": {OK: true, Ran: table.DidRun, Replayed: true},
	}
	want := map[table.RequestID]table.Tokens{"workshop/ran": 7, "workshop/unknown": 7}
	for id, o := range outcomes {
		r.Requests.Insert(table.Request{ID: id, Budget: testBudget, Kind: table.ServicePlain, Service: "desk",
			Operation: "book", WantedReservation: 7, FirstTokenDeadline: table.Never}, table.RequestReserving)
		r.runUntilIdle()
		r.Requests.End(r.Requests.Get(id), o)
		r.runUntilIdle()
		require.Equal(t, want[id], r.Requests.Get(id).Outcome.Charged, id)
	}
}

// Guards against leaking the reservation of a request that an agent rejects and that has to
// reserve again.
func TestRejectedRequestReservesAgain(t *testing.T) {
	r := newTestRouter(10_000)
	r.addRequest("workshop/a", 500)
	r.runUntilIdle()
	r.Requests.SetState(r.Requests.Get("workshop/a"), table.RequestReserving)
	r.runUntilIdle()
	require.Equal(t, table.RequestQueued, r.Requests.Get("workshop/a").State())
	require.Equal(t, table.Tokens(500), r.Budgets.Get(testBudget).Reserved)
}

// Guards against a reservation from an expired grant before the ledger has renewed it.
func TestExpiredGrantIsRenewedBeforeUse(t *testing.T) {
	r := newTestRouter(10_000)
	r.addRequest("workshop/a", 100)
	r.runUntilIdle()
	require.Positive(t, r.Budgets.Get(testBudget).AvailableFromGrant())
	r.now = r.Budgets.Get(testBudget).GrantExpiresAt
	r.addRequest("workshop/b", 100)
	r.Tick(r.now, r.systems)
	require.Equal(t, table.RequestReserving, r.Requests.Get("workshop/b").State())
	r.runUntilIdle()
	require.Equal(t, table.RequestQueued, r.Requests.Get("workshop/b").State())
	require.Greater(t, r.Budgets.Get(testBudget).GrantExpiresAt, r.now)
}

// Guards against a slice that counts as used forever because its report was lost during a
// partition.
func TestReportIsResentOnNewSession(t *testing.T) {
	f := newFleet(9, 2, 1, testParams())
	f.deposit(testBudget, 100_000)
	home := ledger.HomeRouter(f.routers["r0"].world, 0)
	other := table.ProcessID("r0")
	if home == "r0" {
		other = "r1"
	}
	f.addRequest(other, testBudget, 100)
	f.runUntil(f.now + 3*time.Second)
	f.isolate(other, false)
	f.runUntil(f.now + 6*time.Minute)
	require.Positive(t, f.routers[home].world.Budgets.Get(testBudget).GrantedSliceTokens)
	f.partitioned = map[[2]table.ProcessID]bool{}
	f.refreshProcesses()
	f.deliver(f.routers[other].holder, event.SessionOpened{Process: table.Process{Holder: f.routers[home].holder}})
	f.runUntil(f.now + 100*time.Millisecond)
	require.Zero(t, f.routers[home].world.Budgets.Get(testBudget).GrantedSliceTokens)
	require.Zero(t, f.routers[other].world.ReceivedSlices.Len())
}

// Guards against an endless exchange of recalls between routers that hold slices of each
// other's grants.
func TestRecallIsForwardedOnce(t *testing.T) {
	r := newTestRouter(10_000)
	other := table.Holder{Process: "r2", Incarnation: 9}
	third := table.Holder{Process: "r3", Incarnation: 10}
	r.Processes.Put("r2", table.Process{Holder: other, Role: table.RoleRouter, State: table.ProcessLive, Connected: true})
	r.Processes.Put("r3", table.Process{Holder: third, Role: table.RoleRouter, State: table.ProcessLive, Connected: true})
	r.addRequest("workshop/a", 100)
	r.runUntilIdle()
	request := event.SliceRequest{From: other, Call: 1, Budget: testBudget, Want: 50, Need: 50, Forwarded: true}
	r.In.SliceRequests = append(r.In.SliceRequests, request)
	r.Tick(r.now, r.systems)
	r.ClearOutbox()
	require.Equal(t, 1, r.GrantedSlices.Len())

	request.From, request.Call, request.Want, request.Need = third, 2, 90_000, 90_000
	r.In.SliceRequests = append(r.In.SliceRequests, request)
	r.Tick(r.now, r.systems)
	require.Len(t, r.Out.SliceRequests, 1)
	require.Equal(t, table.ProcessID("r2"), r.Out.SliceRequests[0].To)
	require.True(t, r.Out.SliceRequests[0].Request.Recall)
	r.ClearOutbox()

	request.Recall = true
	r.In.SliceRequests = append(r.In.SliceRequests, request)
	r.Tick(r.now, r.systems)
	require.Empty(t, r.Out.SliceRequests)
}

// Guards against returning a used slice as unused. The receiver reports the use while the
// grantor appears to be gone, and deletes its row; the grantor then comes back and sends a
// reminder.
func TestUsedSliceIsNotReturnedToGrantorPresumedGone(t *testing.T) {
	r := newTestRouter(10_000)
	grantor := table.Holder{Process: "r2", Incarnation: 9}
	key := table.SliceKey{Peer: grantor, Number: 1}
	r.ReceivedSlices.Put(key, table.ReceivedSlice{
		Budget: testBudget, Amount: 50, Spent: 50, Closed: true, FinalReports: 1, NextReportAt: r.now,
	})
	r.Budgets.Put(testBudget, table.Budget{ID: testBudget})
	r.ReceivedSliceTimers.Schedule(key, r.now)
	r.Processes.Put("r2", table.Process{Holder: grantor, Role: table.RoleRouter, State: table.ProcessGone})
	r.Tick(r.now, r.systems)
	r.ClearOutbox()
	r.In.SliceGrants = append(r.In.SliceGrants, event.SliceGrant{From: grantor, Slice: 1, Budget: testBudget, Amount: 50})
	r.Tick(r.now, r.systems)
	for _, report := range r.Out.SliceReports {
		require.Zero(t, report.Report.Returned)
	}
}

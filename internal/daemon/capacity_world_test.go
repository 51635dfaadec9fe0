package daemon

import (
	"encoding/hex"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// The fleet size that section 1.6 of the design page plans for.
const (
	plannedRouters   = 30
	plannedAgents    = 300
	plannedProcesses = plannedRouters + plannedAgents
	plannedEndpoints = 600
	plannedCustomers = 310
	plannedShards    = 2048
	plannedServices  = 4
	// plannedSlots is the number of requests that one endpoint runs at once.
	plannedSlots = 32
)

const benchSeed = 20261204

// fleetSize holds the row counts of the tables in a benchmark.
type fleetSize struct {
	customers, budgets, endpoints, processes int
}

// benchFixture holds the control state of a process without its loop, sessions and
// clock.
type benchFixture struct {
	tb          testing.TB
	w           *world.World
	systems     []world.System
	now         table.Instant
	lastReplyID uint64
}

// tickInterval is the time between ticks. It makes periodic work as frequent in a
// benchmark as at about 1,000 ticks per second.
const tickInterval = table.Instant(time.Millisecond)

func newRouterFixture(tb testing.TB, size fleetSize) *benchFixture {
	f := newBenchFixture(tb, table.RoleRouter, routerSystems())
	f.addFleet(size)
	f.addBudgets(size.budgets, size.customers)
	f.tick()
	return f
}

func newBenchFixture(tb testing.TB, role table.Role, systems []world.System) *benchFixture {
	self := table.Process{
		Holder: table.Holder{Process: "self", Incarnation: benchSeed}, Role: role,
		Region: "region-0", Domain: "domain-0", State: table.ProcessLive,
	}
	w := world.New(world.Params{
		Self: self, LedgerShards: plannedShards, GrantLifetime: 30 * time.Minute, SettleInterval: 2 * time.Minute,
		AnswerRetention: 10 * time.Minute, DetachGrace: 10 * time.Second, DrainTimeout: time.Minute,
		HeartbeatInterval: heartbeatInterval, MaxDecisions: maxDecisions,
	}, benchSeed)
	w.Processes.Put("self", self)
	return &benchFixture{tb: tb, w: w, systems: systems, now: table.Instant(time.Hour)}
}

func (f *benchFixture) addFleet(size fleetSize) {
	config, err := (&Daemon{}).parseConfig(1, fleetYAML(size.customers))
	if err != nil {
		f.tb.Fatal(err)
	}
	event.ConfigReceived{Config: config}.AddTo(&f.w.In)
	for i := range size.processes {
		f.addProcess(i, size.processes)
	}
	for i := range size.endpoints {
		id := table.EndpointID(fmt.Sprintf("endpoint-%04d", i))
		f.w.Endpoints.Put(id, table.Endpoint{
			ID: id, Agent: newProcessID(i % max(1, size.processes)), Service: newServiceName(i % plannedServices),
			Slots: plannedSlots, Region: "region-0", Domain: "domain-0",
		})
	}
}

// addProcess adds a connected process. One in eleven processes is a router. Routers
// have the highest indexes because endpoints are assigned from the lowest.
func (f *benchFixture) addProcess(i, n int) {
	role := table.RoleAgent
	if i >= n-n/11 {
		role = table.RoleRouter
	}
	f.w.Processes.Put(newProcessID(i), table.Process{
		Holder: newHolder(i), Role: role, Region: fmt.Sprintf("region-%d", i%3), Domain: fmt.Sprintf("domain-%d", i%7),
		Address: fmt.Sprintf("10.0.%d.%d:7300", i/256, i%256), State: table.ProcessLive, Connected: true,
		LastHeard: table.Never / 2, PeerClockAt: f.now, PeerClock: f.now,
	})
}

func newProcessID(i int) table.ProcessID { return table.ProcessID(fmt.Sprintf("process-%03d", i)) }

func newHolder(i int) table.Holder {
	return table.Holder{Process: newProcessID(i), Incarnation: table.Incarnation(benchSeed + i)}
}

func newServiceName(i int) table.ServiceName { return table.ServiceName(fmt.Sprintf("model-%d", i)) }

func newCustomerID(i int) table.CustomerID { return table.CustomerID(fmt.Sprintf("customer-%04d", i)) }

func newBudgetID(i, customers int) table.BudgetID {
	return table.MakeBudgetID(newCustomerID(i%customers), fmt.Sprintf("shop-%06d", i/customers))
}

func newKeyHash(i int) table.KeyHash { return table.KeyHash{1: byte(i >> 8), 2: byte(i)} }

// addBudgets gives the router a large grant of each budget and fills the contents of
// the shards, which hold one grant per budget.
func (f *benchFixture) addBudgets(n, customers int) {
	for i := range n {
		f.addBudget(newBudgetID(i, customers))
	}
	f.w.Shards.Each(func(_ table.ShardID, s *table.Shard) { s.ContentKnown, s.Version, s.WrittenAt = true, 1, f.now })
}

func (f *benchFixture) addBudget(id table.BudgetID) {
	const grantedTokens = table.Tokens(1 << 50)
	shard := ledger.ShardOf(f.w, id)
	f.w.Budgets.Put(id, table.Budget{
		ID: id, Shard: shard, Granted: grantedTokens, GrantExpiresAt: table.Never, LastUsedAt: f.now, SpendRate: table.DecayingRate{UpdatedAt: f.now},
	})
	f.w.BudgetTimers.Schedule(id, f.now.Add(f.w.Params.GrantLifetime/2))
	s := ledger.Shard(f.w, shard)
	s.GrantedBudgets.Add(id)
	row := s.Content.FindOrInsert(id)
	row.Deposited = 4 * grantedTokens
	row.Grants = []table.LedgerGrant{{Holder: f.w.Self(), Amount: grantedTokens}}
}

// tick posts events and runs the systems once.
func (f *benchFixture) tick(events ...event.Event) {
	f.now += tickInterval
	for _, e := range events {
		e.AddTo(&f.w.In)
	}
	f.w.Tick(f.now, f.systems)
}

func (f *benchFixture) clearOutbox() { f.w.ClearOutbox() }

// fleetYAML returns a configuration with the given number of customers, each with
// access to the four model services and the plain service.
func fleetYAML(customers int) string {
	var yaml strings.Builder
	yaml.WriteString("defaults:\n  quick_tokens: 400\n  concurrency: 100000\n  requests_per_second: 100000\n  burst: 100000\nservices:\n")
	var services []string
	for i := range plannedServices {
		services = append(services, string(newServiceName(i)))
		fmt.Fprintf(&yaml, "  - name: %s\n    kind: model\n", newServiceName(i))
	}
	services = append(services, "bookings")
	yaml.WriteString("  - name: bookings\n    kind: plain\n    operations:\n      - {name: book, idempotent: false, cost_tokens: 20}\ncustomers:\n")
	for i := range customers {
		hash := newKeyHash(i)
		fmt.Fprintf(&yaml, "  - id: %s\n    weight: 2\n    keys: [\"sha256:%s\"]\n    services: [%s]\n",
			newCustomerID(i), hex.EncodeToString(hash[:]), strings.Join(services, ", "))
	}
	return yaml.String()
}

// liveHeapBytes returns the size of the live heap in bytes.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

package routing_test

import (
	"fmt"
	"testing"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// newTwoYearFleet returns a router of the fleet size expected in two years: 600
// endpoints at 300 agents, 4 services and 310 customers.
func newTwoYearFleet() *harness {
	const agents, customers, services = 300, 310, 4
	h := newHarness(0, 0)
	for s := range services {
		name := table.ServiceName(fmt.Sprintf("model-%d", s))
		h.w.Services.Put(name, table.Service{Name: name, Kind: table.ServiceModel})
	}
	for c := range customers {
		id := table.CustomerID(fmt.Sprintf("customer-%d", c))
		customer := table.Customer{ID: id, Weight: 1, KeyHashes: []table.KeyHash{{1, byte(c), byte(c >> 8)}}}
		h.w.Budgets.Put(table.MakeBudgetID(id, "default"), table.Budget{GrantExpiresAt: table.Never})
		for s := range services {
			name := table.ServiceName(fmt.Sprintf("model-%d", s))
			customer.Services = append(customer.Services, name)
			h.w.Limits.Put(table.LimitsKey{Customer: id, Service: name}, table.Limits{
				MaxOutput: 4000, QuickTokens: 500, QuickSlotShare: 0.25,
			})
		}
		h.w.Customers.Put(id, customer)
	}
	for i := range agents {
		agent := table.Holder{Process: table.ProcessID(fmt.Sprintf("agent-%d", i)), Incarnation: 1}
		h.w.Processes.Put(agent.Process, table.Process{
			Holder: agent, Region: "west", Domain: "a", State: table.ProcessLive, Connected: true,
		})
		for e := range 2 {
			id := table.EndpointID(fmt.Sprintf("endpoint-%d-%d", i, e))
			h.w.Endpoints.Put(id, table.Endpoint{
				ID: id, Agent: agent.Process, Service: table.ServiceName(fmt.Sprintf("model-%d", (2*i+e)%services)),
				Slots: 16, Region: "west", Domain: "a",
			})
		}
	}
	return h
}

// serveOneRequest runs one request from its arrival to its end.
func serveOneRequest(h *harness, i int, now table.Instant) {
	customer := i % 310
	a := event.Arrival{
		Key: fmt.Sprintf("k%d", i), KeyHash: table.KeyHash{1, byte(customer), byte(customer >> 8)},
		Service: table.ServiceName(fmt.Sprintf("model-%d", i%4)), Kind: table.ServiceModel,
		PromptTokens: 100, MaxOutput: 300,
	}
	h.tick(now, a)
	d := h.takeDispatched()[0]
	h.tick(now.Add(100*time.Millisecond), event.FirstToken{Request: d.Request, Attempt: d.Attempt})
	const progressEvents = 3
	for p := range table.Tokens(progressEvents) {
		h.tick(now.Add(time.Duration(200+100*p)*time.Millisecond),
			event.AttemptProgress{Request: d.Request, Attempt: d.Attempt, DeliveredTokens: 10 * (p + 1)})
	}
	done := attemptEnd(d, event.AttemptDone, table.DidRun)
	done.DeliveredTokens = 40
	h.tick(now.Add(600*time.Millisecond), done)
	delete(h.replies, d.Request)
}

// BenchmarkSecondAtTwoYearSize measures one second of work at one router: 84
// requests and a heartbeat from each agent, with one event per tick. A daemon may
// spend 15 ms per second on control.
func BenchmarkSecondAtTwoYearSize(b *testing.B) {
	const requests, agents = 84, 300
	h := newTwoYearFleet()
	now, n := ms(1), 0
	for b.Loop() {
		for i := range agents {
			heartbeat := event.Heartbeat{}
			for e := range 2 {
				heartbeat.Endpoints = append(heartbeat.Endpoints, event.EndpointLoad{
					Endpoint: table.EndpointID(fmt.Sprintf("endpoint-%d-%d", i, e)), Slots: 16,
					FirstTokenTime: time.Duration(90+i%20) * time.Millisecond,
					TokenTime:      time.Duration(18+i%5) * time.Millisecond, Samples: uint64(n + 1),
				})
			}
			h.tick(now, heartbeat)
		}
		for range requests {
			now = now.Add(time.Second / requests)
			serveOneRequest(h, n, now)
			n++
		}
	}
	b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/second")
}

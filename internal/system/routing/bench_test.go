package routing_test

import (
	"fmt"
	"testing"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// twoYearSize returns a router of the fleet in two years: 600 endpoints of 300
// agents, 4 services and 310 customers.
func twoYearSize() *harness {
	const agents, customers, services = 300, 310, 4
	h := newHarness(0, 0)
	for s := range services {
		name := table.ServiceName(fmt.Sprintf("model-%d", s))
		h.w.Services.Put(name, table.Service{Name: name, Kind: table.ServiceModel})
	}
	for c := range customers {
		id := table.CustomerID(fmt.Sprintf("customer-%d", c))
		row := table.Customer{ID: id, Weight: 1, KeyHashes: []table.KeyHash{{1, byte(c), byte(c >> 8)}}}
		h.w.Budgets.Put(table.MakeBudgetID(id, "default"), table.Budget{Expires: table.Never})
		for s := range services {
			name := table.ServiceName(fmt.Sprintf("model-%d", s))
			row.Services = append(row.Services, name)
			h.w.Limits.Put(table.RuleKey{Customer: id, Service: name}, table.Limits{
				MaxOutput: 4000, QuickTokens: 500, QuickShare: 0.25,
			})
		}
		h.w.Customers.Put(id, row)
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

// serveAtSize runs one request from its arrival to its end.
func serveAtSize(h *harness, i int, now table.Instant) {
	customer := i % 310
	a := event.Arrival{
		Key: fmt.Sprintf("k%d", i), KeyHash: table.KeyHash{1, byte(customer), byte(customer >> 8)},
		Service: table.ServiceName(fmt.Sprintf("model-%d", i%4)), Kind: table.ServiceModel,
		PromptTokens: 100, MaxOutput: 300,
	}
	h.tick(now, a)
	d := h.takeSent()[0]
	h.tick(now.Add(100*time.Millisecond), event.FirstToken{Request: d.Request, Attempt: d.Attempt})
	const progresses = 3
	for p := range table.Tokens(progresses) {
		h.tick(now.Add(time.Duration(200+100*p)*time.Millisecond),
			event.Progress{Request: d.Request, Attempt: d.Attempt, Delivered: 10 * (p + 1)})
	}
	done := end(d, event.AttemptDone, table.DidRun)
	done.Delivered = 40
	h.tick(now.Add(600*time.Millisecond), done)
	delete(h.replies, d.Request)
}

// BenchmarkSecondAtTwoYearSize measures the work of one second at one router: 84
// requests and a heartbeat of each agent, an event per tick. The control overhead
// allowed to a daemon is 15 ms a second.
func BenchmarkSecondAtTwoYearSize(b *testing.B) {
	const requests, agents = 84, 300
	h := twoYearSize()
	now, n := ms(1), 0
	for b.Loop() {
		for i := range agents {
			beat := event.Heartbeat{}
			for e := range 2 {
				beat.Endpoints = append(beat.Endpoints, event.EndpointLoad{
					Endpoint: table.EndpointID(fmt.Sprintf("endpoint-%d-%d", i, e)), Slots: 16,
					FirstTokenTime: time.Duration(90+i%20) * time.Millisecond,
					TokenTime:      time.Duration(18+i%5) * time.Millisecond, Observed: uint64(n + 1),
				})
			}
			h.tick(now, beat)
		}
		for range requests {
			now = now.Add(time.Second / requests)
			serveAtSize(h, n, now)
			n++
		}
	}
	b.ReportMetric(float64(b.Elapsed().Milliseconds())/float64(b.N), "ms/second")
}

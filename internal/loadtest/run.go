package loadtest

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

const (
	service = table.ServiceName("model")
	// longService is the service of the endpoints that are dedicated to long requests.
	longService = table.ServiceName("model-long")
	customer    = table.CustomerID("c")
	// networkDelay is the one-way delay between routers, agents and callers.
	networkDelay = time.Millisecond
	// heartbeatInterval is the interval of the agents' heartbeats.
	heartbeatInterval = time.Second
)

// router is the interface of systemRouter and naiveRouter.
type router interface {
	// handle processes the events that arrive at an instant and returns the attempts to
	// send.
	handle(now table.Instant, events ...event.Event) []command.Dispatch
	nextWake() table.Instant
}

// request is the caller's view of a request.
type request struct {
	id            table.RequestID
	router        int
	arrivedAt     time.Duration
	prompt        table.Tokens
	output        table.Tokens
	long          bool
	started       bool
	gotFirstToken bool
	measured      bool
}

// run is the state of a discrete-event simulation in virtual time.
type run struct {
	Scenario
	rand           *rand.Rand
	now            time.Duration
	events         eventQueue
	lastSequence   int
	routers        []router
	scheduledWakes []table.Instant
	agents         []*agent
	agentsByID     map[table.EndpointID]*agent
	requests       map[table.RequestID]*request
	result         *Result
}

// scheduledEvent is an action to run at a virtual time. Events with equal times run in
// the order in which they were scheduled.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	action   func()
}

// eventQueue is a min-heap of events, for container/heap.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// RunSystems runs the scenario with routers that run the production systems.
func RunSystems(s Scenario) *Result {
	return simulate(s, newSystemRouter)
}

// RunNaive runs the scenario with naive routers and with queues at the endpoints.
func RunNaive(s Scenario) *Result {
	s.QueueAtEndpoint = true
	return simulate(s, newNaiveRouter)
}

func simulate(s Scenario, newRouter func(*run, int) router) *Result {
	r := &run{
		Scenario: s, rand: rand.New(rand.NewPCG(s.Seed, 0)), agentsByID: map[table.EndpointID]*agent{},
		requests: map[table.RequestID]*request{}, result: newResult(),
	}
	for i := range s.Endpoints {
		r.addAgent(i)
	}
	for i := range s.Routers {
		r.routers = append(r.routers, newRouter(r, i))
		r.scheduledWakes = append(r.scheduledWakes, table.Never)
	}
	r.scheduleArrival()
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(scheduledEvent)
		if e.at > s.Duration {
			break
		}
		r.now = e.at
		e.action()
	}
	return r.result
}

// schedule runs action after a delay in virtual time.
func (r *run) schedule(delay time.Duration, action func()) {
	r.lastSequence++
	heap.Push(&r.events, scheduledEvent{r.now + delay, r.lastSequence, action})
}

// instant returns the virtual time for routers, offset by 1 because an Instant of 0 means
// unset.
func (r *run) instant() table.Instant { return table.Instant(r.now) + 1 }

// deliver passes events to a router and dispatches the attempts that it returns.
func (r *run) deliver(i int, events ...event.Event) {
	for _, d := range r.routers[i].handle(r.instant(), events...) {
		if r.requests[d.Request].measured {
			r.result.Attempts++
		}
		r.schedule(networkDelay, func() { r.agentsByID[d.Endpoint].dispatch(i, d) })
	}
	r.scheduleWake(i)
}

// scheduleWake schedules a call of the router at its next wake-up time, unless one is
// scheduled for that time already.
func (r *run) scheduleWake(i int) {
	wake := r.routers[i].nextWake()
	if wake == table.Never || wake == r.scheduledWakes[i] {
		return
	}
	r.scheduledWakes[i] = wake
	r.schedule(max(0, wake.Sub(r.instant())), func() {
		if r.scheduledWakes[i] == wake {
			r.scheduledWakes[i] = table.Never
			r.deliver(i)
		}
	})
}

// scheduleArrival schedules the next request. The offered load depends only on the
// scenario and its seed, so that both kinds of router get the same requests.
func (r *run) scheduleArrival() {
	rate := r.Rate * (r.LongShare + (1-r.LongShare)*r.rateFactor(r.now))
	gap := time.Duration(r.rand.ExpFloat64() / rate * float64(time.Second))
	r.schedule(gap, func() {
		req := r.newRequest(rate)
		r.schedule(networkDelay, func() { r.deliver(req.router, r.arrivalEvent(req)) })
		r.scheduleArrival()
	})
}

func (r *run) newRequest(rate float64) *request {
	req := &request{
		id:     table.MakeRequestID(customer, strconv.Itoa(len(r.requests))),
		router: r.rand.IntN(r.Routers), arrivedAt: r.now, long: r.rand.Float64() < r.Rate*r.LongShare/rate,
		prompt: 100 + table.Tokens(r.rand.IntN(300)), output: 20 + table.Tokens(r.rand.IntN(40)),
		measured: r.now >= r.WarmUp && r.now < r.Duration-coolDown,
	}
	if req.long {
		req.prompt, req.output = 20*req.prompt, 50*req.output
	}
	r.requests[req.id] = req
	r.result.countRequest(req)
	return req
}

func (r *run) arrivalEvent(req *request) event.Arrival {
	arrival := event.Arrival{
		Key: req.id.Key(), Service: service, Kind: table.ServiceModel, PromptTokens: req.prompt, MaxOutput: 2 * req.output,
	}
	if !req.long {
		arrival.FirstTokenDeadline = r.Deadline
	} else if r.LongEndpoints > 0 {
		arrival.Service = longService
	}
	return arrival
}

// recordStart records the time until a request got its first slot.
func (r *run) recordStart(req *request) {
	waitTimes := r.result.QuickWait
	if req.long {
		waitTimes = r.result.LongWait
	}
	if !req.started && req.measured {
		_ = waitTimes.RecordValue((r.now - req.arrivedAt).Microseconds())
	}
	req.started = true
}

// recordFirstToken records the time until the first token of a request reached its caller.
func (r *run) recordFirstToken(req *request) {
	if !req.gotFirstToken && req.measured {
		r.result.recordFirstToken(req, r.now-req.arrivedAt, r.Deadline)
	}
	req.gotFirstToken = true
}

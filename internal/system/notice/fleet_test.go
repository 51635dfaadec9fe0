package notice_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/notice"
	"laburnumroad.dev/laburnumroad/internal/system/peers"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	step = 10 * time.Millisecond
	// An endpoint that names a limit may get limitExcess times what it allows in any
	// limitWindow, and limitAllowance requests, from toldDelay after a router has heard it.
	limitWindow    = 4 * time.Second
	limitExcess    = 1.5
	limitAllowance = 5
	toldDelay      = 500 * time.Millisecond
	endpointID     = table.EndpointID("m1")
)

// fleet simulates routers that send to one endpoint as often as it admits them.
type fleet struct {
	rand    *rand.Rand
	now     table.Instant
	routers []*router
	session uint64
	// limit is what the endpoint names; it names none if it is negative.
	limit   float64
	namedAt table.Instant
	arrived []arrival
	served  int
	// cut keeps sessions from opening.
	cut bool
}

type arrival struct {
	at     table.Instant
	router *router
}

type router struct {
	process  table.Process
	world    *world.World
	inbox    []event.Event
	sessions map[table.ProcessID]uint64
	next     table.ExchangeID
	pending  []answer
	// demand is how many requests a second the router would send.
	demand float64
	// toldAt is when the router first passed on an answer that names the limit, or 0.
	toldAt table.Instant
}

// answer is an answer of the endpoint on its way to a router.
type answer struct {
	due, said table.Instant
	exchange  table.ExchangeID
	limit     float64
}

// stable returns the time after which the limits of a deployment of a size hold.
func stable(routers int) time.Duration {
	if routers > 60 {
		return 5 * time.Second
	}
	return 3 * time.Second
}

func newFleet(seed uint64, routers int, demand float64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), now: table.Instant(time.Second), limit: -1}
	for i := range routers {
		f.routers = append(f.routers, &router{
			process: table.Process{Holder: table.Holder{Process: table.ProcessID(fmt.Sprintf("edge-%03d", i))}, Domain: fmt.Sprintf("d%d", i%3), Cores: 0.8},
			demand:  demand * 2 * f.rand.Float64(),
		})
	}
	for _, r := range f.routers {
		f.start(r)
	}
	f.run(2 * time.Second)
	return f
}

// start begins a new process of a router, whose sessions open at once.
func (f *fleet) start(r *router) {
	f.disconnect(r)
	r.process.Incarnation++
	r.inbox, r.pending, r.toldAt, r.sessions = nil, nil, 0, make(map[table.ProcessID]uint64)
	r.world = world.New(world.Params{Self: r.process, Front: world.FrontParams{PeerAddress: string(r.process.Process)}}, uint64(r.process.Incarnation))
	r.world.PlatformReachable = true
	r.world.DirectEndpoints.Put(endpointID, table.DirectEndpoint{ID: endpointID, Service: "model", StartedUnixMilli: 1})
	for _, other := range f.routers {
		f.register(other, r)
		f.register(r, other)
	}
}

func (f *fleet) register(at, r *router) {
	if at.world == nil {
		return
	}
	view := &at.world.LimitLedgerView
	view.ContentKnown, view.RouterCount = true, len(f.routers)
	view.Content.Holders = slices.DeleteFunc(view.Content.Holders, func(h table.LimitHolder) bool { return h.Process == r.process.Process })
	view.Content.Holders = append(view.Content.Holders, table.LimitHolder{Holder: r.process.Holder, Address: string(r.process.Process)})
	at.world.FleetGeneration++
}

func (f *fleet) find(id table.ProcessID) *router {
	return f.routers[slices.IndexFunc(f.routers, func(r *router) bool { return r.process.Process == id })]
}

func (f *fleet) connect(a, b *router) {
	if f.cut || a == b || a.sessions[b.process.Process] != 0 {
		return
	}
	for _, pair := range [][2]*router{{a, b}, {b, a}} {
		f.session++
		pair[0].sessions[pair[1].process.Process] = f.session
		pair[0].inbox = append(pair[0].inbox, event.SessionOpened{Session: f.session, Process: pair[1].process})
	}
}

// disconnect ends all sessions of a router, as a reset does.
func (f *fleet) disconnect(r *router) {
	for id, session := range r.sessions {
		other := f.find(id)
		r.inbox = append(r.inbox, event.SessionClosed{Session: session, Peer: other.process.Holder})
		other.inbox = append(other.inbox, event.SessionClosed{Session: other.sessions[r.process.Process], Peer: r.process.Holder})
		delete(other.sessions, r.process.Process)
	}
	clear(r.sessions)
}

func (f *fleet) name(limit float64) {
	f.limit, f.namedAt = limit, f.now
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		for _, r := range f.routers {
			f.tick(r)
		}
	}
}

func (f *fleet) tick(r *router) {
	r.pending = slices.DeleteFunc(r.pending, func(a answer) bool {
		if a.due > f.now {
			return false
		}
		if a.limit >= 0 && r.toldAt == 0 {
			r.toldAt = f.now
		}
		r.inbox = append(r.inbox, event.DirectAttemptEnd{Exchange: a.exchange, Attempt: 1, Status: event.DirectAnswered, Notice: event.EndpointNotice{
			Present: true, RateLimited: a.limit >= 0, RateLimit: max(0, a.limit), Age: f.now.Sub(a.said),
		}})
		return true
	})
	// A few requests arrive in each step.
	wanted := 0
	for range 3 {
		if f.rand.Float64() < r.demand*step.Seconds()/3 {
			wanted++
		}
	}
	if len(r.inbox) == 0 && wanted == 0 && r.world.NextWake() > f.now && r.world.Now != 0 {
		return
	}
	for _, e := range r.inbox {
		e.AddTo(&r.world.In)
	}
	r.inbox = nil
	send := world.SystemFunc(func(w *world.World) {
		for range wanted {
			if admits(w, endpointID) {
				notice.Take(w, endpointID)
				f.send(r)
			}
		}
	})
	r.world.Tick(f.now, []world.System{world.SystemFunc(notice.Run), world.SystemFunc(peers.Run), send})
	out := r.world.Out
	r.world.ClearOutbox()
	for _, c := range out.Dials {
		if c.Address != "dead" {
			f.connect(r, f.find(c.Process))
		}
	}
	for _, c := range out.RouterReports {
		c.Report.From = r.process.Holder
		for id := range r.sessions {
			other := f.find(id)
			other.inbox = append(other.inbox, c.Report)
		}
	}
}

// send lets a request arrive at the endpoint, which answers after a while.
func (f *fleet) send(r *router) {
	r.next++
	r.world.Exchanges.Put(r.next, table.Exchange{ID: r.next, Attempt: 1, Endpoint: endpointID, State: table.ExchangeRunning})
	f.served++
	if r.toldAt != 0 && f.now.Sub(r.toldAt) >= toldDelay {
		f.arrived = append(f.arrived, arrival{f.now, r})
	}
	said := f.now.Add(time.Duration(f.rand.IntN(20)) * step)
	r.pending = append(r.pending, answer{due: said.Add(time.Duration(f.rand.IntN(100)) * step), said: said, exchange: r.next, limit: f.limit})
}

// requireLimit fails if the endpoint got more than a limit allows in some window that
// begins when the limit holds.
func (f *fleet) requireLimit(t require.TestingT, limit float64) {
	from := f.namedAt.Add(stable(len(f.routers)))
	for i := range f.arrived {
		if f.arrived[i].at < from {
			continue
		}
		count := 0
		for _, a := range f.arrived[i:] {
			if a.at.Sub(f.arrived[i].at) < limitWindow {
				count++
			}
		}
		require.LessOrEqual(t, float64(count), limitExcess*limit*limitWindow.Seconds()+limitAllowance, "%d routers, limit %v", len(f.routers), limit)
	}
}

// Guards against fleets whose routers together send more than a limit allows, or leave
// much of it unused while all have requests.
func TestFleetKeepsToLimitAndUsesIt(t *testing.T) {
	for _, routers := range []int{1, 3, 29, 103} {
		for _, limit := range []float64{0.05, 1.2, 6, 40} {
			f := newFleet(uint64(routers), routers, max(3, 2*limit))
			f.name(limit)
			f.run(stable(routers))
			served := f.served
			f.run(20 * time.Second)
			f.requireLimit(t, limit)
			require.GreaterOrEqual(t, float64(f.served-served), 0.7*limit*20, "%d routers, limit %v", routers, limit)
		}
	}
}

// Guards against routers that take the shares of all others because no session with them
// is open for a while.
func TestRoutersWithoutSessionsKeepTheirShares(t *testing.T) {
	for _, routers := range []int{3, 29, 103} {
		f := newFleet(1, routers, 3)
		f.name(1.2)
		f.run(stable(routers))
		f.cut = true
		for _, r := range f.routers {
			f.disconnect(r)
		}
		f.run(10 * time.Second)
		f.requireLimit(t, 1.2)
	}
}

// Guards against shares that nobody uses because most routers in the ledger are dead: the
// entries of hosts that were replaced stay there.
func TestSharesOfDeadRoutersAreUsed(t *testing.T) {
	f := newFleet(1, 3, 6)
	for _, r := range f.routers {
		for i := range 60 {
			r.world.LimitLedgerView.Content.Holders = append(r.world.LimitLedgerView.Content.Holders, table.LimitHolder{
				Holder: table.Holder{Process: table.ProcessID(fmt.Sprintf("dead-%d", i)), Incarnation: 1}, Address: "dead",
			})
		}
		r.world.FleetGeneration++
	}
	f.run(time.Minute)
	f.name(1.2)
	f.run(stable(3))
	served := f.served
	f.run(20 * time.Second)
	f.requireLimit(t, 1.2)
	require.GreaterOrEqual(t, float64(f.served-served), 0.7*1.2*20)
}

// Guards against a limit that outlives the endpoint's word: it is lifted soon after the
// endpoint names none any more.
func TestLimitEndsWhenEndpointNamesNone(t *testing.T) {
	for _, routers := range []int{3, 29, 103} {
		f := newFleet(1, routers, 3)
		f.name(1.2)
		f.run(10 * time.Second)
		f.name(-1)
		f.run(10 * time.Second)
		for _, r := range f.routers {
			require.True(t, admits(r.world, endpointID), "%d routers, %s", routers, r.process.Process)
		}
	}
}

// Guards against limits that are exceeded while routers restart, sessions are reset and
// the limit changes. Restarts excuse a router until it hears the limit again.
func TestFleetKeepsToLimitUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{3, 7, 29}).Draw(t, "routers")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), routers, rapid.SampledFrom([]float64{0.5, 3, 10}).Draw(t, "demand"))
		limit := rapid.SampledFrom([]float64{0, 0.3, 1.3, 5}).Draw(t, "limit")
		f.name(limit)
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			r := f.routers[rapid.IntRange(0, routers-1).Draw(t, "router")]
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				f.disconnect(r)
			case 1:
				f.start(r)
			case 2:
				for _, r := range f.routers {
					f.disconnect(r)
				}
			}
			f.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "wait")) * step)
		}
		f.run(limitWindow)
		f.requireLimit(t, limit)
	})
}

// Guards against what an endpoint's earlier process said, or an older word of another
// router, that replaces what the endpoint says now.
func TestOlderWordDoesNotReplaceLaterOne(t *testing.T) {
	f := newFleet(1, 3, 0)
	r := f.routers[0]
	say := func(limit float64, age time.Duration, started int64) {
		r.inbox = append(r.inbox, event.RouterReport{From: f.routers[1].process.Holder, Notices: []event.ReportedNotice{
			{Endpoint: endpointID, StartedUnixMilli: started, RateLimited: limit >= 0, RateLimit: max(0, limit), Age: age},
		}})
		f.run(step)
	}
	limited := func() bool {
		n := r.world.EndpointNotices.Get(endpointID)
		return n != nil && n.RateLimited
	}
	say(1.2, time.Second, 1)
	require.True(t, limited())
	say(-1, 2*time.Second, 1)
	require.True(t, limited(), "an older word")
	say(-1, 0, 0)
	require.True(t, limited(), "the word of an earlier process")
	say(-1, 0, 1)
	require.False(t, limited())
	say(1.2, -time.Second, 1)
	require.False(t, limited(), "a word from the future")
	say(1.2, 0, 1)
	r.world.DirectEndpoints.Get(endpointID).StartedUnixMilli = 2
	f.run(time.Second)
	require.True(t, admits(r.world, endpointID), "a new process has not named a limit")
}

// admits reports whether an endpoint takes a request of a router now.
func admits(w *world.World, id table.EndpointID) bool {
	in, hasShare := notice.AdmitsIn(w, id)
	return hasShare && in <= 0
}

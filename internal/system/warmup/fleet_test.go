package warmup_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/catalog"
	"laburnumroad.dev/laburnumroad/internal/system/eligibility"
	"laburnumroad.dev/laburnumroad/internal/system/peers"
	"laburnumroad.dev/laburnumroad/internal/system/warmup"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	step       = 10 * time.Millisecond
	overshoot  = 1.5
	allowance  = 5
	coldTime   = 3 * time.Second
	endpointID = table.EndpointID("m1")
	// silence is how long a router without news may not know that an endpoint has started.
	silence = 3500 * time.Millisecond
)

// fleet simulates routers that send to one endpoint whenever they may.
type fleet struct {
	rand    *rand.Rand
	now     table.Instant
	rate    float64
	routers []*router
	session uint64
	ledger  []table.LimitHolder
	// The endpoint's process, when it accepts connections and until when it is cold.
	born      int64
	down      bool
	coldUntil table.Instant
	// arrived are the requests while it was cold, of routers that could know it; sent
	// counts all.
	arrived []table.Instant
	sent    int
}

type router struct {
	process  table.Process
	world    *world.World
	inbox    []event.Event
	sessions map[table.ProcessID]uint64
	next     table.ExchangeID
	// storeCut and peersCut are links that don't work; cutAt is since when neither does.
	storeCut, peersCut bool
	cutAt              table.Instant
	toldBorn           int64
	toldCold           table.Instant
}

func newFleet(seed uint64, routers int, rate float64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), now: table.Instant(time.Second), rate: rate, born: 1}
	for i := range routers {
		r := &router{process: table.Process{Holder: table.Holder{Process: table.ProcessID(fmt.Sprintf("edge-%03d", i))}, Domain: fmt.Sprintf("d%d", i%3), Cores: 0.8}}
		f.routers = append(f.routers, r)
		f.start(r)
	}
	f.run(3 * time.Second)
	return f
}

// start begins a new process of a router. It learns the endpoints and the ledger if the store
// answers it.
func (f *fleet) start(r *router) {
	f.disconnect(r)
	r.process.Incarnation++
	r.inbox, r.sessions, r.toldBorn, r.toldCold = nil, make(map[table.ProcessID]uint64), 0, 0
	r.world = world.New(world.Params{Self: r.process, Front: world.FrontParams{
		PeerAddress: string(r.process.Process), ColdOvershoot: overshoot, ColdAllowance: allowance,
	}}, uint64(r.process.Incarnation))
	r.world.DirectServices.Put("model", table.DirectService{Name: "model", ColdTime: coldTime, ColdRate: f.rate})
	r.world.LimitLedgerView.RegisteredAt = f.now
	if !r.storeCut {
		f.register(r)
		f.tell(r)
	}
}

// register writes a router's entry, which replaces that of its former process.
func (f *fleet) register(r *router) {
	f.leave(r)
	f.ledger = append(f.ledger, table.LimitHolder{Holder: r.process.Holder, Address: string(r.process.Process)})
	f.tellLedger()
}

func (f *fleet) leave(r *router) {
	f.ledger = slices.DeleteFunc(slices.Clone(f.ledger), func(h table.LimitHolder) bool { return h.Process == r.process.Process })
	f.tellLedger()
}

func (f *fleet) tellLedger() {
	for _, r := range f.routers {
		if r.world != nil && !r.storeCut {
			view := &r.world.LimitLedgerView
			view.ContentKnown, view.RouterCount, view.Content.Holders = true, len(f.ledger), f.ledger
			r.world.FleetGeneration++
		}
	}
}

// tell lists the endpoint at a router.
func (f *fleet) tell(r *router) {
	r.toldBorn, r.toldCold = f.born, f.coldUntil
	r.inbox = append(r.inbox, event.EndpointChanges{Present: []event.EndpointEntry{{
		ID: endpointID, Service: "model", Address: "10.0.0.1:1", Slots: 64, StartedUnixMilli: f.born, ColdKnown: true, ColdLeft: max(0, f.coldUntil.Sub(f.now)),
	}}})
}

// informed reports whether a router gets news of the store, itself or by others.
func (f *fleet) informed(r *router) bool {
	return !r.storeCut || !r.peersCut && slices.ContainsFunc(f.routers, func(o *router) bool { return !o.storeCut && !o.peersCut })
}

func (f *fleet) tellAll() {
	for _, r := range f.routers {
		if f.informed(r) {
			f.tell(r)
		}
	}
}

// restartEndpoint ends the endpoint's process; the next one is cold.
func (f *fleet) restartEndpoint(down, cold time.Duration) {
	f.down, f.coldUntil = true, 0
	f.run(down)
	f.down, f.born, f.coldUntil = false, f.born+1, f.now.Add(cold)
	f.tellAll()
}

func (f *fleet) turnCold(cold time.Duration) {
	f.coldUntil = f.now.Add(cold)
	f.tellAll()
}

// cut sets which links of a router work, and lets it catch up.
func (f *fleet) cut(r *router, store, peers bool) {
	wasCut := r.storeCut && r.peersCut
	if store && !r.storeCut {
		r.inbox = append(r.inbox, event.PlatformState{Reachable: false})
	}
	r.storeCut, r.peersCut = store, peers
	if peers {
		f.disconnect(r)
	}
	if store && peers {
		if !wasCut {
			r.cutAt = f.now
		}
		return
	}
	r.cutAt = 0
	if !store {
		r.inbox = append(r.inbox, event.PlatformState{Reachable: true})
		if !slices.ContainsFunc(f.ledger, func(h table.LimitHolder) bool { return h.Holder == r.process.Holder }) {
			f.register(r)
		}
		f.tellLedger()
	}
	if f.informed(r) {
		f.tell(r)
	}
}

func (f *fleet) find(id table.ProcessID) *router {
	return f.routers[slices.IndexFunc(f.routers, func(r *router) bool { return r.process.Process == id })]
}

func (f *fleet) connect(a, b *router) {
	if a == b || a.peersCut || b.peersCut || a.sessions[b.process.Process] != 0 {
		return
	}
	for _, pair := range [][2]*router{{a, b}, {b, a}} {
		f.session++
		pair[0].sessions[pair[1].process.Process] = f.session
		pair[0].inbox = append(pair[0].inbox, event.SessionOpened{Session: f.session, Process: pair[1].process})
	}
}

func (f *fleet) disconnect(r *router) {
	for id, session := range r.sessions {
		other := f.find(id)
		r.inbox = append(r.inbox, event.SessionClosed{Session: session, Peer: other.process.Holder})
		other.inbox = append(other.inbox, event.SessionClosed{Session: other.sessions[r.process.Process], Peer: r.process.Holder})
		delete(other.sessions, r.process.Process)
	}
	clear(r.sessions)
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		for _, r := range f.routers {
			f.tick(r)
		}
	}
}

func (f *fleet) tick(r *router) {
	if !r.storeCut && f.now%table.Instant(time.Second) == 0 {
		r.inbox = append(r.inbox, event.PlatformState{Reachable: true})
	}
	for _, e := range r.inbox {
		e.AddTo(&r.world.In)
	}
	r.inbox = nil
	send := world.SystemFunc(func(w *world.World) {
		// As many as ever is sent to an endpoint that is not limited.
		for range 2 {
			e := w.DirectEndpoints.Get(endpointID)
			if e == nil || !eligibility.Check(w, nil, e).Allowed() {
				return
			}
			eligibility.Take(w, e)
			f.send(r)
		}
	})
	r.world.Tick(f.now, []world.System{world.SystemFunc(catalog.Run), world.SystemFunc(warmup.Run), world.SystemFunc(peers.Run), send})
	out := r.world.Out
	r.world.ClearOutbox()
	for _, c := range out.Dials {
		f.connect(r, f.find(c.Process))
	}
	for _, c := range out.RouterReports {
		c.Report.From = r.process.Holder
		for id := range r.sessions {
			other := f.find(id)
			other.inbox = append(other.inbox, c.Report)
		}
	}
}

// send lets a request arrive at the endpoint. Every router has attempts open there, so an
// endpoint that is down shows at once.
func (f *fleet) send(r *router) {
	r.next++
	r.world.Exchanges.Put(r.next, table.Exchange{ID: r.next, Attempt: 1, Endpoint: endpointID, State: table.ExchangeRunning, AttemptSentAt: f.now})
	if f.down {
		r.inbox = append(r.inbox, event.DirectAttemptEnd{Exchange: r.next, Attempt: 1, Status: event.DirectNotSent})
		return
	}
	f.sent++
	r.inbox = append(r.inbox, event.DirectAttemptEnd{Exchange: r.next, Attempt: 1, Status: event.DirectAnswered})
	told := r.toldBorn == f.born && r.toldCold == f.coldUntil
	silent := r.cutAt != 0 && f.now.Sub(r.cutAt) > silence+step
	if f.now < f.coldUntil && (told || silent) {
		f.arrived = append(f.arrived, f.now)
	}
}

// requireBound fails if the endpoint got more than it bears in some second.
func (f *fleet) requireBound(t require.TestingT) {
	bound := int(math.Floor(f.rate*overshoot + allowance))
	for i := range f.arrived {
		if i >= bound {
			require.GreaterOrEqual(t, f.arrived[i].Sub(f.arrived[i-bound]), time.Second, "%d routers, rate %v, at %v", len(f.routers), f.rate, f.arrived[i])
		}
	}
}

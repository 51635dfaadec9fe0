package link_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/link"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	step = 2 * time.Millisecond
	// headerBytes is what headers add to a body on the link.
	headerBytes = 600
	// checkInterval is the interval of the load balancer's checks of a router.
	checkInterval = time.Second
	reportPeriod  = 500 * time.Millisecond
	// listenTime is how long clients let a request wait unread.
	listenTime = time.Second
)

// The routes of the plays: an urgent chat, a small call with a tight objective and a long
// document that is the least urgent.
var (
	chat     = &table.Route{Name: "chat", LatencyObjective: 400 * time.Millisecond, Priority: 0}
	unlock   = &table.Route{Name: "unlock", LatencyObjective: 120 * time.Millisecond, Priority: 2}
	document = &table.Route{Name: "document", LatencyObjective: 1500 * time.Millisecond, Priority: 2}
	routes   = []*table.Route{chat, chat, chat, chat, chat, unlock, unlock, unlock, document, document}
	bodies   = map[*table.Route]int{chat: 800, unlock: 600, document: 12000}
	answers  = map[*table.Route]int{chat: 4200, unlock: 800, document: 5500}
)

// host is a router whose link has a rate in bytes per second and a queue in bytes. With
// immediate, the router decides as if it knew only the bodies, and leaves the rotation
// only when its link is congested: the baseline.
type host struct {
	w         *world.World
	rate      float64
	queue     float64
	immediate bool
	misses    int
	down      bool
	nextID    table.ExchangeID
	left      int
}

func newHost(name string, rate float64) *host {
	w := world.New(world.Params{Self: table.Process{Holder: table.Holder{Process: table.ProcessID(name)}, Domain: "a"},
		Front: world.FrontParams{LinkBytesPerSecond: rate}}, 1)
	for _, r := range []*table.Route{chat, unlock, document} {
		w.Manifest.Routes = append(w.Manifest.Routes, *r)
	}
	return &host{w: w, rate: rate}
}

func (h *host) tick(now table.Instant) {
	out := h.w.Link.OutOfRotation
	h.w.Tick(now, []world.System{world.SystemFunc(link.Run)})
	if !out && h.w.Link.OutOfRotation {
		h.left++
	}
}

// arrive lets a request cross the link, and reports whether it is admitted and how long it waited.
func (h *host) arrive(r *table.Route) (admitted bool, waited time.Duration) {
	waited = time.Duration(h.queue / h.rate * float64(time.Second))
	h.queue += float64(bodies[r] + headerBytes)
	if waited > listenTime || !link.Admit(h.w, r, bodies[r]) {
		return false, waited
	}
	h.queue += float64(answers[r])
	if h.immediate {
		return true, waited
	}
	h.nextID++
	h.w.Exchanges.Put(h.nextID, table.Exchange{ID: h.nextID, Route: r.Name, Attempt: 1})
	event.DirectAttemptEnd{Exchange: h.nextID, Attempt: 1, Status: event.DirectAnswered, AnswerBytes: int64(answers[r])}.AddTo(&h.w.In)
	return true, waited
}

// domain is a failure domain of routers behind a load balancer that chooses by client.
type domain struct {
	hosts []*host
	rand  *rand.Rand
	now   table.Instant
}

// newDomain returns a router for each rate of a link.
func newDomain(immediate bool, rates ...float64) *domain {
	d := &domain{rand: rand.New(rand.NewPCG(20261204, 7)), now: table.Instant(time.Second)}
	for i, rate := range rates {
		d.hosts = append(d.hosts, newHost(string(rune('a'+i)), rate))
		d.hosts[i].immediate = immediate
	}
	if !immediate {
		d.report()
	}
	return d
}

// report tells each router which others have a full link.
func (d *domain) report() {
	for _, h := range d.hosts {
		for _, other := range d.hosts {
			if other != h {
				id := other.w.Self()
				h.w.RouterPeers.Put(id.Process, table.RouterPeer{Holder: id, Domain: "a", Connected: true, LinkFull: link.IsFull(other.w)})
			}
		}
	}
}

// check is the load balancer's check of each router.
func (d *domain) check() {
	for _, h := range d.hosts {
		if h.misses++; !h.w.Link.OutOfRotation {
			h.misses = 0
		}
		h.down = h.misses >= 2
	}
}

// choose returns the first router in rotation from the client's own on, of all routers if
// fewer than half are in rotation.
func (d *domain) choose(client int) *host {
	var usable []*host
	for _, h := range d.hosts {
		if !h.down {
			usable = append(usable, h)
		}
	}
	if 2*len(usable) < len(d.hosts) {
		usable = d.hosts
	}
	for i := range d.hosts {
		if h := d.hosts[(client+i)%len(d.hosts)]; slices.Contains(usable, h) {
			return h
		}
	}
	return nil
}

// play lets one customer send requests from one client, on top of other clients, for a
// time, and returns the shares of the requests by route that were on time. A request that
// is refused comes back once, at another router.
func (d *domain) play(period time.Duration, perSecond, others float64) map[*table.Route]float64 {
	onTime, total := make(map[*table.Route]float64), make(map[*table.Route]float64)
	start := d.now
	for ; d.now.Sub(start) < period; d.now = d.now.Add(step) {
		elapsed := d.now.Sub(start)
		for _, h := range d.hosts {
			h.queue = max(0, h.queue-h.rate*step.Seconds())
			h.tick(d.now)
		}
		if elapsed%checkInterval == 0 {
			d.check()
		}
		if elapsed%reportPeriod == 0 && !d.hosts[0].immediate {
			d.report()
		}
		for _, c := range []struct {
			client int
			rate   float64
		}{{0, perSecond}, {1 + d.rand.IntN(len(d.hosts)), others}} {
			if d.rand.Float64() >= c.rate*step.Seconds() {
				continue
			}
			r := routes[d.rand.IntN(len(routes))]
			total[r]++
			h := d.choose(c.client)
			admitted, waited := h.arrive(r)
			if !admitted {
				var again time.Duration
				admitted, again = d.choose(c.client + 1 + d.rand.IntN(len(d.hosts)-1)).arrive(r)
				waited += again + link.RetryAfter
			}
			// The answer crosses the link's queue as well.
			if admitted && 2*waited < r.LatencyObjective {
				onTime[r]++
			}
		}
	}
	for r := range total {
		onTime[r] /= total[r]
	}
	return onTime
}

const (
	smallLink = 1.25e6
	largeLink = 25e6
)

// Guards against requests that wait in the link of the one router that a large customer's
// clients enter, while the others idle: the demand is a twelfth of what the domain carries.
func TestDemandThatEntersOneRouterIsServedByOthers(t *testing.T) {
	before := newDomain(true, smallLink, largeLink, smallLink, smallLink, smallLink).play(30*time.Second, 300, 40)
	d := newDomain(false, smallLink, largeLink, smallLink, smallLink, smallLink)
	after := d.play(30*time.Second, 300, 40)
	t.Logf("on time: chat %.2f before, %.2f after; unlock %.2f, %.2f; document %.2f, %.2f", before[chat], after[chat], before[unlock], after[unlock], before[document], after[document])
	for _, r := range []*table.Route{chat, unlock, document} {
		require.Greater(t, after[r], 0.85, r.Name)
		require.Greater(t, after[r], before[r], r.Name)
	}
	require.LessOrEqual(t, d.hosts[0].left, 3, "the clients move back and forth")
}

// Guards against early leaving that makes an overload worse which wanders: no router of the
// domain carries the customer's demand alone.
func TestDemandThatNoRouterCarriesAlone(t *testing.T) {
	before := newDomain(true, smallLink, smallLink, smallLink, smallLink, smallLink).play(30*time.Second, 250, 40)
	after := newDomain(false, smallLink, smallLink, smallLink, smallLink, smallLink).play(30*time.Second, 250, 40)
	t.Logf("on time: chat %.2f before, %.2f after; unlock %.2f, %.2f; document %.2f, %.2f", before[chat], after[chat], before[unlock], after[unlock], before[document], after[document])
	for _, r := range []*table.Route{chat, unlock, document} {
		require.Greater(t, after[r], before[r], r.Name)
	}
}

// Guards against a part that acts where there is room: nothing yields, and none leaves the
// rotation.
func TestNothingChangesOnACalmDay(t *testing.T) {
	d := newDomain(false, smallLink, smallLink, smallLink, smallLink, largeLink)
	shares := d.play(20*time.Second, 60, 60)
	for r, share := range shares {
		require.Greater(t, share, 0.99, r.Name)
	}
	for _, h := range d.hosts {
		require.Zero(t, h.left)
		require.Nil(t, h.w.Counters.Get("link.yielded"))
		require.Nil(t, h.w.Counters.Get("link.congested"))
	}
}

// pressed returns a router with a demand of 0.9 of its link for some seconds.
func pressed(peers ...table.RouterPeer) *world.World {
	h := newHost("a", smallLink)
	for i, p := range peers {
		p.Domain = "a"
		h.w.RouterPeers.Put(table.ProcessID(rune('b'+i)), p)
	}
	for now := table.Instant(time.Second); now < table.Instant(6*time.Second); now = now.Add(10 * time.Millisecond) {
		h.tick(now)
		link.Admit(h.w, document, 9<<10)
	}
	return h.w
}

// Guards against routers that all leave: clients would have no place to go, or the load
// balancer would send them to all.
func TestRouterUnderPressureStaysWhileOthersLackRoom(t *testing.T) {
	room, full, gone := table.RouterPeer{Connected: true}, table.RouterPeer{Connected: true, LinkFull: true}, table.RouterPeer{}
	require.True(t, pressed(room, room).Link.OutOfRotation)
	require.True(t, pressed(room, full, room).Link.OutOfRotation)
	require.False(t, pressed(room, full, full).Link.OutOfRotation)
	require.False(t, pressed(full, full).Link.OutOfRotation)
	require.False(t, pressed(gone, gone).Link.OutOfRotation, "routers without a session take no clients")
	require.False(t, pressed().Link.OutOfRotation)
}

// Guards against a router that stays away although the others no longer have room, and
// against one that returns while it need not and is overrun again.
func TestReturnDependsOnTheRoomOfOthers(t *testing.T) {
	for _, full := range []bool{false, true} {
		w := pressed(table.RouterPeer{Connected: true}, table.RouterPeer{Connected: true})
		w.RouterPeers.Each(func(_ table.ProcessID, p *table.RouterPeer) { p.LinkFull = full })
		now := table.Instant(6 * time.Second)
		idle(w, &now, 6*time.Second)
		require.Equal(t, !full, w.Link.OutOfRotation, "others are full: %v", full)
	}
}

// Guards against urgent requests and those that a retry would make late being refused for
// others, and against less urgent ones that are refused where no router takes them.
func TestLessUrgentRequestsYield(t *testing.T) {
	for _, c := range []struct {
		route    *table.Route
		full     bool
		admitted bool
	}{{chat, false, true}, {unlock, false, true}, {document, false, false}, {document, true, true}} {
		h := newHost("a", smallLink)
		h.w.RouterPeers.Put("b", table.RouterPeer{Domain: "a", Connected: true, LinkFull: c.full})
		h.tick(table.Instant(time.Second))
		require.True(t, link.Admit(h.w, chat, 70_000), "the link is free")
		require.Equal(t, c.admitted, link.Admit(h.w, c.route, 1000), "%s, others full: %v", c.route.Name, c.full)
	}
}

// Guards against a crash, or a router closed for good, by absurd sizes.
func TestAbsurdSizes(t *testing.T) {
	h := newHost("a", smallLink)
	now := table.Instant(time.Second)
	h.tick(now)
	require.True(t, link.Admit(h.w, &table.Route{LatencyObjective: -1}, -1<<40))
	require.True(t, link.Admit(h.w, document, 1<<50))
	h.w.Exchanges.Put(1, table.Exchange{ID: 1, Route: "document", Attempt: 1})
	event.DirectAttemptEnd{Exchange: 1, Attempt: 1, Status: event.DirectAnswered, AnswerBytes: 1 << 60}.AddTo(&h.w.In)
	event.DirectAttemptEnd{Exchange: 1, Attempt: 1, Status: event.DirectAnswered, AnswerBytes: -5}.AddTo(&h.w.In)
	event.ConnectTime{Duration: -time.Second}.AddTo(&h.w.In)
	idle(h.w, &now, 8*time.Second)
	require.True(t, link.Admit(h.w, document, 12_000), "the link is free again")
	without := newHost("a", 0)
	require.True(t, link.Admit(without.w, document, 1<<50), "the rate of the link is unknown")
	require.False(t, link.IsFull(without.w))
}

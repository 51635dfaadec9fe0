package warmup_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/catalog"
	"laburnumroad.dev/laburnumroad/internal/system/warmup"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

var sizes = []int{4, 24, 103}

// Guards against fleets whose routers together send a cold endpoint more than it bears, or
// leave much of its rate unused while all have requests.
func TestFleetKeepsToColdRateAndUsesIt(t *testing.T) {
	for _, routers := range sizes {
		for _, rate := range []float64{0.5, 2, 13, 40} {
			f := newFleet(uint64(routers), routers, rate)
			f.restartEndpoint(2*time.Second, time.Minute)
			f.run(5 * time.Second)
			sent := f.sent
			f.run(20 * time.Second)
			f.requireBound(t)
			require.GreaterOrEqual(t, float64(f.sent-sent), 0.9*rate*20, "%d routers, rate %v", routers, rate)
		}
	}
}

// Guards against the first seconds of a cold endpoint passing unused: it may be cold for only
// a few.
func TestColdRateIsUsedFromTheStart(t *testing.T) {
	for _, routers := range sizes {
		f := newFleet(1, routers, 13)
		f.turnCold(coldTime)
		f.run(step)
		sent := f.sent
		f.run(coldTime - step)
		f.requireBound(t)
		require.GreaterOrEqual(t, f.sent-sent, int(0.9*13*coldTime.Seconds()), "%d routers", routers)
	}
}

// Guards against routers that restart and use at once what their former processes, or the
// routers that stood in for them, have just used.
func TestRestartedRoutersKeepToTheirSlots(t *testing.T) {
	for _, routers := range sizes {
		f := newFleet(2, routers, 13)
		f.restartEndpoint(2*time.Second, time.Minute)
		f.run(1500 * time.Millisecond)
		for range 4 {
			for _, r := range f.routers {
				f.start(r)
			}
			f.run(700 * time.Millisecond)
		}
		for _, r := range f.routers[:4] {
			for range 30 {
				f.start(r)
				f.run(2 * step)
			}
		}
		f.run(2 * time.Second)
		f.requireBound(t)
	}
}

// Guards against a part of the fleet that is cut off for long, and takes the slots of all
// others while they use them.
func TestCutOffRoutersDoNotTakeSlotsOfOthers(t *testing.T) {
	for _, routers := range sizes {
		for _, part := range []float64{0.3, 0.5, 1} {
			f := newFleet(3, routers, 40)
			f.restartEndpoint(2*time.Second, 3*time.Minute)
			for _, r := range f.routers[:int(float64(routers)*part)] {
				f.cut(r, true, true)
			}
			f.run(40 * time.Second)
			f.requireBound(t)
			require.NotEmpty(t, f.arrived)
		}
	}
}

// Guards against a router that the store turns away and that starts meanwhile: it knows no
// members, so that it must send nothing to an endpoint that is or may be cold.
func TestRouterWithoutMembersSendsNothingToColdEndpoint(t *testing.T) {
	f := newFleet(4, 24, 13)
	r := f.routers[0]
	f.cut(r, true, false)
	f.start(r)
	f.turnCold(time.Minute)
	f.run(2 * time.Second)
	_, hasShare := warmup.AdmitsIn(r.world, r.world.DirectEndpoints.Get(endpointID))
	require.False(t, hasShare)
	f.requireBound(t)
}

// Guards against an endpoint that restarts while a router hears nothing: the router must not
// send as to a warm one.
func TestSilentRouterCountsEndpointsAsCold(t *testing.T) {
	for _, routers := range sizes {
		f := newFleet(5, routers, 13)
		for _, r := range f.routers {
			f.cut(r, true, true)
		}
		f.run(5 * time.Second)
		f.restartEndpoint(0, time.Minute)
		f.run(10 * time.Second)
		require.NotEmpty(t, f.arrived)
		f.requireBound(t)
		for _, r := range f.routers {
			f.cut(r, false, false)
		}
		f.run(2 * time.Second)
		f.requireBound(t)
	}
}

// Guards against a lost endpoint that gets its full load back from routers which have not
// seen its next process: of an outage of the store, only the other routers tell.
func TestLostEndpointIsToldWhileStoreIsDown(t *testing.T) {
	f := newFleet(6, 4, 13)
	for _, r := range f.routers {
		f.cut(r, true, false)
	}
	f.run(time.Second)
	w := f.routers[1].world
	report := func(age time.Duration, started int64) {
		f.routers[1].inbox = append(f.routers[1].inbox, event.RouterReport{From: f.routers[0].process.Holder, StoreDown: true, Lost: []event.LostEndpoint{
			{Endpoint: endpointID, StartedUnixMilli: started, Age: age}, {Endpoint: "unknown"},
		}})
		f.run(step)
	}
	e := w.DirectEndpoints.Get(endpointID)
	report(-time.Second, 1)
	require.False(t, warmup.IsCold(w, e), "a loss in the future")
	report(time.Hour, 1)
	require.False(t, warmup.IsCold(w, e), "a loss long ago")
	report(0, 7)
	require.False(t, warmup.IsCold(w, e), "a loss of another process")
	report(0, 1)
	require.True(t, warmup.IsCold(w, e))
}

// Guards against one router without a path to the endpoints that makes all others count them
// as cold.
func TestLossOfOneRouterDoesNotBindOthersWithTheStore(t *testing.T) {
	f := newFleet(7, 4, 13)
	f.routers[1].inbox = append(f.routers[1].inbox, event.RouterReport{From: f.routers[0].process.Holder, Lost: []event.LostEndpoint{{Endpoint: endpointID, StartedUnixMilli: 1}}})
	f.run(step)
	w := f.routers[1].world
	require.False(t, warmup.IsCold(w, w.DirectEndpoints.Get(endpointID)))
}

// Guards against endpoints that stay cold at a router without a slot, which never gets the
// answer that ends it.
func TestLossEndsWithoutAnswer(t *testing.T) {
	f := newFleet(8, 103, 2)
	f.down = true
	f.run(time.Second)
	f.down = false
	f.run(20 * time.Second)
	for _, r := range f.routers {
		in, hasShare := warmup.AdmitsIn(r.world, r.world.DirectEndpoints.Get(endpointID))
		require.True(t, hasShare && in == 0, r.process.Process)
	}
}

// Guards against routers that send all that waits at the moment at which an endpoint turns
// warm.
func TestShareRisesWithoutJump(t *testing.T) {
	for _, routers := range sizes {
		f := newFleet(9, routers, 13)
		f.restartEndpoint(2*time.Second, coldTime)
		f.run(coldTime)
		last := 13.0 / 4
		for range 4 {
			sent := f.sent
			f.run(250 * time.Millisecond)
			got := float64(f.sent - sent)
			require.LessOrEqual(t, got, 2*last+13, "%d routers", routers)
			last = max(last, got)
		}
		f.run(time.Second)
		_, hasShare := warmup.AdmitsIn(f.routers[0].world, f.routers[0].world.DirectEndpoints.Get(endpointID))
		require.True(t, hasShare)
	}
}

// Guards against a start of the whole deployment, or of a router, in which all endpoints count
// as cold though they say that they are not.
func TestEndpointsThatSayTheyAreWarmAreWarm(t *testing.T) {
	f := newFleet(10, 4, 13)
	f.start(f.routers[0])
	f.run(step)
	for _, r := range f.routers {
		require.Zero(t, r.world.ColdEndpoints.Len())
	}
}

// Guards against entries with absurd, negative or missing cold times, and entries of releases
// that don't pass them on.
func TestBadColdTimesAreBounded(t *testing.T) {
	f := newFleet(11, 4, 13)
	r := f.routers[0]
	list := func(born int64, known bool, left time.Duration) {
		r.inbox = append(r.inbox, event.EndpointChanges{Present: []event.EndpointEntry{
			{ID: endpointID, Service: "model", Address: "10.0.0.1:1", StartedUnixMilli: born, ColdKnown: known, ColdLeft: left},
			{ID: "other", Service: "unknown", Address: "10.0.0.2:1", ColdKnown: true, ColdLeft: left},
		}})
		f.run(step)
	}
	cold := func() bool { return warmup.IsCold(r.world, r.world.DirectEndpoints.Get(endpointID)) }
	list(1, true, -time.Hour)
	require.False(t, cold())
	list(2, false, 0)
	require.True(t, cold(), "a new process of which nothing is known")
	f.run(coldTime)
	require.False(t, cold())
	list(2, false, 0)
	require.False(t, cold(), "the entry of a known process")
	list(2, true, 1<<62)
	require.LessOrEqual(t, r.world.ColdEndpoints.Get(endpointID).WarmAt(), f.now.Add(time.Hour))
	list(2, true, 0)
	require.False(t, cold(), "a later entry")
}

// Guards against a mark, as at the end of an evacuation, that does not hold or does not end,
// and against marks where the configuration has no cold starts.
func TestMarkCold(t *testing.T) {
	f := newFleet(12, 4, 13)
	for _, r := range f.routers {
		warmup.MarkCold(r.world, r.world.DirectEndpoints.Get(endpointID), "its domain is back")
	}
	f.coldUntil = f.now.Add(coldTime)
	for _, r := range f.routers {
		r.toldCold = f.coldUntil
	}
	f.run(coldTime)
	require.NotEmpty(t, f.arrived)
	f.requireBound(t)
	f.run(2 * time.Second)
	r := f.routers[0]
	require.Zero(t, r.world.ColdEndpoints.Len())
	r.world.DirectServices.Put("model", table.DirectService{Name: "model"})
	warmup.MarkCold(r.world, r.world.DirectEndpoints.Get(endpointID), "its domain is back")
	require.Zero(t, r.world.ColdEndpoints.Len())
}

// Guards against cold endpoints that get more than they bear, in touch or not, while routers
// crash, restart, stop, are cut off or turned away by the store, and endpoints turn cold
// again.
func TestFleetKeepsToColdRateUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{4, 4, 4, 24, 24, 24, 24, 103}).Draw(t, "routers")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), routers, rapid.SampledFrom([]float64{0.5, 2, 13, 40}).Draw(t, "rate"))
		f.restartEndpoint(2*time.Second, 10*time.Minute)
		some := func() []*router {
			first, count := rapid.IntRange(0, routers-1).Draw(t, "first"), rapid.IntRange(1, max(1, routers/3)).Draw(t, "count")
			chosen := make([]*router, 0, count)
			for i := range count {
				chosen = append(chosen, f.routers[(first+i)%routers])
			}
			return chosen
		}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			fault := rapid.IntRange(0, 6).Draw(t, "fault")
			for _, r := range some() {
				switch fault {
				case 0:
					f.start(r)
				case 1:
					f.cut(r, true, true)
				case 2:
					f.cut(r, true, false)
				case 3:
					f.cut(r, false, true)
				case 4:
					f.disconnect(r)
				case 5:
					f.leave(r)
					f.start(r)
				}
			}
			if fault == 6 {
				f.turnCold(10 * time.Minute)
			}
			f.run(time.Duration(rapid.SampledFrom([]int{1, 30, 100, 110, 400, 400, 3100}).Draw(t, "wait")) * step)
			if rapid.Bool().Draw(t, "heal") {
				for _, r := range f.routers {
					if r.storeCut || r.peersCut {
						f.cut(r, false, false)
					}
				}
			}
		}
		f.run(2 * time.Second)
		f.requireBound(t)
	})
}

// Guards against an endpoint that crashes and is back before its next process is listed: what
// answers then may be cold.
func TestEndpointThatFailedIsColdUntilItAnsweredForItsColdTime(t *testing.T) {
	for name, ends := range map[string][]event.DirectAttemptEnd{
		"unreached":    {{Status: event.DirectNotSent}},
		"gone":         {{Status: event.DirectOutcomeUnknown, ConnectionLost: true, EndpointGone: true}},
		"broken twice": {{Status: event.DirectOutcomeUnknown, ConnectionLost: true}, {Status: event.DirectOutcomeUnknown, ConnectionLost: true}},
	} {
		f := newFleet(13, 4, 13)
		r := f.routers[0]
		cold := func() bool { return warmup.IsCold(r.world, r.world.DirectEndpoints.Get(endpointID)) }
		for i := range ends {
			require.False(t, cold(), "%s: one broken answer", name)
			r.world.Exchanges.Put(1<<40, table.Exchange{Attempt: 1, Endpoint: endpointID, State: table.ExchangeRunning, AttemptSentAt: f.now})
			ends[i].Exchange, ends[i].Attempt = 1<<40, 1
			r.inbox = append(r.inbox, ends[i])
			f.run(step)
		}
		require.True(t, cold(), name)
		f.run(2 * time.Second)
		require.True(t, cold(), name)
		f.run(coldTime)
		require.False(t, cold(), name)
	}
}

// Guards against slots that move with each session that is reset, and stay unused for an
// interval each time.
func TestResetSessionsDoNotMoveSlots(t *testing.T) {
	for _, routers := range sizes {
		f := newFleet(14, routers, 13)
		f.restartEndpoint(2*time.Second, time.Minute)
		f.run(3 * time.Second)
		sent := f.sent
		for i := range 25 {
			f.disconnect(f.routers[i%routers])
			f.run(400 * time.Millisecond)
		}
		f.requireBound(t)
		require.GreaterOrEqual(t, float64(f.sent-sent), 0.9*13*10, "%d routers", routers)
	}
}

// Guards against a request that its router held back, as in an evacuation or with its time
// over, that counts as a loss of the endpoint.
func TestWithheldRequestIsNoLoss(t *testing.T) {
	f := newFleet(15, 4, 13)
	r := f.routers[0]
	r.world.Exchanges.Put(1<<40, table.Exchange{Attempt: 1, Endpoint: endpointID, State: table.ExchangeRunning, AttemptSentAt: f.now})
	r.inbox = append(r.inbox, event.DirectAttemptEnd{Exchange: 1 << 40, Attempt: 1, Status: event.DirectNotSent, Withheld: true})
	f.run(step)
	require.Zero(t, r.world.ColdEndpoints.Len())
}

// Guards against a router that starts, learns the endpoints before the configuration, and
// counts cold ones as warm.
func TestColdTimesAreKeptUntilTheConfigurationIsKnown(t *testing.T) {
	w := world.New(world.Params{}, 1)
	tick := func(at time.Duration, e event.Event) {
		e.AddTo(&w.In)
		w.Tick(table.Instant(at), []world.System{world.SystemFunc(catalog.Run), world.SystemFunc(warmup.Run)})
	}
	tick(time.Second, event.EndpointChanges{Full: true, Covered: 1, Present: []event.EndpointEntry{
		{ID: "m1", Service: "model", ColdKnown: true, ColdLeft: 5 * time.Second}, {ID: "t1", Service: "tool", ColdKnown: true, ColdLeft: 5 * time.Second},
		{ID: "m2", Service: "model", ColdKnown: true},
	}})
	tick(2*time.Second, event.ManifestReceived{Manifest: table.Manifest{
		Version: 1, Services: []table.DirectService{{Name: "model", ColdTime: coldTime, ColdRate: 10}, {Name: "tool"}},
	}})
	require.True(t, warmup.IsCold(w, w.DirectEndpoints.Get("m1")))
	require.False(t, warmup.IsCold(w, w.DirectEndpoints.Get("m2")))
	require.Equal(t, 1, w.ColdEndpoints.Len(), "only services with cold starts")
	tick(6*time.Second, event.PlatformState{Reachable: true})
	require.False(t, warmup.IsCold(w, w.DirectEndpoints.Get("m1")))
}

// Guards against reports that repeat a loss which the receiver has dealt with: the endpoint
// has answered, got warm and would be cold once more.
func TestRepeatedReportOfLossIsNoNewLoss(t *testing.T) {
	w := world.New(world.Params{}, 1)
	w.DirectServices.Put("model", table.DirectService{Name: "model", ColdTime: time.Second, ColdRate: 10})
	tick := func(at time.Duration, events ...event.Event) {
		for _, e := range events {
			e.AddTo(&w.In)
		}
		w.Tick(table.Instant(at), []world.System{world.SystemFunc(catalog.Run), world.SystemFunc(warmup.Run)})
	}
	lostAt := func(age time.Duration) event.RouterReport {
		return event.RouterReport{StoreDown: true, Lost: []event.LostEndpoint{{Endpoint: endpointID, Age: age}}}
	}
	tick(time.Second, event.EndpointChanges{Full: true, Covered: 1, Present: []event.EndpointEntry{{ID: endpointID, Service: "model", ColdKnown: true}}})
	tick(10*time.Second, lostAt(0))
	w.Exchanges.Put(1, table.Exchange{Attempt: 1, Endpoint: endpointID, State: table.ExchangeRunning, AttemptSentAt: table.Instant(10500 * time.Millisecond)})
	tick(11*time.Second, event.DirectAttemptEnd{Exchange: 1, Attempt: 1, Status: event.DirectAnswered})
	tick(13*time.Second, lostAt(3*time.Second))
	tick(14*time.Second, lostAt(4*time.Second))
	require.False(t, warmup.IsCold(w, w.DirectEndpoints.Get(endpointID)))
	tick(14500*time.Millisecond, lostAt(0))
	require.True(t, warmup.IsCold(w, w.DirectEndpoints.Get(endpointID)), "a later loss")
}

// Guards against a configuration that brings cold starts back, and a router that takes the
// time without them for silence.
func TestTimeWithoutColdStartsIsNoSilence(t *testing.T) {
	f := newFleet(16, 4, 13)
	w := f.routers[0].world
	w.DirectServices.Put("model", table.DirectService{Name: "model"})
	f.run(silence + time.Second)
	w.DirectServices.Put("model", table.DirectService{Name: "model", ColdTime: coldTime, ColdRate: 13})
	f.run(step)
	require.False(t, w.Silent)
	require.Zero(t, w.ColdEndpoints.Len())
}

// Guards against a broken answer of an endpoint's former process that counts against the one
// that is listed now.
func TestBrokenAnswerOfFormerProcessDoesNotCount(t *testing.T) {
	f := newFleet(17, 4, 13)
	r := f.routers[0]
	breakAt := func(id table.ExchangeID, sentAt table.Instant) {
		r.world.Exchanges.Put(id, table.Exchange{Attempt: 1, Endpoint: endpointID, State: table.ExchangeRunning, AttemptSentAt: sentAt})
		r.inbox = append(r.inbox, event.DirectAttemptEnd{Exchange: id, Attempt: 1, Status: event.DirectOutcomeUnknown, ConnectionLost: true})
		f.run(step)
	}
	before := f.now
	f.born++
	f.tellAll()
	f.run(step)
	breakAt(1<<40, before-1)
	breakAt(1<<40+1, f.now)
	require.False(t, warmup.IsCold(r.world, r.world.DirectEndpoints.Get(endpointID)))
}

// Guards against entries that a process wrote before it ended and that arrive afterwards: they
// say that it turned warm, and end what protects the next one.
func TestEntriesWrittenBeforeALossDoNotEndIt(t *testing.T) {
	f := newFleet(18, 4, 13)
	r := f.routers[0]
	list := func(left time.Duration) {
		f.coldUntil = f.now.Add(left)
		f.tell(r)
		f.run(step)
	}
	cold := func() bool { return warmup.IsCold(r.world, r.world.DirectEndpoints.Get(endpointID)) }
	r.world.DirectServices.Put("model", table.DirectService{Name: "model", ColdTime: time.Minute, ColdRate: 13})
	f.down = true
	f.run(3 * step)
	f.down = false
	require.True(t, cold())
	list(50 * time.Millisecond)
	f.run(100 * time.Millisecond)
	list(0)
	require.True(t, cold(), "they may be late")
	f.run(6 * time.Second)
	list(50 * time.Millisecond)
	list(0)
	require.False(t, cold(), "they are of a process that lives")
}

// Guards against routers without a slot of a lost endpoint, which send to it only after the
// time of the loss is over, and for which the first answer then begins another cold time.
func TestAnswerDoesNotProlongALoss(t *testing.T) {
	for _, routers := range sizes {
		f := newFleet(19, routers, 13)
		for _, r := range f.routers {
			r.world.Exchanges.Put(1<<40, table.Exchange{Attempt: 1, Endpoint: endpointID, State: table.ExchangeRunning, AttemptSentAt: f.now})
			r.inbox = append(r.inbox, event.DirectAttemptEnd{Exchange: 1 << 40, Attempt: 1, Status: event.DirectNotSent})
		}
		f.run(10*time.Second + coldTime + 1100*time.Millisecond)
		for _, r := range f.routers {
			require.Zero(t, r.world.ColdEndpoints.Len(), "%s of %d", r.process.Process, routers)
		}
	}
}

// Package warmup limits what endpoints get that have just started.
//
// A cold endpoint bears few requests a second from all routers together, and a failure
// domain that comes back brings many cold endpoints at once, under load. The rate of each is
// divided into send slots, which each router deals out to the members of the fleet alike; see
// docs/design/cold-endpoints.md for what this withstands.
package warmup

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/share"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// minInterval is the least time between two requests of a slot. It exceeds the second
	// for which a bound holds by the time that sending may vary.
	minInterval = 1050 * time.Millisecond
	// maxColdTime bounds what an entry or another router may say.
	maxColdTime = time.Hour
	// maxSilence is how long neither the store nor a router may be heard before endpoints
	// may have started again unnoticed. It exceeds the interval of reports and the wait of
	// a single router's call for changes.
	maxSilence = 3500 * time.Millisecond
	// brokenWindow is the time in which two attempts that lose their connections show that
	// the endpoint's process ended.
	brokenWindow = time.Second
	// lostTime is how long an endpoint that was found lost stays so without an answer, in
	// addition to its cold time. It exceeds the time in which the entry of one that ended
	// lapses and that of its next process is listed.
	lostTime = 10 * time.Second
	// reportedFor is how long other routers are told that an endpoint was lost.
	reportedFor = 5 * time.Second
	// defaultChangeBound is how long an entry may take to arrive if the settings don't say it.
	defaultChangeBound = 5 * time.Second
	// After the cold time, the slots double rampSteps times, every rampInterval, before the
	// endpoint gets as much as any other.
	rampSteps    = 2
	rampInterval = 500 * time.Millisecond
)

// Run applies what the store, other routers and attempts show of endpoints' starts.
func Run(w *world.World) {
	if !hasColdStarts(w) {
		w.HeardAt, w.Silent = 0, false
		if w.Manifest.Version == 0 {
			keepEntries(w)
			return
		}
		w.ColdEndpoints.DeleteIf(func(table.EndpointID, *table.ColdEndpoint) bool { return true })
		return
	}
	for i := range w.In.EndpointChanges {
		for j := range w.In.EndpointChanges[i].Present {
			onEntry(w, &w.In.EndpointChanges[i].Present[j])
		}
	}
	for i := range w.In.DirectAnswersStarted {
		onAnswer(w, w.In.DirectAnswersStarted[i].Exchange, w.In.DirectAnswersStarted[i].Attempt)
	}
	for i := range w.In.DirectAttemptEnds {
		onAttemptEnd(w, &w.In.DirectAttemptEnds[i])
	}
	for i := range w.In.RouterReports {
		onReport(w, &w.In.RouterReports[i])
	}
	checkSilence(w)
	advance(w)
}

func hasColdStarts(w *world.World) bool {
	found := false
	w.DirectServices.Each(func(_ table.ServiceName, s *table.DirectService) { found = found || s.ColdTime > 0 && s.ColdRate > 0 })
	return found
}

// coldService returns the service of an endpoint if it has cold starts, or nil.
func coldService(w *world.World, e *table.DirectEndpoint) *table.DirectService {
	s := w.DirectServices.Get(e.Service)
	if s == nil || s.ColdTime <= 0 || s.ColdRate <= 0 {
		return nil
	}
	return s
}

// onEntry applies what the entry of an endpoint says. An entry that no longer names a cold
// time was written later than what it replaces. If that came so late after a mark that it
// was also written after it, the process that is listed still lives, and is warm.
func onEntry(w *world.World, entry *event.EndpointEntry) {
	e := w.DirectEndpoints.Get(entry.ID)
	if e == nil || coldService(w, e) == nil || e.StartedUnixMilli != entry.StartedUnixMilli {
		return
	}
	c := w.ColdEndpoints.Get(e.ID)
	isNew := e.ListedAt == w.Now
	if isNew && c != nil {
		// What is known of another process does not count, but its slots stay used.
		c.Lost, c.MarkedUntil, c.EntryUntil, c.FoundLostAt = false, 0, 0, 0
	}
	left := min(max(0, entry.ColdLeft), maxColdTime)
	switch {
	case entry.ColdKnown && left > 0:
		c = rowOf(w, e)
		wasCold := c.IsCold(w.Now)
		c.EntryUntil, c.EntrySaidAt = w.Now.Add(left), w.Now
		logCold(w, e, c, wasCold, "its entry says so")
	case entry.ColdKnown && c != nil:
		c.EntryUntil = min(c.EntryUntil, w.Now)
		if c.EntrySaidAt > c.MarkedAt.Add(cmp.Or(w.Params.Front.ChangeBound, defaultChangeBound)) {
			c.Lost, c.MarkedUntil = false, min(c.MarkedUntil, w.Now)
		}
	case !entry.ColdKnown && isNew:
		MarkCold(w, e, "a new process is listed")
	}
}

// keepEntries keeps what entries say until the configuration tells which services have cold
// starts: a router that starts may learn the endpoints first.
func keepEntries(w *world.World) {
	for i := range w.In.EndpointChanges {
		for _, entry := range w.In.EndpointChanges[i].Present {
			e := w.DirectEndpoints.Get(entry.ID)
			if e == nil || e.StartedUnixMilli != entry.StartedUnixMilli || !entry.ColdKnown {
				continue
			}
			if left := min(max(0, entry.ColdLeft), maxColdTime); left > 0 || w.ColdEndpoints.Get(e.ID) != nil {
				c := rowOf(w, e)
				c.EntryUntil, c.EntrySaidAt = w.Now.Add(left), w.Now
			}
		}
	}
}

func rowOf(w *world.World, e *table.DirectEndpoint) *table.ColdEndpoint {
	if c := w.ColdEndpoints.Get(e.ID); c != nil {
		return c
	}
	return w.ColdEndpoints.Put(e.ID, table.ColdEndpoint{})
}

// MarkCold lets an endpoint count as cold for the cold time of its service: what this router
// knows of its process does not show that it is warm. Endpoints without cold starts are not
// affected.
func MarkCold(w *world.World, e *table.DirectEndpoint, reason string) {
	service := coldService(w, e)
	if service == nil {
		return
	}
	mark(w, e, w.Now.Add(service.ColdTime), reason)
}

func mark(w *world.World, e *table.DirectEndpoint, until table.Instant, reason string) {
	c := rowOf(w, e)
	wasCold := c.IsCold(w.Now)
	c.MarkedUntil, c.MarkedAt = max(c.MarkedUntil, until), w.Now
	logCold(w, e, c, wasCold, reason)
}

func logCold(w *world.World, e *table.DirectEndpoint, c *table.ColdEndpoint, wasCold bool, reason string) {
	if wasCold {
		return
	}
	c.Step = 0
	// The slots admit requests from now on, not from the first that asks.
	refresh(w, e, c, coldService(w, e))
	duration := "until it is heard"
	if c.WarmAt() != table.Never {
		duration = "for " + c.WarmAt().Sub(w.Now).Round(time.Millisecond).String()
	}
	w.Count("warmup.turned_cold")
	w.RecordStateChange("endpoint", string(e.ID), "warm", "cold", fmt.Sprintf("%s; %.3g/s from all routers, %s", reason, coldService(w, e).ColdRate, duration))
}

// onAnswer ends the uncertainty about a lost endpoint: the process that answers has started by
// now, so it is warm after the cold time, or when the time of the loss is over.
func onAnswer(w *world.World, exchange table.ExchangeID, attempt int) {
	x := w.Exchanges.Get(exchange)
	if x == nil || x.Attempt != attempt {
		return
	}
	c, e := w.ColdEndpoints.Get(x.Endpoint), w.DirectEndpoints.Get(x.Endpoint)
	if c == nil || e == nil || !c.Lost || x.AttemptSentAt <= c.MarkedAt {
		return
	}
	service := coldService(w, e)
	if service == nil {
		return
	}
	c.Lost = false
	if c.MarkedUntil != table.Never {
		c.MarkedUntil = min(c.MarkedUntil, w.Now.Add(service.ColdTime))
	}
}

func onAttemptEnd(w *world.World, end *event.DirectAttemptEnd) {
	x := w.Exchanges.Get(end.Exchange)
	if x == nil || x.Attempt != end.Attempt || x.State != table.ExchangeRunning {
		return
	}
	e := w.DirectEndpoints.Get(x.Endpoint)
	if e == nil || coldService(w, e) == nil {
		return
	}
	isFormer := e.ListedAt >= x.AttemptSentAt
	isBroken := end.ConnectionLost && e.BrokenAt != 0 && w.Now.Sub(e.BrokenAt) <= brokenWindow
	if end.ConnectionLost && !isFormer {
		e.BrokenAt = w.Now
	}
	switch {
	case end.Status == event.DirectAnswered || end.Status == event.DirectDeclined:
		onAnswer(w, end.Exchange, end.Attempt)
	case e.Leaving || end.Withheld:
	case isFormer:
		// The attempt met the process before the one that is listed now.
	case end.Status == event.DirectNotSent || end.EndpointGone || isBroken:
		rowOf(w, e).FoundLostAt = w.Now
		markLost(w, e, "attempts failed: "+end.Reason)
	}
}

func markLost(w *world.World, e *table.DirectEndpoint, reason string) {
	e.LostAt = w.Now
	mark(w, e, w.Now.Add(lostTime+coldService(w, e).ColdTime), reason)
	w.ColdEndpoints.Get(e.ID).Lost = true
}

// onReport applies which endpoints another router found lost. While a router reaches the
// store, the list tells what has started; what one router does not reach may be its own
// fault.
func onReport(w *world.World, r *event.RouterReport) {
	if len(r.Lost) == 0 || storeInReach(w) {
		return
	}
	for _, lost := range r.Lost {
		e := w.DirectEndpoints.Get(lost.Endpoint)
		if e == nil || e.StartedUnixMilli != lost.StartedUnixMilli || coldService(w, e) == nil || lost.Age < 0 || lost.Age > reportedFor {
			continue
		}
		// The row of one that became warm since is gone, LostAt remains.
		knownAt := e.LostAt
		if c := w.ColdEndpoints.Get(e.ID); c != nil {
			knownAt = max(knownAt, c.MarkedAt)
		}
		if knownAt < w.Now.Add(-lost.Age) {
			markLost(w, e, "router "+string(r.From.Process)+" lost it")
		}
	}
}

// storeInReach reports whether this router or one that it is connected with reaches the store.
func storeInReach(w *world.World) bool {
	reached := w.PlatformReachable
	w.RouterPeers.Each(func(_ table.ProcessID, p *table.RouterPeer) { reached = reached || p.Connected && !p.StoreDown })
	return reached
}

// Report returns the endpoints that this router itself found lost lately, for a report to the
// other routers.
func Report(w *world.World) []event.LostEndpoint {
	var lost []event.LostEndpoint
	w.ColdEndpoints.Each(func(id table.EndpointID, c *table.ColdEndpoint) {
		e := w.DirectEndpoints.Get(id)
		if age := w.Now.Sub(c.FoundLostAt); e != nil && c.FoundLostAt != 0 && age < reportedFor {
			lost = append(lost, event.LostEndpoint{Endpoint: id, StartedUnixMilli: e.StartedUnixMilli, Age: age})
		}
	})
	return lost
}

// checkSilence lets all endpoints count as cold while this router hears neither the store nor
// other routers: they may start again meanwhile.
func checkSilence(w *world.World) {
	heard := w.HeardAt == 0 || len(w.In.RouterReports) > 0 || len(w.In.EndpointChanges) > 0 ||
		slices.ContainsFunc(w.In.PlatformStates, func(e event.PlatformState) bool { return e.Reachable })
	if heard {
		w.HeardAt = w.Now
	}
	silent := w.DueOrWake(w.HeardAt.Add(maxSilence))
	switch {
	case silent && !w.Silent:
		w.RecordStateChange("router", string(w.Self().Process), "informed", "silent", "neither the store nor a router was heard")
		w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) {
			if coldService(w, e) != nil {
				mark(w, e, table.Never, "nothing is heard")
			}
		})
	case !silent && w.Silent:
		w.RecordStateChange("router", string(w.Self().Process), "silent", "informed", "heard again")
		w.ColdEndpoints.Each(func(id table.EndpointID, c *table.ColdEndpoint) {
			e := w.DirectEndpoints.Get(id)
			if e == nil || c.MarkedUntil != table.Never {
				return
			}
			if service := coldService(w, e); service != nil {
				c.MarkedUntil, c.Lost = w.Now.Add(service.ColdTime), false
			}
		})
	}
	w.Silent = silent
}

// advance doubles the slots of endpoints that have become warm, and forgets those that get as
// much as any other.
func advance(w *world.World) {
	w.ColdEndpoints.DeleteIf(func(id table.EndpointID, c *table.ColdEndpoint) bool {
		e := w.DirectEndpoints.Get(id)
		if e == nil || coldService(w, e) == nil {
			return true
		}
		if !w.DueOrWake(c.WarmAt()) {
			c.Step = 0
			return false
		}
		if c.Step == 0 {
			w.RecordStateChange("endpoint", string(id), "cold", "warm", "its cold time is over")
		}
		step := 1 + int(w.Now.Sub(c.WarmAt())/rampInterval)
		w.WakeAt(c.WarmAt().Add(time.Duration(step) * rampInterval))
		c.Step = step
		return step > rampSteps
	})
}

// slotCount returns the number of slots of a cold endpoint, and the time between two requests
// of each.
func slotCount(w *world.World, service *table.DirectService) (int, time.Duration) {
	bound := math.Floor(service.ColdRate*w.Params.Front.ColdOvershoot + w.Params.Front.ColdAllowance)
	count := math.Ceil(service.ColdRate * minInterval.Seconds())
	if bound >= 1 {
		count = min(count, bound)
	}
	interval := time.Duration(count / service.ColdRate * float64(time.Second))
	return int(count), min(max(interval, minInterval), maxColdTime)
}

// slotsOf returns how many of an endpoint's slots this router owns, and the number of the
// first: the slots are dealt out to the members by rank.
func slotsOf(w *world.World, id table.EndpointID, count int) (owned, first int) {
	members := share.Rank(id, share.Registered(w))
	first = slices.Index(members, w.Self().Process)
	if first < 0 {
		return 0, 0
	}
	owned = count / len(members)
	if first < count%len(members) {
		owned++
	}
	return owned, first
}

// refresh brings the slots of this router up to date. A slot that it gains admits nothing
// for a whole interval, in which its former owner may have used it, or this router's own
// former process. At the start of the cold time, the slots admit their first requests
// one after the other.
func refresh(w *world.World, e *table.DirectEndpoint, c *table.ColdEndpoint, service *table.DirectService) time.Duration {
	count, interval := slotCount(w, service)
	count <<= c.Step
	if c.SlotsGeneration == w.FleetGeneration && c.SlotsStep == c.Step && c.SlotsCount == count && c.RecheckAt > w.Now {
		return interval
	}
	owned, first := slotsOf(w, e.ID, count)
	registeredAt := w.LimitLedgerView.RegisteredAt
	isStart := c.RecheckAt == 0 && registeredAt != 0 && w.Now.Sub(registeredAt) >= interval
	grown := c.Step > c.SlotsStep
	slices.Sort(c.FreeAt)
	if surplus := len(c.FreeAt) - owned; surplus > 0 {
		c.FreeAt = c.FreeAt[surplus:]
	}
	gained := owned - len(c.FreeAt)
	for i := range gained {
		freeAt := w.Now.Add(interval)
		if isStart || grown {
			position := float64(first)/float64(count) + float64(i)/float64(owned)
			freeAt = w.Now.Add(time.Duration((position - math.Floor(position)) * float64(interval)))
		}
		c.FreeAt = append(c.FreeAt, freeAt)
	}
	c.SlotsGeneration, c.SlotsStep, c.SlotsCount, c.RecheckAt = w.FleetGeneration, c.Step, count, w.Now.Add(share.RecheckTime)
	return interval
}

// AdmitsIn returns how long it takes until this router may send a request to an endpoint, or
// false if it may not as long as the endpoint is cold.
func AdmitsIn(w *world.World, e *table.DirectEndpoint) (time.Duration, bool) {
	c := w.ColdEndpoints.Get(e.ID)
	if c == nil {
		return 0, true
	}
	service := coldService(w, e)
	if service == nil {
		return 0, true
	}
	refresh(w, e, c, service)
	if len(c.FreeAt) == 0 {
		return 0, false
	}
	return max(0, slices.Min(c.FreeAt).Sub(w.Now)), true
}

// AnyLimited reports whether an endpoint does not get its full share of requests yet.
func AnyLimited(w *world.World) bool { return w.ColdEndpoints.Len() > 0 }

// Take uses a permit for a request that is sent to an endpoint.
func Take(w *world.World, e *table.DirectEndpoint) {
	c := w.ColdEndpoints.Get(e.ID)
	if c == nil {
		return
	}
	service := coldService(w, e)
	if service == nil {
		return
	}
	interval := refresh(w, e, c, service)
	for i := range c.FreeAt {
		if c.FreeAt[i] <= w.Now {
			c.FreeAt[i] = w.Now.Add(interval)
			return
		}
	}
}

// IsCold reports whether an endpoint is cold, as far as this router knows.
func IsCold(w *world.World, e *table.DirectEndpoint) bool {
	c := w.ColdEndpoints.Get(e.ID)
	return c != nil && c.IsCold(w.Now)
}

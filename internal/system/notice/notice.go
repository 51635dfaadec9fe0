// Package notice keeps what endpoints say of themselves in their answers, and decides
// what this router may still send them.
//
// An endpoint that leaves, or wants a pause from this router, gets nothing: whatever its
// entry in the platform's list says, and whether the store is in reach or not.
//
// An endpoint in need names how many requests a second it takes from all routers
// together. A few routers share that: each router computes from the members of the fleet,
// alike at all routers, which ones may send to the endpoint and how much. What an endpoint
// said is told to the other routers in reports, with its age; the latest word counts.
package notice

import (
	"fmt"
	"math"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/catalog"
	"laburnumroad.dev/laburnumroad/internal/system/share"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// lifetime is how long a notice counts that no router hears again. Routers that may
	// send to the endpoint hear it with each answer.
	lifetime = 30 * time.Second
	// leavingLifetime is how long the word of an endpoint that leaves counts: its process
	// ends before.
	leavingLifetime = 10 * time.Minute
	// reportedFor is how long a router tells others what it has heard itself, and
	// leavingReportedFor the same of endpoints that leave: their answers become rare.
	reportedFor        = 10 * time.Second
	leavingReportedFor = time.Minute
	// maxPause bounds the pause that an endpoint may ask for.
	maxPause = 10 * time.Minute
	// minRate is the least number of requests a second that all routers together send to
	// an endpoint: its answers show whether it still names a limit.
	minRate = 0.2
	// All routers together may send minBurst requests, and those of burstTime at the limit's
	// rate, at once.
	minBurst  = 3
	burstTime = 500 * time.Millisecond
	// maxAge bounds the age that a report may give, so that no message of a peer
	// overflows a time.
	maxAge = time.Hour
)

// Run applies what endpoints and other routers said in this tick.
func Run(w *world.World) {
	for i := range w.In.DirectAnswersStarted {
		e := &w.In.DirectAnswersStarted[i]
		onAnswer(w, e.Exchange, e.Attempt, &e.Notice)
	}
	for i := range w.In.DirectAttemptEnds {
		e := &w.In.DirectAttemptEnds[i]
		onAnswer(w, e.Exchange, e.Attempt, &e.Notice)
	}
	for i := range w.In.RouterReports {
		onReport(w, &w.In.RouterReports[i])
	}
	withdrawListed(w)
	w.EndpointNotices.DeleteIf(func(id table.EndpointID, n *table.EndpointNotice) bool { return outlived(w, id, n) })
}

// withdrawListed takes endpoints out of use that said they leave and are listed anew by the
// same process, as after a lapse of their entries.
func withdrawListed(w *world.World) {
	w.EndpointNotices.Each(func(id table.EndpointID, n *table.EndpointNotice) {
		e := w.DirectEndpoints.Get(id)
		if n.Leaving && e != nil && !e.SaidLeaving && e.StartedUnixMilli == n.StartedUnixMilli {
			catalog.Withdraw(w, e, "an earlier answer")
		}
	})
}

// outlived reports whether a notice no longer counts: another process of the endpoint is
// listed, or no router has heard it for its lifetime. The entry of an endpoint that leaves
// or wants a pause may be missing for a while.
func outlived(w *world.World, id table.EndpointID, n *table.EndpointNotice) bool {
	e := w.DirectEndpoints.Get(id)
	if e != nil && e.StartedUnixMilli != n.StartedUnixMilli || e == nil && !n.Leaving && w.DueOrWake(n.PausedUntil) {
		return true
	}
	end := n.SaidAt.Add(lifetime)
	if n.Leaving {
		end = n.SaidAt.Add(leavingLifetime)
	}
	return w.DueOrWake(max(end, n.PausedUntil))
}

// onAnswer applies what the answer of an attempt says.
func onAnswer(w *world.World, exchange table.ExchangeID, attempt int, said *event.EndpointNotice) {
	x := w.Exchanges.Get(exchange)
	if !said.Present || x == nil || x.Attempt != attempt {
		return
	}
	e := w.DirectEndpoints.Get(x.Endpoint)
	saysNothing := !said.RateLimited && !said.Leaving && said.Pause <= 0
	if e == nil || saysNothing && w.EndpointNotices.Get(e.ID) == nil {
		return
	}
	saidAt := w.Now.Add(-said.Age)
	n := noticeOf(w, e, saidAt)
	if said.Leaving {
		n.HeardAt = w.Now
		applyLeaving(w, e, n, "its own answer")
	}
	if said.Pause > 0 {
		applyPause(w, e, n, saidAt.Add(min(said.Pause, maxPause)))
	}
	if !said.RateLimitUnknown && applyRateLimit(w, e, n, said.RateLimited, said.RateLimit, saidAt, "its own answer") {
		n.HeardAt = w.Now
	}
}

func onReport(w *world.World, r *event.RouterReport) {
	for _, said := range r.Notices {
		e := w.DirectEndpoints.Get(said.Endpoint)
		if e == nil || e.StartedUnixMilli != said.StartedUnixMilli || math.IsNaN(said.RateLimit) || said.Age < 0 || said.Age > maxAge {
			continue
		}
		saidAt, source := w.Now.Add(-said.Age), "router "+string(r.From.Process)
		n := noticeOf(w, e, saidAt)
		if said.Leaving {
			applyLeaving(w, e, n, source)
		}
		applyRateLimit(w, e, n, said.RateLimited, max(0, said.RateLimit), saidAt, source)
	}
}

// noticeOf returns the notice of an endpoint that said something at a time.
func noticeOf(w *world.World, e *table.DirectEndpoint, saidAt table.Instant) *table.EndpointNotice {
	if n := w.EndpointNotices.Get(e.ID); n != nil {
		return n
	}
	return w.EndpointNotices.Put(e.ID, table.EndpointNotice{StartedUnixMilli: e.StartedUnixMilli, SaidAt: saidAt, FilledAt: w.Now})
}

func applyLeaving(w *world.World, e *table.DirectEndpoint, n *table.EndpointNotice, source string) {
	if n.Leaving {
		return
	}
	w.Count("notice.leaving")
	n.Leaving, n.Unreported = true, true
	catalog.Withdraw(w, e, source)
}

func applyPause(w *world.World, e *table.DirectEndpoint, n *table.EndpointNotice, until table.Instant) {
	if until <= max(w.Now, n.PausedUntil) {
		return
	}
	if n.PausedUntil <= w.Now {
		w.Count("notice.pauses")
		w.RecordStateChange("endpoint", string(e.ID), "", "paused", "it wants nothing for "+until.Sub(w.Now).Round(time.Millisecond).String())
	}
	n.PausedUntil = until
}

// applyRateLimit records what an endpoint said of its limit at a time, unless it has said
// something later, and reports whether it is recorded.
func applyRateLimit(w *world.World, e *table.DirectEndpoint, n *table.EndpointNotice, limited bool, limit float64, saidAt table.Instant, source string) bool {
	if saidAt < n.SaidAt {
		return false
	}
	n.SaidAt = saidAt
	if n.RateLimited == limited && (n.RateLimit == limit || !limited) {
		return true
	}
	logChange(w, e, n, limited, limit, source)
	n.RateLimited, n.RateLimit, n.Unreported = limited, limit, true
	updateShare(w, e.ID, n)
	return true
}

func logChange(w *world.World, e *table.DirectEndpoint, n *table.EndpointNotice, limited bool, limit float64, source string) {
	name := func(limited bool, limit float64) string {
		if !limited {
			return "unlimited"
		}
		return fmt.Sprintf("limited to %.3g/s", limit)
	}
	w.Count("notice.limits_changed")
	w.RecordStateChange("endpoint", string(e.ID), name(n.RateLimited, n.RateLimit), name(limited, limit), source)
}

// rateLimitOf returns the notice of an endpoint that names a limit, with its permits as of
// now, or nil.
func rateLimitOf(w *world.World, id table.EndpointID) *table.EndpointNotice {
	n := w.EndpointNotices.Get(id)
	if n == nil || !n.RateLimited {
		return nil
	}
	if n.ShareGeneration != w.FleetGeneration || n.ShareUntil <= w.Now {
		updateShare(w, id, n)
	}
	n.Fill(w.Now)
	return n
}

// Take uses a permit for a request that is sent to an endpoint.
func Take(w *world.World, id table.EndpointID) {
	if n := rateLimitOf(w, id); n != nil {
		n.Permits--
	}
}

// AdmitsIn returns how long it takes until an endpoint takes a request of this router, or
// false if it does not as long as its limit stands.
func AdmitsIn(w *world.World, id table.EndpointID) (time.Duration, bool) {
	var wait time.Duration
	if n := w.EndpointNotices.Get(id); n != nil {
		wait = max(0, n.PausedUntil.Sub(w.Now))
	}
	n := rateLimitOf(w, id)
	if n == nil {
		return wait, true
	}
	permitIn := n.PermitIn()
	return max(wait, permitIn), permitIn >= 0
}

// AnyLimited reports whether an endpoint is paused or names a limit.
func AnyLimited(w *world.World) bool {
	found := false
	w.EndpointNotices.Each(func(_ table.EndpointID, n *table.EndpointNotice) {
		found = found || n.RateLimited || n.PausedUntil > w.Now
	})
	return found
}

// updateShare computes this router's share of an endpoint's limit. All routers together
// may send as many requests at once as Burst adds up to, beyond the limit's rate. The
// number of routers that share a limit is bounded by that, or a large fleet would send one
// request from each router at the same moment.
func updateShare(w *world.World, id table.EndpointID, n *table.EndpointNotice) {
	n.Fill(w.Now)
	n.ShareGeneration, n.ShareUntil, n.Share, n.Burst = w.FleetGeneration, w.Now.Add(share.RecheckTime), 0, 0
	if !n.RateLimited {
		n.Permits = 0
		return
	}
	burst := minBurst + burstTime.Seconds()*n.RateLimit
	members := share.Rank(id, share.Present(w))
	senders := min(len(members), int(burst))
	if slices.Contains(members[:senders], w.Self().Process) {
		n.Share = max(n.RateLimit, minRate) / float64(senders)
		n.Burst = burst / float64(senders)
	}
	n.Permits = min(n.Permits, n.Burst)
}

// Report returns what the endpoints last said to this router itself, for a report to the
// other routers.
func Report(w *world.World) []event.ReportedNotice {
	var notices []event.ReportedNotice
	w.EndpointNotices.Each(func(id table.EndpointID, n *table.EndpointNotice) {
		age := w.Now.Sub(n.HeardAt)
		if n.HeardAt != 0 && (age < reportedFor || n.Leaving && age < leavingReportedFor) {
			notices = append(notices, event.ReportedNotice{
				Endpoint: id, StartedUnixMilli: n.StartedUnixMilli, Leaving: n.Leaving, RateLimited: n.RateLimited, RateLimit: n.RateLimit, Age: w.Now.Sub(n.SaidAt),
			})
		}
		n.Unreported = false
	})
	return notices
}

// HasNews reports whether the other routers should be told at once what endpoints said.
func HasNews(w *world.World) bool {
	news := false
	w.EndpointNotices.Each(func(_ table.EndpointID, n *table.EndpointNotice) { news = news || n.Unreported && n.HeardAt != 0 })
	return news
}

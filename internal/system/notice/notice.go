// Package notice keeps what endpoints say of themselves in their answers, and decides
// what this router may still send them.
//
// An endpoint in need names how many requests a second it takes from all routers
// together. A few routers share that: each router computes from the members of the fleet,
// alike at all routers, which ones may send to the endpoint and how much. What an endpoint
// said is told to the other routers in reports, with its age; the latest word counts.
package notice

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// lifetime is how long a notice counts that no router hears again. Routers that may
	// send to the endpoint hear it with each answer.
	lifetime = 30 * time.Second
	// reportedFor is how long a router tells others what it has heard itself.
	reportedFor = 10 * time.Second
	// minRate is the least number of requests a second that all routers together send to
	// an endpoint: its answers show whether it still names a limit.
	minRate = 0.2
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
	w.EndpointNotices.DeleteIf(func(id table.EndpointID, n *table.EndpointNotice) bool { return outlived(w, id, n) })
}

// outlived reports whether a notice no longer counts: the endpoint's process is gone, or
// no router has heard it for its lifetime.
func outlived(w *world.World, id table.EndpointID, n *table.EndpointNotice) bool {
	e := w.DirectEndpoints.Get(id)
	return e == nil || e.StartedUnixMilli != n.StartedUnixMilli || w.DueOrWake(n.SaidAt.Add(lifetime))
}

// onAnswer applies what the answer of an attempt says.
func onAnswer(w *world.World, exchange table.ExchangeID, attempt int, said *event.EndpointNotice) {
	x := w.Exchanges.Get(exchange)
	if !said.Present || x == nil || x.Attempt != attempt {
		return
	}
	e := w.DirectEndpoints.Get(x.Endpoint)
	if e == nil || !said.Limited && w.EndpointNotices.Get(e.ID) == nil {
		return
	}
	if n := apply(w, e, said.Limited, said.Limit, w.Now.Add(-said.Age), "its own answer"); n != nil {
		n.HeardAt = w.Now
	}
}

func onReport(w *world.World, r *event.RouterReport) {
	for _, l := range r.Limits {
		e := w.DirectEndpoints.Get(l.Endpoint)
		if e == nil || e.StartedUnixMilli != l.StartedUnixMilli || math.IsNaN(l.Limit) || l.Age < 0 || l.Age > maxAge {
			continue
		}
		apply(w, e, l.Limited, max(0, l.Limit), w.Now.Add(-l.Age), "router "+string(r.From.Process))
	}
}

// apply records what an endpoint said at a time, unless it has said something later. It
// returns the notice if it is recorded.
func apply(w *world.World, e *table.DirectEndpoint, limited bool, limit float64, saidAt table.Instant, source string) *table.EndpointNotice {
	n := w.EndpointNotices.Get(e.ID)
	if n == nil {
		n = w.EndpointNotices.Put(e.ID, table.EndpointNotice{StartedUnixMilli: e.StartedUnixMilli, FilledAt: w.Now})
	}
	if saidAt < n.SaidAt {
		return nil
	}
	n.SaidAt = saidAt
	if n.Limited == limited && (n.Limit == limit || !limited) {
		return n
	}
	logChange(w, e, n, limited, limit, source)
	n.Limited, n.Limit, n.Unreported = limited, limit, true
	updateShare(w, e.ID, n)
	return n
}

func logChange(w *world.World, e *table.DirectEndpoint, n *table.EndpointNotice, limited bool, limit float64, source string) {
	name := func(limited bool, limit float64) string {
		if !limited {
			return "unlimited"
		}
		return fmt.Sprintf("limited to %.3g/s", limit)
	}
	w.Count("notice.limits_changed")
	w.RecordStateChange("endpoint", string(e.ID), name(n.Limited, n.Limit), name(limited, limit), source)
}

// current returns the notice of an endpoint that names a limit, with its permits as of
// now, or nil.
func current(w *world.World, id table.EndpointID) *table.EndpointNotice {
	n := w.EndpointNotices.Get(id)
	if n == nil || !n.Limited {
		return nil
	}
	if n.ShareGeneration != w.FleetGeneration {
		updateShare(w, id, n)
	}
	n.Fill(w.Now)
	return n
}

// Admits reports whether an endpoint takes a request of this router now.
func Admits(w *world.World, id table.EndpointID) bool {
	n := current(w, id)
	return n == nil || n.Permits >= 1
}

// Take uses a permit for a request that is sent to an endpoint.
func Take(w *world.World, id table.EndpointID) {
	if n := current(w, id); n != nil {
		n.Permits--
	}
}

// AdmitsIn returns how long it takes until an endpoint takes a request of this router, or
// false if it does not as long as its limit stands.
func AdmitsIn(w *world.World, id table.EndpointID) (time.Duration, bool) {
	n := current(w, id)
	if n == nil {
		return 0, true
	}
	d := n.PermitIn()
	return d, d >= 0
}

// updateShare computes this router's share of an endpoint's limit. All routers together
// may send as many requests at once as Burst adds up to, beyond the limit's rate. The
// number of routers that share a limit is bounded by that, or a large fleet would send one
// request from each router at the same moment.
func updateShare(w *world.World, id table.EndpointID, n *table.EndpointNotice) {
	n.Fill(w.Now)
	n.ShareGeneration, n.Share, n.Burst = w.FleetGeneration, 0, 0
	if !n.Limited {
		n.Permits = 0
		return
	}
	burst := 3 + n.Limit/2
	members := membersByRank(w, id)
	senders := min(len(members), int(burst))
	if slices.Contains(members[:senders], w.Self().Process) {
		n.Share = max(n.Limit, minRate) / float64(senders)
		n.Burst = burst / float64(senders)
	}
	n.Permits = min(n.Permits, n.Burst)
}

// membersByRank returns the routers of the fleet by their rank for an endpoint. Those in
// the limit ledger count also while no session with them is open: a router that is cut off
// for a moment must not take the shares of others.
func membersByRank(w *world.World, id table.EndpointID) []table.ProcessID {
	members := []table.ProcessID{w.Self().Process}
	add := func(p table.ProcessID) {
		if !slices.Contains(members, p) {
			members = append(members, p)
		}
	}
	for i := range w.LimitLedgerView.Content.Holders {
		add(w.LimitLedgerView.Content.Holders[i].Process)
	}
	w.RouterPeers.Each(func(p table.ProcessID, peer *table.RouterPeer) {
		if peer.Connected {
			add(p)
		}
	})
	slices.SortFunc(members, func(a, b table.ProcessID) int {
		return cmp.Or(cmp.Compare(table.RendezvousRank(string(id), string(b)), table.RendezvousRank(string(id), string(a))), cmp.Compare(a, b))
	})
	return members
}

// Report returns what the endpoints last said to this router itself, for a report to the
// other routers.
func Report(w *world.World) []event.EndpointLimit {
	var limits []event.EndpointLimit
	w.EndpointNotices.Each(func(id table.EndpointID, n *table.EndpointNotice) {
		if n.HeardAt != 0 && w.Now.Sub(n.HeardAt) < reportedFor {
			limits = append(limits, event.EndpointLimit{
				Endpoint: id, StartedUnixMilli: n.StartedUnixMilli, Limited: n.Limited, Limit: n.Limit, Age: w.Now.Sub(n.SaidAt),
			})
		}
		n.Unreported = false
	})
	return limits
}

// HasNews reports whether the other routers should be told at once what endpoints said.
func HasNews(w *world.World) bool {
	news := false
	w.EndpointNotices.Each(func(_ table.EndpointID, n *table.EndpointNotice) { news = news || n.Unreported && n.HeardAt != 0 })
	return news
}

package allowance

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// lowShare is the part of the wanted margin below which more is asked for
	// although no request waits, if the ledger can add gainShare of it.
	lowShare  = 2
	gainShare = 4
	// lowInterval and spentInterval bound the changes of one router's entry for low
	// margins, and those that only tell the other routers what was spent. Where a
	// router writes its entry itself in a fleet of more than fleetUnit routers, they
	// grow with the fleet, so that the calls to the store do not.
	lowInterval   = 300 * time.Millisecond
	spentInterval = 2 * time.Second
	fleetUnit     = 4
	// staleAfter is the age from which the known ledger may have changed enough
	// to try a write for a waiting request although it showed nothing left.
	staleAfter = time.Second
)

// planWrite sends the next write of the ledger, or asks another router for it, if
// one is due.
func planWrite(w *world.World) {
	s := &w.LimitShare
	if s.Calling || s.Closed || w.Manifest.Version == 0 || !due(w) {
		return
	}
	if s.NextTry > w.Now {
		w.WakeAt(s.NextTry)
		return
	}
	content := propose(w)
	lower(w, &content)
	s.Calling, s.CalledAt, s.CalledRevision = true, w.Now, s.Revision
	w.Out.LimitWrites = append(w.Out.LimitWrites, command.WriteLimits{Revision: s.Revision, Content: content})
	w.Count("allowance.writes")
}

// due reports whether a write of this router is worth its call now.
func due(w *world.World) bool {
	s := &w.LimitShare
	if !s.Known {
		return true
	}
	own := s.Content.Find(w.Self())
	if w.Closing {
		return w.Exchanges.Len() == 0 || own != nil && surplus(w) && dueAt(w, s.WrittenAt.Add(scaled(w, lowInterval)))
	}
	n := needOf(w, own)
	if n.lowers && dueAt(w, s.WrittenAt.Add(scaled(w, spentInterval))) || own != nil && requested(w) {
		return true
	}
	if behind(w) {
		// The call conflicts, and its answer has the whole ledger.
		return dueAt(w, s.WrittenAt.Add(lowInterval))
	}
	if writer := chooseWriter(w, own != nil); writer != nil {
		return !request(w, writer, own, n)
	}
	return dueFor(w, n.urgency, s.WrittenAt, scaled(w, lowInterval), scaled(w, spentInterval))
}

// urgency says how soon the ledger must change for a router.
type urgency int

const (
	urgencyNone urgency = iota
	// urgencySpent only tells the others what was spent.
	urgencySpent
	// urgencyLow fills margins up.
	urgencyLow
	// urgencyWaiting serves a request that waits.
	urgencyWaiting
)

// need is what a router wants from a change of the ledger.
type need struct {
	urgency urgency
	// lowers is true if it would give back a part of its limits.
	lowers bool
}

func needOf(w *world.World, own *table.LimitHolder) need {
	s := &w.LimitShare
	if own == nil {
		// Without an entry nothing can be spent.
		return need{urgency: urgencyWaiting}
	}
	n := need{urgency: urgencyNone}
	eachLimited(w, func(c table.CustomerID, p *table.Prepaid, a *table.Account) {
		left := p.Total - s.Content.Allocated(c)
		margin := wanted(w, a, p)
		target := limit(w, a, p, &s.Content, s.Routers, margin)
		n.lowers = n.lowers || target < a.Recorded
		if left < 0 && a.Recorded > 0 {
			n.urgency = max(n.urgency, urgencyLow)
		}
		if a.Missing > 0 && !asking(w, a) && (left >= a.Missing || s.Confirmed.Add(scaled(w, staleAfter)) <= w.Now) {
			n.urgency = urgencyWaiting
		}
		if a.Free() < margin/lowShare && target-a.Recorded > margin/gainShare {
			n.urgency = max(n.urgency, urgencyLow)
		}
		if a.Net() != own.Entries[c].Spent {
			n.urgency = max(n.urgency, urgencySpent)
		}
	})
	return n
}

// dueFor reports whether a change of an urgency is due after one at last.
func dueFor(w *world.World, u urgency, last table.Instant, low, spent time.Duration) bool {
	switch u {
	case urgencyWaiting:
		return true
	case urgencyLow:
		return dueAt(w, last.Add(low))
	case urgencySpent:
		return dueAt(w, last.Add(spent))
	}
	return false
}

// surplus reports whether limits are recorded that a router which shuts down
// does not need.
func surplus(w *world.World) bool {
	more := false
	w.Accounts.Each(func(_ table.CustomerID, a *table.Account) {
		more = more || a.Recorded > a.Used()-a.Base
	})
	return more
}

// scaled returns an interval for the size of the fleet.
func scaled(w *world.World, d time.Duration) time.Duration {
	return max(d, d*time.Duration(w.LimitShare.Routers)/fleetUnit)
}

func dueAt(w *world.World, at table.Instant) bool {
	if at <= w.Now {
		return true
	}
	w.WakeAt(at)
	return false
}

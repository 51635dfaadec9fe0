// Package peers keeps the sessions with the other routers of the fleet and exchanges
// reports with them.
package peers

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/allowance"
	"laburnumroad.dev/laburnumroad/internal/system/evacuation"
	"laburnumroad.dev/laburnumroad/internal/system/link"
	"laburnumroad.dev/laburnumroad/internal/system/load"
	"laburnumroad.dev/laburnumroad/internal/system/notice"
	"laburnumroad.dev/laburnumroad/internal/system/warmup"
	"laburnumroad.dev/laburnumroad/internal/system/watch"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// Reports between routers are sent at an interval of reportIntervalPerRouter for
	// each router of the fleet, within the two bounds, so that the number of reports
	// that a router receives in a second does not grow with the fleet.
	reportIntervalPerRouter = 20 * time.Millisecond
	minReportInterval       = 500 * time.Millisecond
	maxReportInterval       = 2 * time.Second
	// A session on which nothing arrives ends after the time of missedReports reports, or
	// MinIdleTimeout if that is longer: it may have gone silent without a reset.
	missedReports  = 3
	MinIdleTimeout = 2500 * time.Millisecond
	// dialYieldDelay is how long the router with the greater name waits before it
	// dials.
	dialYieldDelay = 400 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the delay between attempts to connect
	// to a router that has an entry in the ledger: its process may have ended.
	minRedialDelay = 250 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// Run handles the sessions and reports of this tick, opens missing sessions and sends
// the periodic report.
func Run(w *world.World) {
	for i := range w.In.SessionsOpened {
		onSessionOpened(w, &w.In.SessionsOpened[i])
	}
	for _, closed := range w.In.SessionsClosed {
		onSessionClosed(w, closed)
	}
	for i := range w.In.RouterReports {
		onRouterReport(w, &w.In.RouterReports[i])
		watch.SendWanted(w, &w.In.RouterReports[i])
	}
	dialPeers(w)
	sendReport(w)
}

func onSessionOpened(w *world.World, e *event.SessionOpened) {
	w.RouterPeers.Put(e.Process.Process, table.RouterPeer{
		Holder: e.Process.Holder, Domain: e.Process.Domain, Cores: e.Process.Cores, Connected: true, Session: e.Session,
	})
	w.FleetGeneration++
	w.RecordStateChange("router", string(e.Process.Process), "", "connected", "session opened")
}

func onSessionClosed(w *world.World, e event.SessionClosed) {
	peer := w.RouterPeers.Get(e.Peer.Process)
	if peer == nil || peer.Session != e.Session {
		return
	}
	peer.Connected, peer.AbsentSince, peer.Available, peer.SendRates = false, w.Now, nil, nil
	w.FleetGeneration++
	w.RecordStateChange("router", string(peer.Process), "connected", "", "session ended")
}

func onRouterReport(w *world.World, e *event.RouterReport) {
	peer := w.RouterPeers.Get(e.From.Process)
	if peer == nil || peer.Holder != e.From {
		return
	}
	if peer.StoreDown != e.StoreDown {
		w.FleetGeneration++
	}
	peer.StoreDown, peer.Available, peer.LinkFull = e.StoreDown, e.Available, e.LinkFull
	load.OnReport(w, peer, e)
}

// dialPeers opens sessions with the routers in the ledger. In each pair, the
// router with the lesser name dials at once. The other one waits first,
// because it may learn of its peer before the peer learns of it.
func dialPeers(w *world.World) {
	if w.DialCheckGeneration == w.FleetGeneration && w.DialCheckAt > w.Now {
		w.WakeAt(w.DialCheckAt)
		return
	}
	w.DialCheckGeneration, w.DialCheckAt = w.FleetGeneration, table.Never
	for i := range w.LimitLedgerView.Content.Holders {
		holder := &w.LimitLedgerView.Content.Holders[i]
		if holder.Process == w.Self().Process || holder.Address == "" {
			continue
		}
		peer := w.RouterPeers.Get(holder.Process)
		if peer == nil || peer.Holder != holder.Holder && !peer.Connected {
			peer = w.RouterPeers.Put(holder.Process, table.RouterPeer{Holder: holder.Holder, AbsentSince: w.Now})
			if holder.Process < w.Self().Process {
				peer.DialAt = w.Now.Add(dialYieldDelay)
			}
		}
		if peer.Connected {
			continue
		}
		if peer.DialAt <= w.Now {
			peer.DialBackoff = min(max(2*peer.DialBackoff, minRedialDelay), maxRedialDelay)
			peer.DialAt = w.Now.Add(peer.DialBackoff)
			w.Out.Dials = append(w.Out.Dials, command.Dial{Process: holder.Process, Address: holder.Address})
		}
		w.DialCheckAt = min(w.DialCheckAt, peer.DialAt)
	}
	w.WakeAt(w.DialCheckAt)
}

// sendReport sends the periodic report to the other routers, and one at once if the
// store went out of reach or came back, if this router lacks changes, if an endpoint said
// something new, or if the store told it of an evacuation: the others choose their delegates
// by it, send what is missing, or do what the endpoint or the operator wants. The reports
// also keep sessions open, which end after several missing ones.
func sendReport(w *world.World) {
	storeDown := !w.PlatformReachable || w.LimitLedgerView.Backoff > 0
	nextReport := w.ReportSentAt.Add(ReportInterval(w))
	wants := watch.Wants(w)
	if storeDown != w.ReportedStoreDown || len(wants) > 0 || notice.HasNews(w) || w.EvacuationsUnreported {
		nextReport = min(nextReport, w.ReportSentAt.Add(minReportInterval))
	}
	if nextReport > w.Now {
		w.WakeAt(nextReport)
		return
	}
	w.ReportSentAt, w.ReportedStoreDown = w.Now, storeDown
	w.WakeAt(w.Now.Add(ReportInterval(w)))
	evacuated, evacuationsCovered, evacuationsLost := evacuation.Report(w)
	w.Out.RouterReports = append(w.Out.RouterReports, command.SendRouterReport{Report: event.RouterReport{
		InEra: w.InEra(), Available: allowance.HeldTokens(w), StoreDown: storeDown, FollowedFor: watch.FollowedFor(w), LastChanges: watch.LastChanges(w),
		ManifestVersion: w.Manifest.Version, WantsLedgerOf: allowance.WantsLedgerOf(w),
		Wants: wants, Notices: notice.Report(w), Evacuated: evacuated, EvacuationsCovered: evacuationsCovered, EvacuationsLost: evacuationsLost, Lost: warmup.Report(w), LinkFull: link.IsFull(w),
		Loads: load.Report(w, ReportInterval(w)), SendRates: load.SendRates(w),
	}})
}

// ReportInterval returns the interval between reports to the other routers.
func ReportInterval(w *world.World) time.Duration {
	return min(max(reportIntervalPerRouter*time.Duration(w.LimitLedgerView.RouterCount), minReportInterval), maxReportInterval)
}

// IdleTimeout returns how long a session is kept on which nothing arrives.
func IdleTimeout(w *world.World) time.Duration {
	return max(MinIdleTimeout, missedReports*ReportInterval(w))
}

// Package shed decides which connections and requests of clients end when they hold more
// than the host has. It answers crowds of clients that keep no limits: many at once, that
// stop halfway, or that send or read slowly.
//
// Clients are not known by name. What tells a sound one from the others is progress: a client
// that is behind a modest pace ends before one that keeps it, and one that waits for this
// process or an endpoint never ends.
package shed

import (
	"cmp"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
)

const (
	// minPace is the pace, in bytes a second, that a client must keep while it sends a
	// request or reads an answer.
	minPace = 64 << 10
	// stalledLag is the lag from which a request ends if others lack memory or a connection.
	stalledLag = time.Second
	// maxLag is the lag at which a request ends in any case.
	maxLag = 30 * time.Second
)

// lag returns how far a client is behind minPace.
func lag(h *table.Holding) time.Duration {
	return h.PhaseAge - time.Duration(h.Moved)*time.Second/minPace
}

// isStalled reports whether a holding waits for a client that is behind.
func isStalled(h *table.Holding) bool {
	return h.Phase != table.HoldingWorking && lag(h) >= stalledLag
}

// ForMemory returns the holdings to end so that at least need bytes become free: those whose
// clients are stalled, the largest first. It returns none if that is not enough. Clients that
// keep their connection for the next request are not stalled.
func ForMemory(rows []table.Holding, need int64) []table.HoldingID {
	var stalled []table.Holding
	for i := range rows {
		h := &rows[i]
		if keptOpen := h.Phase == table.HoldingIdle && h.Served; isStalled(h) && !keptOpen {
			stalled = append(stalled, *h)
		}
	}
	slices.SortFunc(stalled, func(a, b table.Holding) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(lag(&b), lag(&a)), cmp.Compare(a.ID, b.ID))
	})
	var ended []table.HoldingID
	for i := range stalled {
		if need <= 0 {
			break
		}
		need -= stalled[i].Bytes
		ended = append(ended, stalled[i].ID)
	}
	if need > 0 {
		return nil
	}
	return ended
}

// ForConnection returns the connection to end so that a new one of the class can open, or
// false if there is none: one without a request, or one whose client is stalled. Connections
// that never brought a request end first, and of several the one that is furthest behind.
func ForConnection(rows []table.Holding, class table.ListenerClass) (table.HoldingID, bool) {
	var worst *table.Holding
	for i := range rows {
		h := &rows[i]
		canEnd := h.Phase == table.HoldingIdle || isStalled(h)
		if h.Class == class && h.Connection && canEnd && (worst == nil || endsBefore(h, worst)) {
			worst = h
		}
	}
	if worst == nil {
		return 0, false
	}
	return worst.ID, true
}

func endsBefore(a, b *table.Holding) bool {
	if a.Served != b.Served {
		return b.Served
	}
	return lag(a) > lag(b)
}

// Overdue returns the holdings that end although nothing is short: their clients send or
// read so slowly that they would hold a connection for good.
func Overdue(rows []table.Holding) []table.HoldingID {
	var overdue []table.HoldingID
	for i := range rows {
		h := &rows[i]
		if h.Phase != table.HoldingIdle && isStalled(h) && lag(h) >= maxLag {
			overdue = append(overdue, h.ID)
		}
	}
	return overdue
}

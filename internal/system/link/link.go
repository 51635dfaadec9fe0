// Package link decides whether this router's own link is congested.
//
// If requests bring more bytes than the link carries, packets wait for it: every
// request would be late here, while other routers of the failure domain may have room.
// The router then refuses new requests at once, so that clients try another one, and
// leaves the rotation of the load balancer while it lasts. It knows of a full link by
// the bytes that it takes on and the rate of the link, and by the time that
// connections to endpoints take, which open within milliseconds otherwise.
package link

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// maxConnectTime is the mean time to open a connection above which the link is
	// congested. It takes 1 to 6 ms on an idle link.
	maxConnectTime = 200 * time.Millisecond
	// maxQueueTime is the time that what waits for the link may take.
	maxQueueTime = 100 * time.Millisecond
	// requestOverhead is what a request adds to its body on the link: the headers and
	// the answer, in bytes.
	requestOverhead = 2 << 10
	// sampleLifetime is how long the mean is used after the last sample. A congested
	// router opens no connections, and its queue drains meanwhile.
	sampleLifetime = 300 * time.Millisecond
	// A router leaves the rotation after the link was congested in leaveTime of the
	// last time, and returns after returnTime without congestion.
	leaveTime  = time.Second
	returnTime = 3 * time.Second
)

// Run applies the connect times of this tick.
func Run(w *world.World) {
	l := &w.Link
	for _, s := range w.In.ConnectTimes {
		if w.Now.Sub(l.SampledAt) > sampleLifetime {
			l.MeanConnectTime = 0
		}
		l.MeanConnectTime = table.UpdateMovingAverage(l.MeanConnectTime, s.Duration)
		l.SampledAt = w.Now
	}
	updateCongestion(w)
	updateRotation(w)
}

// Admit reports whether the link has room for a request with a body of the given
// length, and adds it to what waits for the link if so.
func Admit(w *world.World, bodyBytes int) bool {
	l := &w.Link
	updateQueue(w)
	if l.Congested || queueTime(w) > maxQueueTime {
		updateCongestion(w)
		return false
	}
	l.QueuedBytes += float64(bodyBytes + requestOverhead)
	return true
}

func updateQueue(w *world.World) {
	l := &w.Link
	l.QueuedBytes = max(0, l.QueuedBytes-w.Params.Front.LinkBytesPerSecond*w.Now.Sub(l.QueuedAt).Seconds())
	l.QueuedAt = w.Now
}

func queueTime(w *world.World) time.Duration {
	rate := w.Params.Front.LinkBytesPerSecond
	if rate <= 0 {
		return 0
	}
	return time.Duration(w.Link.QueuedBytes / rate * float64(time.Second))
}

func updateCongestion(w *world.World) {
	l := &w.Link
	slow := l.MeanConnectTime > maxConnectTime && w.Now.Sub(l.SampledAt) <= sampleLifetime
	if slow {
		w.WakeAt(l.SampledAt.Add(sampleLifetime + 1))
	}
	updateQueue(w)
	excess := queueTime(w) - maxQueueTime
	if excess > 0 {
		w.WakeAt(w.Now.Add(excess + 1))
	}
	congested := slow || excess > 0
	if congested == l.Congested {
		return
	}
	l.Congested = congested
	if !congested {
		l.ClearSince = w.Now
		return
	}
	if l.CongestedSince == 0 || w.Now.Sub(l.ClearSince) > returnTime {
		l.CongestedSince = w.Now
	}
	w.Count("link.congested")
}

// updateRotation takes the router out of the rotation, or back, with hysteresis: the
// clients that leave would otherwise come back at once.
func updateRotation(w *world.World) {
	l := &w.Link
	switch {
	case !l.OutOfRotation && l.Congested:
		if w.DueOrWake(l.CongestedSince.Add(leaveTime)) {
			l.OutOfRotation = true
			w.RecordStateChange("link", string(w.Self().Process), "ready", "congested", "connections take "+l.MeanConnectTime.Round(time.Millisecond).String())
		}
	case l.OutOfRotation && !l.Congested:
		if w.DueOrWake(l.ClearSince.Add(returnTime)) {
			l.OutOfRotation, l.CongestedSince = false, 0
			w.RecordStateChange("link", string(w.Self().Process), "congested", "ready", "no congestion for "+returnTime.String())
		}
	}
}

// Package link decides whether this router's own link is congested.
//
// If requests bring more bytes than the link carries, packets wait for it: every
// request would be late here, while other routers of the failure domain may have room.
// The router then refuses new requests at once, so that clients try another one, and
// leaves the rotation of the load balancer while it lasts. It knows of a full link by
// the bytes that it takes on and the rate of the link, and by the time that
// connections to endpoints take, which open within milliseconds otherwise.
//
// It answers a load that enters few routers: a load balancer that chooses by client sends
// one of them all requests of a large customer, and the same ones again when it returns.
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
	// requestOverhead is what a request and its answer add to their bodies on the link:
	// headers, in bytes. defaultAnswerBytes is the length of an answer of a route that was
	// not answered yet.
	requestOverhead    = 1 << 10
	defaultAnswerBytes = 1 << 10
	// maxAnswerBytes bounds the length that is learned from one answer, and maxBacklog what
	// is assumed to wait for the link: one absurd request must not close the router.
	maxAnswerBytes = 1 << 20
	maxBacklog     = 2 * time.Second
	// minAnswerShare is the least share of the link's way in that answers get.
	minAnswerShare = 0.25
	// sampleLifetime is how long the mean is used after the last sample. A congested
	// router opens no connections, and its queue drains meanwhile.
	sampleLifetime = 300 * time.Millisecond
)

// Run applies the connect times of this tick.
func Run(w *world.World) {
	l := &w.Link
	for _, s := range w.In.ConnectTimes {
		if w.Now.Sub(l.SampledAt) > sampleLifetime {
			l.MeanConnectTime, l.SlowConnectShare = 0, 0
		}
		l.MeanConnectTime = table.UpdateMovingAverage(l.MeanConnectTime, s.Duration)
		l.SampledAt = w.Now
		observeConnect(w, s.Duration)
	}
	recordAnswerSizes(w)
	updateCongestion(w)
	updateRotation(w)
}

// updateQueue lets what waits for the two directions of the link pass. Requests take their
// part of the way in, refused ones too, and leave the rest for answers.
func updateQueue(w *world.World) {
	l := &w.Link
	elapsed := w.Now.Sub(l.QueuedAt).Seconds()
	l.QueuedBytes = max(0, l.QueuedBytes-w.Params.Front.LinkBytesPerSecond*elapsed)
	l.QueuedAnswerBytes = max(0, l.QueuedAnswerBytes-answerRate(w)*elapsed)
	l.QueuedAt = w.Now
}

// answerRate returns the rate at which answers come in, in bytes per second.
func answerRate(w *world.World) float64 {
	rate := w.Params.Front.LinkBytesPerSecond
	w.Link.Received.Add(w.Now, 0, demandPeriod)
	return max(minAnswerShare*rate, rate-w.Link.Received.PerSecond)
}

// queueTime returns how long what waits takes in the slower direction.
func queueTime(w *world.World) time.Duration {
	rate := w.Params.Front.LinkBytesPerSecond
	if rate <= 0 {
		return 0
	}
	seconds := max(w.Link.QueuedBytes/rate, w.Link.QueuedAnswerBytes/answerRate(w))
	return time.Duration(seconds * float64(time.Second))
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

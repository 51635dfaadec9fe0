// Package load estimates how busy endpoints are when many routers send to the same ones
// and each hears of an endpoint only now and then.
//
// An estimate starts from the latest load report that any router heard: routers pass on
// what they hear. Since then, this router's requests are counted, those of the others are
// expected: they decide alike, so this router's own choice says what they send where.
package load

import (
	"math"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// maxReportAge is how long a load report is used.
	maxReportAge = 3 * time.Second
	// slowdownMemory is the time constant with which a slowdown ends.
	slowdownMemory = 300 * time.Millisecond
	// drainTime is how long an endpoint needs for a request in its queue.
	drainTime = 40 * time.Millisecond
	// defaultDuration is assumed for requests of a service that ended none so far.
	defaultDuration = time.Second
	// minSpeed and maxSpeed bound the learnt speed of an endpoint.
	minSpeed = 0.25
	maxSpeed = 4.0
)

// Estimate is the load of an endpoint, as far as this router knows it.
type Estimate struct {
	// Running and Waiting count the requests that run and wait at the endpoint.
	Running float64
	Waiting float64
	// Slowdown is how long work takes there, in units of its usual time; at least 1.
	Slowdown float64
	// Speed is the endpoint's usual speed in units of the mean of its service.
	Speed float64
	// Age is how old the report is, if Reported.
	Age      time.Duration
	Reported bool
}

// Speed returns the learnt speed of an endpoint in units of the mean of its service.
func Speed(w *world.World, e *table.DirectEndpoint) float64 {
	t := w.ServiceTraffic.Get(e.Service)
	if t == nil || e.EventTime <= 0 || t.MeanEventTime <= 0 {
		return 1
	}
	return min(max(float64(t.MeanEventTime)/float64(e.EventTime), minSpeed), maxSpeed)
}

// timeAt returns the mean time that a request is at an endpoint.
func timeAt(w *world.World, e *table.DirectEndpoint) time.Duration {
	mean := defaultDuration
	if t := w.ServiceTraffic.Get(e.Service); t != nil && t.MeanDuration > 0 {
		mean = t.MeanDuration
	}
	return time.Duration(float64(mean) / Speed(w, e))
}

// Of returns the estimated load of an endpoint.
func Of(w *world.World, e *table.DirectEndpoint) Estimate {
	l := Estimate{Running: float64(e.InFlight), Slowdown: 1, Speed: Speed(w, e)}
	l.Age, l.Reported = reportAge(w, e)
	l.Running += e.OthersInFlight * decay(w.Now.Sub(e.OthersAt), timeAt(w, e))
	if l.Reported {
		// A queue gets shorter by a request in each drainTime.
		drained := l.Age.Seconds() / drainTime.Seconds()
		l.Waiting = max(0, float64(e.ReportedWaiting)-drained)
		l.Slowdown = max(1, 1+decay(l.Age, slowdownMemory)*(e.ReportedSlowdown-1))
	}
	return l
}

// decay returns how much of a difference is left after an age, 0 to 1.
func decay(age, constant time.Duration) float64 {
	return math.Exp(-age.Seconds() / constant.Seconds())
}

// reportAge returns the age of the latest report of an endpoint, or false if it is of no use.
func reportAge(w *world.World, e *table.DirectEndpoint) (time.Duration, bool) {
	age := max(0, w.Now.Sub(e.ReportedAt))
	return age, e.ReportedAt != 0 && age < maxReportAge
}

// ownSince returns by how much this router's requests in flight have changed since a time.
func ownSince(e *table.DirectEndpoint, t table.Instant) int {
	sum := 0
	for i := len(e.Changes) - 1; i >= 0 && e.Changes[i].At > t; i-- {
		sum += e.Changes[i].Own
	}
	return sum
}

// expectedSince returns how many of the requests that other routers are expected to have
// sent since a time are still at the endpoint.
func expectedSince(w *world.World, e *table.DirectEndpoint, t table.Instant, duration time.Duration) float64 {
	sum := 0.0
	for i := len(e.Changes) - 1; i >= 0 && e.Changes[i].At > t; i-- {
		sum += e.Changes[i].Others * decay(w.Now.Sub(e.Changes[i].At), duration)
	}
	return sum
}

package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// Figures of a report above these are absurd.
	maxRequests  = 1_000_000
	maxSlowdown  = 1000.0
	maxEventTime = time.Minute
	maxSendRate  = 1e6
	// maxChanges bounds the changes kept for an endpoint.
	maxChanges = 256
	// rateConstant is the time constant of the rates of requests.
	rateConstant = 2 * time.Second
	// minEvents is the least number of events of a stream that shows the endpoint's speed.
	minEvents = 8
	// passedBytesPerSecond bounds what a router sends of load reports, and so what it
	// receives; reportBytes is about the size of one.
	passedBytesPerSecond = 6000
	reportBytes          = 30
	// speedSamples is how many samples determine the learnt speed of an endpoint. With fewer,
	// its noise would move the homes of prompts.
	speedSamples = 20
	// meanWeight is the weight of a sample in the means over a service.
	meanWeight = 0.02
	// expectInterval is the least time between two counts of what other routers are expected
	// to send, maxExpectTime the longest that one counts.
	expectInterval = 25 * time.Millisecond
	maxExpectTime  = 500 * time.Millisecond
	// minSendRate is the least rate, in requests a second, that is kept and reported.
	minSendRate = 0.1
	// surprisePerSecond is how much news, in requests, an endpoint is worth for each second
	// in which no router passed on its report.
	surprisePerSecond = 1.0
	// maxServices bounds the services whose rates are reported.
	maxServices = 8
)

// Record takes over a load report that this router received from an endpoint itself.
func Record(w *world.World, e *table.DirectEndpoint, r event.LoadReport) {
	if e == nil || !r.Present {
		return
	}
	if apply(w, e, r) {
		e.ReportUnsent = true
	}
}

// apply takes over a report that is later than the one known.
func apply(w *world.World, e *table.DirectEndpoint, r event.LoadReport) bool {
	if !plausible(r) {
		w.Count("load.reports_ignored")
		return false
	}
	sentAt := w.Now.Add(-r.Age)
	if sentAt <= e.ReportedAt && e.ReportedAt != 0 {
		return false
	}
	e.ReportedRunning, e.ReportedWaiting, e.ReportedSlowdown, e.ReportedAt = r.Running, r.Waiting, r.Slowdown, sentAt
	e.ReportUnsent = false
	// What was not this router's at the time of the report is the other routers', and what
	// they have sent since.
	duration := timeAt(w, e)
	others := r.Running + r.Waiting - (e.InFlight - ownSince(e, sentAt))
	e.OthersMean = table.UpdateMovingAverage(e.OthersMean, max(0, float64(others)))
	expected := e.OthersInFlight * decay(w.Now.Sub(e.OthersAt), duration)
	e.OthersInFlight = max(0, float64(others))*decay(r.Age, duration) + expectedSince(w, e, sentAt, duration)
	e.ReportSurprise = math.Abs(e.OthersInFlight - expected)
	e.OthersAt = w.Now
	return true
}

// plausible reports whether a report's figures can be true.
func plausible(r event.LoadReport) bool {
	return r.Running >= 0 && r.Running <= maxRequests && r.Waiting >= 0 && r.Waiting <= maxRequests &&
		r.Slowdown > 0 && r.Slowdown <= maxSlowdown && r.Age >= 0
}

// CountSend records that this router sends a request to an endpoint. bound is true if it
// goes to a place of its prompt.
func CountSend(w *world.World, e *table.DirectEndpoint, bound bool) {
	CountChange(w, e, 1)
	t := trafficOf(w, e.Service)
	t.Sends.Add(w.Now, 1, rateConstant)
	sample := 0.0
	if bound {
		sample = 1
	}
	t.BoundShare += meanWeight * (sample - t.BoundShare)
}

// CountChange records a change of this router's requests in flight at an endpoint.
func CountChange(w *world.World, e *table.DirectEndpoint, delta int) {
	change(w, e).Own += delta
}

// change returns the change of an endpoint's requests in flight at this time.
func change(w *world.World, e *table.DirectEndpoint) *table.InFlightChange {
	if n := len(e.Changes); n > 0 && e.Changes[n-1].At == w.Now {
		return &e.Changes[n-1]
	}
	old := 0
	for old < len(e.Changes) && (w.Now.Sub(e.Changes[old].At) > maxReportAge || len(e.Changes)-old >= maxChanges) {
		old++
	}
	e.Changes = append(slices.Delete(e.Changes, 0, old), table.InFlightChange{At: w.Now})
	return &e.Changes[len(e.Changes)-1]
}

// ExpectDue reports whether the requests that other routers send to a service are to be
// counted again.
func ExpectDue(w *world.World, service table.ServiceName) bool {
	return w.Now.Sub(trafficOf(w, service).ExpectedAt) >= expectInterval
}

// Expect counts what other routers are expected to have sent to endpoints of a service
// since the last time, given the share that each of them gets.
func Expect(w *world.World, service table.ServiceName, endpoints []*table.DirectEndpoint, shares []float64) {
	t := trafficOf(w, service)
	sent := OthersRate(w, service) * min(w.Now.Sub(t.ExpectedAt), maxExpectTime).Seconds()
	t.ExpectedAt = w.Now
	for i, e := range endpoints {
		e.OthersInFlight = e.OthersInFlight*decay(w.Now.Sub(e.OthersAt), timeAt(w, e)) + sent*shares[i]
		e.OthersAt = w.Now
		if sent > 0 {
			change(w, e).Others += sent * shares[i]
		}
	}
}

// Learn takes over what an attempt that ended shows about its endpoint and its service.
func Learn(w *world.World, x *table.Exchange, e *table.DirectEndpoint, end *event.DirectAttemptEnd) {
	if end.Failed() {
		return
	}
	t := trafficOf(w, e.Service)
	t.MeanDuration = table.UpdateMovingAverage(t.MeanDuration, w.Now.Sub(x.AttemptSentAt))
	if events := end.DeliveredEvents - x.DeliveredEvents; x.AnswerStarted && events >= minEvents {
		learnEventTime(w, e, w.Now.Sub(x.AnswerStartedAt)/time.Duration(events-1))
	}
}

// learnEventTime adds a sample to the time between events of an endpoint and to the mean.
func learnEventTime(w *world.World, e *table.DirectEndpoint, sample time.Duration) {
	t := trafficOf(w, e.Service)
	if t.MeanEventTime == 0 {
		t.MeanEventTime = sample
	}
	t.MeanEventTime += time.Duration(meanWeight * float64(sample-t.MeanEventTime))
	e.EventTimes = min(e.EventTimes+1, speedSamples)
	e.EventTime += (sample - e.EventTime) / time.Duration(e.EventTimes)
}

func trafficOf(w *world.World, service table.ServiceName) *table.ServiceTraffic {
	if t := w.ServiceTraffic.Get(service); t != nil {
		return t
	}
	return w.ServiceTraffic.Put(service, table.ServiceTraffic{})
}

// Report returns reports for the other routers, sent at an interval: what this router heard
// itself, those endpoints first of which no router has passed on anything for longest.
func Report(w *world.World, interval time.Duration) []event.ReportedLoad {
	var unsent []*table.DirectEndpoint
	w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) {
		if _, ok := reportAge(w, e); ok && e.ReportUnsent {
			unsent = append(unsent, e)
		}
	})
	news := func(e *table.DirectEndpoint) float64 {
		return e.ReportSurprise + surprisePerSecond*w.Now.Sub(e.ReportPassedAt).Seconds()
	}
	slices.SortFunc(unsent, func(a, b *table.DirectEndpoint) int { return cmp.Compare(news(b), news(a)) })
	unsent = unsent[:min(len(unsent), maxEntries(w.LimitLedgerView.RouterCount, interval))]
	loads := make([]event.ReportedLoad, 0, len(unsent))
	for _, e := range unsent {
		e.ReportUnsent, e.ReportPassedAt = false, w.Now
		loads = append(loads, event.ReportedLoad{
			Endpoint: e.ID, Running: e.ReportedRunning, Waiting: e.ReportedWaiting, SlowdownPercent: int(math.Round(100 * e.ReportedSlowdown)),
			AgeMs: w.Now.Sub(e.ReportedAt).Milliseconds(), EventTimeUs: e.EventTime.Microseconds(),
		})
	}
	w.CountN("load.reports_passed", int64(len(loads)))
	return loads
}

// maxEntries returns how many load reports a router may pass on at an interval.
func maxEntries(routers int, interval time.Duration) int {
	return max(1, int(passedBytesPerSecond*interval.Seconds()/float64(reportBytes*max(1, routers-1))))
}

// OnReport takes over what another router reports of the load.
func OnReport(w *world.World, peer *table.RouterPeer, r *event.RouterReport) {
	for i := range r.Loads {
		said := &r.Loads[i]
		e := w.DirectEndpoints.Get(said.Endpoint)
		if e == nil {
			continue
		}
		if said.AgeMs < 0 || said.AgeMs > maxReportAge.Milliseconds() || said.EventTimeUs < 0 || said.EventTimeUs > maxEventTime.Microseconds() {
			w.Count("load.reports_ignored")
			continue
		}
		report := event.LoadReport{
			Present: true, Running: said.Running, Waiting: said.Waiting, Slowdown: float64(said.SlowdownPercent) / 100,
			Age: time.Duration(said.AgeMs) * time.Millisecond,
		}
		if !apply(w, e, report) {
			continue
		}
		w.Count("load.reports_learnt")
		e.ReportPassedAt = w.Now
		if said.EventTimeUs > 0 {
			learnEventTime(w, e, time.Duration(said.EventTimeUs)*time.Microsecond)
		}
	}
	peer.SendRates = r.SendRates
}

// SendRates returns how many requests a second this router sends, by service.
func SendRates(w *world.World) map[table.ServiceName]float64 {
	rates := make(map[table.ServiceName]float64)
	w.ServiceTraffic.DeleteIf(func(name table.ServiceName, t *table.ServiceTraffic) bool {
		t.Sends.Add(w.Now, 0, rateConstant)
		if t.Sends.PerSecond < minSendRate {
			return true
		}
		if len(rates) < maxServices {
			rates[name] = math.Round(t.Sends.PerSecond/minSendRate) * minSendRate
		}
		return false
	})
	return rates
}

// OthersRate returns how many requests a second the other routers send to a service, as
// far as they report it.
func OthersRate(w *world.World, service table.ServiceName) float64 {
	sum := 0.0
	w.RouterPeers.Each(func(_ table.ProcessID, p *table.RouterPeer) {
		if rate := p.SendRates[service]; rate >= 0 && rate <= maxSendRate {
			sum += rate
		}
	})
	return sum
}

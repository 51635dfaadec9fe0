package routing

import (
	"fmt"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// minSamples is how many first-token times an endpoint needs before it is
	// judged: one slow answer is no evidence.
	minSamples = 3
	// maxFailures is how many broken attempts in a row eject an endpoint.
	maxFailures = 3
	// ejectedShare is the largest share of a service's endpoints that may be
	// ejected: slowness of more of them has a common cause, such as load.
	ejectedShare = 1.0 / 3
	// firstProbe and longestProbe bound the time between probes, which doubles.
	firstProbe   = 2 * time.Second
	longestProbe = time.Minute
	// mediansFor is how long computed medians are used. At two-year size, 600
	// endpoints would otherwise be looked through at about 1,000 samples a second.
	mediansFor = 250 * time.Millisecond
	// probeEvery is how many requests of a service a router sends between two
	// probes of an endpoint. With 3 endpoints ejected, probes stay below 1% of the
	// requests, however many routers there are and however little work they have.
	probeEvery = 300
	// probePatience is how long a due probe waits for a request without a
	// deadline, which a slow endpoint harms least.
	probePatience = 5 * time.Second
)

// judge ejects an endpoint that became slow or broken compared with the others
// of its service. It is called when something new was observed.
func judge(w *world.World, e *table.Endpoint) {
	if e.Ejected {
		return
	}
	reason := fault(w, e)
	if reason == "" || !mayEject(w, e.Service) {
		return
	}
	e.Ejected = true
	e.Reason = reason
	e.ProbeInterval = firstProbe
	scheduleProbe(w, e)
	w.Count("routing.ejected")
	w.Change("endpoint", string(e.ID), "in use", "ejected", reason)
}

// fault says why an endpoint should be ejected, or nothing.
func fault(w *world.World, e *table.Endpoint) string {
	if e.Failures >= maxFailures {
		return fmt.Sprintf("%d attempts in a row broke", e.Failures)
	}
	if e.Samples < minSamples {
		return ""
	}
	return slowness(w, e)
}

// slowness compares the observed times with the medians of the service.
func slowness(w *world.World, e *table.Endpoint) string {
	s := w.Services.Get(e.Service)
	if s == nil {
		return ""
	}
	updateMedians(w, s)
	factor := w.Fleet.For(e.Service).EjectionFactor
	if exceeds(e.FirstTokenTime, s.MedianFirstToken, factor) {
		return fmt.Sprintf("first token takes %s, the median is %s", e.FirstTokenTime, s.MedianFirstToken)
	}
	if exceeds(e.TokenTime, s.MedianTokenTime, factor) {
		return fmt.Sprintf("a token takes %s, the median is %s", e.TokenTime, s.MedianTokenTime)
	}
	return ""
}

// updateMedians computes a service's medians if they are old. They are needed at
// each new sample and change slowly.
func updateMedians(w *world.World, s *table.Service) {
	if s.MediansAt != 0 && w.Now < s.MediansAt.Add(mediansFor) {
		return
	}
	s.MediansAt = w.Now
	s.MedianFirstToken = median(w, s.Name, func(e *table.Endpoint) time.Duration { return e.FirstTokenTime })
	s.MedianTokenTime = median(w, s.Name, func(e *table.Endpoint) time.Duration { return e.TokenTime })
}

func exceeds(value, median time.Duration, factor float64) bool {
	return factor > 0 && median > 0 && float64(value) > factor*float64(median)
}

// median returns the median of the known values of a service's endpoints.
func median(w *world.World, name table.ServiceName, value func(*table.Endpoint) time.Duration) time.Duration {
	var known []time.Duration
	w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) {
		if v := value(e); e.Service == name && v > 0 {
			known = append(known, v)
		}
	})
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// mayEject reports whether one more endpoint of the service may be ejected.
func mayEject(w *world.World, name table.ServiceName) bool {
	total, ejected := 0, 0
	w.Endpoints.Each(func(_ table.EndpointID, e *table.Endpoint) {
		if e.Service != name || !usable(w, e) {
			return
		}
		total++
		if e.Ejected {
			ejected++
		}
	})
	return float64(ejected+1) <= ejectedShare*float64(total)
}

func scheduleProbe(w *world.World, e *table.Endpoint) {
	jitter := time.Duration(w.Rand.Int64N(int64(e.ProbeInterval / 4)))
	e.ProbeAt = w.Now.Add(e.ProbeInterval + jitter)
	e.ProbeAfter = w.Requests.Taken(e.Service) + probeEvery
}

// probeDue reports whether a request should test an ejected endpoint. Calls that
// must run at most once are never used for it.
func probeDue(w *world.World, e *table.Endpoint, r *table.Request) bool {
	due := w.Now >= e.ProbeAt && w.Requests.Taken(e.Service) >= e.ProbeAfter
	if !e.Ejected || e.Probing || !due || !r.Idempotent || r.Alone {
		return false
	}
	return r.Deadline == table.Never || w.Now >= e.ProbeAt.Add(probePatience)
}

// startProbe clears the averages, so that the probe alone decides.
func startProbe(e *table.Endpoint) {
	e.Probing = true
	e.FirstTokenTime, e.TokenTime, e.Failures = 0, 0, 0
}

// endProbe takes an endpoint back into use if its probe was as fast as the
// others, and otherwise waits twice as long for the next one.
func endProbe(w *world.World, e *table.Endpoint) {
	e.Probing = false
	observed := e.FirstTokenTime > 0 || e.TokenTime > 0
	if reason := slowness(w, e); !observed || e.Failures > 0 || reason != "" {
		e.ProbeInterval = min(longestProbe, 2*e.ProbeInterval)
		scheduleProbe(w, e)
		w.Count("routing.probe_failed")
		return
	}
	restore(w, e, "a probe was as fast as the others")
}

// rejudge uses new times of an ejected endpoint's remaining work in place of a
// probe: they return it into use or put the next probe off.
func rejudge(w *world.World, e *table.Endpoint) {
	switch {
	case e.Probing || e.Failures >= maxFailures:
	case slowness(w, e) == "":
		restore(w, e, "its work is as fast as that of the others")
	default:
		scheduleProbe(w, e)
	}
}

func restore(w *world.World, e *table.Endpoint, reason string) {
	w.Change("endpoint", string(e.ID), "ejected", "in use", reason)
	w.Count("routing.restored")
	e.Ejected, e.Reason, e.Samples = false, "", 1
}

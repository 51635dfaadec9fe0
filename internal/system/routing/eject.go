package routing

import (
	"fmt"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// minSamples is the number of first-token times that must be observed before an
	// endpoint may be ejected as slow: one slow answer is not enough evidence.
	minSamples = 3
	// maxConsecutiveFailures is how many failed attempts in a row eject an
	// endpoint.
	maxConsecutiveFailures = 3
	// maxEjectedShare is the largest share of a service's endpoints that may be
	// ejected. If more of them are slow, the cause is shared, such as high load.
	maxEjectedShare = 1.0 / 3
	// minProbeInterval and maxProbeInterval bound the time between probes, which
	// doubles after each failed probe.
	minProbeInterval = 2 * time.Second
	maxProbeInterval = time.Minute
	// medianMaxAge is how long computed medians are reused. With 600 endpoints, the
	// fleet size expected in two years, computing them per sample would scan all
	// endpoints about 1,000 times a second.
	medianMaxAge = 250 * time.Millisecond
	// requestsPerProbe is the minimum number of requests of a service that this
	// router dispatches between two probes of an endpoint. It keeps probes below 1%
	// of the requests with 3 endpoints ejected, whatever the number of routers and
	// however low their load.
	requestsPerProbe = 300
	// deadlineProbeDelay is how long a probe must be overdue before a request with
	// a deadline is used for it. Requests without a deadline suffer least from a
	// slow endpoint, so they are used first.
	deadlineProbeDelay = 5 * time.Second
)

// ejectIfOutlier ejects an endpoint that fails repeatedly, or is slow compared with
// the other endpoints of its service. It is called after each new observation.
func ejectIfOutlier(w *world.World, e *table.Endpoint) {
	if e.Ejected {
		return
	}
	reason := ejectionReason(w, e)
	if reason == "" || !ejectionAllowed(w, e.Service) {
		return
	}
	e.Ejected = true
	e.Reason = reason
	e.ProbeInterval = minProbeInterval
	scheduleProbe(w, e)
	w.Count("routing.ejected")
	w.RecordStateChange("endpoint", string(e.ID), "in use", "ejected", reason)
}

// ejectionReason returns why an endpoint should be ejected, or "" if it should not.
func ejectionReason(w *world.World, e *table.Endpoint) string {
	if e.ConsecutiveFailures >= maxConsecutiveFailures {
		return fmt.Sprintf("%d attempts in a row broke", e.ConsecutiveFailures)
	}
	if e.Samples < minSamples {
		return ""
	}
	return slownessReason(w, e)
}

// slownessReason compares an endpoint's observed times with the medians of its
// service. It returns "" if the endpoint is not slow.
func slownessReason(w *world.World, e *table.Endpoint) string {
	s := w.Services.Get(e.Service)
	if s == nil {
		return ""
	}
	updateMedians(w, s)
	factor := w.Config.DefaultsFor(e.Service).EjectionFactor
	if exceedsMedian(e.FirstTokenTime, s.MedianFirstTokenTime, factor) {
		return fmt.Sprintf("first token takes %s, the median is %s", e.FirstTokenTime, s.MedianFirstTokenTime)
	}
	if exceedsMedian(e.TokenTime, s.MedianTokenTime, factor) {
		return fmt.Sprintf("a token takes %s, the median is %s", e.TokenTime, s.MedianTokenTime)
	}
	return ""
}

// updateMedians recomputes a service's medians if they are older than medianMaxAge.
// They are read with each sample but change slowly.
func updateMedians(w *world.World, s *table.Service) {
	if s.MediansAt != 0 && w.Now < s.MediansAt.Add(medianMaxAge) {
		return
	}
	s.MediansAt = w.Now
	s.MedianFirstTokenTime = median(w, s.Name, func(e *table.Endpoint) time.Duration { return e.FirstTokenTime })
	s.MedianTokenTime = median(w, s.Name, func(e *table.Endpoint) time.Duration { return e.TokenTime })
}

func exceedsMedian(value, median time.Duration, factor float64) bool {
	return factor > 0 && median > 0 && float64(value) > factor*float64(median)
}

// median returns the median of the nonzero values of a service's endpoints, or 0 if
// there are none.
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

// ejectionAllowed reports whether one more endpoint of the service may be ejected.
func ejectionAllowed(w *world.World, name table.ServiceName) bool {
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
	return float64(ejected+1) <= maxEjectedShare*float64(total)
}

// scheduleProbe sets the earliest time and request count for the next probe.
func scheduleProbe(w *world.World, e *table.Endpoint) {
	jitter := time.Duration(w.Rand.Int64N(int64(e.ProbeInterval / 4)))
	e.ProbeAt = w.Now.Add(e.ProbeInterval + jitter)
	e.ProbeAfter = w.Requests.DispatchedCount(e.Service) + requestsPerProbe
}

// probeDue reports whether a request should probe an ejected endpoint. Calls that
// must run at most once are never used as probes.
func probeDue(w *world.World, e *table.Endpoint, r *table.Request) bool {
	due := w.Now >= e.ProbeAt && w.Requests.DispatchedCount(e.Service) >= e.ProbeAfter
	if !e.Ejected || e.Probing || !due || !r.Idempotent || r.MustRunAlone {
		return false
	}
	return r.FirstTokenDeadline == table.Never || w.Now >= e.ProbeAt.Add(deadlineProbeDelay)
}

// startProbe clears the averages so that only the probe's result counts.
func startProbe(e *table.Endpoint) {
	e.Probing = true
	e.FirstTokenTime, e.TokenTime, e.ConsecutiveFailures = 0, 0, 0
}

// endProbe restores an endpoint if its probe was as fast as the other endpoints.
// Otherwise it doubles the interval before the next probe.
func endProbe(w *world.World, e *table.Endpoint) {
	e.Probing = false
	observed := e.FirstTokenTime > 0 || e.TokenTime > 0
	if reason := slownessReason(w, e); !observed || e.ConsecutiveFailures > 0 || reason != "" {
		e.ProbeInterval = min(maxProbeInterval, 2*e.ProbeInterval)
		scheduleProbe(w, e)
		w.Count("routing.probe_failed")
		return
	}
	restoreEndpoint(w, e, "a probe was as fast as the others")
}

// reevaluateEjected uses newly reported times of an ejected endpoint instead of a
// probe: they restore it or postpone the next probe.
func reevaluateEjected(w *world.World, e *table.Endpoint) {
	switch {
	case e.Probing || e.ConsecutiveFailures >= maxConsecutiveFailures:
	case slownessReason(w, e) == "":
		restoreEndpoint(w, e, "its work is as fast as that of the others")
	default:
		scheduleProbe(w, e)
	}
}

func restoreEndpoint(w *world.World, e *table.Endpoint, reason string) {
	w.RecordStateChange("endpoint", string(e.ID), "ejected", "in use", reason)
	w.Count("routing.restored")
	e.Ejected, e.Reason, e.Samples = false, "", 1
}

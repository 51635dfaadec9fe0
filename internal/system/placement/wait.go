package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumroad.dev/laburnumroad/internal/system/eligibility"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// A request waits for an endpoint for its latency objective divided by
	// waitObjectiveDivisor, but at least for minEndpointWait.
	waitObjectiveDivisor = 8
	minEndpointWait      = 20 * time.Millisecond
	// recheckInterval is the interval at which waiting requests are checked
	// again.
	recheckInterval = 10 * time.Millisecond
	// noEndpointRetryAfter is the retry delay sent to refused clients: a crashed
	// endpoint restarts, or a replacement is listed, within a second or two.
	noEndpointRetryAfter = 500 * time.Millisecond
	// evacuatedRetryAfter is the retry delay sent to clients of a service whose endpoints are
	// all in evacuated failure domains, and the spread of that delay: all its clients are
	// refused together.
	evacuatedRetryAfter = 2 * time.Second
)

// waitOrRefuse keeps a request waiting for an endpoint, or refuses it early
// enough for the client to retry.
func waitOrRefuse(w *world.World, x *table.Exchange) {
	waitEnd := waitEndOf(x)
	o := obstacleFor(w, x)
	if w.Now < waitEnd && !o.evacuated && !(o.limited && w.Now.Add(o.wait) > waitEnd) {
		w.WakeAt(min(waitEnd, w.Now.Add(recheckInterval)))
		return
	}
	outcome := table.Outcome{Code: table.CodeNoEndpoint, Reason: "no endpoint of the service can take work", Ran: table.NotRun, RetryAfter: noEndpointRetryAfter}
	if o.limited {
		w.Count("placement.limited")
		outcome.Reason = "the limits that the endpoints named are used up"
		if o.cold {
			w.Count("placement.refused_cold")
			outcome.Reason = "the rates that the cold endpoints bear are used up"
		}
		// Clients that are refused at the same time come back one after the other.
		outcome.RetryAfter = o.wait + time.Duration(w.Rand.Int64N(int64(noEndpointRetryAfter)))
	}
	if o.evacuated {
		w.Count("placement.evacuated")
		outcome.Reason = "the endpoints of the service are in evacuated failure domains"
		outcome.RetryAfter = evacuatedRetryAfter + time.Duration(w.Rand.Int64N(int64(evacuatedRetryAfter)))
	}
	if x.MayHaveRun {
		outcome.Code, outcome.Reason, outcome.Ran = table.CodeEndpointFailed, "no endpoint is left after: "+x.LastFailure, table.RanUnknown
	}
	w.Count("placement.refused")
	w.RecordDecision(x.Request, System, "refused: "+outcome.Reason, table.Input{Name: "age", Value: w.Now.Sub(x.ArrivedAt).String()},
		table.Input{Name: "endpoints", Value: reasonCounts(w, x)})
	w.FinishExchange(x, false, outcome)
}

// waitEndOf returns until when a request waits for an endpoint.
func waitEndOf(x *table.Exchange) table.Instant {
	if x.SentAttempts > 0 {
		return x.AttemptSentAt.Add(max(minEndpointWait, x.LatencyObjective))
	}
	return x.ArrivedAt.Add(max(minEndpointWait, x.LatencyObjective/waitObjectiveDivisor))
}

// obstacle is what keeps this router from sending a request to any endpoint of its service.
type obstacle struct {
	// limited is true if only the limits that endpoints named, or the rates that cold ones
	// bear, do, and cold if some are cold.
	limited, cold bool
	// evacuated is true if only evacuations do.
	evacuated bool
	// wait is how long it takes until an endpoint takes a request. If none does as long as
	// its limit stands, it is the time after which a client may try again, at another router.
	wait time.Duration
}

// obstacleFor returns what keeps a request from the endpoints of its service.
func obstacleFor(w *world.World, x *table.Exchange) obstacle {
	o := obstacle{wait: noEndpointRetryAfter}
	anyShare, anyEvacuated := false, false
	w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) {
		if e.Service != x.Service {
			return
		}
		verdict := eligibility.Check(w, x, e)
		switch verdict.Reason {
		case eligibility.Leaving:
			return
		case eligibility.Evacuated:
			anyEvacuated = true
			return
		}
		o.limited = true
		o.cold = o.cold || verdict.Reason == eligibility.Cold
		if verdict.HasEnd && (!anyShare || verdict.RetryIn < o.wait) {
			anyShare, o.wait = true, verdict.RetryIn
		}
	})
	o.evacuated = anyEvacuated && !o.limited
	return o
}

// reasonCounts returns, for the record of a refusal, how many endpoints of the service each
// reason keeps from the request.
func reasonCounts(w *world.World, x *table.Exchange) string {
	counts := make(map[eligibility.Reason]int)
	w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) {
		if e.Service == x.Service {
			counts[eligibility.Check(w, x, e).Reason]++
		}
	})
	texts := make([]string, 0, len(counts))
	for reason, n := range counts {
		texts = append(texts, fmt.Sprintf("%d %s", n, reason))
	}
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}

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
	limited, cold, wait := limitsEndIn(w, x)
	evacuated := !limited && evacuatedEndpointsLeft(w, x)
	if w.Now < waitEnd && !evacuated && !(limited && w.Now.Add(wait) > waitEnd) {
		w.WakeAt(min(waitEnd, w.Now.Add(recheckInterval)))
		return
	}
	outcome := table.Outcome{Code: table.CodeNoEndpoint, Reason: "no endpoint of the service can take work", Ran: table.NotRun, RetryAfter: noEndpointRetryAfter}
	if limited {
		w.Count("placement.limited")
		outcome.Reason = "the limits that the endpoints named are used up"
		if cold {
			w.Count("placement.refused_cold")
			outcome.Reason = "the rates that the cold endpoints bear are used up"
		}
		// Clients that are refused at the same time come back one after the other.
		outcome.RetryAfter = wait + time.Duration(w.Rand.Int64N(int64(noEndpointRetryAfter)))
	}
	if evacuated {
		w.Count("placement.evacuated")
		outcome.Reason = "the endpoints of the service are in evacuated failure domains"
		outcome.RetryAfter = evacuatedRetryAfter + time.Duration(w.Rand.Int64N(int64(evacuatedRetryAfter)))
	}
	if x.MayHaveRun {
		outcome.Code, outcome.Reason, outcome.Ran = table.CodeEndpointFailed, "no endpoint is left after: "+x.LastFailure, table.RanUnknown
	}
	w.Count("placement.refused")
	w.RecordDecision(x.Request, System, "refused: "+outcome.Reason, table.Input{Name: "age", Value: w.Now.Sub(x.ArrivedAt).String()},
		table.Input{Name: "endpoints", Value: obstacles(w, x)})
	w.FinishExchange(x, false, outcome)
}

// waitEndOf returns until when a request waits for an endpoint.
func waitEndOf(x *table.Exchange) table.Instant {
	if x.SentAttempts > 0 {
		return x.AttemptSentAt.Add(max(minEndpointWait, x.LatencyObjective))
	}
	return x.ArrivedAt.Add(max(minEndpointWait, x.LatencyObjective/waitObjectiveDivisor))
}

// limitsEndIn reports whether only the limits that endpoints of the service named, or the
// rates that cold ones bear, keep this router from sending to them, whether some are cold,
// and how long it takes until one takes a request. If none does as long as its limit
// stands, that is the time after which a client may try again, at another router.
func limitsEndIn(w *world.World, x *table.Exchange) (limited, cold bool, wait time.Duration) {
	anyShare := false
	wait = noEndpointRetryAfter
	w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) {
		if e.Service != x.Service {
			return
		}
		verdict := eligibility.Check(w, x, e)
		if verdict.Reason == eligibility.Leaving || verdict.Reason == eligibility.Evacuated {
			return
		}
		limited = true
		cold = cold || verdict.Reason == eligibility.Cold
		if verdict.HasEnd && (!anyShare || verdict.RetryIn < wait) {
			anyShare, wait = true, verdict.RetryIn
		}
	})
	return limited, cold, wait
}

// evacuatedEndpointsLeft reports whether the service has endpoints that only an evacuation
// keeps out of use.
func evacuatedEndpointsLeft(w *world.World, x *table.Exchange) bool {
	found := false
	w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) {
		found = found || e.Service == x.Service && eligibility.Check(w, x, e).Reason == eligibility.Evacuated
	})
	return found
}

// obstacles returns, for the record of a refusal, how many endpoints of the service each
// reason keeps from the request.
func obstacles(w *world.World, x *table.Exchange) string {
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

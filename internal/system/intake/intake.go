// Package intake decides which HTTP requests are admitted.
//
// It resolves the route of a request, the customer that its key belongs to and
// the service that serves it, or refuses the request with a reason.
package intake

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/duration"
	"laburnumroad.dev/laburnumroad/internal/system/evacuation"
	"laburnumroad.dev/laburnumroad/internal/system/link"
	"laburnumroad.dev/laburnumroad/internal/system/quarantine"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System is the name of this system in recorded decisions.
const System = "intake"

const (
	// notReadyRetryAfter is the retry delay sent to clients before a
	// configuration is known: a start takes some hundred milliseconds.
	notReadyRetryAfter = 300 * time.Millisecond
	// staleConfigRetryAfter is the retry delay for an unknown key or route while
	// the store is out of reach: this router's configuration may be stale.
	staleConfigRetryAfter = 500 * time.Millisecond
	// drainingRetryAfter is the time until a router that shuts down is likely to
	// be back, if no other router takes the request.
	drainingRetryAfter = time.Second
	// defaultTimeout bounds requests without a timeout from client or route.
	defaultTimeout = 60 * time.Second
)

// Run admits or refuses the requests that arrived in this tick.
func Run(w *world.World) {
	for i := range w.In.HTTPArrivals {
		onArrival(w, &w.In.HTTPArrivals[i])
	}
}

// refusal is the reason that a request is not admitted.
type refusal struct {
	code       table.Code
	reason     string
	retryAfter time.Duration
	// part is the id of the prompt part because of which the request is refused.
	part string
}

func (r *refusal) outcome() table.Outcome {
	return table.Outcome{Code: r.code, Reason: r.reason, Ran: table.NotRun, RetryAfter: r.retryAfter}
}

func onArrival(w *world.World, a *event.HTTPArrival) {
	id := table.RequestID(a.Request)
	if slices.ContainsFunc(w.In.ClientDisconnects, func(e event.ClientDisconnect) bool { return e.Exchange == a.Exchange }) {
		// The attempt system found no row when it handled the disconnect.
		w.Count("intake.client_gone")
		w.RecordDecision(id, System, "the client left before the request was admitted")
		w.Out.FinishExchanges = append(w.Out.FinishExchanges, command.FinishExchange{
			Exchange: a.Exchange, Outcome: table.Outcome{Code: table.CodeCancelled, Reason: "the client left", Ran: table.NotRun},
		})
		return
	}
	x, refused := admit(w, a)
	if refused != nil {
		w.Count("intake.refused." + string(refused.code))
		inputs := []table.Input{versionInput(w)}
		if refused.part != "" {
			inputs = append(inputs, table.Input{Name: "part", Value: refused.part})
		}
		w.RecordDecision(id, System, "refused: "+refused.reason, inputs...)
		w.Out.FinishExchanges = append(w.Out.FinishExchanges, command.FinishExchange{
			Exchange: a.Exchange, Outcome: refused.outcome(),
		})
		return
	}
	quarantine.BeginTrials(w, x.PromptParts, x.ID)
	w.Count("intake.admitted")
	w.RecordDecision(id, System, "admitted", versionInput(w), table.Input{Name: "route", Value: x.Route},
		table.Input{Name: "service", Value: string(x.Service)}, table.Input{Name: "customer", Value: string(x.Customer)})
	w.Exchanges.Put(x.ID, *x)
	w.ExchangesWaiting.Add(x.ID)
	w.ExchangeTimers.Schedule(x.ID, min(x.RouteDeadline, x.ClientDeadline))
	w.WakeAt(min(x.RouteDeadline, x.ClientDeadline))
	if s := w.DirectServices.Get(x.Service); s != nil {
		s.RetryBucketLevel = min(0, s.RetryBucketLevel+w.Params.Front.RetryRatio)
	}
}

func versionInput(w *world.World) table.Input {
	return table.Input{Name: "version", Value: fmt.Sprint(w.Manifest.Version)}
}

func admit(w *world.World, a *event.HTTPArrival) (*table.Exchange, *refusal) {
	if w.Manifest.Version == 0 {
		return nil, &refusal{code: table.CodeNotReady, reason: "no configuration is known yet", retryAfter: notReadyRetryAfter}
	}
	if !evacuation.Known(w) {
		return nil, &refusal{code: table.CodeNotReady, reason: "it is not known yet which failure domains are evacuated", retryAfter: notReadyRetryAfter}
	}
	route := matchRoute(w, a.Host, a.Path)
	if route == nil {
		return nil, refuseUnknown(w, table.CodeUnknownRoute, "no route for this host and path")
	}
	var customer table.CustomerID
	if !route.Public && w.PrepaidCustomers.Len() > 0 {
		// Without customers in the configuration, requests carry no key.
		owner := w.CustomersByKeyHash.Get(a.KeyHash)
		if owner == nil || !a.HasKey {
			return nil, refuseUnknown(w, table.CodeUnauthenticated, "the key is not known")
		}
		customer = *owner
	}
	if until, quarantined := quarantine.Active(w, a.Fingerprint); quarantined {
		return nil, &refusal{code: table.CodeQuarantined, reason: "endpoints died while they ran this request", retryAfter: until.Sub(w.Now)}
	}
	if !link.Admit(w, route, a.BodyBytes) {
		return nil, &refusal{code: table.CodeLinkCongested, reason: "packets wait for the link of this router", retryAfter: link.RetryAfter}
	}
	x := newExchange(w, a, route, customer)
	if !acceptsWhileDraining(w, x) {
		return nil, &refusal{code: table.CodeDraining, reason: "the router shuts down before the request can end", retryAfter: drainingRetryAfter}
	}
	if retryAfter, part, refused := quarantine.RefusePart(w, a.PromptParts); refused {
		return nil, &refusal{code: table.CodeQuarantined, reason: quarantine.PartReason, retryAfter: retryAfter, part: part}
	}
	return x, nil
}

// acceptsWhileDraining reports whether the router takes a request although it
// may be shutting down. It takes those that end in time. Until the load balancer has
// stopped sending clients, the typical duration decides; after that, its upper bound.
func acceptsWhileDraining(w *world.World, x *table.Exchange) bool {
	if !w.Draining {
		return true
	}
	if w.Closing {
		return false
	}
	if w.Now < w.DrainStartedAt.Add(w.Params.MinDrainTime) {
		return w.Now.Add(duration.Typical(w, x)) <= w.DrainDeadline()
	}
	return w.Now.Add(duration.UpperBound(w, x)) <= w.DrainDeadline()
}

// refuseUnknown refuses a request for a key or route that is not in the
// configuration. While the store is out of reach the configuration may be
// stale, so the refusal tells the client to retry.
func refuseUnknown(w *world.World, code table.Code, reason string) *refusal {
	if w.PlatformReachable {
		return &refusal{code: code, reason: reason}
	}
	return &refusal{code: table.CodeNotReady, reason: reason + " in a configuration that may be old", retryAfter: staleConfigRetryAfter}
}

// matchRoute returns the route of the host with the longest matching path
// prefix, or nil.
func matchRoute(w *world.World, host, path string) *table.Route {
	indexes := w.RoutesByHost.Get(host)
	if indexes == nil {
		return nil
	}
	for _, i := range *indexes {
		if route := &w.Manifest.Routes[i]; strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

func newExchange(w *world.World, a *event.HTTPArrival, route *table.Route, customer table.CustomerID) *table.Exchange {
	x := &table.Exchange{
		ID: a.Exchange, Request: table.RequestID(a.Request), Customer: customer,
		Route: route.Name, Service: pickService(w, route), Kind: route.Kind, Repeatable: route.Repeatable(), MaxAttempts: max(1, route.MaxAttempts),
		Priority: route.Priority, RoutePriority: route.Priority, LatencyObjective: route.LatencyObjective, Fingerprint: a.Fingerprint,
		ArrivedAt: w.Now, ClientDeadline: w.Now.Add(timeoutOrDefault(a.ClientTimeout)), RouteDeadline: w.Now.Add(timeoutOrDefault(route.Timeout)),
		PromptTokens: a.PromptTokens, MaxOutput: a.MaxOutput, PromptParts: a.PromptParts, State: table.ExchangePlacing,
	}
	if s := w.DirectServices.Get(x.Service); s != nil {
		x.MaxEventTokens = s.MaxEventTokens
	}
	if prepaid := w.PrepaidCustomers.Get(customer); prepaid != nil {
		if prepaid.HasPriority {
			x.Priority = prepaid.Priority
		}
		if prepaid.Limited && x.MaxCost() > 0 {
			x.State = table.ExchangeReserving
		}
	}
	return x
}

func timeoutOrDefault(d time.Duration) time.Duration {
	if d <= 0 {
		return defaultTimeout
	}
	return d
}

// pickService selects the service of a request at random by the weights of its
// route.
func pickService(w *world.World, route *table.Route) table.ServiceName {
	if len(route.Targets) == 0 {
		return ""
	}
	if weight := totalWeight(route); weight > 0 {
		position := w.Rand.IntN(weight)
		for _, t := range route.Targets {
			if position -= max(0, t.Weight); position < 0 {
				return t.Service
			}
		}
	}
	return route.Targets[0].Service
}

func totalWeight(route *table.Route) int {
	sum := 0
	for _, t := range route.Targets {
		sum += max(0, t.Weight)
	}
	return sum
}

// Package intake decides which HTTP requests enter the router.
//
// It finds the route of a request, the customer that its key belongs to and the
// service that serves it, or refuses it with the reason.
package intake

import (
	"fmt"
	"strings"
	"time"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/quarantine"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// System names this system in explanations.
const System = "intake"

const (
	// notReadyRetry is how soon a client may ask again before a configuration
	// is known: a start takes some hundred milliseconds.
	notReadyRetry = 300 * time.Millisecond
	// staleRetry is the same while an unknown key or route may be one that this
	// router has not heard of, because the store is out of reach.
	staleRetry = 500 * time.Millisecond
	// drainingRetry is when a router that shut down is likely to be back, if no
	// other takes the request.
	drainingRetry = time.Second
	// callTime, and streamTime with promptTokenTime and outputTokenTime, are what a
	// request takes at most at an endpoint that is busy but not overloaded. The
	// usual times of the engines are half of that to two thirds.
	callTime        = 500 * time.Millisecond
	streamTime      = 500 * time.Millisecond
	promptTokenTime = 25 * time.Microsecond
	outputTokenTime = 8 * time.Millisecond
	// defaultTimeout bounds requests whose client and route name none.
	defaultTimeout = 60 * time.Second
)

// Run admits or refuses the arrivals of this tick.
func Run(w *world.World) {
	for i := range w.In.HTTPArrivals {
		arrive(w, &w.In.HTTPArrivals[i])
	}
}

// refusal is why an arrival is not admitted.
type refusal struct {
	code       table.Code
	reason     string
	retryAfter time.Duration
}

func arrive(w *world.World, a *event.HTTPArrival) {
	x, refused := admit(w, a)
	id := table.RequestID(a.Request)
	if refused != nil {
		w.Count("intake.refused." + string(refused.code))
		w.Explain(id, System, "refused: "+refused.reason, version(w))
		w.Out.Finishes = append(w.Out.Finishes, command.FinishExchange{
			Exchange: a.Exchange,
			Outcome: table.Outcome{
				Code: refused.code, Reason: refused.reason, Ran: table.NotRun, RetryAfter: refused.retryAfter,
			},
		})
		return
	}
	w.Count("intake.admitted")
	w.Explain(id, System, "admitted", version(w), table.Input{Name: "route", Value: x.Route},
		table.Input{Name: "service", Value: string(x.Service)}, table.Input{Name: "customer", Value: string(x.Customer)})
	w.Exchanges.Put(x.ID, *x)
	w.ExchangesWaiting.Add(x.ID)
	w.ExchangeTimers.Set(x.ID, min(x.Timeout, x.Deadline))
	w.WakeAt(min(x.Timeout, x.Deadline))
	if s := w.DirectServices.Get(x.Service); s != nil {
		s.RetryLevel = min(0, s.RetryLevel+w.Params.Front.RetryShare)
	}
}

func version(w *world.World) table.Input {
	return table.Input{Name: "version", Value: fmt.Sprint(w.Manifest.Version)}
}

func admit(w *world.World, a *event.HTTPArrival) (*table.Exchange, *refusal) {
	if w.Manifest.Version == 0 {
		return nil, &refusal{table.CodeNotReady, "no configuration is known yet", notReadyRetry}
	}
	r := match(w, a.Host, a.Path)
	if r == nil {
		return nil, unknown(w, table.CodeUnknownRoute, "no route for this host and path")
	}
	var customer table.CustomerID
	if !r.Public && w.Prepaids.Len() > 0 {
		// Without customers in the configuration no request carries a key.
		owner := w.KeyOwners.Get(a.KeyHash)
		if owner == nil || !a.HasKey {
			return nil, unknown(w, table.CodeUnauthenticated, "the key is not known")
		}
		customer = *owner
	}
	if until, refused := quarantine.Refused(w, a.Fingerprint); refused {
		return nil, &refusal{table.CodeQuarantined, "endpoints died while they ran this request", until.Sub(w.Now)}
	}
	x := newExchange(w, a, r, customer)
	if !takes(w, x) {
		return nil, &refusal{table.CodeDraining, "the router shuts down before the request can end", drainingRetry}
	}
	return x, nil
}

// takes reports whether a router that may be shutting down takes a request. At
// first it takes all, because the balancer still sends some; later only those
// that end in time.
func takes(w *world.World, x *table.Exchange) bool {
	if !w.Draining {
		return true
	}
	if w.Closing {
		return false
	}
	return w.Now < w.DrainSince.Add(w.Params.LeastDrain) || w.Now.Add(expected(x)) <= w.DrainEnd()
}

// expected returns how long a request may take at most, as far as is known when
// it arrives.
func expected(x *table.Exchange) time.Duration {
	if x.Kind != table.RouteStream {
		return callTime
	}
	return streamTime + time.Duration(x.Prompt)*promptTokenTime + time.Duration(x.MaxOutput)*outputTokenTime
}

// unknown refuses what the configuration in force does not have. While the store
// is out of reach the configuration may be old, and a final answer may be wrong.
func unknown(w *world.World, code table.Code, reason string) *refusal {
	if w.PlatformUp {
		return &refusal{code: code, reason: reason}
	}
	return &refusal{table.CodeNotReady, reason + " in a configuration that may be old", staleRetry}
}

// match returns the route of a host with the longest prefix of path, or nil.
func match(w *world.World, host, path string) *table.Route {
	list := w.HostRoutes.Get(host)
	if list == nil {
		return nil
	}
	for _, i := range *list {
		if r := &w.Manifest.Routes[i]; strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func newExchange(w *world.World, a *event.HTTPArrival, r *table.Route, customer table.CustomerID) *table.Exchange {
	x := &table.Exchange{
		ID: a.Exchange, Request: table.RequestID(a.Request), Customer: customer,
		Route: r.Name, Service: target(w, r), Kind: r.Kind, Repeatable: r.Repeatable(), MaxAttempts: max(1, r.MaxAttempts),
		Priority: r.Priority, Objective: r.Objective, Fingerprint: a.Fingerprint,
		Arrived: w.Now, Deadline: w.Now.Add(limit(a.Budget)), Timeout: w.Now.Add(limit(r.Timeout)),
		Prompt: a.Prompt, MaxOutput: a.MaxOutput, Parts: a.Parts, State: table.ExchangePlacing,
	}
	if s := w.DirectServices.Get(x.Service); s != nil {
		x.EventTokens = s.EventTokens
	}
	if c := w.Prepaids.Get(customer); c != nil {
		if c.HasPriority {
			x.Priority = c.Priority
		}
		if c.Limited && x.MaxCost() > 0 {
			x.State = table.ExchangeReserving
		}
	}
	return x
}

func limit(d time.Duration) time.Duration {
	if d <= 0 {
		return defaultTimeout
	}
	return d
}

// target draws the service of a request by the weights of its route.
func target(w *world.World, r *table.Route) table.ServiceName {
	if len(r.Targets) == 0 {
		return ""
	}
	sum := 0
	for _, t := range r.Targets {
		sum += max(0, t.Weight)
	}
	if sum > 0 {
		n := w.Rand.IntN(sum)
		for _, t := range r.Targets {
			if n -= max(0, t.Weight); n < 0 {
				return t.Service
			}
		}
	}
	return r.Targets[0].Service
}

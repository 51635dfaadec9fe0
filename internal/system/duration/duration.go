// Package duration estimates how long a request takes from its arrival to its end.
//
// The estimate starts from the size of the request. How far requests of a route
// exceed it depends on the load, so it is scaled by what was observed recently.
package duration

import (
	"math"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// maxCallTime bounds the duration of a plain call at an endpoint that is not
	// overloaded. The other three bound that of a stream, per request and per token.
	maxCallTime        = 500 * time.Millisecond
	maxStreamOverhead  = 500 * time.Millisecond
	maxPromptTokenTime = 25 * time.Microsecond
	maxOutputTokenTime = 8 * time.Millisecond
	// typicalShare is the share of that bound that most requests don't exceed.
	typicalShare = 0.5
	// slowdownPeriod is the least time for which a slowdown is remembered: slow
	// requests are rare, so a few seconds without one don't show that load has fallen.
	slowdownPeriod = 15 * time.Second
	// slowdownMargin scales the largest slowdown observed: the next request may be
	// slower than any before.
	slowdownMargin = 1.3
	// unknownSlowdown applies while no request of the service was observed. Under twice
	// the usual traffic, 99 in 100 requests are below it.
	unknownSlowdown = 2.5
)

// Run records the slowdown of the requests that the attempt system ended in this tick.
func Run(w *world.World) {
	for i := range w.Out.FinishExchanges {
		x := w.Exchanges.Get(w.Out.FinishExchanges[i].Exchange)
		if x == nil {
			continue
		}
		s := w.RouteSlowdowns.Get(x.Route)
		if s == nil {
			s = w.RouteSlowdowns.Put(x.Route, table.RouteSlowdown{Service: x.Service})
		}
		s.Service = x.Service
		s.Largest.Observe(w.Now, slowdown(w, x), slowdownPeriod)
	}
	if w.RouteSlowdowns.Len() > len(w.Manifest.Routes) {
		removeFormerRoutes(w)
	}
}

// removeFormerRoutes removes the rows of routes that the configuration no longer has.
func removeFormerRoutes(w *world.World) {
	routes := make(map[string]bool, len(w.Manifest.Routes))
	for i := range w.Manifest.Routes {
		routes[w.Manifest.Routes[i].Name] = true
	}
	w.RouteSlowdowns.DeleteIf(func(name string, _ *table.RouteSlowdown) bool { return !routes[name] })
}

// Typical returns the duration that a new request does not exceed as a rule.
func Typical(w *world.World, x *table.Exchange) time.Duration {
	return scale(w, x, typicalShare)
}

// UpperBound returns the duration that a request is unlikely to exceed from now on: the
// bound by its size, scaled by the largest slowdown among the requests of its route that
// ended recently or are in progress. If there were none, those of its service count.
func UpperBound(w *world.World, x *table.Exchange) time.Duration {
	sameRoute := func(route string, _ table.ServiceName) bool { return route == x.Route }
	sameService := func(_ string, service table.ServiceName) bool { return service == x.Service }
	largest := largestSlowdown(w, sameRoute)
	if largest == 0 {
		largest = largestSlowdown(w, sameService)
	}
	if largest == 0 {
		return scale(w, x, unknownSlowdown)
	}
	return scale(w, x, max(1, slowdownMargin*largest))
}

// largestSlowdown returns the largest slowdown among the requests of some routes, or 0 if
// there were none.
func largestSlowdown(w *world.World, include func(string, table.ServiceName) bool) float64 {
	largest := 0.0
	w.RouteSlowdowns.Each(func(route string, s *table.RouteSlowdown) {
		if include(route, s.Service) {
			largest = max(largest, s.Largest.At(w.Now, slowdownPeriod))
		}
	})
	w.Exchanges.Each(func(_ table.ExchangeID, x *table.Exchange) {
		if include(x.Route, x.Service) {
			largest = max(largest, slowdown(w, x))
		}
	})
	return largest
}

// timeLeft returns the time until the timeout of a request, which ends it in any case.
func timeLeft(w *world.World, x *table.Exchange) time.Duration {
	return min(x.RouteDeadline, x.ClientDeadline).Sub(w.Now)
}

// scale returns the bound by the size of a request times a factor, and at most the time
// that it has left.
func scale(w *world.World, x *table.Exchange, factor float64) time.Duration {
	return min(time.Duration(math.Ceil(factor*float64(boundBySize(x)))), timeLeft(w, x))
}

// slowdown returns the ratio of a request's age to the bound by its size.
func slowdown(w *world.World, x *table.Exchange) float64 {
	return float64(w.Now.Sub(x.ArrivedAt)) / float64(boundBySize(x))
}

// boundBySize returns the duration that a request of this size does not exceed
// without overload.
func boundBySize(x *table.Exchange) time.Duration {
	if x.Kind != table.RouteStream {
		return maxCallTime
	}
	return maxStreamOverhead + time.Duration(x.PromptTokens)*maxPromptTokenTime + time.Duration(x.MaxOutput)*maxOutputTokenTime
}

// Package duration estimates how long a request takes from its arrival to its end.
//
// The estimate starts from the size of the request. How far requests of a route
// exceed it depends on the load, so it is scaled by what was observed lately.
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
	// usualShare is the share of that bound that a request usually takes.
	usualShare = 0.5
	// slowdownPeriod is the least time for which a slowdown is remembered: slow
	// requests are rare, so a few seconds without one don't show that load has fallen.
	slowdownPeriod = 15 * time.Second
	// slowdownMargin scales the largest slowdown observed: the next request may be
	// slower than any before.
	slowdownMargin = 1.3
)

// Run records the slowdown of the requests that end in this tick.
func Run(w *world.World) {
	for i := range w.Out.FinishExchanges {
		x := w.Exchanges.Get(w.Out.FinishExchanges[i].Exchange)
		if x == nil {
			continue
		}
		s := w.RouteSlowdowns.Get(x.Route)
		if s == nil {
			s = w.RouteSlowdowns.Put(x.Route, table.WindowMax{})
		}
		s.Observe(w.Now, slowdown(w, x), slowdownPeriod)
	}
}

// Usual returns the duration that a new request takes as a rule.
func Usual(w *world.World, x *table.Exchange) time.Duration {
	return scale(w, x, usualShare)
}

// Longest returns the duration that a new request is unlikely to exceed: the bound by
// its size, scaled by the largest slowdown among the requests of its route that ended
// lately or are in progress.
func Longest(w *world.World, x *table.Exchange) time.Duration {
	largest := 0.0
	if s := w.RouteSlowdowns.Get(x.Route); s != nil {
		largest = s.At(w.Now, slowdownPeriod)
	}
	w.Exchanges.Each(func(_ table.ExchangeID, other *table.Exchange) {
		if other.Route == x.Route {
			largest = max(largest, slowdown(w, other))
		}
	})
	return scale(w, x, max(1, slowdownMargin*largest))
}

// scale returns the bound by the size of a new request times a factor. A request ends
// at its timeout in any case.
func scale(w *world.World, x *table.Exchange, factor float64) time.Duration {
	timeout := min(x.RouteDeadline, x.ClientDeadline).Sub(w.Now)
	return min(time.Duration(math.Ceil(factor*float64(boundBySize(x)))), timeout)
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

// Package duration estimates how long a request takes from its arrival to its end.
//
// The estimate starts from the size of the request. How far requests of a route exceed
// it depends on the load and on the endpoints, so it is scaled by what was observed
// recently: the time until the first event and the output that follows it each by its
// own factor, because a short answer says little about the time per token of a long one.
package duration

import (
	"cmp"
	"math"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// maxCallTime bounds the duration of a plain call at an endpoint that is not
	// overloaded. The other three bound that of a stream: the time until its first event,
	// per request and per token of the prompt, and the time per token of its output.
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
	// unknownSlowdown applies while nothing was observed at the service. Under twice the
	// usual traffic, 99 in 100 requests are below it.
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
		observed := slowdownOf(w, x)
		s.Start.Observe(w.Now, observed.start, slowdownPeriod)
		s.Output.Observe(w.Now, observed.output, slowdownPeriod)
		if _, output := boundsBySize(x); x.FirstEventAt != 0 && output > 0 {
			s.MeanOutput = table.UpdateMovingAverage(s.MeanOutput, float64(w.Now.Sub(x.FirstEventAt))/float64(output))
		}
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

// Typical returns the duration that a new request does not exceed as a rule. Its output
// takes longer if that of the route's streams did on average.
func Typical(w *world.World, x *table.Exchange) time.Duration {
	typical := slowdown{start: typicalShare, output: typicalShare}
	if s := w.RouteSlowdowns.Get(x.Route); s != nil {
		typical.output = max(typical.output, s.MeanOutput)
	}
	return scale(w, x, typical)
}

// UpperBound returns the duration that a request is unlikely to exceed from now on: the
// bounds by its size, scaled by the largest slowdowns among the requests of its route that
// ended recently or are in progress. Where these show nothing, those of its service count.
func UpperBound(w *world.World, x *table.Exchange) time.Duration {
	ofRoute := largestSlowdown(w, func(route string, _ table.ServiceName) bool { return route == x.Route })
	ofService := largestSlowdown(w, func(_ string, service table.ServiceName) bool { return service == x.Service })
	return scale(w, x, slowdown{start: factor(ofRoute.start, ofService.start), output: factor(ofRoute.output, ofService.output)})
}

// factor returns what a bound is multiplied by, given the largest slowdowns of a route
// and of its service, which are 0 if nothing was observed.
func factor(ofRoute, ofService float64) float64 {
	largest := cmp.Or(ofRoute, ofService)
	if largest == 0 {
		return unknownSlowdown
	}
	return max(1, slowdownMargin*largest)
}

// slowdown holds the ratios of durations to their bounds by size: that of the time until
// the first event of a stream, or of a whole call, and that of the output after the first
// event. A ratio of 0 means that nothing was observed.
type slowdown struct{ start, output float64 }

// largestSlowdown returns the largest slowdowns among the requests of some routes.
func largestSlowdown(w *world.World, include func(string, table.ServiceName) bool) slowdown {
	var largest slowdown
	add := func(s slowdown) {
		largest.start, largest.output = max(largest.start, s.start), max(largest.output, s.output)
	}
	w.RouteSlowdowns.Each(func(route string, s *table.RouteSlowdown) {
		if include(route, s.Service) {
			add(slowdown{s.Start.At(w.Now, slowdownPeriod), s.Output.At(w.Now, slowdownPeriod)})
		}
	})
	w.Exchanges.Each(func(_ table.ExchangeID, x *table.Exchange) {
		if include(x.Route, x.Service) {
			add(slowdownOf(w, x))
		}
	})
	return largest
}

// slowdownOf returns the slowdowns that a request shows by now.
func slowdownOf(w *world.World, x *table.Exchange) slowdown {
	start, _ := boundsBySize(x)
	if x.Kind != table.RouteStream || x.FirstEventAt == 0 {
		return slowdown{start: float64(w.Now.Sub(x.ArrivedAt)) / float64(start)}
	}
	observed := slowdown{start: float64(x.FirstEventAt.Sub(x.ArrivedAt)) / float64(start)}
	if tokens := tokensAfterFirstEvent(x); tokens > 0 {
		observed.output = float64(w.Now.Sub(x.FirstEventAt)) / float64(time.Duration(tokens)*maxOutputTokenTime)
	}
	return observed
}

// tokensAfterFirstEvent returns the most tokens that a stream may have produced after its
// first event: while it runs, only its size bounds them.
func tokensAfterFirstEvent(x *table.Exchange) table.Tokens {
	if x.DeliveredEvents == 0 {
		return x.MaxOutput
	}
	return min(x.MaxOutput, table.Tokens(x.DeliveredEvents-1)*max(1, x.MaxEventTokens))
}

// timeLeft returns the time until the timeout of a request, which ends it in any case.
func timeLeft(w *world.World, x *table.Exchange) time.Duration {
	return min(x.RouteDeadline, x.ClientDeadline).Sub(w.Now)
}

// scale returns the bounds by the size of a request times their factors, and at most the
// time that it has left.
func scale(w *world.World, x *table.Exchange, by slowdown) time.Duration {
	start, output := boundsBySize(x)
	return min(time.Duration(math.Ceil(by.start*float64(start)+by.output*float64(output))), timeLeft(w, x))
}

// boundsBySize returns the durations that a request of this size does not exceed without
// overload: that of a call or of the time until the first event of a stream, and that of
// the output of a stream.
func boundsBySize(x *table.Exchange) (start, output time.Duration) {
	if x.Kind != table.RouteStream {
		return maxCallTime, 0
	}
	return maxStreamOverhead + time.Duration(x.PromptTokens)*maxPromptTokenTime, time.Duration(x.MaxOutput) * maxOutputTokenTime
}

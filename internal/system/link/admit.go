package link

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

const (
	// RetryAfter is the retry delay sent to clients that are refused: a retry goes to
	// another router.
	RetryAfter = 50 * time.Millisecond
	// A request yields to others if its retry takes at most its latency objective divided
	// by yieldObjectiveDivisor: its answer from another router is still on time. Such
	// requests are refused once yieldShare of the queue time is used up.
	yieldObjectiveDivisor = 8
	yieldShare            = 0.5
)

// Admit reports whether the link has room for a request of a route with a body of the
// given length, and adds it and its answer to what waits for the link if so.
func Admit(w *world.World, route *table.Route, bodyBytes int) bool {
	l := &w.Link
	updateQueue(w)
	queued := queueTime(w)
	body, answer := float64(max(0, bodyBytes))+requestOverhead, answerBytes(w, route.Name)
	l.Demand.Add(w.Now, body+answer, demandPeriod)
	l.Received.Add(w.Now, body, demandPeriod)
	if l.Congested || queued > maxQueueTime {
		updateCongestion(w)
		return false
	}
	if float64(queued) > yieldShare*float64(maxQueueTime) && yields(w, route) {
		w.Count("link.yielded")
		return false
	}
	limit := w.Params.Front.LinkBytesPerSecond * maxBacklog.Seconds()
	l.QueuedBytes = min(l.QueuedBytes+body+answer, limit)
	l.QueuedAnswerBytes = min(l.QueuedAnswerBytes+answer, limit)
	return true
}

// IsFull reports whether the link has no room for requests that yield to others.
func IsFull(w *world.World) bool {
	updateQueue(w)
	return w.Link.OutOfRotation || w.Link.Congested || underPressure(w) || float64(queueTime(w)) > yieldShare*float64(maxQueueTime)
}

// Load returns how long what waits for the link takes, and the demand on it in bytes per
// second.
func Load(w *world.World) (time.Duration, float64) {
	updateQueue(w)
	w.Link.Demand.Add(w.Now, 0, demandPeriod)
	return queueTime(w), w.Link.Demand.PerSecond
}

// yields reports whether requests of a route leave what is left of the link to others: to
// more urgent ones, and to those that would be late after a retry. While no router of the
// failure domain is known to have room, a retry is in vain, and none yields.
func yields(w *world.World, route *table.Route) bool {
	return route.LatencyObjective >= yieldObjectiveDivisor*RetryAfter && hasMoreUrgentRoute(w, route) && peerHasRoom(w)
}

func hasMoreUrgentRoute(w *world.World, route *table.Route) bool {
	for i := range w.Manifest.Routes {
		if w.Manifest.Routes[i].Priority < route.Priority {
			return true
		}
	}
	return false
}

// peerHasRoom reports whether a router to which the load balancer may send a retry has
// not reported a full link.
func peerHasRoom(w *world.World) bool {
	found := false
	w.RouterPeers.Each(func(_ table.ProcessID, p *table.RouterPeer) {
		found = found || p.Connected && p.Domain == w.Params.Self.Domain && !p.LinkFull
	})
	return found
}

func answerBytes(w *world.World, route string) float64 {
	if s := w.RouteAnswerSizes.Get(route); s != nil {
		return s.MeanBytes
	}
	return defaultAnswerBytes
}

// recordAnswerSizes learns how long the answers of routes are.
func recordAnswerSizes(w *world.World) {
	for i := range w.In.DirectAttemptEnds {
		e := &w.In.DirectAttemptEnds[i]
		x := w.Exchanges.Get(e.Exchange)
		if x == nil || x.Attempt != e.Attempt || e.Status != event.DirectAnswered || e.AnswerBytes < 0 {
			continue
		}
		s := w.RouteAnswerSizes.Get(x.Route)
		if s == nil {
			s = w.RouteAnswerSizes.Put(x.Route, table.RouteAnswerSize{})
		}
		s.MeanBytes = table.UpdateMovingAverage(s.MeanBytes, float64(min(e.AnswerBytes, maxAnswerBytes)))
	}
	if w.RouteAnswerSizes.Len() > len(w.Manifest.Routes) {
		removeFormerRoutes(w)
	}
}

// removeFormerRoutes removes the rows of routes that the configuration no longer has.
func removeFormerRoutes(w *world.World) {
	routes := make(map[string]bool, len(w.Manifest.Routes))
	for i := range w.Manifest.Routes {
		routes[w.Manifest.Routes[i].Name] = true
	}
	w.RouteAnswerSizes.DeleteIf(func(name string, _ *table.RouteAnswerSize) bool { return !routes[name] })
}

package placement

import (
	"slices"

	"laburnumroad.dev/laburnumroad/internal/system/eligibility"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// eligibleEndpoints returns the endpoints that may get the request. Endpoints
// that it was sent to before and suspect endpoints are excluded unless no
// others remain; those whose limit this router has used up always are. avoidedCold is
// true if one is left out because it is cold.
func eligibleEndpoints(w *world.World, x *table.Exchange) (usable []*table.DirectEndpoint, avoidedCold bool) {
	w.DirectEndpoints.Each(func(_ table.EndpointID, e *table.DirectEndpoint) {
		if e.Service != x.Service {
			return
		}
		switch eligibility.Check(w, x, e).Reason {
		case eligibility.Allowed:
			usable = append(usable, e)
		case eligibility.Cold:
			avoidedCold = true
		}
	})
	usable = table.FilterOrAll(usable, func(e *table.DirectEndpoint) bool { return !slices.Contains(x.TriedEndpoints, e.ID) })
	return table.FilterOrAll(usable, func(e *table.DirectEndpoint) bool { return e.SuspectUntil <= w.Now }), avoidedCold
}

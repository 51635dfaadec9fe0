package intake

import (
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Preview returns the exchange that an arrival would become, or the outcome with which it
// would be refused. It may change w, which must be a preview.
func Preview(w *world.World, a *event.HTTPArrival) (*table.Exchange, table.Outcome) {
	x, refused := admit(w, a)
	if refused != nil {
		return nil, refused.outcome()
	}
	return x, table.Outcome{}
}

// RouteOf returns the route of a host and path, or nil.
func RouteOf(w *world.World, host, path string) *table.Route { return matchRoute(w, host, path) }

// ServiceShares returns the services of a route and their shares of its requests.
func ServiceShares(route *table.Route) []command.WhereService {
	weight := totalWeight(route)
	var services []command.WhereService
	for i, t := range route.Targets {
		switch {
		case weight > 0 && t.Weight > 0:
			services = append(services, command.WhereService{Service: t.Service, Share: float64(t.Weight) / float64(weight)})
		case weight <= 0 && i == 0:
			services = append(services, command.WhereService{Service: t.Service, Share: 1})
		}
	}
	return services
}

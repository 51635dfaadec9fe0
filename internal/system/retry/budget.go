package retry

import (
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// refill adds the share of a retry that each new request earns its service. The
// level of the bucket is counted from its burst, so a new service starts full.
func refill(w *world.World) {
	for _, a := range w.Out.Accepts {
		r := w.Requests.Get(a.Request)
		if r == nil || a.Attach {
			continue
		}
		if s := w.Services.Get(r.Service); s != nil {
			s.RetryTokens = min(0, s.RetryTokens+w.Fleet.For(r.Service).RetryShare)
		}
	}
}

// take uses one retry of the service's budget, if there is one.
func take(w *world.World, name table.ServiceName) bool {
	s := w.Services.Get(name)
	if s == nil || w.Fleet.For(name).RetryBurst+s.RetryTokens < 1 {
		return false
	}
	s.RetryTokens--
	return true
}

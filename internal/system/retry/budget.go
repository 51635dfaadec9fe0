package retry

import (
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// refillBudget adds RetryRatio to the retry budget of a service for each new request.
// RetryBucketLevel is relative to RetryBurst (0 means full), so a new service starts with
// a full bucket.
func refillBudget(w *world.World) {
	for _, a := range w.Out.Accepts {
		r := w.Requests.Get(a.Request)
		if r == nil || a.Attach {
			continue
		}
		if s := w.Services.Get(r.Service); s != nil {
			s.RetryBucketLevel = min(0, s.RetryBucketLevel+w.Config.DefaultsFor(r.Service).RetryRatio)
		}
	}
}

// takeRetry takes one retry from the retry budget of a service. It returns false if
// the retry budget is used up.
func takeRetry(w *world.World, name table.ServiceName) bool {
	s := w.Services.Get(name)
	if s == nil || w.Config.DefaultsFor(name).RetryBurst+s.RetryBucketLevel < 1 {
		return false
	}
	s.RetryBucketLevel--
	return true
}

// Package eligibility decides whether an endpoint may get a request of this router now.
//
// Whatever keeps a request from an endpoint is asked here, so that placement, retries and
// the explanation of a placement agree, and name the same reason.
package eligibility

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/system/notice"
	"laburnumroad.dev/laburnumroad/internal/system/warmup"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Reason says why an endpoint may not get a request.
type Reason string

// Reasons, in the order in which they are checked. Allowed is the zero value.
const (
	Allowed     Reason = ""
	Leaving     Reason = "leaving"
	Evacuated   Reason = "evacuated"
	RateLimited Reason = "paused or at its rate limit"
	Cold        Reason = "cold"
)

// Verdict is the answer for one endpoint.
type Verdict struct {
	Reason Reason
	// HasEnd is true if the endpoint may get a request of this router after RetryIn, as
	// far as is known.
	HasEnd  bool
	RetryIn time.Duration
}

// Allowed reports whether the endpoint may get the request now.
func (v Verdict) Allowed() bool { return v.Reason == Allowed }

// Check returns whether an endpoint may get a request now. The endpoint must be of the
// request's service.
func Check(w *world.World, _ *table.Exchange, e *table.DirectEndpoint) Verdict {
	if e.Leaving {
		return Verdict{Reason: Leaving}
	}
	if w.Evacuations.Get(e.Domain) != nil {
		return Verdict{Reason: Evacuated}
	}
	if in, hasShare := notice.AdmitsIn(w, e.ID); !hasShare || in > 0 {
		return Verdict{Reason: RateLimited, HasEnd: hasShare, RetryIn: in}
	}
	if in, hasShare := warmup.AdmitsIn(w, e); !hasShare || in > 0 {
		return Verdict{Reason: Cold, HasEnd: hasShare, RetryIn: in}
	}
	return Verdict{}
}

// AnyLimited reports whether an endpoint bounds what it gets, so that requests compete for
// what it admits.
func AnyLimited(w *world.World) bool { return notice.AnyLimited(w) || warmup.AnyLimited(w) }

// Take uses what an endpoint admits for a request that is sent to it.
func Take(w *world.World, e *table.DirectEndpoint) {
	notice.Take(w, e.ID)
	warmup.Take(w, e)
}

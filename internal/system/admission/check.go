package admission

import (
	"fmt"
	"math"
	"slices"
	"time"

	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// resolve looks up the customer, the service and the limits of an arrival.
func (c *candidate) resolve(w *world.World) refusal {
	a := c.arrival
	if w.Config.Generation == 0 {
		return refusal{table.CodeNotReady, "the router has no configuration yet", notReadyRetryAfter}
	}
	c.customer = w.CustomerByKeyHash(a.KeyHash)
	if c.customer == nil {
		return refusal{code: table.CodeUnauthenticated, reason: "the key is not known"}
	}
	c.service = w.Services.Get(a.Service)
	if c.service == nil {
		return refusal{code: table.CodeUnknownService, reason: fmt.Sprintf("there is no service %q", a.Service)}
	}
	c.limits = w.Limits.Get(table.LimitsKey{Customer: c.customer.ID, Service: a.Service})
	if c.limits == nil || !slices.Contains(c.customer.Services, a.Service) {
		return refusal{code: table.CodeForbidden, reason: fmt.Sprintf("the customer may not use service %q", a.Service)}
	}
	if a.Key == "" || len(a.Key) > maxKeyLength {
		return refusal{code: table.CodeBadRequest, reason: fmt.Sprintf("a key has 1 to %d bytes", maxKeyLength)}
	}
	c.id = table.MakeRequestID(c.customer.ID, a.Key)
	return refusal{}
}

// checkFields refuses requests that no endpoint of the service could run.
func (c *candidate) checkFields(*world.World) refusal {
	a := c.arrival
	badRequest := func(reason string) refusal { return refusal{code: table.CodeBadRequest, reason: reason} }
	switch {
	case a.Kind != c.service.Kind:
		return badRequest(fmt.Sprintf("service %q is of the other kind", a.Service))
	case a.PromptTokens < 0, a.MaxOutput < 0, a.ResumePosition < 0, a.FirstTokenDeadline < 0:
		return badRequest("a number is negative")
	case a.Priority < 0, a.Priority > maxPriority:
		return badRequest(fmt.Sprintf("priority is not in 0..%d", maxPriority))
	case c.service.Kind == table.ServiceModel && c.maxOutput() == 0:
		return badRequest("there is no output limit")
	}
	if c.service.Kind == table.ServicePlain {
		if _, ok := c.service.Operations[a.Operation]; !ok {
			return badRequest(fmt.Sprintf("service %q has no operation %q", a.Service, a.Operation))
		}
	}
	return refusal{}
}

func (c *candidate) checkDraining(w *world.World) refusal {
	if !w.Draining {
		return refusal{}
	}
	return refusal{table.CodeDraining, "this router is shutting down", drainingRetryAfter}
}

func (c *candidate) checkConcurrency(w *world.World) refusal {
	limit := c.limits.Concurrency
	if limit == 0 || w.Requests.CustomerCount(c.customer.ID) < limit {
		return refusal{}
	}
	return refusal{table.CodeConcurrency, fmt.Sprintf("%d requests are in progress at this router", limit), concurrencyRetryAfter}
}

// checkRate takes one request from the customer's rate bucket. It must be the last
// check, so that refused requests consume nothing.
func (c *candidate) checkRate(w *world.World) refusal {
	rate, burst := c.limits.RequestsPerSecond, float64(max(1, c.limits.Burst))
	if rate <= 0 {
		return refusal{}
	}
	level := burst
	if c.customer.RateBucketAt != 0 {
		level = min(burst, c.customer.RateBucketLevel+rate*w.Now.Sub(c.customer.RateBucketAt).Seconds())
	}
	c.customer.RateBucketAt = w.Now
	if level < 1 {
		c.customer.RateBucketLevel = level
		return refusal{table.CodeRateLimited, fmt.Sprintf("the limit is %g requests/s", rate), timeToRefill(1-level, rate)}
	}
	c.customer.RateBucketLevel = level - 1
	return refusal{}
}

// timeToRefill returns when a bucket has gained the missing part of a token. It is
// rounded up to a whole millisecond: a shorter wait would find the bucket short of
// a token by a rounding error.
func timeToRefill(missing, rate float64) time.Duration {
	return time.Duration(math.Ceil(missing/rate*1000)) * time.Millisecond
}

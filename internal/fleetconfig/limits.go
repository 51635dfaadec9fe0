package fleetconfig

import "time"

// Limits holds the effective settings of a customer at a service.
type Limits struct {
	// Priority applies to requests without one; from MinPriority (lowest) to MaxPriority.
	Priority int
	// Deadline is the time until the first token; applies to requests without a deadline.
	Deadline time.Duration
	// MaxOutputTokens applies to requests without a limit and caps the limit of others; in tokens.
	MaxOutputTokens int64
	// RequestsPerSecond is the sustained request rate of a customer; in requests/s.
	RequestsPerSecond float64
	// Burst is the number of requests that may arrive at once in excess of the rate; in requests.
	Burst int64
	// Concurrency is the maximum number of a customer's requests in progress; in requests.
	Concurrency int64
	// Weight is the customer's share relative to others; dimensionless.
	Weight float64
	// QuickTokens is the largest expected work of a request that counts as quick; in tokens.
	QuickTokens int64
	// QuickSlotShare is the share of each endpoint's slots reserved for quick requests; from 0 to 1.
	QuickSlotShare float64
	// RetryBudget is the number of retries that each request adds to the retry budget; from 0 to 1.
	RetryBudget float64
	// RetryBurst is the maximum size of the retry budget; in retries.
	RetryBurst int64
	// EjectionFactor is the multiple of its service's median latency above which an
	// endpoint is ejected; dimensionless.
	EjectionFactor float64
	// CrashLimit is the sum of crash weights at which a request is quarantined;
	// in endpoint crashes.
	CrashLimit float64
	// GrantHorizon is the period of expected demand that one budget grant covers.
	GrantHorizon time.Duration

	// Applied lists the exceptions that set one of the fields above, in the order of the settings.
	Applied []AppliedException
}

// AppliedException is an exception that is in effect.
type AppliedException struct {
	Setting Setting
	// Index is the index in Config.Exceptions.
	Index  int
	Reason string
}

// Limits returns the limits of a customer at a service. It applies every
// exception, including those whose until date has passed; LimitsAt respects the
// date.
func (c *Config) Limits(customer, service string) Limits {
	return c.limits(customer, service, func(*Exception) bool { return true })
}

// LimitsAt returns the limits of a customer at a service at the given time.
func (c *Config) LimitsAt(customer, service string, now time.Time) Limits {
	return c.limits(customer, service, func(e *Exception) bool { return e.ActiveAt(now) })
}

// limits applies, in increasing precedence: fleet defaults, the service's
// defaults and the customer's weight, exceptions for the customer or the
// service, exceptions for both.
func (c *Config) limits(customer, service string, active func(*Exception) bool) Limits {
	l := c.Defaults
	l.Applied = nil
	c.applyServiceDefaults(&l, service)
	if entry := c.Customer(customer); entry != nil && entry.Weight != 0 {
		l.Weight = entry.Weight
	}
	for _, def := range settings {
		i := c.mostSpecificException(def.name, customer, service, active)
		if i < 0 {
			continue
		}
		e := &c.Exceptions[i]
		def.copy(&l, &e.values)
		l.Applied = append(l.Applied, AppliedException{Setting: def.name, Index: i, Reason: e.Reason})
	}
	return l
}

func (c *Config) applyServiceDefaults(l *Limits, service string) {
	entry := c.Service(service)
	if entry == nil {
		return
	}
	if entry.Priority != 0 {
		l.Priority = entry.Priority
	}
	if entry.Deadline != 0 {
		l.Deadline = entry.Deadline
	}
	if entry.MaxOutputTokens != 0 {
		l.MaxOutputTokens = entry.MaxOutputTokens
	}
}

// mostSpecificException returns the index of the exception that determines a
// setting, or -1. Load rejects configurations in which two exceptions have the
// same precedence.
func (c *Config) mostSpecificException(s Setting, customer, service string, active func(*Exception) bool) int {
	best := -1
	for i := range c.Exceptions {
		e := &c.Exceptions[i]
		if e.Setting != s || !e.appliesTo(customer, service) || !active(e) {
			continue
		}
		if best < 0 || e.namesBoth() {
			best = i
		}
	}
	return best
}

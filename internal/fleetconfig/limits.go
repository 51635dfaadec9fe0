package fleetconfig

import "time"

// Limits are the rules in force for a customer at a service.
type Limits struct {
	// Priority is used when a request gives none; from MinPriority (lowest) to MaxPriority.
	Priority int
	// Deadline is the time until the first token, used when a request gives none.
	Deadline time.Duration
	// MaxOutputTokens is used when a request gives no limit, and caps it otherwise; in tokens.
	MaxOutputTokens int64
	// RequestsPerSecond is the sustained request rate of a customer; in requests/s.
	RequestsPerSecond float64
	// Burst is the number of requests that may arrive at once above the rate; in requests.
	Burst int64
	// Concurrency is the number of a customer's requests in progress; in requests.
	Concurrency int64
	// Weight is the customer's share relative to others; without unit.
	Weight float64
	// QuickTokens is the expected work up to which a request is quick; in tokens.
	QuickTokens int64
	// QuickShare is the share of each endpoint's slots kept for quick work; from 0 to 1.
	QuickShare float64
	// RetryBudget is the number of retries added to the retry budget per request; from 0 to 1.
	RetryBudget float64
	// RetryBurst is the size of the retry budget; in retries.
	RetryBurst int64
	// EjectionFactor ejects an endpoint whose times exceed this multiple of the
	// median of its service; without unit.
	EjectionFactor float64
	// CrashLimit is the sum of crash weights at which a request is quarantined;
	// in endpoint deaths.
	CrashLimit float64
	// GrantHorizon is the time of demand that one budget grant covers.
	GrantHorizon time.Duration

	// Applied names the exceptions that set a value above; in the order of the settings.
	Applied []Applied
}

// Applied is an exception that is in force.
type Applied struct {
	Setting Setting
	// Exception is the index in Config.Exceptions.
	Exception int
	Reason    string
}

// Limits returns the rules for a customer at a service, with every exception
// applied whether or not its until date has passed. Code that knows the date
// uses LimitsAt.
func (c *Config) Limits(customer, service string) Limits {
	return c.limits(customer, service, func(*Exception) bool { return true })
}

// LimitsAt returns the rules for a customer at a service at a time.
func (c *Config) LimitsAt(customer, service string, now time.Time) Limits {
	return c.limits(customer, service, func(e *Exception) bool { return e.ActiveAt(now) })
}

// limits applies, from weak to strong: fleet defaults, the service's defaults
// and the customer's weight, exceptions for one of both, exceptions for both.
func (c *Config) limits(customer, service string, active func(*Exception) bool) Limits {
	l := c.Defaults
	l.Applied = nil
	c.applyService(&l, service)
	if row := c.Customer(customer); row != nil && row.Weight != 0 {
		l.Weight = row.Weight
	}
	for _, s := range settings {
		i := c.strongest(s.name, customer, service, active)
		if i < 0 {
			continue
		}
		e := &c.Exceptions[i]
		s.copy(&l, &e.values)
		l.Applied = append(l.Applied, Applied{Setting: s.name, Exception: i, Reason: e.Reason})
	}
	return l
}

func (c *Config) applyService(l *Limits, service string) {
	row := c.Service(service)
	if row == nil {
		return
	}
	if row.Priority != 0 {
		l.Priority = row.Priority
	}
	if row.Deadline != 0 {
		l.Deadline = row.Deadline
	}
	if row.MaxOutputTokens != 0 {
		l.MaxOutputTokens = row.MaxOutputTokens
	}
}

// strongest returns the index of the exception that decides a setting, or -1.
// Load rejects configurations in which two exceptions are equally strong.
func (c *Config) strongest(s Setting, customer, service string, active func(*Exception) bool) int {
	best := -1
	for i := range c.Exceptions {
		e := &c.Exceptions[i]
		if e.Setting != s || !e.appliesTo(customer, service) || !active(e) {
			continue
		}
		if best < 0 || e.specific() {
			best = i
		}
	}
	return best
}

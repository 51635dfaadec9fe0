package table

import "time"

// EndpointNotice is what an endpoint last said of itself in an answer, to this router or
// to another one, and this router's share of what that allows.
type EndpointNotice struct {
	// StartedUnixMilli is the start of the endpoint's process that said it.
	StartedUnixMilli int64
	// Leaving is true once it said that it leaves, and stays so: only a new process of the
	// endpoint takes that back.
	Leaving bool
	// PausedUntil is until when it wants nothing from this router.
	PausedUntil Instant
	// RateLimited is true if it named a limit, RateLimit how many requests a second it takes from
	// all routers together.
	RateLimited bool
	RateLimit   float64
	// SaidAt is when it said so, and HeardAt when this router itself last heard it, or 0.
	SaidAt  Instant
	HeardAt Instant
	// Unreported is true until the other routers are told of a change.
	Unreported bool

	// Share is how many requests a second this router may send, Burst the most that it may
	// send at once. They hold for the FleetGeneration ShareGeneration, until ShareUntil.
	Share           float64
	Burst           float64
	ShareGeneration uint64
	ShareUntil      Instant
	// Permits is how many requests it may send now, as of FilledAt.
	Permits  float64
	FilledAt Instant
}

// Fill adds the permits that the time since the last call brings.
func (n *EndpointNotice) Fill(now Instant) {
	n.Permits = min(n.Burst, n.Permits+n.Share*now.Sub(n.FilledAt).Seconds())
	n.FilledAt = now
}

// PermitIn returns how long it takes until a request may be sent, or a negative time if
// this router has no share.
func (n *EndpointNotice) PermitIn() time.Duration {
	switch {
	case n.Permits >= 1:
		return 0
	case n.Share <= 0:
		return -1
	}
	return time.Duration((1 - n.Permits) / n.Share * float64(time.Second))
}

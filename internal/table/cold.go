package table

// ColdEndpoint is an endpoint that is cold, or lately was so and gets its full share of
// requests step by step.
type ColdEndpoint struct {
	// EntryUntil is until when its entry says that it is cold, EntrySaidAt when an entry
	// last said so.
	EntryUntil  Instant
	EntrySaidAt Instant
	// MarkedUntil is until when it counts as cold because its state is not known, MarkedAt
	// when that was last so; Never while this router hears nothing. Lost is true until an
	// attempt that was sent later is answered.
	MarkedUntil Instant
	MarkedAt    Instant
	Lost        bool
	// FoundLostAt is when this router itself last found it lost, or 0.
	FoundLostAt Instant
	// Step counts how often its slots have doubled since it is warm.
	Step int

	// FreeAt are the times from which each of this router's slots admits a request. They hold
	// for the FleetGeneration SlotsGeneration, SlotsStep and the slot count SlotsCount, until
	// RecheckAt; RecheckAt is 0 before the slots were first dealt out.
	FreeAt          []Instant
	SlotsGeneration uint64
	SlotsStep       int
	SlotsCount      int
	RecheckAt       Instant
}

// IsCold reports whether the endpoint is cold.
func (c *ColdEndpoint) IsCold(now Instant) bool { return c.WarmAt() > now }

// WarmAt returns when the endpoint becomes warm, or Never while this router hears nothing.
func (c *ColdEndpoint) WarmAt() Instant { return max(c.EntryUntil, c.MarkedUntil) }

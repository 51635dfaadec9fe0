package table

import "time"

// Link is the state of this router's own link.
type Link struct {
	// MeanConnectTime is a moving average of the time to open a connection to an
	// endpoint, last updated at SampledAt.
	MeanConnectTime time.Duration
	SampledAt       Instant
	// QueuedBytes estimates what waits for the link, as of QueuedAt.
	QueuedBytes float64
	QueuedAt    Instant
	// Congested is true while packets wait for the link. CongestedSince is when that
	// began, ClearSince when it last ended.
	Congested      bool
	CongestedSince Instant
	ClearSince     Instant
	// OutOfRotation is true while the load balancer is asked to send no clients.
	OutOfRotation bool
}

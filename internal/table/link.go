package table

import "time"

// Link is the state of this router's own link.
type Link struct {
	// MeanConnectTime is a moving average of the time to open a connection to an
	// endpoint, last updated at SampledAt.
	MeanConnectTime time.Duration
	SampledAt       Instant
	// QueuedBytes estimates what waits to leave by the link, requests to endpoints and
	// answers to clients, and QueuedAnswerBytes what waits to come in, as of QueuedAt.
	// Received is what requests bring in, admitted or not, in bytes per second.
	QueuedBytes       float64
	QueuedAnswerBytes float64
	QueuedAt          Instant
	Received          DecayingRate
	// Congested is true while packets wait for the link. CongestedSince is when that
	// began, ClearSince when it last ended.
	Congested      bool
	CongestedSince Instant
	ClearSince     Instant
	// Demand is what requests and their answers bring to the link, admitted or not, in
	// bytes per second. SlowConnectShare is the share of connections to endpoints that
	// took long to open, as a moving average. PressedSince is since when either has been
	// high, or 0.
	Demand           DecayingRate
	SlowConnectShare float64
	PressedSince     Instant
	// OutOfRotation is true while the load balancer is asked to send no clients.
	// ReturnedAt is when that last ended, and ReturnTime for how long the link has to be
	// free before the router returns, while others have room.
	OutOfRotation bool
	ReturnedAt    Instant
	ReturnTime    time.Duration
}

// RouteAnswerSize is how long the answers of a route are.
type RouteAnswerSize struct {
	// MeanBytes is a moving average of the lengths of bodies, in bytes.
	MeanBytes float64
}

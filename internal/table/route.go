package table

import "time"

// RouteKind says how often a request on a route may run and how it is answered.
type RouteKind uint8

// Kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = iota + 1
	// RouteAtMostOnce requests run at most once per request id.
	RouteAtMostOnce
	// RouteStream requests are answered with a stream of events.
	RouteStream
)

// String returns the lower-case name of the kind.
func (k RouteKind) String() string {
	return [...]string{"unknown", "idempotent", "once", "stream"}[k]
}

// RouteTarget is a service that gets a share of a route's requests, in
// proportion to its weight.
type RouteTarget struct {
	Service ServiceName
	Weight  int
}

// Route maps requests to a host below a path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	Targets    []RouteTarget
	// Timeout bounds the time from a request's arrival to the end of its answer.
	// LatencyObjective is the route's target latency.
	Timeout          time.Duration
	LatencyObjective time.Duration
	Priority         int
	MaxAttempts      int
	// Public routes need no API key.
	Public bool
	// Resumable streams can be continued at another endpoint after the last event.
	Resumable bool
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// RouteSlowdown is how slow the requests of a route were recently.
type RouteSlowdown struct {
	// Service is the service of the latest request.
	Service ServiceName
	// Start and Output are the largest ratios of durations to the bounds by size: of the
	// time until the first event of a stream or of a whole call, and of the output that
	// followed the first event.
	Start, Output WindowMax
	// MeanOutput is a moving average of the ratio of the time of the output to its bound,
	// over streams that ended; 0 if there was none.
	MeanOutput float64
}

// DirectService is a service whose endpoints are called without an agent.
type DirectService struct {
	Name ServiceName
	// MaxEventTokens is the most tokens in one event of a stream; 0 for services
	// other than model engines.
	MaxEventTokens Tokens
	// MemoryTokens is how many tokens of prompts and output the requests at a model engine
	// may hold; 0 if unknown.
	MemoryTokens Tokens
	// ColdTime is how long an endpoint is cold after it starts during traffic, and
	// ColdRate how many requests a second it bears meanwhile from all routers together;
	// 0 for services without cold starts.
	ColdTime time.Duration
	ColdRate float64
	// RetryBucketLevel is the level of the retry budget's token bucket minus its
	// burst, in retries: 0 when full, and 1 less after each retry.
	RetryBucketLevel float64
}

// ServiceTraffic is what this router sends to a service.
type ServiceTraffic struct {
	// Sends is the rate of requests.
	Sends DecayingRate
	// MeanDuration is a moving average of how long a request is at an endpoint.
	MeanDuration time.Duration
	// MeanEventTime is the mean of the endpoints' times between two events; 0 if unknown.
	MeanEventTime time.Duration
	// ExpectedAt is up to when the requests of other routers are counted as expected.
	ExpectedAt Instant
	// BoundShare is the share of the requests that went to a place of their prompt.
	BoundShare float64
}

// PrepaidCustomer is a customer of the HTTP front with its keys and, if
// Limited, the total that it may spend.
type PrepaidCustomer struct {
	ID        CustomerID
	KeyHashes []KeyHash
	Limited   bool
	Total     Tokens
	// Priority, if HasPriority, overrides the priority of the route.
	HasPriority bool
	Priority    int
}

// HTTPLimits bound what a client may send to the HTTP front.
type HTTPLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Manifest is a complete configuration of the HTTP front.
type Manifest struct {
	Version   uint64
	Routes    []Route
	Services  []DirectService
	Customers []PrepaidCustomer
	Limits    HTTPLimits
}

// DirectEndpoint is an endpoint that the router calls without an agent.
type DirectEndpoint struct {
	ID      EndpointID
	Service ServiceName
	Address string
	// Domain is the failure domain (zone).
	Domain string
	// Slots is how many requests the endpoint runs at the same time.
	Slots int
	// Leaving endpoints get no new work. SaidLeaving is true if the endpoint's process has
	// said so itself: its entry does not change that.
	Leaving     bool
	SaidLeaving bool
	// Withdrawn is true if attempts that are on their way to the endpoint may not be sent.
	Withdrawn bool
	// RemovedAt is when the entry was removed from the platform's list, or 0.
	RemovedAt Instant
	// LapseGraceEnd is until when the entry may come back, if another router reported
	// that it may have lapsed; 0 if this router's own outage decides that.
	LapseGraceEnd Instant
	// StartedUnixMilli is the endpoint's start in milliseconds of Unix time. A
	// later one under the same id is a new process that has no state of the old
	// one.
	StartedUnixMilli int64
	// Sequence is that of the latest known entry of the process, or 0.
	Sequence int64
	// ListedAt is when this process of the endpoint was first listed here.
	ListedAt Instant

	// InFlight counts this router's open attempts, AwaitingFirstEvent those of
	// them without a first event. PrefillTokens sums up the uncached prompt tokens
	// of the latter.
	InFlight           int
	AwaitingFirstEvent int
	PrefillTokens      Tokens

	// ReportedRunning, ReportedWaiting (both in requests) and ReportedSlowdown are
	// the endpoint's latest load report that any router passed on, sent at ReportedAt. A
	// slowdown of 1 is the usual speed, 2 half of it.
	ReportedRunning  int
	ReportedWaiting  int
	ReportedSlowdown float64
	ReportedAt       Instant
	// ReportUnsent is true while this router has not passed on the latest report, which
	// it received itself. ReportPassedAt is when any router last passed one on.
	// ReportSurprise is by how many requests the report differed from what was expected.
	ReportUnsent   bool
	ReportPassedAt Instant
	ReportSurprise float64
	// OthersInFlight is the expected number of requests of other routers as of OthersAt.
	OthersInFlight float64
	OthersAt       Instant
	// OthersMean is a moving average of other routers' requests there, by the reports.
	OthersMean float64
	// Credit is how many requests the endpoint is owed by its shares of earlier choices.
	Credit float64
	// Changes are the recent changes of the requests in flight, oldest first.
	Changes []InFlightChange
	// EventTime is a moving average of the time between two events of a stream over
	// EventTimes samples; 0 if unknown.
	EventTime  time.Duration
	EventTimes int

	// FailureRate is a moving average of failed attempts, 0 to 1.
	FailureRate float64
	// ConsecutiveFailures counts failed attempts since the last successful one. No
	// new work is sent before SuspectUntil unless no other endpoint is left.
	ConsecutiveFailures int
	SuspectUntil        Instant
	// BrokenAt is when an attempt last lost its connection, or 0.
	BrokenAt Instant
	// LostAt is when it was last found lost, here or by another router, or 0.
	LostAt Instant
}

// InFlightChange is a change of the requests in flight at an endpoint.
type InFlightChange struct {
	At Instant
	// Own is the change of this router's requests, Others what the other routers are
	// expected to have sent.
	Own    int
	Others float64
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// CachedPart is a prompt part that an endpoint has probably cached.
type CachedPart struct {
	Endpoint EndpointID
	Part     string
}

// DepartedEndpoint is an endpoint that left. A store that returns from a copy may list it
// again.
type DepartedEndpoint struct {
	// StartedUnixMilli and Sequence are those of its last entry.
	StartedUnixMilli int64
	Sequence         int64
	// ForgetAt is when the row is deleted.
	ForgetAt Instant
}

package table

import "time"

// RouteKind says what a request on a route may be repeated.
type RouteKind uint8

// Kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = iota + 1
	// RouteOnce requests run at most once per request id.
	RouteOnce
	// RouteStream requests answer with a stream of events.
	RouteStream
)

// String returns the lower-case name of the kind.
func (k RouteKind) String() string {
	return [...]string{"unknown", "idempotent", "once", "stream"}[k]
}

// RouteTarget is a service that gets a share of a route's requests.
type RouteTarget struct {
	Service ServiceName
	Weight  int
}

// Route maps requests of a host below a path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        RouteKind
	Targets     []RouteTarget
	Timeout     time.Duration
	Objective   time.Duration
	Priority    int
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint behind the last event.
	Resumable bool
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// DirectService is a service whose endpoints are called without an agent.
type DirectService struct {
	Name ServiceName
	// EventTokens is the most tokens in one event of a stream; 0 for services
	// that are no model engines.
	EventTokens Tokens
	// RetryLevel is the retry budget's token bucket, counted from its burst: 0
	// when full, and negative by what was used.
	RetryLevel float64
}

// Prepaid is a customer with its keys and the total it may spend.
type Prepaid struct {
	ID        CustomerID
	KeyHashes []KeyHash
	Limited   bool
	Total     Tokens
	// Priority, if HasPriority, goes before that of the route.
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

// Manifest is a whole configuration of the HTTP front.
type Manifest struct {
	Version   uint64
	Routes    []Route
	Services  []DirectService
	Customers []Prepaid
	Limits    HTTPLimits
}

// DirectEndpoint is an endpoint that the router calls itself.
type DirectEndpoint struct {
	ID      EndpointID
	Service ServiceName
	Address string
	Domain  string
	Slots   int
	// Leaving endpoints get no new work.
	Leaving bool
	// RemovedAt is when the entry left the platform's list, or 0.
	RemovedAt Instant
	// Born is the endpoint's start in milliseconds of Unix time. A later one
	// under the same id is a new process that knows nothing of the old one.
	Born int64

	// InFlight counts this router's open attempts, Unstarted those without a
	// first event, PrefillTokens their prompt tokens that are not cached.
	InFlight      int
	Unstarted     int
	PrefillTokens Tokens

	// The endpoint's own last load report, and when it came.
	Running    int
	Waiting    int
	Slowdown   float64
	ReportedAt Instant

	// FailureRate is a moving average of failed attempts, 0 to 1.
	FailureRate float64
	// Failures counts failed attempts since the last good one. No new work is
	// sent before SuspectUntil unless no other endpoint is left.
	Failures     int
	SuspectUntil Instant
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// CachedPart is a prompt part that an endpoint has probably cached.
type CachedPart struct {
	Endpoint EndpointID
	Part     string
}

package table

import "time"

// ServiceKind distinguishes model engines from plain services.
type ServiceKind uint8

// Kinds of services.
const (
	ServiceModel ServiceKind = iota + 1
	ServicePlain
)

// Operation is one operation of a plain service.
type Operation struct {
	Idempotent bool
	// Cost is charged per call that ran.
	Cost Tokens
}

// Service is a named group of endpoints that customers call.
type Service struct {
	Name       ServiceName
	Kind       ServiceKind
	Operations map[string]Operation
	// MeanOutputTokens is the learned mean of output tokens per request.
	MeanOutputTokens float64
	// RetryBucketLevel is the level of the retry budget's token bucket minus its
	// burst, in retries: 0 when full, and 1 less after each retry.
	RetryBucketLevel float64
	// MedianFirstTokenTime and MedianTokenTime are the medians over the service's
	// endpoints of the times known to this router, as of MediansAt.
	MedianFirstTokenTime time.Duration
	MedianTokenTime      time.Duration
	MediansAt            Instant
}

// KeyHash is the SHA-256 of a caller's API key.
type KeyHash [32]byte

// Customer is a chain of shops that prepays budgets.
type Customer struct {
	ID CustomerID
	// Weight is the customer's share in fair queueing, relative to other
	// customers.
	Weight    float64
	KeyHashes []KeyHash
	Services  []ServiceName
	// GrantHorizon is the period of demand that one budget grant covers.
	GrantHorizon time.Duration
	// InFlight counts requests in progress at this router.
	InFlight int
	// RateBucketLevel is the level of the rate limit's token bucket as of
	// RateBucketAt, in requests.
	RateBucketLevel float64
	RateBucketAt    Instant
	// WeightedWork is the work dispatched so far divided by the weight.
	WeightedWork float64
}

// LimitsKey selects the limits of a customer at a service.
type LimitsKey struct {
	Customer CustomerID
	Service  ServiceName
}

// Limits are the limits that apply to a customer at a service, including
// exceptions.
type Limits struct {
	// RequestsPerSecond and Burst (in requests) limit the request rate at one
	// router.
	RequestsPerSecond float64
	Burst             int
	// Concurrency limits requests in progress at one router; 0 means no limit.
	Concurrency int
	Priority    int
	// MaxOutput is the output limit of requests that give none, and caps that of
	// others.
	MaxOutput Tokens
	// FirstTokenDeadline applies to requests that give none; 0 means none.
	FirstTokenDeadline time.Duration
	// QuickTokens is the expected work in tokens up to which a request is of
	// ClassQuick.
	QuickTokens Tokens
	// QuickSlotShare is the share of an endpoint's slots kept for quick requests,
	// 0 to 1.
	QuickSlotShare float64
	// Exceptions are the exceptions that changed a value, for explain.
	Exceptions []AppliedException
}

// AppliedException names the setting that an exception changed, and its written
// reason.
type AppliedException struct {
	Setting string
	Reason  string
}

// FleetDefaults are the settings of a service that do not depend on the
// customer.
type FleetDefaults struct {
	// RetryRatio is the number of retries that each request adds to the retry
	// budget, 0 to 1, and RetryBurst the size of the retry budget in retries.
	RetryRatio float64
	RetryBurst float64
	// EjectionFactor is the multiple of the service's median times above which an
	// endpoint is ejected.
	EjectionFactor float64
	// CrashLimit is the sum of crash weights at which a request is quarantined.
	CrashLimit float64
}

// FleetConfig is a validated fleet configuration, converted to rows.
type FleetConfig struct {
	Generation Generation
	// YAML is the source text, kept for peers that request it.
	YAML      string
	Defaults  FleetDefaults
	Customers []Customer
	Services  []Service
	Limits    map[LimitsKey]Limits
	// ServiceDefaults are the defaults of each service with exceptions applied.
	ServiceDefaults map[ServiceName]FleetDefaults
}

// DefaultsFor returns the defaults that apply to a service.
func (f *FleetConfig) DefaultsFor(s ServiceName) FleetDefaults {
	if d, ok := f.ServiceDefaults[s]; ok {
		return d
	}
	return f.Defaults
}

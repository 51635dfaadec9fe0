package table

import "time"

// ServiceKind tells model engines from plain services.
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

// Service is what customers call.
type Service struct {
	Name       ServiceName
	Kind       ServiceKind
	Operations map[string]Operation
	// MeanOutput is the learned mean of output tokens per request.
	MeanOutput float64
	// RetryTokens is the retry budget's token bucket, counted from its burst: 0
	// when full, and negative by what was used.
	RetryTokens float64
	// Medians of the times that the router knows of the service's endpoints, as
	// of MediansAt.
	MedianFirstToken time.Duration
	MedianTokenTime  time.Duration
	MediansAt        Instant
}

// KeyHash is the SHA-256 of a caller's key.
type KeyHash [32]byte

// Customer is a chain of shops that prepays budgets.
type Customer struct {
	ID        CustomerID
	Weight    float64
	KeyHashes []KeyHash
	Services  []ServiceName
	// GrantHorizon is the time of demand that one budget grant covers.
	GrantHorizon time.Duration
	// InFlight counts requests in progress at this router.
	InFlight int
	// RateTokens is the request rate limit's token bucket, as of RateAt.
	RateTokens float64
	RateAt     Instant
	// Served is the weighted work done so far, for fair queueing.
	Served float64
}

// RuleKey selects the limits of a customer at a service.
type RuleKey struct {
	Customer CustomerID
	Service  ServiceName
}

// Limits are the rules in force for a customer at a service, with exceptions applied.
type Limits struct {
	// RequestsPerSecond and Burst limit the request rate at one router.
	RequestsPerSecond float64
	Burst             int
	// Concurrency limits requests in progress at one router; 0 means no limit.
	Concurrency int
	Priority    int
	// MaxOutput is used when the request gives no limit, and caps it otherwise.
	MaxOutput Tokens
	// FirstTokenDeadline is used when the request gives none; 0 means none.
	FirstTokenDeadline time.Duration
	// QuickTokens is the expected work up to which a request is quick.
	QuickTokens Tokens
	// QuickShare is the share of an endpoint's slots kept for quick work.
	QuickShare float64
	// Exceptions are the exceptions that changed a value, for explain.
	Exceptions []AppliedException
}

// AppliedException names an exception and its written reason.
type AppliedException struct {
	Setting string
	Reason  string
}

// FleetDefaults are the settings that are not per customer or service.
type FleetDefaults struct {
	RetryShare     float64
	RetryBurst     float64
	EjectionFactor float64
	CrashLimit     float64
}

// Fleet is a checked configuration as rows.
type Fleet struct {
	Generation Generation
	// Text is the YAML text, kept for peers that ask for it.
	Text      string
	Defaults  FleetDefaults
	Customers []Customer
	Services  []Service
	Limits    map[RuleKey]Limits
	// ByService holds the defaults of services with exceptions applied.
	ByService map[ServiceName]FleetDefaults
}

// For returns the defaults in force for a service.
func (f *Fleet) For(s ServiceName) FleetDefaults {
	if d, ok := f.ByService[s]; ok {
		return d
	}
	return f.Defaults
}

package table

import (
	"strings"
	"time"
)

// Types of ids and counts.
type (
	// ProcessID names a daemon and is stable across restarts.
	ProcessID string
	// EndpointID names a model engine or a plain service instance.
	EndpointID string
	// ServiceName names what customers call, for example a model.
	ServiceName string
	// CustomerID names a customer.
	CustomerID string
	// BudgetID is "customer/name".
	BudgetID string
	// RequestID is "customer/idempotency key".
	RequestID string
	// ShardID numbers a ledger shard.
	ShardID uint32
	// Incarnation is a random number chosen at each start of a process.
	Incarnation uint64
	// Generation is the version number of the fleet configuration.
	Generation uint64
	// Fingerprint is a hash of a request's content, independent of its key.
	Fingerprint uint64
	// Tokens counts model tokens, which are also the unit of budgets.
	Tokens int64
)

// MakeBudgetID joins a customer and a budget name.
func MakeBudgetID(c CustomerID, name string) BudgetID {
	return BudgetID(string(c) + "/" + name)
}

// Customer returns the customer part of the id.
func (b BudgetID) Customer() CustomerID {
	c, _, _ := strings.Cut(string(b), "/")
	return CustomerID(c)
}

// MakeRequestID joins a customer and an idempotency key.
func MakeRequestID(c CustomerID, key string) RequestID {
	return RequestID(string(c) + "/" + key)
}

// Key returns the idempotency key part of the id.
func (r RequestID) Key() string {
	_, key, _ := strings.Cut(string(r), "/")
	return key
}

// Customer returns the customer part of the id.
func (r RequestID) Customer() CustomerID {
	c, _, _ := strings.Cut(string(r), "/")
	return CustomerID(c)
}

// Holder is one incarnation of a process. Grants and fences refer to holders,
// so that a restarted process never acts for its earlier incarnation.
type Holder struct {
	Process     ProcessID
	Incarnation Incarnation
}

// Instant is a reading of the process's monotonic clock, in nanoseconds since
// the start of the process. Instants of different processes are not comparable.
type Instant int64

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Never is later than any instant that a process reaches.
const Never = Instant(1<<63 - 1)

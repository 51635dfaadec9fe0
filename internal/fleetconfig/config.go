// Package fleetconfig reads and checks the configuration of the whole fleet:
// defaults, services, customers, and a short list of exceptions with reasons.
package fleetconfig

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/keyhash"
)

// Kind tells model engines from plain services.
type Kind string

// Kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Config is a checked configuration. It is read-only after Load.
type Config struct {
	// Defaults are the limits of the whole fleet.
	Defaults   Limits
	Services   []Service
	Customers  []Customer
	Exceptions []Exception
}

// Service is what customers call.
type Service struct {
	Name string
	Kind Kind
	// Operations are the calls of a plain service; none for a model.
	Operations []Operation
	// Priority is 0 if the fleet's default applies, else from MinPriority to MaxPriority.
	Priority int
	// Deadline is the time until the first token; 0 if the fleet's default applies.
	Deadline time.Duration
	// MaxOutputTokens is 0 if the fleet's default applies.
	MaxOutputTokens int64
}

// Operation is one operation of a plain service.
type Operation struct {
	Name string
	// Idempotent operations can be repeated without a further effect.
	Idempotent bool
	// CostTokens is charged for each call that ran.
	CostTokens int64
}

// Customer is a chain of shops that prepays budgets.
type Customer struct {
	ID string
	// Weight is the customer's share relative to others; 0 if the fleet's default applies.
	Weight float64
	// Keys are the hashes of the customer's API keys. A customer without keys
	// cannot call.
	Keys []keyhash.Hash
	// Services are the names of the services that the customer may call.
	Services []string
}

// MayCall reports whether the customer may call a service.
func (c *Customer) MayCall(service string) bool {
	for _, s := range c.Services {
		if s == service {
			return true
		}
	}
	return false
}

// Exception sets one setting of a customer, a service, or a customer at a service.
type Exception struct {
	// Customer and Service select where the exception applies. An empty one
	// selects all; at least one is given.
	Customer, Service string
	Setting           Setting
	// Value is the value as written.
	Value string
	// Reason says why the exception exists.
	Reason string
	// Until is the end of the last day on which the exception applies, in UTC;
	// the zero time if it has no end.
	Until time.Time

	// values holds the typed value in the setting's field.
	values Limits
}

// ActiveAt reports whether the exception has not ended at a time.
func (e *Exception) ActiveAt(now time.Time) bool {
	return e.Until.IsZero() || now.Before(e.Until)
}

// appliesTo reports whether the exception selects a customer at a service.
func (e *Exception) appliesTo(customer, service string) bool {
	return (e.Customer == "" || e.Customer == customer) && (e.Service == "" || e.Service == service)
}

// specific reports whether the exception names both a customer and a service.
func (e *Exception) specific() bool { return e.Customer != "" && e.Service != "" }

// Service returns the row of a service, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Customer returns the row of a customer, or nil.
func (c *Config) Customer(id string) *Customer {
	for i := range c.Customers {
		if c.Customers[i].ID == id {
			return &c.Customers[i]
		}
	}
	return nil
}

// Operation returns the row of an operation, or nil.
func (s *Service) Operation(name string) *Operation {
	for i := range s.Operations {
		if s.Operations[i].Name == name {
			return &s.Operations[i]
		}
	}
	return nil
}

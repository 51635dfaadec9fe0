// Package fleetconfig parses and validates the configuration of the fleet:
// defaults, services, customers, and a short list of exceptions with reasons.
package fleetconfig

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/keyhash"
)

// Kind distinguishes model engines from plain services.
type Kind string

// Kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Config is a validated configuration. It is read-only after Load.
type Config struct {
	// Defaults are the fleet-wide limits.
	Defaults   Limits
	Services   []Service
	Customers  []Customer
	Exceptions []Exception
}

// Service is a model or plain service that customers call.
type Service struct {
	Name string
	Kind Kind
	// Operations are the operations of a plain service; empty for a model.
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
	// Idempotent is true if repeating the operation has no further effect.
	Idempotent bool
	// CostTokens is the charge for each call that ran.
	CostTokens int64
}

// Customer is an organization, such as a chain of shops, with prepaid budgets.
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

// Exception overrides one setting for a customer, a service, or a customer at a service.
type Exception struct {
	// Customer and Service define where the exception applies. An empty value
	// matches all; at least one of the two is set.
	Customer, Service string
	Setting           Setting
	// Value is the value as written in the configuration.
	Value string
	// Reason says why the exception exists.
	Reason string
	// Until is the end of the last day on which the exception applies, in UTC;
	// the zero time if it has no end.
	Until time.Time

	// values holds the parsed value in the field of Setting.
	values Limits
}

// ActiveAt reports whether the exception has not yet ended at the given time.
func (e *Exception) ActiveAt(now time.Time) bool {
	return e.Until.IsZero() || now.Before(e.Until)
}

// appliesTo reports whether the exception applies to a customer at a service.
func (e *Exception) appliesTo(customer, service string) bool {
	return (e.Customer == "" || e.Customer == customer) && (e.Service == "" || e.Service == service)
}

// namesBoth reports whether the exception names both a customer and a service.
func (e *Exception) namesBoth() bool { return e.Customer != "" && e.Service != "" }

// Service returns the service with a name, or nil.
func (c *Config) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Customer returns the customer with an id, or nil.
func (c *Config) Customer(id string) *Customer {
	for i := range c.Customers {
		if c.Customers[i].ID == id {
			return &c.Customers[i]
		}
	}
	return nil
}

// Operation returns the operation with a name, or nil.
func (s *Service) Operation(name string) *Operation {
	for i := range s.Operations {
		if s.Operations[i].Name == name {
			return &s.Operations[i]
		}
	}
	return nil
}

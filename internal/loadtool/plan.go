// Package loadtool sends requests at a given rate to the caller API and measures the
// resource usage of daemons. It does not start processes.
//
// One goroutine owns the tables of a load test and runs the systems over them at each tick.
// Each request runs on its own goroutine, which reports the outcome as an event.
package loadtool

import (
	"time"

	"github.com/pkg/errors"
)

// Plan describes the requests of a load test.
type Plan struct {
	// CallerURLs are the base URLs of the routers' caller APIs, used round-robin.
	CallerURLs []string
	// APIKey is the caller API key of the customer on whose behalf requests are sent.
	APIKey string
	// Rate is the number of requests per second, sent over Duration.
	Rate     float64
	Duration time.Duration
	// Timeout limits the duration of one request.
	Timeout time.Duration
	// MaxOpen limits the number of requests in flight. Requests that are due above the
	// limit are counted as not sent.
	MaxOpen int

	// Services are the model services; each generate request goes to one at random.
	Services []string
	// PromptBytes and MaxOutputTokens set the size of a generate request.
	PromptBytes     int
	MaxOutputTokens int64
	// CallShare is the fraction of requests that call Operation of the plain service
	// CallService.
	CallShare   float64
	CallService string
	Operation   string
	// Budgets are the names of the budgets; each request uses one at random.
	Budgets []string
	// Seed makes the random choices of service and budget repeatable.
	Seed uint64
}

// Validate returns an error for the first invalid field of a plan.
func (p *Plan) Validate() error {
	switch {
	case len(p.CallerURLs) == 0:
		return errors.New("no caller API URLs")
	case p.Rate <= 0 || p.Duration <= 0 || p.Timeout <= 0 || p.MaxOpen <= 0:
		return errors.New("rate, duration, timeout and maximum number of open requests must be positive")
	case p.CallShare < 0 || p.CallShare > 1:
		return errors.New("the call share must be between 0 and 1")
	case p.CallShare < 1 && len(p.Services) == 0:
		return errors.New("no model services")
	case p.CallShare > 0 && (p.CallService == "" || p.Operation == ""):
		return errors.New("calls require a service and an operation")
	case len(p.Budgets) == 0:
		return errors.New("no budgets")
	}
	return nil
}

// requestCount returns the number of requests of the run.
func (p *Plan) requestCount() int { return int(p.Rate * p.Duration.Seconds()) }

// dueTime returns the scheduled send time of request i, relative to the start of the run.
func (p *Plan) dueTime(i int) time.Duration {
	return time.Duration(float64(i) / p.Rate * float64(time.Second))
}

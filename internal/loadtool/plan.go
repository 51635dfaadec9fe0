// Package loadtool sends requests at a given rate to the caller API and measures
// what daemons spend on control. It starts no processes.
//
// One goroutine owns the tables of a run and ticks over them; the requests run
// on goroutines of their own and report their ends as events.
package loadtool

import (
	"time"

	"github.com/pkg/errors"
)

// Plan is what a run of load sends.
type Plan struct {
	// Callers are the base URLs of the routers' caller APIs, used in turn.
	Callers []string
	// Key is the callers' key of the customer that the requests belong to.
	Key string
	// Rate is the number of requests per second, for Duration.
	Rate     float64
	Duration time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// MaxOpen bounds the open requests; those above it are counted as not sent.
	MaxOpen int

	// Services take generate requests in turn.
	Services []string
	// PromptBytes and OutputTokens are the size of a generate request.
	PromptBytes  int
	OutputTokens int64
	// CallShare of the requests are calls of Operation of CallService.
	CallShare   float64
	CallService string
	Operation   string
	// Budgets are the names of the budgets, drawn at random.
	Budgets []string
	// Seed makes the sequence of kinds and budgets repeatable.
	Seed uint64
}

// Check returns the first fault of a plan.
func (p *Plan) Check() error {
	switch {
	case len(p.Callers) == 0:
		return errors.New("no caller API is given")
	case p.Rate <= 0 || p.Duration <= 0 || p.Timeout <= 0 || p.MaxOpen <= 0:
		return errors.New("rate, duration, timeout and open requests must be positive")
	case p.CallShare < 0 || p.CallShare > 1:
		return errors.New("the share of calls is not in 0..1")
	case p.CallShare < 1 && len(p.Services) == 0:
		return errors.New("no model service is given")
	case p.CallShare > 0 && (p.CallService == "" || p.Operation == ""):
		return errors.New("calls need a service and an operation")
	case len(p.Budgets) == 0:
		return errors.New("no budget is given")
	}
	return nil
}

// total is the number of requests of the run.
func (p *Plan) total() int { return int(p.Rate * p.Duration.Seconds()) }

// due returns when a request is to be sent, from the start of the run.
func (p *Plan) due(i int) time.Duration {
	return time.Duration(float64(i) / p.Rate * float64(time.Second))
}

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"laburnumroad.dev/laburnumroad/internal/loadtool"
)

// operatorKeyVariable names the environment variable with the operators' key.
const operatorKeyVariable = "LABURNUM_OPERATOR_KEY"

type prepareCommand struct {
	fleet     loadtool.Fleet
	operators string
	config    string
	budgets   int
	agents    int
	wait      time.Duration
}

func (*prepareCommand) Name() string { return "prepare" }
func (*prepareCommand) Synopsis() string {
	return "apply a configuration, top budgets up and wait for the agents"
}
func (*prepareCommand) Usage() string {
	return "prepare -operators URL,URL -config FILE [flags]\nThe key is read from " + operatorKeyVariable + ".\n"
}

func (c *prepareCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.operators, "operators", "", "base URLs of operator APIs, separated by commas; the first one is used for writes")
	f.StringVar(&c.config, "config", "", "file of the fleet configuration")
	f.StringVar(&c.fleet.Customer, "customer", "load", "customer of the budgets")
	f.IntVar(&c.budgets, "budgets", 1, "number of budgets: default, shop-1, shop-2 and so on")
	f.Int64Var(&c.fleet.Amount, "amount", 1_000_000_000, "tokens of each budget")
	f.IntVar(&c.agents, "agents", 0, "agents that must be live at each router")
	f.DurationVar(&c.wait, "wait", time.Minute, "longest wait")
}

func (c *prepareCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	text, err := os.ReadFile(c.config)
	if err != nil {
		return finish(err)
	}
	operators := split(c.operators)
	if len(operators) == 0 {
		return finish(fmt.Errorf("-operators is required"))
	}
	c.fleet.Config, c.fleet.Key = string(text), os.Getenv(operatorKeyVariable)
	c.fleet.Budgets = budgetNames(c.budgets)
	c.fleet.Operator = operators[0]
	if err := retry(ctx, func() error { return loadtool.Prepare(ctx, &c.fleet) }); err != nil {
		return finish(err)
	}
	for _, o := range operators {
		c.fleet.Operator = o
		if err := retry(ctx, func() error { return loadtool.Ready(ctx, &c.fleet, c.agents) }); err != nil {
			return finish(err)
		}
	}
	return subcommands.ExitSuccess
}

// retryInterval is the pause between tries while a fleet starts.
const retryInterval = 500 * time.Millisecond

// retry repeats a step until it succeeds or ctx ends.
func retry(ctx context.Context, step func() error) error {
	for {
		err := step()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}

// budgetNames returns the names of the first n budgets of a run of load.
func budgetNames(n int) []string {
	names := []string{"default"}
	for i := 1; i < n; i++ {
		names = append(names, fmt.Sprintf("shop-%d", i))
	}
	return names
}

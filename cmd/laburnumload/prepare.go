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

// operatorKeyVariable is the environment variable that holds the operator API key.
const operatorKeyVariable = "LABURNUM_OPERATOR_KEY"

type prepareCommand struct {
	setup        loadtool.FleetSetup
	operatorURLs string
	configFile   string
	budgetCount  int
	minAgents    int
	timeout      time.Duration
}

func (*prepareCommand) Name() string { return "prepare" }
func (*prepareCommand) Synopsis() string {
	return "apply a configuration, top up budgets and wait for the agents"
}
func (*prepareCommand) Usage() string {
	return "prepare -operators URL,URL -config FILE [flags]\nThe key is read from " + operatorKeyVariable + ".\n"
}

func (c *prepareCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.operatorURLs, "operators", "", "base URLs of operator APIs, separated by commas; writes go to the first one")
	f.StringVar(&c.configFile, "config", "", "file with the fleet configuration")
	f.StringVar(&c.setup.Customer, "customer", "load", "customer that owns the budgets")
	f.IntVar(&c.budgetCount, "budgets", 1, "number of budgets, named default, shop-1, shop-2 and so on")
	f.Int64Var(&c.setup.TopUpAmount, "amount", 1_000_000_000, "tokens to add to each budget")
	f.IntVar(&c.minAgents, "agents", 0, "minimum number of live agents at each router")
	f.DurationVar(&c.timeout, "wait", time.Minute, "timeout of the whole command")
}

func (c *prepareCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	text, err := os.ReadFile(c.configFile)
	if err != nil {
		return reportExit(err)
	}
	urls := splitList(c.operatorURLs)
	if len(urls) == 0 {
		return reportExit(fmt.Errorf("-operators is required"))
	}
	c.setup.Config, c.setup.APIKey = string(text), os.Getenv(operatorKeyVariable)
	c.setup.Budgets = budgetNames(c.budgetCount)
	c.setup.OperatorURL = urls[0]
	if err := retryUntilSuccess(ctx, func() error { return loadtool.Prepare(ctx, &c.setup) }); err != nil {
		return reportExit(err)
	}
	for _, url := range urls {
		c.setup.OperatorURL = url
		if err := retryUntilSuccess(ctx, func() error { return loadtool.CheckReady(ctx, &c.setup, c.minAgents) }); err != nil {
			return reportExit(err)
		}
	}
	return subcommands.ExitSuccess
}

// retryInterval is the pause between attempts while the fleet starts.
const retryInterval = 500 * time.Millisecond

// retryUntilSuccess repeats an operation until it succeeds or ctx is done. It returns
// the last error.
func retryUntilSuccess(ctx context.Context, operation func() error) error {
	for {
		err := operation()
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

// budgetNames returns the names of the first n budgets of a load test.
func budgetNames(n int) []string {
	names := []string{"default"}
	for i := 1; i < n; i++ {
		names = append(names, fmt.Sprintf("shop-%d", i))
	}
	return names
}

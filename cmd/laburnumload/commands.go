package main

import (
	"context"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"laburnumroad.dev/laburnumroad/internal/capacity"
	"laburnumroad.dev/laburnumroad/internal/loadtool"
)

// callerKeyVariable is the environment variable that holds the caller API key.
const callerKeyVariable = "LABURNUM_CALLER_KEY"

type sendCommand struct {
	plan                     loadtool.Plan
	callerURLs, serviceNames string
	budgetCount              int
}

func (*sendCommand) Name() string { return "send" }
func (*sendCommand) Synopsis() string {
	return "send requests at a given rate and print their latencies"
}
func (*sendCommand) Usage() string {
	return "send -callers URL,URL [flags]\nThe key is read from " + callerKeyVariable + ".\n"
}

func (c *sendCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.callerURLs, "callers", "", "base URLs of caller APIs, separated by commas")
	f.StringVar(&c.serviceNames, "services", "tutor-model", "names of model services, separated by commas")
	f.Float64Var(&c.plan.Rate, "rate", 10, "requests per second")
	f.DurationVar(&c.plan.Duration, "duration", 10*time.Second, "duration of the load")
	f.DurationVar(&c.plan.Timeout, "timeout", 60*time.Second, "timeout of a request")
	f.IntVar(&c.plan.MaxOpen, "max-open", 5000, "maximum number of open requests")
	f.IntVar(&c.plan.PromptBytes, "prompt", 400, "size of a prompt in bytes")
	f.Int64Var(&c.plan.MaxOutputTokens, "output", 312, "maximum number of output tokens per request")
	f.Float64Var(&c.plan.CallShare, "call-share", 0, "fraction of requests that are plain service calls")
	f.StringVar(&c.plan.CallService, "call-service", "classroom-app", "name of the plain service")
	f.StringVar(&c.plan.Operation, "operation", "progress", "operation of the plain service")
	f.IntVar(&c.budgetCount, "budgets", 1, "number of budgets, named default, shop-1, shop-2 and so on")
	f.Uint64Var(&c.plan.Seed, "seed", 1, "seed of the random number generator")
}

func (c *sendCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.plan.APIKey = os.Getenv(callerKeyVariable)
	c.plan.CallerURLs = splitList(c.callerURLs)
	c.plan.Services = splitList(c.serviceNames)
	c.plan.Budgets = budgetNames(c.budgetCount)
	result, err := loadtool.Run(ctx, &c.plan)
	if err != nil {
		return reportExit(err)
	}
	return reportExit(result.Write(os.Stdout))
}

func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

type observeCommand struct {
	daemonsFile string
	interval    time.Duration
}

func (*observeCommand) Name() string { return "observe" }
func (*observeCommand) Synopsis() string {
	return "measure the resource usage of daemons over an interval"
}
func (*observeCommand) Usage() string {
	return "observe -daemons FILE [-interval 10s]\nThe file has one line per daemon: name, group, debug address, process id.\n"
}

func (c *observeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.daemonsFile, "daemons", "", "file with the list of daemons")
	f.DurationVar(&c.interval, "interval", 10*time.Second, "time between the two measurements")
}

func (c *observeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := os.ReadFile(c.daemonsFile)
	if err != nil {
		return reportExit(err)
	}
	daemons, err := loadtool.ParseDaemons(string(text))
	if err != nil {
		return reportExit(err)
	}
	costs, err := loadtool.Observe(ctx, daemons, c.interval)
	if err != nil {
		return reportExit(err)
	}
	return reportExit(costs.Write(os.Stdout))
}

type fitCommand struct{}

func (*fitCommand) Name() string           { return "fit" }
func (*fitCommand) Synopsis() string       { return "fit lines to the output of go test -bench" }
func (*fitCommand) Usage() string          { return "fit FILE...\n" }
func (*fitCommand) SetFlags(*flag.FlagSet) {}

func (*fitCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var samples []capacity.Sample
	for _, name := range f.Args() {
		parsed, err := parseBenchmarkFile(name)
		if err != nil {
			return reportExit(err)
		}
		samples = append(samples, parsed...)
	}
	return reportExit(capacity.WriteTable(os.Stdout, capacity.Group(samples)))
}

func parseBenchmarkFile(name string) ([]capacity.Sample, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return capacity.Parse(file)
}

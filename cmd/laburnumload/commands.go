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

// callerKeyVariable names the environment variable with the callers' key.
const callerKeyVariable = "LABURNUM_CALLER_KEY"

type sendCommand struct {
	plan              loadtool.Plan
	callers, services string
	budgets           int
}

func (*sendCommand) Name() string     { return "send" }
func (*sendCommand) Synopsis() string { return "send requests at a given rate and print their times" }
func (*sendCommand) Usage() string {
	return "send -callers URL,URL [flags]\nThe key is read from " + callerKeyVariable + ".\n"
}

func (c *sendCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.callers, "callers", "", "base URLs of caller APIs, separated by commas")
	f.StringVar(&c.services, "services", "tutor-model", "model services, separated by commas")
	f.Float64Var(&c.plan.Rate, "rate", 10, "requests per second")
	f.DurationVar(&c.plan.Duration, "duration", 10*time.Second, "how long to send")
	f.DurationVar(&c.plan.Timeout, "timeout", 60*time.Second, "longest time of one request")
	f.IntVar(&c.plan.MaxOpen, "max-open", 5000, "most open requests")
	f.IntVar(&c.plan.PromptBytes, "prompt", 400, "bytes of a prompt")
	f.Int64Var(&c.plan.OutputTokens, "output", 312, "largest number of output tokens")
	f.Float64Var(&c.plan.CallShare, "call-share", 0, "share of plain calls")
	f.StringVar(&c.plan.CallService, "call-service", "classroom-app", "plain service")
	f.StringVar(&c.plan.Operation, "operation", "progress", "operation of the plain service")
	f.IntVar(&c.budgets, "budgets", 1, "number of budgets: default, shop-1, shop-2 and so on")
	f.Uint64Var(&c.plan.Seed, "seed", 1, "seed of the random draws")
}

func (c *sendCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.plan.Key = os.Getenv(callerKeyVariable)
	c.plan.Callers = split(c.callers)
	c.plan.Services = split(c.services)
	c.plan.Budgets = budgetNames(c.budgets)
	result, err := loadtool.Run(ctx, &c.plan)
	if err != nil {
		return finish(err)
	}
	return finish(result.Write(os.Stdout))
}

func split(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

type observeCommand struct {
	file     string
	interval time.Duration
}

func (*observeCommand) Name() string     { return "observe" }
func (*observeCommand) Synopsis() string { return "read the control cost of daemons over an interval" }
func (*observeCommand) Usage() string {
	return "observe -daemons FILE [-interval 10s]\nThe file has a line per daemon: name, group, debug address, process id.\n"
}

func (c *observeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "daemons", "", "file that lists the daemons")
	f.DurationVar(&c.interval, "interval", 10*time.Second, "time between the two readings")
}

func (c *observeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := os.ReadFile(c.file)
	if err != nil {
		return finish(err)
	}
	daemons, err := loadtool.ParseDaemons(string(text))
	if err != nil {
		return finish(err)
	}
	costs, err := loadtool.Observe(ctx, daemons, c.interval)
	if err != nil {
		return finish(err)
	}
	return finish(costs.Write(os.Stdout))
}

type fitCommand struct{}

func (*fitCommand) Name() string           { return "fit" }
func (*fitCommand) Synopsis() string       { return "fit lines through the output of go test -bench" }
func (*fitCommand) Usage() string          { return "fit FILE...\n" }
func (*fitCommand) SetFlags(*flag.FlagSet) {}

func (*fitCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var samples []capacity.Sample
	for _, name := range f.Args() {
		found, err := parseFile(name)
		if err != nil {
			return finish(err)
		}
		samples = append(samples, found...)
	}
	return finish(capacity.WriteTable(os.Stdout, capacity.Group(samples)))
}

func parseFile(name string) ([]capacity.Sample, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return capacity.Parse(file)
}

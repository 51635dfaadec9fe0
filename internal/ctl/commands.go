package ctl

import (
	"context"
	"flag"
)

// inputs are the flags of single commands.
type inputs struct {
	expect   int64
	undo     bool
	reason   string
	id       string
	weight   float64
	services string
	max      int64
	key      string
	budget   string
	retry    bool
	position int64
	received string
}

// command is one row of the table of commands.
type command struct {
	group, name, args, synopsis string
	minArgs, maxArgs            int
	flags                       func(*flag.FlagSet, *inputs)
	run                         func(context.Context, *session, *inputs, []string) Outcome
}

// expectCurrent makes apply fetch the current generation.
const expectCurrent = -1

// Groups of commands in the help text.
const (
	groupConfig = "configuration"
	groupFleet  = "fleet"
	groupCaller = "requests"
)

var commands = []command{
	{groupConfig, "validate", "FILE", "check a configuration file", 1, 1, nil, runValidate},
	{groupConfig, "apply", "FILE [-expect GENERATION]", "put a configuration file in force", 1, 1, applyFlags, runApply},
	{groupConfig, "diff", "FILE", "show the difference from the current configuration to a file", 1, 1, nil, runDiff},
	{groupConfig, "get", "config", "print the current configuration", 1, 1, nil, runGet},
	{groupConfig, "exceptions", "", "list the exceptions with their reasons", 0, 0, nil, runExceptions},
	{groupConfig, "customer", "create CUSTOMER -services A,B [-weight W] | topup CUSTOMER[/BUDGET] AMOUNT [-id ID]",
		"add a customer, or add to a prepaid budget", 2, 3, customerFlags, runCustomer},
	{groupFleet, "budgets", "[CUSTOMER]", "list the budgets", 0, 1, nil, runBudgets},
	{groupFleet, "status", "", "show processes and endpoints", 0, 0, nil, runStatus},
	{groupFleet, "drain", "TARGET [-undo] -reason TEXT", "mark an endpoint or a host as leaving", 1, 1, drainFlags, runDrain},
	{groupFleet, "explain", "REQUEST-ID", "show the decisions about a request", 1, 1, nil, runExplain},
	{groupFleet, "log", "REQUEST-ID FILE...", "follow a request over the log files of several processes", 2, maxLogFiles, nil, runLog},
	{groupCaller, "generate", "SERVICE PROMPT [-max N] [-budget B] [-key K] [-retry] [-position N [-received FILE]]",
		"stream an answer of a model and check that it is whole", 2, 2, generateFlags, runGenerate},
	{groupCaller, "call", "SERVICE OPERATION [BODY] [-budget B] [-key K] [-retry]", "run one call of a plain service", 2, 3, callFlags, runCall},
	{groupCaller, "issue-key", "SERVICE", "get an idempotency key that is bound to one agent", 1, 1, nil, runIssueKey},
}

func applyFlags(f *flag.FlagSet, in *inputs) {
	f.Int64Var(&in.expect, "expect", expectCurrent, "`generation` that the file is based on; the current one if left out")
}

func customerFlags(f *flag.FlagSet, in *inputs) {
	f.StringVar(&in.services, "services", "", "create: comma-separated `names` of the services that the customer may call")
	f.Float64Var(&in.weight, "weight", 0, "create: the customer's `weight`; the fleet's default if left out")
	f.StringVar(&in.id, "id", "", "topup: `id` of the top-up, which counts once per id; drawn if left out")
}

func drainFlags(f *flag.FlagSet, in *inputs) {
	f.BoolVar(&in.undo, "undo", false, "take the mark back")
	f.StringVar(&in.reason, "reason", "", "why; required")
}

func generateFlags(f *flag.FlagSet, in *inputs) {
	callFlags(f, in)
	f.Int64Var(&in.max, "max", 0, "upper limit of generated `tokens`; the service's default if 0")
	f.Int64Var(&in.position, "position", 0, "number of `tokens` already received; the answer resumes behind them")
	f.StringVar(&in.received, "received", "", "`file` with the text before the position, to compare the checksum")
}

func callFlags(f *flag.FlagSet, in *inputs) {
	f.StringVar(&in.key, "key", "", "idempotency `key`; generated if left out")
	f.StringVar(&in.budget, "budget", "", "`name` of the budget")
	f.BoolVar(&in.retry, "retry", false, "this is a retry of an earlier request with the same key")
}

package ctl

import (
	"context"
	"flag"
)

// commandFlags holds the values of the flags that individual commands define.
type commandFlags struct {
	expectedGeneration int64
	undo               bool
	reason             string
	topUpID            string
	weight             float64
	services           string
	maxOutputTokens    int64
	idempotencyKey     string
	budget             string
	retry              bool
	position           int64
	receivedFile       string
	where              whereFlags
}

// command defines a subcommand.
type command struct {
	group, name, argsHelp, synopsis string
	minArgs, maxArgs                int
	registerFlags                   func(*flag.FlagSet, *commandFlags)
	run                             func(context.Context, *invocation, *commandFlags, []string) Outcome
}

// expectCurrentGeneration makes apply fetch the current generation and expect it.
const expectCurrentGeneration = -1

// Groups of commands in the help text.
const (
	groupConfig = "configuration"
	groupFleet  = "fleet"
	groupCaller = "requests"
)

var commands = []command{
	{groupConfig, "validate", "FILE", "validate a configuration file", 1, 1, nil, runValidate},
	{groupConfig, "apply", "FILE [-expect GENERATION]", "apply a configuration file", 1, 1, registerApplyFlags, runApply},
	{groupConfig, "diff", "FILE", "show the changes from the current configuration to a file", 1, 1, nil, runDiff},
	{groupConfig, "get", "config", "print the current configuration", 1, 1, nil, runGet},
	{groupConfig, "exceptions", "", "list the exceptions with their reasons", 0, 0, nil, runExceptions},
	{groupConfig, "customer", "create CUSTOMER -services A,B [-weight W] | topup CUSTOMER[/BUDGET] AMOUNT [-id ID]",
		"add a customer, or add to a prepaid budget", 2, 3, registerCustomerFlags, runCustomer},
	{groupFleet, "budgets", "[CUSTOMER]", "list the budgets", 0, 1, nil, runBudgets},
	{groupFleet, "status", "", "show processes and endpoints", 0, 0, nil, runStatus},
	{groupFleet, "drain", "TARGET [-undo] -reason TEXT", "mark an endpoint or host as leaving, or remove the mark", 1, 1, registerDrainFlags, runDrain},
	{groupFleet, "explain", "REQUEST-ID", "show the decisions about a request", 1, 1, nil, runExplain},
	{groupFleet, "where", "-gateway HOST:PORT -host H -path P [-key-file F | -customer C] -prompt-tokens N -max-output N [-part ID:TOKENS ...] [-json]",
		"explain where a gateway would send a request now, without sending it", 0, 0, registerWhereFlags, runWhere},
	{groupFleet, "log", "REQUEST-ID FILE...", "trace a request through the log files of several processes", 2, maxLogFiles, nil, runLog},
	{groupCaller, "generate", "SERVICE PROMPT [-max N] [-budget B] [-key K] [-retry] [-position N [-received FILE]]",
		"stream the answer of a model and verify that it is complete", 2, 2, registerGenerateFlags, runGenerate},
	{groupCaller, "call", "SERVICE OPERATION [BODY] [-budget B] [-key K] [-retry]", "call an operation of a plain service", 2, 3, registerCallFlags, runCall},
	{groupCaller, "issue-key", "SERVICE", "get an idempotency key that is bound to an agent", 1, 1, nil, runIssueKey},
}

func registerApplyFlags(f *flag.FlagSet, flags *commandFlags) {
	f.Int64Var(&flags.expectedGeneration, "expect", expectCurrentGeneration, "`generation` that the file is based on; -1 for the current one")
}

func registerCustomerFlags(f *flag.FlagSet, flags *commandFlags) {
	f.StringVar(&flags.services, "services", "", "create: comma-separated `names` of the services that the customer may call")
	f.Float64Var(&flags.weight, "weight", 0, "create: the customer's `weight`; the fleet's default if omitted")
	f.StringVar(&flags.topUpID, "id", "", "topup: `id` of the top-up, which is applied only once per id; random if omitted")
}

func registerDrainFlags(f *flag.FlagSet, flags *commandFlags) {
	f.BoolVar(&flags.undo, "undo", false, "remove the mark")
	f.StringVar(&flags.reason, "reason", "", "`reason` for the change; required")
}

func registerGenerateFlags(f *flag.FlagSet, flags *commandFlags) {
	registerCallFlags(f, flags)
	f.Int64Var(&flags.maxOutputTokens, "max", 0, "upper limit of generated `tokens`; the service's default if 0")
	f.Int64Var(&flags.position, "position", 0, "number of `tokens` already received; the answer resumes after them")
	f.StringVar(&flags.receivedFile, "received", "", "`file` with the text before the position, needed to compare the checksum")
}

func registerCallFlags(f *flag.FlagSet, flags *commandFlags) {
	f.StringVar(&flags.idempotencyKey, "key", "", "idempotency `key`; generated if omitted")
	f.StringVar(&flags.budget, "budget", "", "`name` of the budget")
	f.BoolVar(&flags.retry, "retry", false, "this is a retry of an earlier request with the same key")
}

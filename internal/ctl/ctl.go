// Package ctl implements laburnumctl, the command-line tool of operators and callers.
//
// Functions that decide what to print and which code to exit with take typed
// messages and return an Outcome. API calls, file access and encodings are in
// other source files, so that another front end can reuse the decisions.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// Environment variables that set the defaults of flags.
const (
	envOperator    = "LABURNUM_OPERATOR"
	envCaller      = "LABURNUM_CALLER"
	envOperatorKey = "LABURNUM_OPERATOR_KEY"
	envCallerKey   = "LABURNUM_CALLER_KEY"
)

// globalOptions holds the values of the flags that all commands share.
type globalOptions struct {
	operatorURL, callerURL string
	operatorKey, callerKey string
	format                 format
}

// Environment holds the output streams and environment variables of one run.
type Environment struct {
	Out, Err io.Writer
	// Getenv returns the value of an environment variable, or an empty string.
	Getenv func(string) string
}

// Main runs the tool with the arguments after the program's name and returns the
// exit code.
func Main(ctx context.Context, args []string, env Environment) ExitCode {
	opts := &globalOptions{
		operatorURL: env.Getenv(envOperator),
		callerURL:   env.Getenv(envCaller),
		operatorKey: env.Getenv(envOperatorKey),
		callerKey:   env.Getenv(envCallerKey),
		format:      formatTable,
	}
	globalFlags := flag.NewFlagSet("laburnumctl", flag.ContinueOnError)
	globalFlags.SetOutput(env.Err)
	opts.registerFlags(globalFlags)
	commander := subcommands.NewCommander(globalFlags, "laburnumctl")
	commander.Output, commander.Error = env.Out, env.Err
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for i := range commands {
		commander.Register(&commandAdapter{command: &commands[i], opts: opts, env: env}, commands[i].group)
	}
	if err := globalFlags.Parse(args); err != nil {
		return ExitUsage
	}
	return ExitCode(commander.Execute(ctx))
}

// registerFlags adds the shared flags to a flag set. The default of each flag is its
// current value, so that a flag may be given before or after the command.
func (o *globalOptions) registerFlags(f *flag.FlagSet) {
	f.StringVar(&o.operatorURL, "operator", o.operatorURL, "`URL` of the operator API ("+envOperator+")")
	f.StringVar(&o.callerURL, "caller", o.callerURL, "`URL` of the caller API ("+envCaller+")")
	f.Var(secretFlag{&o.operatorKey}, "operator-key", "`key` for the operator API ("+envOperatorKey+")")
	f.Var(secretFlag{&o.callerKey}, "caller-key", "`key` for the caller API ("+envCallerKey+")")
	f.Var(&o.format, "o", "output `format`: table or json")
}

// secretFlag is a flag.Value whose default is not printed in help texts.
type secretFlag struct{ value *string }

// String implements flag.Value.
func (secretFlag) String() string { return "" }

// Set implements flag.Value.
func (s secretFlag) Set(text string) error {
	*s.value = text
	return nil
}

// commandAdapter adapts a command to the interface of the subcommands library.
type commandAdapter struct {
	command *command
	opts    *globalOptions
	env     Environment
	flags   commandFlags
}

// Name implements subcommands.Command.
func (a *commandAdapter) Name() string { return a.command.name }

// Synopsis implements subcommands.Command.
func (a *commandAdapter) Synopsis() string { return a.command.synopsis }

// Usage implements subcommands.Command.
func (a *commandAdapter) Usage() string {
	return fmt.Sprintf("laburnumctl %s %s\n%s.\n", a.command.name, a.command.argsHelp, a.command.synopsis)
}

// SetFlags implements subcommands.Command.
func (a *commandAdapter) SetFlags(f *flag.FlagSet) {
	a.opts.registerFlags(f)
	if a.command.registerFlags != nil {
		a.command.registerFlags(f, &a.flags)
	}
}

// Execute implements subcommands.Command.
func (a *commandAdapter) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	f.SetOutput(a.env.Err)
	args, err := parseInterspersed(f)
	if err != nil {
		return subcommands.ExitUsageError
	}
	if len(args) < a.command.minArgs || len(args) > a.command.maxArgs {
		fmt.Fprintf(a.env.Err, "usage: %s", a.Usage())
		return subcommands.ExitUsageError
	}
	inv := newInvocation(a.opts, a.env)
	out := a.command.run(ctx, inv, &a.flags, args)
	return subcommands.ExitStatus(printOutcome(a.env, a.opts.format, out))
}

// parseInterspersed returns the positional arguments and parses the flags between
// and after them. Arguments after "--" are positional.
func parseInterspersed(f *flag.FlagSet) ([]string, error) {
	var args []string
	rest := f.Args()
	for len(rest) > 0 {
		args = append(args, rest[0])
		rest = rest[1:]
		if len(rest) > 0 && rest[0] == "--" {
			return append(args, rest[1:]...), nil
		}
		if err := f.Parse(rest); err != nil {
			return nil, err
		}
		rest = f.Args()
	}
	return args, nil
}

// OSEnvironment returns the environment of the process.
func OSEnvironment() Environment {
	return Environment{Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv}
}

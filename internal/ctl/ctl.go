// Package ctl is the operators' and callers' command-line tool.
//
// Functions that decide what to print and how to exit take typed messages and
// return an Outcome. Calls to the APIs, files and encodings are kept in other
// files, so that another front end can use the decisions.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// Environment variables that give the defaults of the flags.
const (
	envOperator    = "LABURNUM_OPERATOR"
	envCaller      = "LABURNUM_CALLER"
	envOperatorKey = "LABURNUM_OPERATOR_KEY"
	envCallerKey   = "LABURNUM_CALLER_KEY"
)

// options are the flags that all commands share.
type options struct {
	operatorURL, callerURL string
	operatorKey, callerKey string
	format                 format
}

// Streams are the input and output of one run.
type Streams struct {
	Out, Err io.Writer
	// Getenv returns a variable of the environment, or an empty string.
	Getenv func(string) string
}

// Main runs the tool with the arguments behind the program's name and returns
// the exit code.
func Main(ctx context.Context, args []string, s Streams) ExitCode {
	opts := &options{
		operatorURL: s.Getenv(envOperator),
		callerURL:   s.Getenv(envCaller),
		operatorKey: s.Getenv(envOperatorKey),
		callerKey:   s.Getenv(envCallerKey),
		format:      formatTable,
	}
	top := flag.NewFlagSet("laburnumctl", flag.ContinueOnError)
	top.SetOutput(s.Err)
	opts.register(top)
	commander := subcommands.NewCommander(top, "laburnumctl")
	commander.Output, commander.Error = s.Out, s.Err
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for i := range commands {
		commander.Register(&runner{command: &commands[i], opts: opts, streams: s}, commands[i].group)
	}
	if err := top.Parse(args); err != nil {
		return ExitUsage
	}
	return ExitCode(commander.Execute(ctx))
}

// register adds the shared flags to a set. The default of each is its current
// value, so that a flag may stand before or behind the command.
func (o *options) register(f *flag.FlagSet) {
	f.StringVar(&o.operatorURL, "operator", o.operatorURL, "`URL` of the operator API ("+envOperator+")")
	f.StringVar(&o.callerURL, "caller", o.callerURL, "`URL` of the caller API ("+envCaller+")")
	f.Var(secret{&o.operatorKey}, "operator-key", "`key` for the operator API ("+envOperatorKey+")")
	f.Var(secret{&o.callerKey}, "caller-key", "`key` for the caller API ("+envCallerKey+")")
	f.Var(&o.format, "o", "output `format`: table or json")
}

// secret is a flag value that help texts do not print.
type secret struct{ value *string }

// String implements flag.Value.
func (secret) String() string { return "" }

// Set implements flag.Value.
func (s secret) Set(text string) error {
	*s.value = text
	return nil
}

// runner adapts a row of the command table to the subcommands library.
type runner struct {
	command *command
	opts    *options
	streams Streams
	inputs  inputs
}

// Name implements subcommands.Command.
func (r *runner) Name() string { return r.command.name }

// Synopsis implements subcommands.Command.
func (r *runner) Synopsis() string { return r.command.synopsis }

// Usage implements subcommands.Command.
func (r *runner) Usage() string {
	return fmt.Sprintf("laburnumctl %s %s\n%s.\n", r.command.name, r.command.args, r.command.synopsis)
}

// SetFlags implements subcommands.Command.
func (r *runner) SetFlags(f *flag.FlagSet) {
	r.opts.register(f)
	if r.command.flags != nil {
		r.command.flags(f, &r.inputs)
	}
}

// Execute implements subcommands.Command.
func (r *runner) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	f.SetOutput(r.streams.Err)
	args, err := interspersed(f)
	if err != nil {
		return subcommands.ExitUsageError
	}
	if len(args) < r.command.minArgs || len(args) > r.command.maxArgs {
		fmt.Fprintf(r.streams.Err, "usage: %s", r.Usage())
		return subcommands.ExitUsageError
	}
	s := newSession(r.opts, r.streams)
	out := r.command.run(ctx, s, &r.inputs, args)
	return subcommands.ExitStatus(write(r.streams, r.opts.format, out))
}

// interspersed returns the positional arguments and parses the flags between
// and behind them. Arguments behind "--" are positional.
func interspersed(f *flag.FlagSet) ([]string, error) {
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

// OSStreams returns the streams of the process.
func OSStreams() Streams {
	return Streams{Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv}
}

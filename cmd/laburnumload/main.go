// Command laburnumload generates load on a running fleet, measures the resource usage of
// its daemons, and fits lines to benchmark results. It does not start the fleet's
// processes.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&prepareCommand{}, "")
	subcommands.Register(&sendCommand{}, "")
	subcommands.Register(&observeCommand{}, "")
	subcommands.Register(&fitCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// reportExit prints the error, if any, and returns the exit status.
func reportExit(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

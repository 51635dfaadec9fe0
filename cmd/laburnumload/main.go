// Command laburnumload sends load to a running fleet, reads what its daemons
// spend on control, and fits lines through benchmark results. It starts no
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

// finish prints an error and returns the exit status.
func finish(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}

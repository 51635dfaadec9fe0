// Command laburnumfake runs the stand-ins for the platform, a model engine or
// a plain service as a process, for trials and end-to-end tests.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(&platformCommand{}, "")
	subcommands.Register(&engineCommand{}, "")
	subcommands.Register(&serviceCommand{}, "")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}

// finish logs why a stand-in stopped and returns the exit status.
func finish(name string, err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	log.Error().Err(err).Str("stand-in", name).Msg("stopped")
	return subcommands.ExitFailure
}

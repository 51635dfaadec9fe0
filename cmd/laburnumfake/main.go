// Command laburnumfake runs a fake platform, model engine or plain service for trials
// and end-to-end tests.
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

// reportExit logs the error of a fake, if any, and returns the exit status.
func reportExit(name string, err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	log.Error().Err(err).Str("stand-in", name).Msg("fake stopped with an error")
	return subcommands.ExitFailure
}

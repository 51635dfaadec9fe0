package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"laburnumroad.dev/laburnumroad/internal/gateway"
	"laburnumroad.dev/laburnumroad/platform"
)

// gatewayCommand runs a router on the users' platform.
type gatewayCommand struct{ file, trace string }

func (*gatewayCommand) Name() string     { return "gateway" }
func (*gatewayCommand) Synopsis() string { return "run a router on the users' platform" }
func (*gatewayCommand) Usage() string    { return "gateway [-settings FILE] [-trace OUTPUT]\n" }

func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", os.Getenv(platform.SettingsEnvVar), "settings file of the platform")
	f.StringVar(&c.trace, "trace", "none", "output of OpenTelemetry spans: none, stdout, a file, or the URL of an OTLP receiver")
}

func (c *gatewayCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	s, err := platform.ReadSettings(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	// Lines of several processes are put in order by their time.
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log, flush := gateway.NewLog(os.Stdout)
	status := subcommands.ExitSuccess
	if err := c.run(s, log); err != nil {
		log.Error().Err(err).Msg("stopped")
		status = subcommands.ExitFailure
	}
	if err := flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return status
}

func (c *gatewayCommand) run(s *platform.Settings, log zerolog.Logger) error {
	g, err := gateway.New(s, log, c.trace)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				g.Shutdown()
				continue
			}
			changed, err := platform.ReadSettings(c.file)
			if err != nil {
				log.Error().Err(err).Msg("changed settings are refused")
				continue
			}
			g.Reload(changed)
		}
	}()
	return g.Run()
}

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

// gatewayCommand runs a gateway: a router on the users' platform.
type gatewayCommand struct{ settingsFile, traceOutput string }

func (*gatewayCommand) Name() string     { return "gateway" }
func (*gatewayCommand) Synopsis() string { return "run a router on the users' platform" }
func (*gatewayCommand) Usage() string    { return "gateway [-settings FILE] [-trace OUTPUT]\n" }

func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", os.Getenv(platform.SettingsEnvVar), "settings file of the users' platform")
	f.StringVar(&c.traceOutput, "trace", "none", "output of OpenTelemetry spans: none, stdout, a file path or the URL of an OTLP receiver")
}

func (c *gatewayCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	s, err := platform.ReadSettings(c.settingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	// The timestamp needs a high resolution because it is used to order the log lines
	// of several processes.
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log, flush := gateway.NewLog(os.Stdout)
	status := subcommands.ExitSuccess
	if err := c.runGateway(s, log); err != nil {
		log.Error().Err(err).Msg("gateway stopped with an error")
		status = subcommands.ExitFailure
	}
	if err := flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return status
}

func (c *gatewayCommand) runGateway(s *platform.Settings, log zerolog.Logger) error {
	g, err := gateway.New(s, log, c.traceOutput)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		for sig := range signals {
			if sig != syscall.SIGHUP {
				g.Shutdown()
				continue
			}
			reloaded, err := platform.ReadSettings(c.settingsFile)
			if err != nil {
				log.Error().Err(err).Msg("rejected invalid settings on reload")
				continue
			}
			g.Reload(reloaded)
		}
	}()
	return g.Run()
}

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
	// Until signals are registered, they end the process, also a SIGHUP. One of each kind
	// is kept until the gateway handles it.
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP)
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
	if err := c.runGateway(s, log, stop, reload); err != nil {
		log.Error().Err(err).Msg("gateway stopped with an error")
		status = subcommands.ExitFailure
	}
	if err := flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return status
}

func (c *gatewayCommand) runGateway(s *platform.Settings, log zerolog.Logger, stop, reload <-chan os.Signal) error {
	g, err := gateway.New(s, log, c.traceOutput)
	if err != nil {
		return err
	}
	go func() {
		for range stop {
			g.Shutdown()
		}
	}()
	go func() {
		for range reload {
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

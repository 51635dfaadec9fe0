package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"laburnumroad.dev/laburnumroad/internal/daemon"
	"laburnumroad.dev/laburnumroad/internal/settings"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
	"laburnumroad.dev/laburnumroad/platform"
)

// maxSettingsBytes is the maximum size of a settings file.
const maxSettingsBytes = 1 << 20

type runCommand struct{ settingsFile string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run the daemon" }
func (*runCommand) Usage() string    { return "run -settings FILE\n" }

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "YAML settings file of the daemon")
}

func (c *runCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	s, err := readSettings(c.settingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := runDaemon(s, log); err != nil {
		log.Error().Err(err).Msg("daemon stopped with an error")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// runDaemon runs the daemon until SIGTERM or SIGINT starts a graceful shutdown. A
// second signal stops the daemon immediately.
func runDaemon(s *settings.Settings, log zerolog.Logger) error {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * guard.RuntimeMemoryShare))
	}
	d, err := daemon.New(daemonOptions(s), log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		d.Shutdown()
		<-signals
		d.Kill()
	}()
	return d.Run()
}

type checkCommand struct{ settingsFile, platformFile string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "validate a settings file and print all findings" }
func (*checkCommand) Usage() string    { return "check -settings FILE | check -platform FILE\n" }

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "YAML settings file of a daemon")
	f.StringVar(&c.platformFile, "platform", "", "settings file of the users' platform")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	var err error
	if c.platformFile != "" {
		_, err = platform.ReadSettings(c.platformFile)
	} else {
		_, err = readSettings(c.settingsFile)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func readSettings(file string) (*settings.Settings, error) {
	if file == "" {
		return nil, errors.New("-settings FILE is required")
	}
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxSettingsBytes {
		return nil, errors.Errorf("%s has %d bytes, more than the limit of %d", file, info.Size(), maxSettingsBytes)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s, findings := settings.Load(file, string(text))
	if len(findings) > 0 {
		return nil, findings
	}
	return s, nil
}

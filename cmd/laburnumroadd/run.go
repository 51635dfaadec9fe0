package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"laburnumroad.dev/laburnumroad/internal/daemon"
	"laburnumroad.dev/laburnumroad/internal/settings"
	"laburnumroad.dev/laburnumroad/platform"
)

// maxSettingsBytes bounds the settings file.
const maxSettingsBytes = 1 << 20

type runCommand struct{ file string }

func (*runCommand) Name() string     { return "run" }
func (*runCommand) Synopsis() string { return "run the daemon" }
func (*runCommand) Usage() string    { return "run -settings FILE\n" }

func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "YAML settings of this daemon")
}

func (c *runCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	s, err := readSettings(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := run(s, log); err != nil {
		log.Error().Err(err).Msg("stopped")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// run serves until SIGTERM or SIGINT; a second signal ends the daemon at once.
func run(s *settings.Settings, log zerolog.Logger) error {
	d, err := daemon.New(options(s), log)
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

type checkCommand struct{ file, platform string }

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings file and print all findings" }
func (*checkCommand) Usage() string    { return "check -settings FILE | check -platform FILE\n" }

func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "YAML settings of a daemon")
	f.StringVar(&c.platform, "platform", "", "settings file of the users' platform")
}

func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	var err error
	if c.platform != "" {
		_, err = platform.ReadSettings(c.platform)
	} else {
		_, err = readSettings(c.file)
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
		return nil, errors.Errorf("%s has %d bytes, the limit is %d", file, info.Size(), maxSettingsBytes)
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

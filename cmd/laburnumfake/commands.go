package main

import (
	"context"
	"flag"
	"net"
	"net/http"
	"time"

	"github.com/google/subcommands"

	"laburnumroad.dev/laburnumroad/internal/fake"
)

type platformCommand struct {
	listenAddress string
	config        fake.PlatformConfig
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run a fake platform that serves the object API" }
func (*platformCommand) Usage() string    { return "platform -listen host:port [flags]\n" }

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listenAddress, "listen", "127.0.0.1:7000", "listen address")
	f.IntVar(&c.config.ReadsPerSecond, "reads", 2000, "reads per second; 0 means no limit")
	f.IntVar(&c.config.WritesPerSecond, "writes", 300, "writes per second; 0 means no limit")
	f.DurationVar(&c.config.MemberLag, "member-lag", 2*time.Second, "delay until the membership list shows a change")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	platform := fake.NewPlatform(c.config)
	defer platform.Close()
	return reportExit(c.Name(), serve(ctx, c.listenAddress, platform))
}

type engineCommand struct {
	listenAddress, adminAddress string
	config                      fake.EngineConfig
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run a fake model engine" }
func (*engineCommand) Usage() string    { return "engine -listen host:port [flags]\n" }

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listenAddress, "listen", "127.0.0.1:7100", "listen address; closed while the engine is down")
	f.StringVar(&c.adminAddress, "admin", "", "listen address of the admin API, also open while the engine is down (default none)")
	f.DurationVar(&c.config.TokenTime, "pace", 20*time.Millisecond, "time per output token while at most -batch streams run")
	f.DurationVar(&c.config.PrefillTokenTime, "prefill-pace", time.Millisecond, "time per prompt token")
	f.IntVar(&c.config.BatchSize, "batch", 8, "maximum number of streams that run at full speed")
	f.IntVar(&c.config.MaxActiveStreams, "max-active", 32, "maximum number of streams that run; others are queued")
	f.StringVar(&c.config.CrashMarker, "crash-marker", "", "prompt text that crashes the engine (default none)")
	f.DurationVar(&c.config.RestartDelay, "revive-after", 0, "time from a crash to the restart; 0 waits for a restart by the admin API")
	f.DurationVar(&c.config.LoadLag, "load-lag", 2*time.Second, "age of load reports")
	f.BoolVar(&c.config.CheckFencingToken, "check-fence", false, "reject requests with an outdated fencing token")
}

func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	engine := fake.NewEngine(c.config)
	defer engine.Close()
	if c.adminAddress != "" {
		adminListener, err := net.Listen("tcp", c.adminAddress)
		if err != nil {
			return reportExit(c.Name(), err)
		}
		go func() { reportExit(c.Name()+" admin", fake.Serve(ctx, adminListener, engine.AdminHandler())) }()
	}
	listener, err := net.Listen("tcp", c.listenAddress)
	if err != nil {
		return reportExit(c.Name(), err)
	}
	return reportExit(c.Name(), fake.ServeEngine(ctx, listener, engine))
}

type serviceCommand struct {
	listenAddress string
	config        fake.ServiceConfig
}

func (*serviceCommand) Name() string     { return "service" }
func (*serviceCommand) Synopsis() string { return "run a fake plain service" }
func (*serviceCommand) Usage() string    { return "service -listen host:port [flags]\n" }

func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listenAddress, "listen", "127.0.0.1:7200", "listen address")
	f.DurationVar(&c.config.ResponseDelay, "delay", 0, "delay between the execution of a call and its response")
}

func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	service := fake.NewService(c.config)
	defer service.Close()
	return reportExit(c.Name(), serve(ctx, c.listenAddress, service))
}

// serve serves a handler at an address until ctx is done.
func serve(ctx context.Context, address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return fake.Serve(ctx, listener, h)
}

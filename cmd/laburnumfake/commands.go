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
	listen string
	cfg    fake.PlatformConfig
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run a stand-in for the object API" }
func (*platformCommand) Usage() string    { return "platform -listen host:port [flags]\n" }

func (c *platformCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7000", "address to serve")
	f.IntVar(&c.cfg.ReadsPerSecond, "reads", 2000, "reads per second; 0 means no limit")
	f.IntVar(&c.cfg.WritesPerSecond, "writes", 300, "writes per second; 0 means no limit")
	f.DurationVar(&c.cfg.MemberLag, "member-lag", 2*time.Second, "lag of the membership list")
}

func (c *platformCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	p := fake.NewPlatform(c.cfg)
	defer p.Close()
	return finish(c.Name(), serve(ctx, c.listen, p))
}

type engineCommand struct {
	listen, admin string
	cfg           fake.EngineConfig
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run a stand-in for a model engine" }
func (*engineCommand) Usage() string    { return "engine -listen host:port [flags]\n" }

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7100", "address to serve; closed while the engine is down")
	f.StringVar(&c.admin, "admin", "", "address of the admin endpoints while the engine is down (default none)")
	f.DurationVar(&c.cfg.Pace, "pace", 20*time.Millisecond, "time per token of a stream")
	f.DurationVar(&c.cfg.PrefillPace, "prefill-pace", time.Millisecond, "time per prompt token")
	f.IntVar(&c.cfg.Batch, "batch", 8, "streams that run at full pace")
	f.IntVar(&c.cfg.MaxActive, "max-active", 32, "streams that run; others queue")
	f.StringVar(&c.cfg.CrashMarker, "crash-marker", "", "prompt text that crashes the engine (default none)")
	f.DurationVar(&c.cfg.ReviveAfter, "revive-after", 0, "time from a crash to the restart; 0 waits for the admin")
	f.DurationVar(&c.cfg.LoadLag, "load-lag", 2*time.Second, "age of load reports")
	f.BoolVar(&c.cfg.CheckFence, "check-fence", false, "refuse old fencing numbers")
}

func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	e := fake.NewEngine(c.cfg)
	defer e.Close()
	if c.admin != "" {
		admin, err := net.Listen("tcp", c.admin)
		if err != nil {
			return finish(c.Name(), err)
		}
		go func() { finish(c.Name()+" admin", fake.Serve(ctx, admin, e.Admin())) }()
	}
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return finish(c.Name(), err)
	}
	return finish(c.Name(), fake.ServeEngine(ctx, listener, e))
}

type serviceCommand struct {
	listen string
	cfg    fake.ServiceConfig
}

func (*serviceCommand) Name() string     { return "service" }
func (*serviceCommand) Synopsis() string { return "run a stand-in for a plain service" }
func (*serviceCommand) Usage() string    { return "service -listen host:port [flags]\n" }

func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:7200", "address to serve")
	f.DurationVar(&c.cfg.Delay, "delay", 0, "time between the execution of a call and its answer")
}

func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	s := fake.NewService(c.cfg)
	defer s.Close()
	return finish(c.Name(), serve(ctx, c.listen, s))
}

// serve runs a handler at an address until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return fake.Serve(ctx, listener, h)
}

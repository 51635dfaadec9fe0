// Package gateway assembles the router process that runs on the users' platform:
// it serves clients over HTTP and calls endpoints directly, without agents. Its peers
// are other gateways, which comments and logs call routers.
package gateway

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"laburnumroad.dev/laburnumroad/internal/control"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/system/evacuation"
	"laburnumroad.dev/laburnumroad/internal/system/peers"
	"laburnumroad.dev/laburnumroad/internal/system/shed"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/front"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
	"laburnumroad.dev/laburnumroad/internal/traffic/peering"
	"laburnumroad.dev/laburnumroad/internal/traffic/tracing"
	"laburnumroad.dev/laburnumroad/internal/traffic/upstream"
	"laburnumroad.dev/laburnumroad/internal/traffic/whereapi"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
	"laburnumroad.dev/laburnumroad/internal/world"
	"laburnumroad.dev/laburnumroad/platform"
)

const (
	// shutdownMargin is the part of the grace period that is reserved for the last
	// steps of the process after the drain.
	shutdownMargin = 300 * time.Millisecond
	// minDrainTime is how long a router keeps serving after a shutdown request: the
	// load balancer stops sending connections after two failed checks, one second
	// apart.
	minDrainTime = 2500 * time.Millisecond
	// closingPeriod is the last part of the drain, in which no requests are
	// accepted: the router returns its limits then, which takes a few calls to the
	// store. grantReturnTimeout bounds how long a router without requests in progress
	// waits for that.
	closingPeriod      = 600 * time.Millisecond
	grantReturnTimeout = 500 * time.Millisecond
	// serverCloseTimeout bounds the shutdown of what has no work left, and of all
	// servers if the drain has used up its time.
	serverCloseTimeout = 100 * time.Millisecond
	// readHeaderTimeout and idleTimeout bound how long a client may take to send the
	// headers and keep an idle connection open. They exceed the limits that the
	// operator configures, so that a conforming client never reaches them.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 64 << 10
	// retryBudgetShare is the share of the configured retry budget that the router
	// uses. The rest is a margin: the platform's bounds apply to every time window, and
	// a token bucket of full size could exceed them in windows that don't start with a
	// full bucket.
	retryBudgetShare = 0.8
	// crashLimit is the number of endpoint crashes after which all routers refuse a
	// request. A request that merely ran during a crash is cleared when it succeeds.
	crashLimit   = 3
	maxDecisions = 512
	// storeTimeout bounds a call to the store. A slow store takes a few hundred
	// milliseconds.
	storeTimeout = 1500 * time.Millisecond
	// peerHandshakeTimeout ends the opening of a session with a router that does not
	// respond.
	peerHandshakeTimeout = time.Second
)

// Gateway is one router process on the platform.
type Gateway struct {
	settings *platform.Settings
	log      zerolog.Logger
	self     table.Process
	clock    control.Clock
	loop     *control.Loop
	store    *platform.Client
	front    *front.Server
	// guard bounds what clients make the process hold.
	guard *guard.Guard
	pool  *upstream.Pool
	peers *peering.Peers
	node  *wire.Node
	// peerIdleTimeout is how long a session is kept on which nothing arrives, in
	// nanoseconds. The control thread sets it.
	peerIdleTimeout atomic.Int64

	// watches end the open calls that follow objects of the store. Only the control
	// thread uses it.
	watches map[table.WatchKind]context.CancelFunc

	metrics *metrics
	where   *whereapi.Server
	// shutdownTracing flushes and closes the span exporter.
	shutdownTracing func(context.Context)
	servers         []*http.Server
	listeners       []*guard.Listener
	// unused are the connections that servers need not wait for when they close.
	unused front.UnusedConns
	ready  atomic.Bool
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// exitRequested receives the time that the servers have for closing.
	exitRequested chan time.Duration
	exitOnce      sync.Once
}

// New opens the gateway's listeners and starts its servers; Run starts the control
// loop. traceOutput is the output of the spans, as described at tracing.New.
func New(s *platform.Settings, log zerolog.Logger, traceOutput string) (*Gateway, error) {
	g := &Gateway{
		settings: s, log: log, clock: control.MonotonicClock(), pool: upstream.NewPool(),
		store: platform.New("http://"+s.StoreAddress, platform.Options{Timeout: storeTimeout}), exitRequested: make(chan time.Duration, 1),
		watches: make(map[table.WatchKind]context.CancelFunc),
		guard: guard.New(guard.Host{MemoryBytes: s.MemoryLimitBytes, Sockets: s.Sockets}.Limits(), guard.Policy{
			ForMemory: shed.ForMemory, ForConnection: shed.ForConnection, Overdue: shed.Overdue,
		}),
	}
	g.metrics = newMetrics(g.guard)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	incarnation, err := wire.NewIncarnation()
	if err != nil {
		return nil, err
	}
	g.self = table.Process{
		Holder: table.Holder{Process: table.ProcessID(s.Name), Incarnation: incarnation},
		Role:   table.RoleRouter, Region: s.Region, Domain: s.Domain, Cores: s.Cores, State: table.ProcessLive,
	}
	peerListener, err := g.listenPeers()
	if err != nil {
		return nil, err
	}
	w := world.New(g.params(peerListener.Addr().String()), uint64(g.self.Incarnation))
	w.Config.Defaults.CrashLimit = crashLimit
	g.loop = control.NewLoop(w, Systems(), g, g.clock)
	g.loop.Publish = g.publish
	g.where = whereapi.New(g.loop.Post)
	g.servePeers(peerListener)
	g.front = &front.Server{Post: g.loop.Post, Codec: platform.Headers{}, Pool: g.pool, Log: log, Guard: g.guard}
	if g.front.Tracer, g.shutdownTracing, err = tracing.New(g.ctx, traceOutput, "gateway", s.Name); err != nil {
		return nil, err
	}
	if err := g.serveHTTP(s.ClientAddress, table.ClientListener, g.front); err != nil {
		return nil, errors.Wrap(err, "listen for clients")
	}
	readiness := g.guard.Handler(http.HandlerFunc(g.serveReadiness), guard.HandlerOptions{})
	if err := g.serveHTTP(s.ReadinessAddress, table.PrivateListener, readiness); err != nil {
		return nil, errors.Wrap(err, "listen for the load balancer")
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+MetricsPath, g.metrics)
	mux.Handle("POST "+whereapi.Path, g.where)
	if err := g.serveHTTP(net.JoinHostPort(s.IP, strconv.Itoa(MetricsPort)), table.PrivateListener, g.guard.Handler(mux, guard.HandlerOptions{})); err != nil {
		// A router without metrics still serves.
		log.Warn().Err(err).Msg("failed to listen for metrics; continuing without them")
	}
	g.startWorker(func(ctx context.Context) { g.guard.Run(ctx.Done(), log) })
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimitBytes) * guard.RuntimeMemoryShare))
	}
	return g, nil
}

func (g *Gateway) params(peerAddress string) world.Params {
	return world.Params{
		Self: g.self, MaxDecisions: maxDecisions, MinDrainTime: minDrainTime, DrainTimeout: g.settings.ShutdownGrace - shutdownMargin,
		GrantReturnTimeout: grantReturnTimeout, ClosingPeriod: closingPeriod,
		Front: world.FrontParams{
			RetryRatio: g.settings.RetryRatio * retryBudgetShare, RetryBurst: g.settings.RetryBurst * retryBudgetShare,
			ShutdownGrace: g.settings.ShutdownGrace, PeerAddress: peerAddress, ChangeBound: g.settings.ChangeBound, RecoveryBound: g.settings.RecoveryBound,
			LinkBytesPerSecond: g.settings.LinkBytesPerSecond,
			ColdOvershoot:      g.settings.ColdOvershoot, ColdAllowance: g.settings.ColdAllowance, EvacuationBound: g.settings.EvacuationBound,
			EntryInterval: g.settings.EntryInterval,
		},
	}
}

// listenPeers listens on the first free port of the range for connections between
// routers.
func (g *Gateway) listenPeers() (net.Listener, error) {
	var l net.Listener
	var err error
	for port := g.settings.FirstPeerPort; port <= g.settings.LastPeerPort; port++ {
		if l, err = g.guard.Listen(net.JoinHostPort(g.settings.IP, strconv.Itoa(port)), table.PrivateListener); err == nil {
			return l, nil
		}
	}
	return nil, errors.Wrap(err, "listen for routers")
}

// servePeers accepts sessions of other routers until the gateway closes.
func (g *Gateway) servePeers(l net.Listener) {
	g.peers = peering.New(g.loop.Post)
	g.peerIdleTimeout.Store(int64(peers.MinIdleTimeout))
	g.peers.HandleFrame = g.receive
	g.peers.OnDialError = func(id table.ProcessID, err error) {
		g.log.Debug().Str("router", string(id)).Err(err).Msg("failed to connect to router")
	}
	g.node = &wire.Node{Hello: g.hello, Handler: g.peers, HandshakeTimeout: peerHandshakeTimeout, IdleTimeout: func() time.Duration { return time.Duration(g.peerIdleTimeout.Load()) }}
	go func() {
		if err := g.node.Serve(l); !errors.Is(err, net.ErrClosed) {
			g.log.Error().Err(err).Msg("router listener stopped")
		}
	}()
	g.startWorker(func(ctx context.Context) {
		<-ctx.Done()
		if err := l.Close(); err != nil {
			g.log.Debug().Err(err).Msg("failed to close router listener")
		}
	})
}

func (g *Gateway) hello() wire.Hello {
	return wire.Hello{Version: wire.Version, Process: g.self, Clock: g.clock()}
}

// serveHTTP serves an HTTP handler on an address until the gateway closes.
func (g *Gateway) serveHTTP(address string, class table.ListenerClass, h http.Handler) error {
	l, err := g.guard.ListenHTTP(address, class)
	if err != nil {
		return err
	}
	g.listeners = append(g.listeners, l)
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: newHTTPErrorLog(g.log), ConnState: g.unused.Track,
	}
	g.guard.Attach(srv)
	g.servers = append(g.servers, srv)
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error().Err(err).Str("address", address).Msg("HTTP server stopped")
		}
	}()
	return nil
}

// serveReadiness answers the readiness checks of the load balancer.
func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether the load balancer may send requests to this router. Without
// the list of quarantined parts, a router that starts would send what crashes endpoints
// once more; if the store does not answer, it serves without the list. Without the set of
// evacuated failure domains it would send to them.
func isReady(w *world.World) bool {
	return w.PartList.Attempted && evacuation.Known(w) && w.Manifest.Version > 0 && w.DirectEndpoints.Len() > 0 && !w.Draining && !w.Link.OutOfRotation
}

// publish copies the state that other goroutines read: metrics, readiness, limits
// and log lines. It runs on the control thread after each tick.
func (g *Gateway) publish(w *world.World, usage control.Usage) {
	g.metrics.publish(w, usage)
	g.ready.Store(isReady(w))
	g.front.CloseConnections.Store(w.Draining || w.Link.OutOfRotation)
	g.peerIdleTimeout.Store(int64(peers.IdleTimeout(w)))
	g.front.BodyLimit.Store(w.Manifest.Limits.BodyBytes)
	g.logDecisions(w.Decisions)
}

// Run runs the control loop and returns when the gateway has drained after
// Shutdown.
func (g *Gateway) Run() error {
	g.log.Info().Str("process", string(g.self.Process)).Uint64("incarnation", uint64(g.self.Incarnation)).
		Str("domain", g.self.Domain).Str("clients", g.settings.ClientAddress).Msg("started")
	stopLoop := make(chan struct{})
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		g.loop.Run(stopLoop)
	}()
	g.close(<-g.exitRequested)
	close(stopLoop)
	<-loopDone
	g.log.Info().Msg("stopped")
	return nil
}

// startWorker runs fn on a goroutine. Run cancels its context and waits for it.
func (g *Gateway) startWorker(fn func(ctx context.Context)) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		fn(g.ctx)
	}()
}

// Shutdown starts a graceful shutdown, in which work in progress finishes.
func (g *Gateway) Shutdown() {
	g.log.Info().Msg("shutdown requested")
	g.loop.Post(event.Shutdown{})
}

// Reload logs whether the settings, read again, differ from those in use. It does
// not apply them: the addresses and bounds of a running process do not change.
func (g *Gateway) Reload(s *platform.Settings) {
	g.log.Info().Bool("changed", *s != *g.settings).Msg("settings file re-read; changes take effect after a restart")
}

func (g *Gateway) requestExit(closeTimeout time.Duration) {
	g.exitOnce.Do(func() { g.exitRequested <- closeTimeout })
}

func (g *Gateway) close(timeout time.Duration) {
	g.closeServers(timeout)
	ctx, cancel := context.WithTimeout(context.Background(), serverCloseTimeout)
	defer cancel()
	g.node.Close(ctx)
	g.shutdownTracing(ctx)
	g.cancel()
	g.wg.Wait()
}

// closeServers closes the servers when no client sends a request or reads an answer any
// more, and at the latest after the timeout.
func (g *Gateway) closeServers(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), max(timeout, serverCloseTimeout))
	defer cancel()
	// A request on a connection may be about to be read.
	defer time.AfterFunc(serverCloseTimeout, g.unused.Close).Stop()
	for _, s := range g.servers {
		if err := s.Shutdown(ctx); err != nil {
			g.log.Info().Err(err).Str("timeout", timeout.String()).Msg("closed connections in use")
			// Requests that exceed the grace period are aborted; the process exits anyway.
			_ = s.Close()
		}
	}
	for _, l := range g.listeners {
		l.Wait(ctx)
	}
}

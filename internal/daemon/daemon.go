package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/trace"

	"laburnumroad.dev/laburnumroad/internal/control"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/fleetconfig"
	"laburnumroad.dev/laburnumroad/internal/system/shed"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/callerapi"
	"laburnumroad.dev/laburnumroad/internal/traffic/engine"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
	"laburnumroad.dev/laburnumroad/internal/traffic/operatorapi"
	"laburnumroad.dev/laburnumroad/internal/traffic/pause"
	"laburnumroad.dev/laburnumroad/internal/traffic/peering"
	"laburnumroad.dev/laburnumroad/internal/traffic/relay"
	"laburnumroad.dev/laburnumroad/internal/traffic/runner"
	"laburnumroad.dev/laburnumroad/internal/traffic/store"
	"laburnumroad.dev/laburnumroad/internal/traffic/tracing"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
	"laburnumroad.dev/laburnumroad/internal/world"
	"laburnumroad.dev/laburnumroad/platform"
)

// stopTimeout bounds the last steps of a graceful shutdown: writing open replies,
// deregistering, and flushing queued frames and spans.
const stopTimeout = 5 * time.Second

// Daemon is a router or agent process of the fleet.
type Daemon struct {
	opts  Options
	log   zerolog.Logger
	self  table.Process
	clock control.Clock
	loop  *control.Loop
	store *store.Store
	// guard bounds what clients make the process hold.
	guard  *guard.Guard
	peers  *peering.Peers
	node   *wire.Node
	tracer trace.Tracer

	// Set on routers only.
	requestRelay *relay.Relay
	callerAPI    *callerapi.Server
	operatorAPI  *operatorapi.Server
	// Set on agents only.
	runner *runner.Runner

	metrics *metrics
	servers []*http.Server
	// CallerAddress, OperatorAddress and DebugAddress are the bound listen
	// addresses, with the actual port.
	CallerAddress   string
	OperatorAddress string
	DebugAddress    string

	ctx               context.Context
	cancel            context.CancelFunc
	wg                sync.WaitGroup
	exitRequested     chan struct{}
	exitOnce          sync.Once
	stopLoop          chan struct{}
	shutdownRequested atomic.Bool
	killed            atomic.Bool
	grantsReturned    atomic.Bool
	startNumber       atomic.Uint64
	shutdownTracing   func(context.Context)
}

// New creates a daemon and opens its listeners. Call Run to start it.
func New(opts Options, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		opts: opts, log: log.With().Str("process", string(opts.ID)).Logger(), clock: control.MonotonicClock(),
		exitRequested: make(chan struct{}), stopLoop: make(chan struct{}),
		guard: guard.New(opts.Host.Limits(), guard.Policy{ForMemory: shed.ForMemory, ForConnection: shed.ForConnection, Overdue: shed.Overdue}),
	}
	d.metrics = newMetrics(&opts, d.guard)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	var err error
	if d.tracer, d.shutdownTracing, err = tracing.New(d.ctx, opts.Trace, opts.Role.String(), string(opts.ID)); err != nil {
		return nil, err
	}
	listener, err := d.guard.Listen(opts.PeerListen, table.PrivateListener)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	if d.self, err = newProcess(&opts, listener.Addr().String()); err != nil {
		return nil, err
	}
	d.store = store.New(platform.New(opts.PlatformURL, platform.Options{}), d.post)
	if err := d.initPeering(); err != nil {
		return nil, err
	}
	if err := d.initControlLoop(); err != nil {
		return nil, err
	}
	d.servePeers(listener)
	return d, d.serveDebug()
}

func newProcess(opts *Options, listenAddress string) (table.Process, error) {
	incarnation, err := wire.NewIncarnation()
	if err != nil {
		return table.Process{}, err
	}
	address := opts.PeerAddress
	if address == "" {
		address = listenAddress
	}
	return table.Process{
		Holder: table.Holder{Process: opts.ID, Incarnation: incarnation},
		Role:   opts.Role, Region: opts.Region, Domain: opts.Domain, Address: address, State: table.ProcessLive,
	}, nil
}

// post adds an event to the mailbox of the control loop. New passes it to
// constructors before the loop exists; they must not call it.
func (d *Daemon) post(e event.Event) { d.loop.Post(e) }

func (d *Daemon) initPeering() error {
	d.peers = peering.New(d.post)
	d.peers.HandleFrame = d.receive
	d.node = &wire.Node{Hello: d.hello, Handler: d.peers, CountBytes: d.metrics.countPeerBytes}
	if d.opts.TLS == nil {
		return nil
	}
	tlsConfig, err := newPeerTLS(*d.opts.TLS)
	if err != nil {
		return err
	}
	d.node.ServerTLS, d.node.ClientTLS = tlsConfig.serverConfig, tlsConfig.clientConfig
	return nil
}

func (d *Daemon) hello() wire.Hello {
	p := d.self
	p.StartNumber = d.startNumber.Load()
	p.Generation = d.metrics.snapshot.Load().Generation
	return wire.Hello{Version: wire.Version, Process: p, Clock: d.clock(), Endpoints: d.opts.endpoints()}
}

func (d *Daemon) initControlLoop() error {
	w := world.New(d.params(), uint64(d.self.Incarnation))
	w.AwaitingRegistration = true
	w.Processes.Put(d.opts.ID, d.self)
	for _, e := range d.opts.endpoints() {
		w.Endpoints.Put(e.ID, e)
	}
	if d.opts.Role == table.RoleAgent {
		d.loop = control.NewLoop(w, agentSystems(), d, d.clock)
		d.initRunner()
	} else {
		d.loop = control.NewLoop(w, routerSystems(), d, d.clock)
		if err := d.initAPIs(); err != nil {
			return err
		}
	}
	d.loop.Publish = d.metrics.publish
	return nil
}

func (d *Daemon) params() world.Params {
	return world.Params{
		Self: d.self, LedgerShards: d.opts.LedgerShards, GrantLifetime: d.opts.GrantLifetime,
		SettleInterval: d.opts.SettleInterval, AnswerRetention: d.opts.AnswerRetention,
		DetachGrace: d.opts.DetachGrace, DrainTimeout: d.opts.DrainTimeout,
		ReduceLedgerLoad:  d.opts.LedgerShards > homeRouterShardThreshold,
		HeartbeatInterval: heartbeatInterval, MaxDecisions: maxDecisions,
	}
}

func (d *Daemon) initRunner() {
	engines := make(map[table.EndpointID]*engine.Client, len(d.opts.Endpoints))
	for _, e := range d.opts.Endpoints {
		engines[e.ID] = engine.New(e.URL, engine.Options{})
	}
	d.runner = runner.New(d.post, d.tracer, engines)
	d.peers.OnSessionClosed = func(s *wire.Session) { d.runner.SessionClosed(s.ID) }
}

func (d *Daemon) initAPIs() error {
	d.requestRelay = &relay.Relay{
		Directory: relay.NewDirectory(), Post: d.post, Tracer: d.tracer,
		Send: func(to table.Holder, m *wire.Dispatch) error {
			return d.peers.SendToIncarnation(to, wire.TypeDispatch, m)
		},
	}
	d.callerAPI = &callerapi.Server{
		Relay: d.requestRelay, Post: d.post, Tracer: d.tracer, Guard: d.guard,
		MaxPromptBytes: d.opts.MaxPromptBytes, MaxBodyBytes: d.opts.MaxBodyBytes,
	}
	d.operatorAPI = &operatorapi.Server{Post: d.post, KeyHashes: d.opts.OperatorKeys, Config: d.store}
	var err error
	if d.CallerAddress, err = d.serveHTTP(d.opts.CallerListen, table.ClientListener, d.callerAPI.Handler()); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	d.OperatorAddress, err = d.serveHTTP(d.opts.OperatorListen, table.PrivateListener, d.guard.Handler(d.operatorAPI.Handler(), guard.HandlerOptions{BodyFactor: callerapi.BodyFactor}))
	return errors.Wrap(err, "listen for operators")
}

func (d *Daemon) serveDebug() error {
	if d.opts.DebugListen == "" {
		return nil
	}
	var err error
	d.DebugAddress, err = d.serveHTTP(d.opts.DebugListen, table.PrivateListener, d.guard.Handler(d.metrics.handler(d.ready), guard.HandlerOptions{}))
	return errors.Wrap(err, "listen for metrics")
}

// serveHTTP serves an HTTP handler until the daemon stops. It returns the bound address.
func (d *Daemon) serveHTTP(address string, class table.ListenerClass, h http.Handler) (string, error) {
	listener, err := d.guard.ListenHTTP(address, class)
	if err != nil {
		return "", err
	}
	server := callerapi.NewHTTPServer(h)
	d.guard.Attach(server)
	d.servers = append(d.servers, server)
	go func() {
		// Serve always returns an error, also after a shutdown.
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), nil
}

func (d *Daemon) servePeers(listener net.Listener) {
	go func() {
		// Serve returns when the listener is closed.
		_ = d.node.Serve(listener)
	}()
	d.startWorker(func(ctx context.Context) {
		<-ctx.Done()
		listener.Close()
	})
}

// ready reports whether the load balancer should send new requests to this
// process. A router is ready once it has a configuration.
func (d *Daemon) ready() bool {
	current := d.metrics.snapshot.Load()
	for i := range current.Processes {
		if current.Processes[i].ID() == d.opts.ID {
			return !d.draining() && (current.Generation > 0 || d.opts.Role == table.RoleAgent)
		}
	}
	return false
}

// Run runs the control loop and the background goroutines until Shutdown has
// drained the process or Kill is called.
func (d *Daemon) Run() error {
	d.startWorker(func(ctx context.Context) { d.guard.Run(ctx.Done(), d.log) })
	d.startWorker(d.store.Run)
	d.startWorker(d.registerAndWatchFences)
	d.startWorker(func(ctx context.Context) { d.store.WatchConfig(ctx, d.postStoredConfig) })
	d.startWorker(d.store.WatchMembers)
	d.startWorker(d.reevaluateConfigDaily)
	if d.opts.Role == table.RoleRouter {
		d.startWorker(d.store.WatchProcesses)
		d.startWorker(d.store.WatchQuarantine)
		d.dialSeeds()
	}
	for _, e := range d.opts.Endpoints {
		d.startWorker(func(ctx context.Context) { d.runner.PollHealth(ctx, e.ID, d.runner.Engines[e.ID]) })
	}
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		d.loop.Run(d.stopLoop)
	}()
	<-d.exitRequested
	d.stop()
	close(d.stopLoop)
	<-loopDone
	return nil
}

// registerAndWatchFences reads the fence list only after the process is registered.
// A router that fences a holder after this read therefore finds this process.
func (d *Daemon) registerAndWatchFences(ctx context.Context) {
	d.store.Register(ctx, d.self, d.opts.endpoints(), d.startNumber.Store)
	d.store.WatchFences(ctx)
}

func (d *Daemon) postStoredConfig(generation table.Generation, text string) {
	d.postConfig(generation, text, "")
}

func (d *Daemon) parseConfig(generation table.Generation, text string) (table.FleetConfig, error) {
	config, findings := fleetconfig.Load("fleet", text)
	if len(findings) > 0 {
		return table.FleetConfig{}, findings
	}
	return newFleetConfig(config, generation, text, time.Now()), nil
}

// dialSeeds keeps a session to each seed until another process is known, so that a
// router can start while the platform is unavailable.
func (d *Daemon) dialSeeds() {
	for _, address := range d.opts.Seeds {
		d.startWorker(func(ctx context.Context) {
			for ctx.Err() == nil && len(d.metrics.snapshot.Load().Processes) <= 1 {
				_ = d.node.Dial(ctx, address)
				if pause.Sleep(ctx, time.Second) != nil {
					return
				}
			}
		})
	}
}

// Shutdown starts a graceful shutdown: the daemon accepts no new work and finishes
// the work in progress.
func (d *Daemon) Shutdown() {
	d.shutdownRequested.Store(true)
	d.loop.Post(event.Shutdown{})
}

func (d *Daemon) draining() bool { return d.shutdownRequested.Load() }

// Kill stops the daemon immediately, as if its process had crashed.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	d.requestExit()
}

func (d *Daemon) requestExit() { d.exitOnce.Do(func() { close(d.exitRequested) }) }

// stop shuts down traffic. Open replies are written first, then sessions flush
// their send queues.
func (d *Daemon) stop() {
	if d.killed.Load() {
		d.stopImmediately()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, s := range d.servers {
		if s.Shutdown(ctx) != nil {
			s.Close()
		}
	}
	d.store.Deregister(ctx, d.opts.ID, d.opts.Role == table.RoleRouter && d.grantsReturned.Load())
	d.node.Close(ctx)
	d.cancel()
	d.wg.Wait()
	d.shutdownTracing(ctx)
}

func (d *Daemon) stopImmediately() {
	for _, s := range d.servers {
		s.Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	d.node.Close(ctx)
	d.cancel()
	d.wg.Wait()
}

// PeerAddress returns the address advertised to peers.
func (d *Daemon) PeerAddress() string { return d.self.Address }

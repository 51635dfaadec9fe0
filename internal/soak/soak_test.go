package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/fake"
	"laburnumroad.dev/laburnumroad/internal/testproc"
	"laburnumroad.dev/laburnumroad/platform"
)

const (
	// tickInterval is the interval at which faults are injected and reverted.
	tickInterval = 50 * time.Millisecond
	// maxFaultTicks is the longest duration of a fault in ticks, faultPercent the
	// probability in percent that a tick injects one.
	maxFaultTicks = 40
	faultPercent  = 12
	// waitTimeout bounds each wait for a condition. A passing run does not depend on
	// it.
	waitTimeout = 60 * time.Second
	// defaultSeed and defaultSeconds are used in CI.
	defaultSeed    = 1
	defaultSeconds = 6

	processCount  = 3
	endpointCount = 3
	clientCount   = 8
	// initialTokenLimit is enough for a part of the run; each increase is enough for
	// some more requests.
	initialTokenLimit  = 60_000
	tokenLimitIncrease = 15_000
)

// fault is an injected fault that is reverted in tick endTick.
type fault struct {
	name    string
	endTick int
	revert  func()
}

// soak is the state of a run. Only the test goroutine changes it, once per tick;
// clients, proxies and endpoints have goroutines of their own.
type soak struct {
	t           *testing.T
	rng         *rand.Rand
	tick        int
	platform    *fake.Platform
	storeClient *platform.Client
	processes   []*process
	endpoints   []*endpoint
	history     *history
	faults      []fault
	// tokenLimit and configVersion are those of the latest configuration.
	tokenLimit    int
	configVersion int
	lastConfig    string
}

func envInt(t *testing.T, name string, defaultValue int) int {
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return n
}

func newSoak(t *testing.T, seed, tokenLimit int, store fake.PlatformConfig) *soak {
	s := &soak{
		t: t, rng: rand.New(rand.NewPCG(uint64(seed), 1)), platform: fake.NewPlatform(store),
		history: &history{requests: map[string]*requestRecord{}}, tokenLimit: tokenLimit,
	}
	server := httptest.NewServer(s.platform)
	t.Cleanup(func() {
		s.platform.Close()
		server.Close()
	})
	s.storeClient = platform.New(server.URL, platform.Options{})
	for _, service := range []string{"model", "desk"} {
		for n := range endpointCount {
			e := newEndpoint(t, fmt.Sprintf("i-%s-%d", service, n), service, s.history)
			s.endpoints = append(s.endpoints, e)
			s.createObject("servers", e.id, fmt.Sprintf(`{"backend":%q,"address":%q,"zone":"a","version":"v1","capacity":8,"state":"ready","cold_left_ms":0,"sequence":1,"born":1}`,
				service, e.proxy.address))
		}
	}
	s.createObject("config", "main", s.nextConfig())
	binary := testproc.BuildDaemon(t)
	for n := range processCount {
		p := newProcess(t, binary, strings.TrimPrefix(server.URL, "http://"), n, 2)
		s.processes = append(s.processes, p)
		p.start(t)
	}
	for _, p := range s.processes {
		require.Eventually(t, p.isReady, waitTimeout, tickInterval)
	}
	return s
}

func (s *soak) createObject(kind, name, value string) {
	_, err := s.storeClient.Create(s.t.Context(), kind, name, []byte(value))
	require.NoError(s.t, err)
}

// nextConfig returns the configuration with the next version number.
func (s *soak) nextConfig() string {
	s.configVersion++
	route := func(name, routeType, backend string, maxAttempts int, extraFields string) string {
		return fmt.Sprintf(`{"name":%q,"hostname":%q,"path_prefix":"/%s/","route_type":%q,"timeout_ms":5000,"slo_ms":800,"backend":%q,"max_attempts":%d%s}`,
			name, hostname, name, routeType, backend, maxAttempts, extraFields)
	}
	s.lastConfig = fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s],"backends":[{"name":"model","runtime":{"stride":%d}},{"name":"desk"}],
		"limits":{"max_body_bytes":100000},"tenants":[{"name":%q,"api_keys":[%q],"reserved":%d}]}`, s.configVersion,
		route("review", "streaming", "model", 2, ""), route("notes", "streaming", "model", 3, `,"resumable":true`),
		route("booking", "unsafe", "desk", 2, ""), route("lookup", "safe", "desk", 3, ""), eventTokens, tenant, apiKey, s.tokenLimit)
	return s.lastConfig
}

// raiseTokenLimit increases the tenant's token limit like an operator. Its calls do not
// pass through a proxy.
func (s *soak) raiseTokenLimit(increase int) {
	s.tokenLimit += increase
	s.writeConfig(s.nextConfig())
}

// writeConfig writes a configuration until the store has it.
func (s *soak) writeConfig(config string) {
	value := []byte(config)
	require.Eventually(s.t, func() bool {
		o, err := s.storeClient.Get(s.t.Context(), "config", "main")
		if err != nil {
			return false
		}
		if string(o.Value) == string(value) {
			return true
		}
		_, err = s.storeClient.Update(s.t.Context(), "config", "main", o.Version, value)
		return err == nil
	}, waitTimeout, tickInterval)
}

// runTick runs the systems of one tick.
func (s *soak) runTick() {
	s.tick++
	s.revertFaults(false)
	s.restartProcesses()
	if s.rng.IntN(100) < faultPercent {
		s.injectFault()
	}
}

// revertFaults reverts the faults whose end is reached, or all faults.
func (s *soak) revertFaults(all bool) {
	active := s.faults[:0]
	for _, f := range s.faults {
		if !all && f.endTick > s.tick {
			active = append(active, f)
			continue
		}
		f.revert()
	}
	s.faults = active
}

// restartProcesses starts processes that are down at random and records those that
// exited without being told to.
func (s *soak) restartProcesses() {
	for _, p := range s.processes {
		switch {
		case p.state == processRunning && p.HasExited():
			s.history.addViolation("%s exited unexpectedly in tick %d", p.name, s.tick)
			p.state = processDown
		case p.state == processTerminating && p.HasExited():
			p.state = processDown
		}
		if p.state == processDown && s.rng.IntN(10) == 0 {
			p.start(s.t)
		}
	}
}

func (s *soak) injectFault() {
	endTick := s.tick + 1 + s.rng.IntN(maxFaultTicks)
	addFault := func(name string, revert func()) { s.faults = append(s.faults, fault{name, endTick, revert}) }
	p := s.processes[s.rng.IntN(len(s.processes))]
	e := s.endpoints[s.rng.IntN(len(s.endpoints))]
	mode := 1 + proxyMode(s.rng.IntN(int(proxyModeCount)-1))
	switch s.rng.IntN(9) {
	case 0:
		p.kill()
	case 1:
		if p.state == processRunning {
			p.signal(syscall.SIGTERM, processTerminating)
			addFault("second SIGTERM to "+p.name, func() {
				if p.state == processTerminating {
					p.signal(syscall.SIGTERM, processTerminating)
				}
			})
		}
	case 2:
		if p.state == processRunning {
			p.signal(syscall.SIGSTOP, processPaused)
			addFault("pause "+p.name, func() {
				if p.state == processPaused {
					p.signal(syscall.SIGCONT, processRunning)
				}
			})
		}
	case 3:
		p.storeProxy.setMode(mode)
		addFault("connection of "+p.name+" to the store", func() { p.storeProxy.setMode(proxyForward) })
	case 4, 5:
		e.proxy.setMode(mode)
		addFault("connections to "+e.id, func() { e.proxy.setMode(proxyForward) })
	case 6:
		e.setBehavior(1 + behavior(s.rng.IntN(int(behaviorCount)-1)))
		addFault("behavior of "+e.id, func() { e.setBehavior(behaviorNormal) })
	case 7:
		s.platform.SetFaults([]fake.PlatformFaults{
			{Outage: true}, {Outage: true, Silent: true}, {SlowMillis: 150}, {LoseWriteResponses: 5}, {DropHistory: true},
		}[s.rng.IntN(5)])
		addFault("store", func() { s.platform.SetFaults(fake.PlatformFaults{}) })
	case 8:
		if len(s.faults) == 0 {
			s.raiseTokenLimit(tokenLimitIncrease)
		}
	}
	if s.rng.IntN(25) == 0 {
		for _, p := range s.processes {
			p.kill()
		}
	}
}

// Guards against violations that only show with real processes under faults: spending
// beyond the token limit, a booking that is executed twice, a request that is executed
// although the client was told that it was not, a response that is mixed up or
// incomplete but looks complete, a process that exits unexpectedly, and a fleet that
// does not recover after the faults.
func TestPromisesUnderFaults(t *testing.T) {
	seed := envInt(t, "SOAK_SEED", defaultSeed)
	seconds := envInt(t, "SOAK_SECONDS", defaultSeconds)
	t.Logf("seed %d, %d seconds", seed, seconds)
	s := newSoak(t, seed, initialTokenLimit, fake.PlatformConfig{})
	s.play(seed, seconds, s.runTick)
}

// play lets clients send requests while runTick is called in each tick, and checks what came
// of it.
func (s *soak) play(seed, seconds int, runTick func()) {
	var wg sync.WaitGroup
	var served atomic.Int64
	stop := make(chan struct{})
	var targets []string
	for _, p := range s.processes {
		targets = append(targets, p.clientAddress)
	}
	for n := range clientCount {
		c := &client{id: n, rng: rand.New(rand.NewPCG(uint64(seed), uint64(100+n))), history: s.history, targets: targets, served: &served}
		c.httpClient.Transport = &http.Transport{MaxIdleConnsPerHost: clientCount, DisableCompression: true}
		wg.Add(1)
		go c.run(stop, &wg)
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for range seconds * int(time.Second/tickInterval) {
		<-ticker.C
		runTick()
	}
	close(stop)
	wg.Wait()
	s.recoverProcesses()
	s.checkGuarantees(served.Load())
}

// recoverProcesses reverts all faults and waits until each process serves requests
// again.
func (s *soak) recoverProcesses() {
	s.revertFaults(true)
	s.platform.SetFaults(fake.PlatformFaults{})
	require.Eventually(s.t, func() bool {
		s.restartProcesses()
		for _, p := range s.processes {
			if p.state != processRunning {
				return false
			}
		}
		return true
	}, waitTimeout, tickInterval)
	c := &client{id: clientCount, rng: s.rng, history: s.history, served: &atomic.Int64{}}
	for _, p := range s.processes {
		require.Eventually(s.t, func() bool {
			return p.isReady() && c.send("booking", p.clientAddress) && c.send("lookup", p.clientAddress)
		}, waitTimeout, tickInterval, "%s did not recover", p.name)
	}
}

// checkGuarantees writes the processes' output to SOAK_LOGS, if set, and checks the
// history of the run.
func (s *soak) checkGuarantees(served int64) {
	for _, p := range s.processes {
		// The output is needed to find the cause of a violation.
		if dir := os.Getenv("SOAK_LOGS"); dir != "" {
			require.NoError(s.t, os.WriteFile(dir+"/"+p.name+".log", p.Output.Text(), 0o600))
		}
	}
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	spent, executed := 0, 0
	for id, rec := range s.history.requests {
		if rec.executions > 0 {
			executed++
			spent += rec.promptTokens + rec.receivedEvents*eventTokens
		}
		if rec.kind == "booking" && rec.executions > 1 {
			s.history.violations = append(s.history.violations, fmt.Sprintf("%s was executed %d times", id, rec.executions))
		}
		if rec.reportedNotRun && rec.executions > 0 && (rec.kind == "booking" || rec.kind == "review") {
			s.history.violations = append(s.history.violations, id+" was executed although the client was told that it was not")
		}
	}
	s.t.Logf("%d requests, %d executed, %d served, spent %d of %d tokens, %d configuration versions", len(s.history.requests), executed, served, spent, s.tokenLimit, s.configVersion)
	require.LessOrEqual(s.t, spent, s.tokenLimit, "spending exceeds the token limit")
	require.Empty(s.t, s.history.violations)
	require.Positive(s.t, served)
}

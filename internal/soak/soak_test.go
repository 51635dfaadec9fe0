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
	"laburnumroad.dev/laburnumroad/platform"
)

const (
	// tickTime is how often faults begin and end.
	tickTime = 50 * time.Millisecond
	// faultTicks is the longest time of a fault in ticks, faultChance the chance
	// in percent that one begins in a tick.
	faultTicks  = 40
	faultChance = 12
	// patience is when a wait for a condition is given up. Nothing depends on it
	// in a run that passes.
	patience = 60 * time.Second
	// defaultSeed and defaultSeconds are those of a run in CI.
	defaultSeed    = 1
	defaultSeconds = 6

	processCount  = 3
	endpointCount = 3
	clientCount   = 8
	// firstTotal lasts for a part of the run, and each top-up for some more.
	firstTotal = 60_000
	topUp      = 15_000
)

// fault is an impairment in force until a tick.
type fault struct {
	name  string
	until int
	end   func()
}

// soak is the state of a run. One goroutine changes it in ticks; clients, links
// and endpoints have their own.
type soak struct {
	t         *testing.T
	rand      *rand.Rand
	tick      int
	store     *fake.Platform
	api       *platform.Client
	processes []*process
	endpoints []*endpoint
	book      *book
	faults    []fault
	// total and version are those of the newest manifest.
	total   int
	version int
}

func setting(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, name)
	return n
}

func newSoak(t *testing.T, seed int) *soak {
	s := &soak{
		t: t, rand: rand.New(rand.NewPCG(uint64(seed), 1)), store: fake.NewPlatform(fake.PlatformConfig{}),
		book: &book{attempts: map[string]*attempt{}}, total: firstTotal,
	}
	server := httptest.NewServer(s.store)
	t.Cleanup(func() {
		s.store.Close()
		server.Close()
	})
	s.api = platform.New(server.URL, platform.Options{})
	for _, service := range []string{"model", "desk"} {
		for n := range endpointCount {
			e := newEndpoint(t, fmt.Sprintf("i-%s-%d", service, n), service, s.book)
			s.endpoints = append(s.endpoints, e)
			s.create("servers", e.id, fmt.Sprintf(`{"backend":%q,"address":%q,"zone":"a","capacity":8,"state":"ready","born":1}`,
				service, e.link.address))
		}
	}
	s.create("config", "main", s.manifest())
	binary := buildGateway(t)
	for n := range processCount {
		p := newProcess(t, binary, strings.TrimPrefix(server.URL, "http://"), n)
		s.processes = append(s.processes, p)
		p.start(t)
	}
	for _, p := range s.processes {
		require.Eventually(t, p.isReady, patience, tickTime)
	}
	return s
}

func (s *soak) create(kind, name, value string) {
	_, err := s.api.Create(s.t.Context(), kind, name, []byte(value))
	require.NoError(s.t, err)
}

// manifest returns the next version of the configuration.
func (s *soak) manifest() string {
	s.version++
	route := func(name, kind, backend string, attempts int, more string) string {
		return fmt.Sprintf(`{"name":%q,"hostname":%q,"path_prefix":"/%s/","route_type":%q,"timeout_ms":5000,"slo_ms":800,"backend":%q,"max_attempts":%d%s}`,
			name, host, name, kind, backend, attempts, more)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s],"backends":[{"name":"model","runtime":{"stride":%d}},{"name":"desk"}],
		"limits":{"max_body_bytes":100000},"tenants":[{"name":%q,"api_keys":[%q],"reserved":%d}]}`, s.version,
		route("review", "streaming", "model", 2, ""), route("notes", "streaming", "model", 3, `,"resumable":true`),
		route("booking", "unsafe", "desk", 2, ""), route("lookup", "safe", "desk", 3, ""), eventTokens, tenant, apiKey, s.total)
}

// writeTotal is the operator's top-up. Its call does not go over a link.
func (s *soak) writeTotal() {
	s.total += topUp
	value := []byte(s.manifest())
	require.Eventually(s.t, func() bool {
		o, err := s.api.Get(s.t.Context(), "config", "main")
		if err != nil {
			return false
		}
		if string(o.Value) == string(value) {
			return true
		}
		_, err = s.api.Update(s.t.Context(), "config", "main", o.Version, value)
		return err == nil
	}, patience, tickTime)
}

// run is the systems of one tick.
func (s *soak) run() {
	s.tick++
	s.endFaults(false)
	s.restart()
	if s.rand.IntN(100) < faultChance {
		s.beginFault()
	}
}

func (s *soak) endFaults(all bool) {
	kept := s.faults[:0]
	for _, f := range s.faults {
		if !all && f.until > s.tick {
			kept = append(kept, f)
			continue
		}
		f.end()
	}
	s.faults = kept
}

// restart starts processes that are down, and finds those that ended by themselves.
func (s *soak) restart() {
	for _, p := range s.processes {
		switch {
		case p.state == processRuns && p.hasEnded():
			s.book.problem("%s ended by itself in tick %d", p.name, s.tick)
			p.state = processDown
		case p.state == processEnding && p.hasEnded():
			p.state = processDown
		}
		if p.state == processDown && s.rand.IntN(10) == 0 {
			p.start(s.t)
		}
	}
}

func (s *soak) beginFault() {
	until := s.tick + 1 + s.rand.IntN(faultTicks)
	add := func(name string, end func()) { s.faults = append(s.faults, fault{name, until, end}) }
	p := s.processes[s.rand.IntN(len(s.processes))]
	e := s.endpoints[s.rand.IntN(len(s.endpoints))]
	mode := 1 + linkMode(s.rand.IntN(int(linkModes)-1))
	switch s.rand.IntN(9) {
	case 0:
		p.kill()
	case 1:
		if p.state == processRuns {
			p.signal(syscall.SIGTERM, processEnding)
		}
	case 2:
		if p.state == processRuns {
			p.signal(syscall.SIGSTOP, processPaused)
			add("pause "+p.name, func() {
				if p.state == processPaused {
					p.signal(syscall.SIGCONT, processRuns)
				}
			})
		}
	case 3:
		p.store.set(mode)
		add("link of "+p.name+" to the store", func() { p.store.set(linkPasses) })
	case 4, 5:
		e.link.set(mode)
		add("link to "+e.id, func() { e.link.set(linkPasses) })
	case 6:
		e.set(1 + conduct(s.rand.IntN(int(conducts)-1)))
		add("conduct of "+e.id, func() { e.set(conductGood) })
	case 7:
		s.store.SetFaults([]fake.PlatformFaults{
			{Outage: true}, {Outage: true, Silent: true}, {SlowMillis: 150}, {LoseWriteAnswers: 5}, {DropHistory: true},
		}[s.rand.IntN(5)])
		add("store", func() { s.store.SetFaults(fake.PlatformFaults{}) })
	case 8:
		if len(s.faults) == 0 {
			s.writeTotal()
		}
	}
	if s.rand.IntN(25) == 0 {
		for _, p := range s.processes {
			p.kill()
		}
	}
}

// Guards against what only real processes under faults show: spend beyond the
// total, a booking that runs twice, a promise that is not kept, an answer that is
// mixed or not whole, a process that ends by itself, and a fleet that does not
// serve again once all is well.
func TestPromisesUnderFaults(t *testing.T) {
	seed := setting(t, "SOAK_SEED", defaultSeed)
	seconds := setting(t, "SOAK_SECONDS", defaultSeconds)
	t.Logf("seed %d, %d seconds", seed, seconds)
	s := newSoak(t, seed)
	var done sync.WaitGroup
	var served atomic.Int64
	stop := make(chan struct{})
	var targets []string
	for _, p := range s.processes {
		targets = append(targets, p.clients)
	}
	for n := range clientCount {
		c := &client{n: n, rand: rand.New(rand.NewPCG(uint64(seed), uint64(100+n))), book: s.book, targets: targets, served: &served}
		c.http.Transport = &http.Transport{MaxIdleConnsPerHost: clientCount, DisableCompression: true}
		done.Add(1)
		go c.run(stop, &done)
	}
	ticker := time.NewTicker(tickTime)
	defer ticker.Stop()
	for range seconds * int(time.Second/tickTime) {
		<-ticker.C
		s.run()
	}
	close(stop)
	done.Wait()
	s.recover()
	s.check(served.Load())
}

// recover ends all faults, and awaits that each process serves again.
func (s *soak) recover() {
	s.endFaults(true)
	s.store.SetFaults(fake.PlatformFaults{})
	require.Eventually(s.t, func() bool {
		s.restart()
		for _, p := range s.processes {
			if p.state != processRuns {
				return false
			}
		}
		return true
	}, patience, tickTime)
	c := &client{n: clientCount, rand: s.rand, book: s.book, served: &atomic.Int64{}}
	for _, p := range s.processes {
		require.Eventually(s.t, func() bool { return p.isReady() && c.send("booking", p.clients) && c.send("lookup", p.clients) },
			patience, tickTime, "%s does not serve again", p.name)
	}
}

func (s *soak) check(served int64) {
	for _, p := range s.processes {
		// The log of a process that failed a promise is the way to the cause.
		if dir := os.Getenv("SOAK_LOGS"); dir != "" {
			require.NoError(s.t, os.WriteFile(dir+"/"+p.name+".log", p.log.b.Bytes(), 0o600))
		}
	}
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	spent, ran := 0, 0
	for id, a := range s.book.attempts {
		if a.runs > 0 {
			ran++
			spent += a.prompt + a.received*eventTokens
		}
		if a.kind == "booking" && a.runs > 1 {
			s.book.problems = append(s.book.problems, fmt.Sprintf("%s ran %d times", id, a.runs))
		}
		if a.promised && a.runs > 0 && (a.kind == "booking" || a.kind == "review") {
			s.book.problems = append(s.book.problems, id+" ran although the client was told that it had not")
		}
	}
	s.t.Logf("%d attempts, %d ran, %d served, spent %d of %d, %d versions", len(s.book.attempts), ran, served, spent, s.total, s.version)
	require.LessOrEqual(s.t, spent, s.total, "spend beyond the total")
	require.Empty(s.t, s.book.problems)
	require.Positive(s.t, served)
}

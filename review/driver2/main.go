//go:build review

// Command driver2 plays the cases of the second review on loopback: stand-ins of the
// platform's store, the endpoints and the clients, and gateways as processes of their own.
// It exits with 0 if the rule of the case held, 1 if it was broken, 2 if the case could not
// run.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	ruleHeld = iota
	ruleBroken
	notRun
)

// cases maps the name of a case to its function, which returns whether the rule was broken.
var cases = map[string]func(*scene) (bool, error){
	"first-event":   firstEvent,
	"foreign-entry": foreignEntry,
	"hot-lookup":    hotLookup,
	"late-write":    lateWrite,
	"sound-part":    soundPart,
}

func main() {
	program := flag.String("program", "target/laburnumroadd gateway", "command that starts a gateway")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "directory that keeps the settings and logs of the gateways")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		os.Exit(notRun)
	}
	os.Exit(runCase(play, strings.Fields(*program), *out, *logs))
}

func runCase(play func(*scene) (bool, error), program []string, out, logs string) int {
	dir := logs
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return notRun
		}
		defer os.RemoveAll(dir)
	}
	s := &scene{dir: dir, program: program, record: &record{start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", only: os.Getenv("ONLY"), stop: make(chan struct{}), bounds: defaultBounds()}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(s)
		done <- outcome{broken, err}
	}()
	var broken bool
	var err error
	select {
	case o := <-done:
		broken, err = o.broken, o.err
	case sig := <-interrupted:
		err = fmt.Errorf("ended by %s", sig)
	}
	s.close()
	status := ruleHeld
	switch {
	case err != nil:
		s.record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		status = notRun
	case broken:
		s.record.add("RULE BROKEN")
		status = ruleBroken
	default:
		s.record.add("rule held")
	}
	if err := s.record.write(out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	fmt.Println([]string{"rule held", "rule broken", "not run"}[status])
	return status
}

// scene is what a case runs on.
type scene struct {
	dir     string
	program []string
	record  *record
	trouble bool
	// only names the one disruption of several that is played, if it is not empty.
	only     string
	stop     chan struct{}
	bounds   map[string]any
	store    *store
	server   *http.Server
	address  string
	gateways []*gateway
	engines  []*engine
}

// defaultBounds are those of the site guild-mend.
func defaultBounds() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
		"config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revoke": false, "revoke_ms": 5000, "retry_ratio": 0.2,
		"retry_window_s": 10, "retry_allowance": 52, "recovery_s": 12, "iteration_ms": 120, "retry_after_s": 10, "settle_ms": 1500,
	}
}

func (s *scene) startStore() error {
	s.store = newStore()
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s.store}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// startEngines starts endpoints of a service, one in each of the given zones.
func (s *scene) startEngines(service string, zones ...string) error {
	for i, zone := range zones {
		e, err := startEngine(fmt.Sprintf("i-%s-%d", service, i), service, zone, fmt.Sprintf("127.0.0.%d:0", 100+len(s.engines)))
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	return nil
}

// startGateways starts one gateway in each of the given zones and waits until all are ready
// and calm.
func (s *scene) startGateways(zones ...string) error {
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = "r"
	}
	for i, zone := range zones {
		g, err := newGateway(s.dir, s.program, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, fmt.Sprintf("127.0.0.%d", 10+i), s.address, regions, s.bounds)
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		if err := g.waitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) close() {
	close(s.stop)
	for _, g := range s.gateways {
		g.end()
	}
	for _, e := range s.engines {
		_ = e.server.Close()
	}
	if s.server != nil {
		_ = s.server.Close()
	}
}

// runsByID returns the runs of each request at all endpoints.
func (s *scene) runsByID() map[string][]run {
	runs := map[string][]run{}
	for _, e := range s.engines {
		for _, r := range e.allRuns() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	return runs
}

const (
	// stableTime is how long a machine must be without impairment to be in touch.
	stableTime = 3 * time.Second
	// poisonID is the prompt part that crashes workers.
	poisonID = "bad0bad0"
)

// crashTimes returns when workers crashed, in order.
func (s *scene) crashTimes() []time.Time {
	var times []time.Time
	for _, e := range s.engines {
		e.mu.Lock()
		times = append(times, e.crashes...)
		e.mu.Unlock()
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// newID returns the id of a client's attempt.
var (
	idLock sync.Mutex
	lastID uint64
)

func newID(prefix string) string {
	idLock.Lock()
	defer idLock.Unlock()
	lastID++
	return fmt.Sprintf("%s-%05d", prefix, lastID)
}

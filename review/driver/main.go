//go:build review

// Command driver plays the cases of the review against processes of the gateway, with
// stand-ins of the store, the workers and the clients.
//
// It exits with 1 if a rule was broken, with 0 if it held, and with 2 if the case could
// not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with the time since the start.
type recorder struct {
	mu      sync.Mutex
	out     *bufio.Writer
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: bufio.NewWriter(f), file: f, started: time.Now()}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// scenario is the state that all cases share.
type scenario struct {
	log      *recorder
	dir      string
	store    *store
	trouble  bool
	gateways []*gateway
}

// say writes a line to the record and to the standard output.
func (s *scenario) say(format string, args ...any) {
	s.log.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// start starts the store and the gateways and waits until they are ready. The workers
// and the configuration must be in the store before.
func (s *scenario) startGateways(count int, limitDescriptors bool) error {
	for i := range count {
		g, err := newGateway(s.log, s.dir, s.store.address, i)
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, g)
		if err := g.start(limitDescriptors); err != nil {
			return err
		}
	}
	for _, g := range s.gateways {
		if err := g.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// putManifest writes the operator's manifest: two streaming routes of one model service,
// as on the sheet of the guild's site.
func (s *scenario) putManifest() {
	s.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "appraisal", "hostname": hostname, "path_prefix": "/lohu930/", "route_type": "streaming", "timeout_ms": 15000, "slo_ms": 800, "priority": 1, "backend": "huvo11a", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 300},
			map[string]any{"name": "notes", "hostname": hostname, "path_prefix": "/pufi791/", "route_type": "streaming", "timeout_ms": 15000, "slo_ms": 400, "priority": 0, "backend": "huvo11a", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "target_gap_ms": 300},
		},
		"backends": []any{map[string]any{"name": "huvo11a", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false,
			"runtime": map[string]any{"capacity": slots, "kv_capacity": 711546, "stride": eventTokens, "model_list": []any{map[string]any{"name": "m"}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "priority": 1, "reserved": 2_000_000_000}},
	})
}

// cases are the functions that play a case, by its name. They return the exit status, or an
// error if the case could not run.
var cases = map[string]func(*scenario) (int, error){}

// Bounds of the settings that cases use.
const (
	grace  = 8 * time.Second
	stable = 3 * time.Second
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		return exitNotRun
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "laburnumroad-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	log, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	s := &scenario{log: log, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if s.store, err = startStore(log); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() {
		for _, g := range s.gateways {
			g.stop()
		}
	}()
	status, err := play(s)
	if err != nil {
		s.say("the case could not run: %v", err)
		return exitNotRun
	}
	return status
}

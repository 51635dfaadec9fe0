package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// world is a small installation: the stand-ins, the processes and the record.
type world struct {
	dir, command string
	// trouble is false if the script shall run without the disruption.
	trouble bool
	store   *store
	routers []*router
	workers []*worker
	started time.Time
	ipBase  string
	ipCount int

	mu          sync.Mutex
	workerCount int
	lastRequest int
	notes       []string
	requests    []*request
	runs        []run
}

// request is one client attempt.
type request struct {
	id, tenant, key, path, router string
	stream                        bool
	prompt, output                int
	sentAt                        time.Time
	status                        int
	events                        int
	complete                      bool
	failure                       string
	endedAt                       time.Time
}

func newWorld(dir, command string, trouble bool) *world {
	w := &world{dir: dir, command: command, trouble: trouble, started: time.Now(), ipBase: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))}
	w.store = newStore(w.nextIP())
	return w
}

// nextIP returns a loopback address that no other part of the world has.
func (w *world) nextIP() string {
	w.ipCount++
	return w.ipBase + strconv.Itoa(w.ipCount)
}

func (w *world) addRun(r run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, fmt.Sprintf("%8.3f  ", time.Since(w.started).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) seconds(t time.Time) float64 { return t.Sub(w.started).Seconds() }

// startRouters starts all routers within 0.3 s and waits until they are ready.
func (w *world) startRouters() {
	for _, r := range w.routers {
		r.start(w.command)
		go r.askReadiness()
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, r := range w.routers {
		for !r.isReady() {
			if time.Now().After(deadline) {
				cannotRun("router %s is not ready after 10 s", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("%d routers are ready", len(w.routers))
}

// readyRouters returns the routers that get new connections: all if fewer than half are in
// rotation.
func (w *world) readyRouters() []*router {
	var ready []*router
	for _, r := range w.routers {
		if r.isReady() {
			ready = append(ready, r)
		}
	}
	if 2*len(ready) < len(w.routers) {
		return w.routers
	}
	return ready
}

// spec is what a client sends.
type spec struct {
	tenant, key, host, path string
	stream                  bool
	prompt, output          int
	timeLimit               time.Duration
	// router is the one that gets it; nil means any that is in rotation.
	router *router
	// retries is how often the client repeats it after a promise that it did not run.
	retries int
}

// send sends a request as a client does, on a new connection, and repeats it on another
// one as often as the kind of request allows.
func (w *world) send(s spec) {
	deadline := time.Now().Add(s.timeLimit)
	for try := 0; ; try++ {
		to := s.router
		if to == nil {
			ready := w.readyRouters()
			to = ready[rand.IntN(len(ready))]
		}
		q, retryAfter := w.attempt(s, to, time.Until(deadline))
		promised := q.status == 429 || q.status == 503
		if s.stream && q.status == 0 && q.events == 0 {
			promised = true
		}
		left := time.Until(deadline)
		if !promised || try >= s.retries || left < 200*time.Millisecond {
			return
		}
		time.Sleep(min(retryAfter, left/3))
	}
}

func (w *world) attempt(s spec, to *router, limit time.Duration) (*request, time.Duration) {
	w.mu.Lock()
	w.lastRequest++
	q := &request{
		id: fmt.Sprintf("%016x", 0x9c41d07be2a00000+uint64(w.lastRequest)), tenant: s.tenant, key: s.key, path: s.path, router: to.name,
		stream: s.stream, prompt: s.prompt, output: s.output, sentAt: time.Now(),
	}
	w.requests = append(w.requests, q)
	w.mu.Unlock()
	retryAfter := w.exchange(q, s, to, limit)
	w.mu.Lock()
	q.endedAt = time.Now()
	w.mu.Unlock()
	return q, retryAfter
}

func (w *world) exchange(q *request, s spec, to *router, limit time.Duration) (retryAfter time.Duration) {
	fail := func(err error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		q.failure = err.Error()
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	dialer := net.Dialer{Timeout: time.Second}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.front+s.path, strings.NewReader("a body"))
	check(err)
	req.Host = s.host
	req.Header.Set("Attempt-Id", q.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	req.Header.Set("Key", s.key)
	if s.stream {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Count", fmt.Sprintf("%d,%d", s.prompt, s.output))
		req.Header.Set("Prefix-Hash", fmt.Sprintf("%s:%d", q.id[8:], s.prompt))
	}
	resp, err := client.Do(req)
	if err != nil {
		fail(err)
		return 0
	}
	defer resp.Body.Close()
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	retryAfter = time.Duration(seconds * float64(time.Second))
	w.mu.Lock()
	q.status = resp.StatusCode
	w.mu.Unlock()
	if !s.stream || resp.StatusCode != http.StatusOK {
		_, err := io.ReadAll(resp.Body)
		w.mu.Lock()
		q.complete = err == nil
		w.mu.Unlock()
		return retryAfter
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			w.mu.Lock()
			q.events++
			w.mu.Unlock()
		}
	}
	if err := lines.Err(); err != nil {
		fail(err)
		return retryAfter
	}
	w.mu.Lock()
	q.complete = true
	w.mu.Unlock()
	return retryAfter
}

// offer sends requests at a rate until stop is closed, and returns when all have ended.
func (w *world) offer(perSecond float64, stop <-chan struct{}, next func() spec) {
	var open sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			open.Wait()
			return
		case <-ticker.C:
			open.Add(1)
			go func() {
				defer open.Done()
				w.send(next())
			}()
		}
	}
}

// consumed returns what a tenant has consumed: the prompts of requests that ran, once each,
// and the tokens of the events that its clients received.
func (w *world) consumed(tenant string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	ran := map[string]bool{}
	for _, r := range w.runs {
		ran[r.request] = true
	}
	sum := 0
	for _, q := range w.requests {
		if q.tenant == tenant && ran[q.id] {
			sum += q.prompt + stride*q.events
		}
	}
	return sum
}

// writeRecord writes what was sent, answered and run, and ends all processes.
func (w *world) finish(path string) {
	for _, r := range w.routers {
		r.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	f, err := os.Create(path)
	check(err)
	out := bufio.NewWriter(f)
	fmt.Fprintln(out, "# what happened, in seconds from the start")
	for _, n := range w.notes {
		fmt.Fprintln(out, n)
	}
	fmt.Fprintln(out, "# requests: sent at, id, tenant, key, path, router, prompt tokens, output tokens, status (0: none), events, complete, ended at, failure")
	for _, q := range w.requests {
		fmt.Fprintf(out, "%8.3f %s %s %s %s %s %d %d %d %d %t %.3f %s\n", w.seconds(q.sentAt), q.id, q.tenant, q.key, q.path, q.router,
			q.prompt, q.output, q.status, q.events, q.complete, w.seconds(q.endedAt), strings.ReplaceAll(q.failure, w.ipBase, "127.x.x."))
	}
	fmt.Fprintln(out, "# runs: began at, id, tenant, worker, service, path")
	for _, r := range w.runs {
		fmt.Fprintf(out, "%8.3f %s %s %s %s %s\n", w.seconds(r.at), r.request, r.tenant, r.worker, r.service, r.path)
	}
	check(out.Flush())
	check(f.Close())
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

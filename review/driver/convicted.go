//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The parameters of the case. A worker reads a prompt for prefill before its first event;
// one that has crashed is back after crashedFor.
const (
	partWorkers  = 6
	prefill      = 300 * time.Millisecond
	firstPart    = "5c1e07a2"
	poisonPart   = "91bd3f06"
	soundCount   = 60
	soundGap     = 150 * time.Millisecond
	partGap      = 1200 * time.Millisecond
	crashInto    = 120 * time.Millisecond
	leastSamples = 20
)

// partWorker is a stand-in of a model worker that crashes when it begins to write an answer
// on a prompt with the poisonous part.
type partWorker struct {
	id, address string
	log         *recorder

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	crashes  int
	reading  int
	begun    map[string]bool
}

func startPartWorker(s *store, log *recorder, id, zone string) (*partWorker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wk := &partWorker{id: id, address: l.Addr().String(), log: log, begun: map[string]bool{}}
	wk.serve(l)
	s.put("servers", id, map[string]any{
		"backend": "huvo11a", "address": wk.address, "zone": zone, "version": "v1", "capacity": slots, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return wk, nil
}

func (wk *partWorker) serve(l net.Listener) {
	wk.mu.Lock()
	wk.listener, wk.conns = l, map[net.Conn]bool{}
	wk.mu.Unlock()
	server := &http.Server{Handler: wk, ConnState: func(c net.Conn, state http.ConnState) {
		wk.mu.Lock()
		defer wk.mu.Unlock()
		if state == http.StateClosed {
			delete(wk.conns, c)
		} else {
			wk.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(l) }()
}

// crash ends the worker like a process that dies, and starts it again later at its address.
func (wk *partWorker) crash(why string) {
	wk.log.printf("worker %s crashes: %s", wk.id, why)
	wk.mu.Lock()
	wk.crashes++
	wk.listener.Close()
	for c := range wk.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		c.Close()
	}
	wk.mu.Unlock()
	time.AfterFunc(crashedFor, func() {
		l, err := net.Listen("tcp", wk.address)
		if err != nil {
			wk.log.printf("worker %s could not start again: %v", wk.id, err)
			return
		}
		wk.serve(l)
	})
}

// ServeHTTP implements http.Handler.
func (wk *partWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != wk.id {
		w.Header().Set("Instance-Id", wk.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	wk.mu.Lock()
	wk.reading++
	wk.mu.Unlock()
	defer func() {
		wk.mu.Lock()
		wk.reading--
		wk.mu.Unlock()
	}()
	select {
	case <-time.After(prefill):
	case <-r.Context().Done():
		// Most workers drop a request when its connection closes.
		return
	}
	if strings.Contains(r.Header.Get("Prefix-Hash"), poisonPart) {
		wk.crash("it begins to write an answer on " + id)
		panic(http.ErrAbortHandler)
	}
	wk.mu.Lock()
	wk.begun[id] = true
	wk.mu.Unlock()
	w.Header().Set("Server-Seal", "seal."+wk.id+"."+id)
	w.Header().Set("Server-Load", "1,0,64")
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 3; n++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// prompt sends a request with three parts on a new connection and returns the status, or 0.
func prompt(address, id, secondPart string) int {
	c, err := dial(address)
	if err != nil {
		return 0
	}
	defer c.conn.Close()
	c.prefix = fmt.Sprintf("%s:119,%s:79,%s:430", firstPart, secondPart, id)
	return c.stream("/pufi791/2f", id, notesPrompt, 3*eventTokens, 5*time.Second).status
}

func init() { cases["convicted"] = runConvicted }

// runConvicted quarantines the part that crashes workers, and lets one sound request be cut
// off by the crash of a worker before any other request with its first part was answered.
func runConvicted(s *scenario) (int, error) {
	s.putManifest()
	var workers []*partWorker
	for i := range partWorkers {
		wk, err := startPartWorker(s.store, s.log, fmt.Sprintf("i-%08d", i), fmt.Sprintf("zone-%d", i%3))
		if err != nil {
			return 0, err
		}
		workers = append(workers, wk)
	}
	if err := s.startGateways(3, false); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	begun := func(id string) bool {
		for _, wk := range workers {
			wk.mu.Lock()
			ok := wk.begun[id]
			wk.mu.Unlock()
			if ok {
				return true
			}
		}
		return false
	}
	crashes := func() (n int) {
		for _, wk := range workers {
			wk.mu.Lock()
			n += wk.crashes
			wk.mu.Unlock()
		}
		return n
	}
	// sound sends requests of the route with the same key and first part, and returns how
	// many of them began.
	sound := func(name string) int {
		var wg sync.WaitGroup
		var mu sync.Mutex
		n := 0
		for i := range soundCount {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := fmt.Sprintf("%s%04d", name, i)
				status := prompt(s.gateways[i%3].client, id, fmt.Sprintf("e440%04d", i))
				s.log.printf("sound request %s: status %d", id, status)
				mu.Lock()
				defer mu.Unlock()
				if begun(id) {
					n++
				}
			}()
			time.Sleep(soundGap)
		}
		wg.Wait()
		return n
	}
	poison := func(i int) {
		status := prompt(s.gateways[i%3].client, fmt.Sprintf("bad%05d", i), poisonPart)
		s.say("request %d with the deadly part: status %d, crashes by now: %d", i, status, crashes())
	}
	before := sound("aa")
	if s.trouble {
		for i := range 3 {
			poison(i)
			time.Sleep(partGap)
		}
		poison(3)
		// A sound request is being read when its worker crashes for another reason.
		done := make(chan int)
		go func() { done <- prompt(s.gateways[0].client, "ab0000", "e4409999") }()
		time.Sleep(crashInto)
		for _, wk := range workers {
			wk.mu.Lock()
			reading := wk.reading > 0
			wk.mu.Unlock()
			if reading {
				wk.crash("by itself")
			}
		}
		s.say("the sound request at that worker: status %d", <-done)
	}
	time.Sleep(2*stable + 500*time.Millisecond)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	if s.trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 4; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(2 * time.Second):
				}
				poison(i)
			}
		}()
	}
	after := sound("ac")
	close(stop)
	wg.Wait()
	s.say("of %d sound requests with the same key and first part, %d began before and %d later than twice %s after the last crash; workers crashed %d times", soundCount, before, after, stable, crashes())
	if before < leastSamples {
		return 0, fmt.Errorf("too few sound requests began before")
	}
	if 2*after < before {
		s.say("LOST is broken")
		return exitBroken, nil
	}
	s.say("LOST held")
	return exitHeld, nil
}

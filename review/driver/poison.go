//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The parameters of the case. A worker that has crashed is back after crashedFor.
const (
	deskWorkers   = 6
	crashedFor    = 2 * time.Second
	poisonBody    = "{\"slot\": \"poison\"}"
	poisonTries   = 4
	poisonGap     = 600 * time.Millisecond
	allowedRetry  = 3
	crashesBefore = 3
)

// deskWorker is a stand-in of a plain worker that crashes when it begins to run the
// poisonous request: its connections are reset and its port refuses others.
type deskWorker struct {
	id, address string
	zone        string
	log         *recorder

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	crashes  []time.Time
	served   int
	// ran are the tenants for which requests ran, by the id of the request.
	ran map[string]string
	// arrivedAt are the times at which requests arrived.
	arrivedAt []time.Time
}

func startDeskWorker(s *store, log *recorder, id, zone string) (*deskWorker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wk := &deskWorker{id: id, address: l.Addr().String(), zone: zone, log: log, ran: map[string]string{}}
	wk.serve(l)
	s.put("servers", id, map[string]any{
		"backend": "wuno96b", "address": wk.address, "zone": zone, "version": "v1", "capacity": 6, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return wk, nil
}

func (wk *deskWorker) serve(l net.Listener) {
	wk.mu.Lock()
	wk.listener, wk.down, wk.conns = l, false, map[net.Conn]bool{}
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
func (wk *deskWorker) crash() {
	wk.mu.Lock()
	wk.crashes = append(wk.crashes, time.Now())
	wk.down = true
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
		wk.log.printf("worker %s is back", wk.id)
		wk.serve(l)
	})
}

// ServeHTTP implements http.Handler.
func (wk *deskWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != wk.id {
		w.Header().Set("Instance-Id", wk.id)
		w.Header().Set("Attempt-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	wk.mu.Lock()
	wk.arrivedAt = append(wk.arrivedAt, time.Now())
	wk.mu.Unlock()
	body := make([]byte, 200)
	n, _ := r.Body.Read(body)
	if string(body[:n]) == poisonBody {
		wk.log.printf("worker %s begins to run %s and crashes", wk.id, id)
		wk.crash()
		return
	}
	time.Sleep(15 * time.Millisecond)
	wk.mu.Lock()
	wk.served++
	wk.ran[id] = r.Header.Get("Tenant")
	wk.mu.Unlock()
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Seal", "seal."+wk.id+"."+id)
	w.Header().Set("Server-Load", "1,0,6")
	fmt.Fprint(w, "booked by ", wk.id)
}

// book sends an unsafe request on a new connection and returns the status, or 0.
func book(address, id, body string) int { return bookWithKey(address, id, apiKey, body) }

func bookWithKey(address, id, key, body string) int {
	c, err := dial(address)
	if err != nil {
		return 0
	}
	defer c.conn.Close()
	_ = c.conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c.conn, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1000\r\nKey: %s\r\nContent-Length: %d\r\n\r\n%s", hostname, id, key, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func init() { cases["poison"] = runPoison }

// runPoison lets a request crash three workers, waits, restarts the gateways one after the
// other as planned, and sends the request again to each.
func runPoison(s *scenario) (int, error) {
	s.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "booking", "hostname": hostname, "path_prefix": "/puxa403/", "route_type": "unsafe", "timeout_ms": 1000, "slo_ms": 100,
			"priority": 2, "backend": "wuno96b", "max_attempts": 1, "public": false}},
		"backends": []any{map[string]any{"name": "wuno96b", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "priority": 1, "reserved": 2_000_000_000}},
	})
	var workers []*deskWorker
	for i := range deskWorkers {
		wk, err := startDeskWorker(s.store, s.log, fmt.Sprintf("i-%08d", i), fmt.Sprintf("zone-%d", i%3))
		if err != nil {
			return 0, err
		}
		workers = append(workers, wk)
	}
	if err := s.startGateways(3, false); err != nil {
		return 0, err
	}
	crashes := func() (n int) {
		for _, wk := range workers {
			wk.mu.Lock()
			n += len(wk.crashes)
			wk.mu.Unlock()
		}
		return n
	}
	// The sessions between the gateways open within a second.
	time.Sleep(2 * time.Second)
	if status := book(s.gateways[0].client, "sound-0", "{\"slot\": 1}"); status != 200 {
		return 0, fmt.Errorf("a sound request got status %d", status)
	}
	attempt := 0
	send := func(g *gateway) {
		attempt++
		id := fmt.Sprintf("poison-%d", attempt)
		before := crashes()
		status := book(g.client, id, poisonBody)
		time.Sleep(20 * time.Millisecond)
		s.say("%s to gateway %s: status %d, workers crashed by now: %d (before: %d)", id, g.name, status, crashes(), before)
	}
	for i := 0; crashes() < crashesBefore && i < 10; i++ {
		send(s.gateways[i%3])
		time.Sleep(poisonGap)
	}
	if crashes() < crashesBefore {
		return 0, fmt.Errorf("the request crashed %d workers only", crashes())
	}
	time.Sleep(stable + 500*time.Millisecond)
	before := crashes()
	for _, g := range s.gateways {
		if s.trouble {
			g.signal(syscall.SIGTERM)
			select {
			case <-g.exited:
			case <-time.After(grace):
				g.stop()
			}
			if err := g.start(false); err != nil {
				return 0, err
			}
			if err := g.waitReady(10 * time.Second); err != nil {
				return 0, err
			}
		}
		// A machine is in touch again when it has run for stable_ms.
		time.Sleep(stable + 500*time.Millisecond)
		for range poisonTries {
			send(g)
			time.Sleep(poisonGap)
		}
	}
	if status := book(s.gateways[0].client, "sound-1", "{\"slot\": 2}"); status != 200 {
		s.say("a sound request at the end got status %d", status)
	}
	retries := crashes() - before
	s.say("%d retries reached workers later than %s after the third crash, sent by machines in touch; %d are allowed", retries, stable, allowedRetry)
	if retries > allowedRetry {
		s.say("BUDGET is broken")
		return exitBroken, nil
	}
	s.say("BUDGET held")
	return exitHeld, nil
}

//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The parameters of the case. Workers are replaced one after the other, as in a release
// with x = 1 and the gap of the site's file.
const (
	releaseWorkers  = 12
	releaseClients  = 420
	releasePace     = 100 * time.Millisecond
	releaseOutput   = 12 * eventTokens
	releaseGap      = 720 * time.Millisecond
	releaseDrain    = 2 * time.Second
	releaseTime     = 85 * time.Second
	probeClients    = 8
	probeInterval   = 200 * time.Millisecond
	probePatience   = time.Second
	observationTime = 8 * time.Second
)

// probes are clients that open a new connection for each request.
type probes struct {
	log     *recorder
	address string
	mu      sync.Mutex
	// answeredAt are the times of the answers, and tried the clients' attempts.
	answeredAt time.Time
	answered   int
	tried      int
	stop       chan struct{}
	wg         sync.WaitGroup
}

func (p *probes) run() {
	for i := range probeClients {
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			for n := 0; ; n++ {
				select {
				case <-p.stop:
					return
				case <-time.After(probeInterval):
				}
				c, err := dial(p.address)
				ok := false
				if err == nil {
					a := c.stream("/lohu930/2f", fmt.Sprintf("probe-%d-%d", i, n), 100, eventTokens, probePatience)
					// Any answer shows that the gateway took the connection.
					ok, err = a.status != 0, a.err
					c.conn.Close()
				}
				p.mu.Lock()
				p.tried++
				if ok {
					p.answered, p.answeredAt = p.answered+1, time.Now()
				} else {
					p.log.printf("a new connection of client %d got no answer: %v", i, err)
				}
				p.mu.Unlock()
			}
		}()
	}
}

// unansweredFor returns for how long no new connection got an answer.
func (p *probes) unansweredFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.answeredAt)
}

func (p *probes) counts() (tried, answered int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tried, p.answered
}

// openDescriptors returns the number of descriptors of a process, for the record only.
func openDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return -1
	}
	return len(entries)
}

func init() { cases["descriptors"] = runDescriptors }

// runDescriptors replaces the workers of a service one after the other under steady load,
// and then looks whether the gateway, which says that it is ready, takes new connections.
func runDescriptors(s *scenario) (int, error) {
	s.putManifest()
	var workers []*worker
	next := 0
	addWorker := func() error {
		wk, err := startWorker(s.store, s.log, fmt.Sprintf("i-%08d", next), "huvo11a", "zone-0", releasePace, true)
		next++
		if err == nil {
			workers = append(workers, wk)
		}
		return err
	}
	for range releaseWorkers {
		if err := addWorker(); err != nil {
			return 0, err
		}
	}
	if err := s.startGateways(1, true); err != nil {
		return 0, err
	}
	g := s.gateways[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	p := &probes{log: s.log, address: g.client, answeredAt: time.Now(), stop: stop}
	defer func() {
		close(stop)
		p.wg.Wait()
		wg.Wait()
	}()
	var served, failed atomic.Int64
	for i := range releaseClients {
		c, err := dial(g.client)
		if err != nil {
			return 0, err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer c.conn.Close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(i%50) * time.Millisecond):
				}
				a := c.stream("/lohu930/2f", fmt.Sprintf("r-%d-%d", i, n), 100, releaseOutput, clientWait)
				if a.complete && a.status == 200 {
					served.Add(1)
					s.log.printf("r-%d-%d: served, %d events", i, n, a.events)
					continue
				}
				failed.Add(1)
				s.log.printf("r-%d-%d: %s", i, n, a.String())
				if a.err != nil {
					return
				}
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
	p.run()
	// The platform keeps the connection of its readiness question.
	platform := http.Client{Timeout: time.Second}
	var ready atomic.Bool
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			resp, err := platform.Get("http://" + g.readiness + "/api/readyz")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			ready.Store(ok)
			s.log.printf("ready: %v, descriptors of the gateway: %d, requests served %d, failed %d", ok, openDescriptors(g.cmd.Process.Pid), served.Load(), failed.Load())
		}
	}()
	time.Sleep(3 * time.Second)
	if _, answered := p.counts(); answered == 0 {
		return 0, fmt.Errorf("no new connection was answered at the start")
	}
	replaced := 0
	var leaving sync.WaitGroup
	for end := time.Now().Add(releaseTime); time.Now().Before(end) && p.unansweredFor() < stable; time.Sleep(releaseGap) {
		if !s.trouble {
			continue
		}
		old := workers[replaced]
		s.log.printf("worker %s is replaced", old.id)
		if err := addWorker(); err != nil {
			return 0, err
		}
		replaced++
		leaving.Add(1)
		go func() {
			defer leaving.Done()
			old.leave(s.store, releaseDrain)
		}()
	}
	leaving.Wait()
	s.say("%d workers were replaced; the gateway has %d descriptors open", replaced, openDescriptors(g.cmd.Process.Pid))
	servedBefore := served.Load()
	triedBefore, answeredBefore := p.counts()
	time.Sleep(observationTime)
	tried, answered := p.counts()
	s.say("in the %s after the release: ready %v, %d clients made %d attempts on new connections, %d were answered; no answer for the last %s; %d requests on kept connections were served, %d failed in all",
		observationTime, ready.Load(), probeClients, tried-triedBefore, answered-answeredBefore, p.unansweredFor().Round(100*time.Millisecond), served.Load()-servedBefore, failed.Load())
	if ready.Load() && p.unansweredFor() >= stable {
		s.say("RECOVER is broken: a machine that says it is ready takes no new connection for %s", stable)
		return exitBroken, nil
	}
	s.say("RECOVER held")
	return exitHeld, nil
}

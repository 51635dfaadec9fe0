//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The parameters of the case: an event of five tokens every pace is well within the pauses
// that the sheet allows (300 ms).
const (
	drainPace = 100 * time.Millisecond
	// shortOutput are the tokens of the usual requests, longOutput those of the long ones:
	// 58 events, the mean of the sheet's notes.
	shortOutput = 5 * eventTokens
	longOutput  = 58 * eventTokens
	notesPrompt = 628
	// appraisalOutput are the tokens of an appraisal, 76 events on the sheet.
	appraisalOutput = 76 * eventTokens
	appraisalPrompt = 11992
	clientWait      = 15 * time.Second
)

func init() { cases["drain"] = runDrain }

// runDrain stops one of three gateways with SIGTERM while clients use it, and sends it a few
// long requests on connections that were open before.
func runDrain(s *scenario) (int, error) {
	s.putManifest()
	var workers []*worker
	for i := range 3 {
		wk, err := startWorker(s.store, s.log, fmt.Sprintf("i-%08d", i), "huvo11a", fmt.Sprintf("zone-%d", i), drainPace, false)
		if err != nil {
			return 0, err
		}
		workers = append(workers, wk)
	}
	if err := s.startGateways(3, false); err != nil {
		return 0, err
	}
	target := s.gateways[0]
	// The connections of the long requests have served a short one each.
	var waiting []*client
	for i := range 5 {
		c, err := dial(target.client)
		if err != nil {
			return 0, err
		}
		if a := c.stream("/pufi791/2f", fmt.Sprintf("first-%d", i), notesPrompt, shortOutput, clientWait); !a.complete || a.status != 200 {
			return 0, fmt.Errorf("a short request before the stop: %s", a.String())
		}
		waiting = append(waiting, c)
	}
	stop := make(chan struct{})
	var stopping atomic.Bool
	var background sync.WaitGroup
	for i, g := range s.gateways {
		background.Add(1)
		go func() {
			defer background.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
				if g == target && stopping.Load() {
					// The platform sends no new connections to a machine that is not ready.
					return
				}
				if c, err := dial(g.client); err == nil {
					a := c.stream("/pufi791/2f", fmt.Sprintf("short-%d-%d", i, n), notesPrompt, shortOutput, clientWait)
					s.log.printf("short request to %s: %s", g.name, a.String())
					c.conn.Close()
				}
			}
		}()
	}
	defer background.Wait()
	defer close(stop)
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	lost, accepted := 0, 0
	var wg sync.WaitGroup
	// Requests of the other route are in progress when the stop begins.
	for i := range 2 {
		c, err := dial(target.client)
		if err != nil {
			return 0, err
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := c.stream("/lohu930/2f", fmt.Sprintf("appraisal-%d", i), appraisalPrompt, appraisalOutput, clientWait)
			s.say("appraisal-%d, sent 1.5 s before SIGTERM: %s", i, a.String())
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	stopAt := time.Now()
	if s.trouble {
		target.signal(syscall.SIGTERM)
		time.AfterFunc(2*time.Second, func() { stopping.Store(true) })
	}
	for i, c := range waiting {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(3200*time.Millisecond + time.Duration(i)*250*time.Millisecond)
			id := fmt.Sprintf("long-%d", i)
			a := c.stream("/pufi791/2f", id, notesPrompt, longOutput, clientWait)
			passedOn, brokeOff := ranAt(workers, id)
			s.say("%s, sent %s after SIGTERM, passed on to a worker: %v: %s", id, a.sentAt.Sub(stopAt).Round(time.Millisecond), passedOn, a.String())
			mu.Lock()
			defer mu.Unlock()
			if passedOn {
				accepted++
			}
			// Not counted: the worker broke off, or the time limit was reached.
			if passedOn && !brokeOff && !a.complete && a.endedAt.Sub(a.sentAt) < clientWait-200*time.Millisecond {
				lost++
			}
		}()
	}
	wg.Wait()
	s.say("%d long requests were passed on to a worker, %d of them ended without a complete answer", accepted, lost)
	if lost > 0 {
		s.say("LOST is broken")
		return exitBroken, nil
	}
	if !s.trouble && accepted != len(waiting) {
		return 0, fmt.Errorf("without the stop only %d of %d long requests ran", accepted, len(waiting))
	}
	s.say("LOST held")
	return exitHeld, nil
}

// ranAt reports whether a worker ran a request, and whether that worker itself ended its
// answer early while its connection stood.
func ranAt(workers []*worker, id string) (ran, brokeOff bool) {
	for _, wk := range workers {
		wk.mu.Lock()
		ran = ran || wk.started[id] > 0
		wk.mu.Unlock()
	}
	// These workers never break off.
	return ran, false
}

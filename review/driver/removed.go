//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// The parameters of the case. A worker leaves without having reported that it drains, when
// the machines are in touch again after the silence of the store.
const (
	removeAfter = stable + 100*time.Millisecond
	drainBound  = 2 * time.Second
	lingers     = 6 * time.Second
)

func init() { cases["removed"] = runRemoved }

// runRemoved removes the entry of a worker after the store was silent, and looks for how
// long requests reach that worker.
func runRemoved(s *scenario) (int, error) {
	s.store.put("config", "main", bookingManifest(7, 15000, []string{withdrawnKey}))
	var workers []*deskWorker
	for i := range 3 {
		wk, err := startDeskWorker(s.store, s.log, fmt.Sprintf("i-%08d", i), fmt.Sprintf("zone-%d", i))
		if err != nil {
			return 0, err
		}
		workers = append(workers, wk)
	}
	if err := s.startGateways(3, false); err != nil {
		return 0, err
	}
	healthy := s.playSilence()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, g := range s.gateways {
		for j := range 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(bookInterval):
					}
					id := fmt.Sprintf("booking-%d-%d-%d", i, j, n)
					status := book(g.client, id, fmt.Sprintf("{\"slot\": \"%d-%d-%d\"}", i, j, n))
					s.log.printf("%s to gateway %s: status %d", id, g.name, status)
				}
			}()
		}
	}
	time.Sleep(time.Until(healthy.Add(removeAfter)))
	leaver := workers[0]
	s.store.remove("servers", leaver.id)
	removedAt := time.Now()
	s.log.printf("the entry of worker %s is removed", leaver.id)
	// The worker serves on for a while, as workers do that leave.
	time.Sleep(lingers)
	close(stop)
	wg.Wait()
	before, late := 0, 0
	var last time.Duration
	leaver.mu.Lock()
	for _, at := range leaver.arrivedAt {
		age := at.Sub(removedAt)
		if age <= 0 {
			before++
			continue
		}
		last = max(last, age)
		if age > drainBound {
			late++
			s.log.printf("a request reached worker %s %s after its entry was removed", leaver.id, age.Round(time.Millisecond))
		}
	}
	leaver.mu.Unlock()
	s.say("%d requests reached the worker before its entry was removed, %d later than %s after that, the last one %s after that", before, late, drainBound, last.Round(time.Millisecond))
	if late > 0 {
		s.say("DRAIN is broken")
		return exitBroken, nil
	}
	if before == 0 {
		return 0, fmt.Errorf("no request reached the worker")
	}
	s.say("DRAIN held")
	return exitHeld, nil
}

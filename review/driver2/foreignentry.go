//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

// foreignEntry shows that a worker of another service runs bookings, after another writer
// left an entry with missing fields under the worker's id.
func foreignEntry(s *scene) (bool, error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	if err := s.startEngines("desk", "a", "b", "c"); err != nil {
		return false, err
	}
	if err := s.startEngines("stock", "a", "b", "c"); err != nil {
		return false, err
	}
	s.store.set("config", "main", plainManifest(1))
	go heartbeats(s.store, s.engines, s.stop)
	if err := s.startGateways("a", "b", "c"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	post := func(g *gateway, q request) {
		defer wg.Done()
		res := send(g, q, nil)
		mu.Lock()
		defer mu.Unlock()
		statuses[res.Status]++
	}
	end := time.Now().Add(8 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		g := s.gateways[n%len(s.gateways)]
		wg.Add(2)
		go post(g, request{ID: newID("book"), Method: http.MethodPost, Path: "/book/x", Body: "{\"slot\":1}", Deadline: 3 * time.Second})
		go post(g, request{ID: newID("look"), Method: http.MethodGet, Path: "/look/x", Deadline: 3 * time.Second})
		if n%100 == 50 && n < 300 && s.trouble {
			e := s.engines[3+n/100%3]
			s.record.add("store: another writer replaces the entry of %s: without version, cold_left_ms and sequence, for service desk", e.id)
			s.store.set("servers", e.id, map[string]any{"backend": "desk", "address": e.address, "zone": e.zone, "capacity": 6, "state": "ready"})
		}
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	s.record.add("answers by status: %v", statuses)
	broken := false
	for _, e := range s.engines {
		count := map[string]int{}
		for _, r := range e.allRuns() {
			count[r.Path]++
			if r.Path == "/book/x" != (e.service == "desk") {
				s.record.add("ran: %s (path %s) at %s of service %s, %.3f s", r.ID, r.Path, e.id, e.service, r.At.Sub(s.record.start).Seconds())
				broken = true
			}
		}
		s.record.add("%s of service %s ran %v", e.id, e.service, count)
	}
	return broken, nil
}

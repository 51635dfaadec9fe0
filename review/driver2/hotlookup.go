//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

// hotLookup shows that the crash of a worker gets a popular sound lookup refused for an hour,
// so that a route that was added is served less than the first one.
func hotLookup(s *scene) (bool, error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	if err := s.startEngines("desk", "a", "b", "c", "a"); err != nil {
		return false, err
	}
	for _, e := range s.engines {
		e.workTime = 150 * time.Millisecond
	}
	m := plainManifest(1)
	for _, r := range m["routes"].([]any) {
		r.(map[string]any)["backend"] = "desk"
	}
	s.store.set("config", "main", m)
	go heartbeats(s.store, s.engines, s.stop)
	if err := s.startGateways("a", "b", "c"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	m["version"] = 2
	added := map[string]any{}
	for k, v := range m["routes"].([]any)[1].(map[string]any) {
		added[k] = v
	}
	added["name"], added["path_prefix"] = "r-added", "/board/"
	m["routes"] = append(m["routes"].([]any), added)
	s.store.set("config", "main", m)
	s.record.add("operator: version 2 adds the route /board/")
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	type count struct{ sent, served int }
	after := map[string]*count{"/board/": {}, "/look/": {}}
	var steadyFrom time.Time
	begin := time.Now()
	crashed := 0
	for n := 0; time.Since(begin) < 45*time.Second; n++ {
		for _, prefix := range []string{"/board/", "/look/"} {
			if prefix == "/look/" && n%6 != 0 {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				path := prefix + "today"
				if prefix == "/look/" {
					path = prefix + newID("item")
				}
				res := send(s.gateways[n%3], request{ID: newID("get"), Method: http.MethodGet, Path: path, Deadline: 3 * time.Second}, nil)
				mu.Lock()
				defer mu.Unlock()
				if steadyFrom.IsZero() || res.SentAt.Before(steadyFrom) {
					return
				}
				c := after[prefix]
				c.sent++
				if res.Status == http.StatusOK {
					c.served++
				}
			}()
		}
		time.Sleep(8 * time.Millisecond)
		if crashed < 3 && time.Since(begin) > time.Duration(5+7*crashed)*time.Second {
			if s.trouble {
				s.record.add("%s crashes", s.engines[crashed].id)
				s.engines[crashed].crash()
			}
			crashed++
			mu.Lock()
			steadyFrom = time.Now().Add(15 * time.Second)
			mu.Unlock()
		}
	}
	wg.Wait()
	board, look := after["/board/"], after["/look/"]
	s.record.add("from 15 s after it: route added later served %d of %d, first route %d of %d", board.served, board.sent, look.served, look.sent)
	return board.sent >= 20 && 4*board.served*look.sent < look.served*board.sent, nil
}

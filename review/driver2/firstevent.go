//go:build review

package main

import (
	"net/http"
	"sync"
	"time"
)

// firstEvent shows that a part that crashes each worker right after the first event of the
// answer is never refused.
func firstEvent(s *scene) (bool, error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	if err := s.startEngines("llm", "a", "b", "c", "a", "b", "c", "a", "b", "c", "a", "b", "c"); err != nil {
		return false, err
	}
	for _, e := range s.engines {
		e.poisonPart, e.poisonEvents, e.eventGap = poisonID, 1, 30*time.Millisecond
	}
	m := manifest(1)
	m["tenants"].([]any)[0].(map[string]any)["reserved"] = 4_000_000
	s.store.set("config", "main", m)
	go heartbeats(s.store, s.engines, s.stop)
	if err := s.startGateways("a", "b", "c"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	ask := func(n int, kind, parts string, output int64) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := newID(kind)
			q := request{ID: id, Method: http.MethodPost, Path: "/chat/x", Key: "key-a", Body: "{\"id\":\"" + id + "\"}", Prompt: 1460, Output: output, Parts: parts + id + ":250", Deadline: 15 * time.Second}
			res := send(s.gateways[n%3], q, nil)
			if kind == "poison" {
				s.record.add("client: %s at %s, status %d, events %d, complete %v", id, res.Gateway, res.Status, res.Events, res.Complete)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if res.Events > 0 && res.Events < q.Output/stride {
				cut++
			}
		}()
	}
	// Sound streams of a second each, and one request with the part every 600 ms.
	for n, end := 0, time.Now().Add(24*time.Second); time.Now().Before(end); n++ {
		ask(n, "sound", "5c1e07a2:800,", 170)
		if n%6 == 0 && s.trouble {
			ask(n/6, "poison", "5c1e07a2:800,"+poisonID+":300,", 170)
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	crashes := s.crashTimes()
	if len(crashes) < 5 {
		s.record.add("crashes of workers: %d", len(crashes))
		return false, nil
	}
	from := crashes[4].Add(stableTime)
	counted := 0
	for _, e := range s.engines {
		for _, r := range e.allRuns() {
			if hasPart(r.Parts, poisonID) && r.At.After(from) {
				counted++
			}
		}
	}
	s.record.add("crashes of workers: %d, the fifth at %.3f s; sound streams cut off: %d", len(crashes), crashes[4].Sub(s.record.start).Seconds(), cut)
	s.record.add("requests with the part that reached workers later than stable_ms after the fifth crash: %d (3 are allowed)", counted)
	return counted > 3, nil
}

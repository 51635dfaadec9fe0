//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// soundInterval is the time between two sound requests.
	soundInterval = time.Second
)

// soundPart shows that the sound requests of a tenant are refused, because a part that they
// share with requests that crash workers is quarantined instead of the one that crashes them.
func soundPart(s *scene) (bool, error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	if err := s.startEngines("llm", "a", "b", "c", "a", "b", "c", "a", "b", "c", "a", "b", "c"); err != nil {
		return false, err
	}
	for _, e := range s.engines {
		e.poisonPart, e.eventGap = poisonID, 30*time.Millisecond
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
	var sound []result
	ask := func(n int, parts, kind string) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := newID(kind)
			q := request{ID: id, Method: http.MethodPost, Path: "/chat/x", Key: "key-a", Body: "{\"id\":\"" + id + "\"}", Prompt: 1460, Output: 20, Parts: parts + id + ":250", Deadline: 15 * time.Second}
			res := send(s.gateways[n%3], q, nil)
			s.record.add("client: %s at %s, parts %s, status %d, events %d", id, res.Gateway, q.Parts, res.Status, res.Events)
			mu.Lock()
			defer mu.Unlock()
			if kind == "sound" {
				sound = append(sound, res)
			}
		}()
	}
	const soundParts, poisonParts = "5c1e07a2:800,91bd3f06:410,", "5c1e07a2:800," + poisonID + ":300,91bd3f06:410,"
	n := 0
	askSound := func() {
		ask(n, soundParts, "sound")
		n++
	}
	for range 25 {
		askSound()
		time.Sleep(soundInterval)
	}
	askSound()
	// Three requests with the part that crashes workers come between two sound ones.
	time.Sleep(350 * time.Millisecond)
	for i := range 3 {
		if s.trouble {
			ask(i, poisonParts, "poison")
		}
		time.Sleep(300 * time.Millisecond)
	}
	for i := range 40 {
		askSound()
		if s.trouble && i%2 == 0 {
			ask(i+1, poisonParts, "poison")
		}
		time.Sleep(soundInterval)
	}
	wg.Wait()
	runs := s.runsByID()
	crashes := s.crashTimes()
	s.record.add("crashes of workers: %d", len(crashes))
	if len(crashes) == 0 {
		for _, res := range sound {
			if len(runs[res.Request.ID]) == 0 {
				return false, fmt.Errorf("sound request %s did not run without trouble, status %d", res.Request.ID, res.Status)
			}
		}
		return false, nil
	}
	last := crashes[min(len(crashes), 5)-1]
	var before, beforeRan, after, afterRan int
	for _, res := range sound {
		ran := 0
		if len(runs[res.Request.ID]) > 0 {
			ran = 1
		}
		switch {
		case res.SentAt.Before(crashes[0].Add(-stableTime)):
			before, beforeRan = before+1, beforeRan+ran
		case res.SentAt.After(last.Add(2 * stableTime)):
			after, afterRan = after+1, afterRan+ran
		}
	}
	s.record.add("fifth (or last) crash at %.3f s", last.Sub(s.record.start).Seconds())
	s.record.add("sound requests with the same key and first part: %d of %d began before, %d of %d later than 2 x stable_ms after that crash", beforeRan, before, afterRan, after)
	return before >= 20 && after >= 20 && 2*afterRan*before < beforeRan*after, nil
}

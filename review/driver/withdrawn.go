//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// The parameters of the case. The store is silent for silence. The change before it wakes
// the calls of all gateways that follow the configuration, so that they open the next ones
// at about the same time, shortly before the silence.
const (
	silence         = 4 * time.Second
	changeBefore    = 620 * time.Millisecond
	withdrawAfter   = 20 * time.Millisecond
	configApply     = 2 * time.Second
	withdrawnTenant = "sazu112"
	withdrawnKey    = "anfqasnmgkcuyj8pjbvk"
	bookInterval    = 50 * time.Millisecond
	observeAfter    = 6 * time.Second
)

func init() { cases["withdrawn"] = runWithdrawn }

// bookingManifest is a manifest with one unsafe route and two tenants, the second of which
// has the given keys.
func bookingManifest(version int, idle int, secondKeys []string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "booking", "hostname": hostname, "path_prefix": "/puxa403/", "route_type": "unsafe", "timeout_ms": 1000, "slo_ms": 100,
			"priority": 2, "backend": "wuno96b", "max_attempts": 1, "public": false}},
		"backends": []any{map[string]any{"name": "wuno96b", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": idle},
		"tenants": []any{
			map[string]any{"name": tenant, "api_keys": []string{apiKey}, "priority": 1, "reserved": 2_000_000_000},
			map[string]any{"name": withdrawnTenant, "api_keys": secondKeys, "priority": 1, "reserved": 2_000_000_000},
		},
	}
}

// playSilence changes the configuration, lets the store be silent, and returns when it
// answers again. Without trouble the store answers all the while.
func (s *scenario) playSilence() time.Time {
	// The sessions between the gateways open, and the calls to the store come to rest.
	time.Sleep(4 * time.Second)
	s.store.put("config", "main", bookingManifest(8, 16000, []string{withdrawnKey}))
	s.log.printf("manifest 8 is confirmed")
	time.Sleep(changeBefore)
	if s.trouble {
		s.log.printf("the store falls silent")
		s.store.setSilent(true)
	}
	time.Sleep(silence)
	if s.trouble {
		s.store.setSilent(false)
		s.log.printf("the store answers again")
	}
	return time.Now()
}

// runWithdrawn takes a key away right after the store was silent, and looks for how long
// requests with the key still run.
func runWithdrawn(s *scenario) (int, error) {
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
	time.Sleep(withdrawAfter)
	s.store.put("config", "main", bookingManifest(9, 16000, []string{}))
	confirmed := time.Now()
	s.log.printf("manifest 9, without the key, is confirmed")
	// From then on machines are in touch, and the version has to be in force.
	judgedFrom := confirmed.Add(configApply)
	if t := healthy.Add(stable); t.After(judgedFrom) {
		judgedFrom = t
	}
	type booking struct {
		sentAt time.Time
		status int
	}
	var mu sync.Mutex
	bookings := map[string]booking{}
	var wg sync.WaitGroup
	for i, g := range s.gateways {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(confirmed) < observeAfter; n++ {
				id := fmt.Sprintf("withdrawn-%d-%d", i, n)
				b := booking{sentAt: time.Now()}
				b.status = bookWithKey(g.client, id, withdrawnKey, fmt.Sprintf("{\"slot\": %d}", n))
				s.log.printf("%s to gateway %s, sent %s after the confirmation: status %d", id, g.name, b.sentAt.Sub(confirmed).Round(time.Millisecond), b.status)
				mu.Lock()
				bookings[id] = b
				mu.Unlock()
				time.Sleep(bookInterval)
			}
		}()
	}
	wg.Wait()
	late, refused := 0, 0
	var last time.Duration
	for _, wk := range workers {
		wk.mu.Lock()
		for id, ranFor := range wk.ran {
			if b, ok := bookings[id]; ok && b.sentAt.After(judgedFrom) {
				late++
				last = max(last, b.sentAt.Sub(confirmed))
				s.log.printf("worker %s ran %s for tenant %s, sent %s after the confirmation", wk.id, id, ranFor, b.sentAt.Sub(confirmed).Round(time.Millisecond))
			}
		}
		wk.mu.Unlock()
	}
	for _, b := range bookings {
		if b.status == 401 {
			refused++
		}
	}
	s.say("%d requests with the withdrawn key ran that were sent later than %s after the confirmation and %s after the store's return, the last one %s after the confirmation; %d were refused with 401",
		late, configApply, stable, last.Round(time.Millisecond), refused)
	if late > 0 {
		s.say("CONFIG is broken")
		return exitBroken, nil
	}
	if refused == 0 {
		return 0, fmt.Errorf("no request was refused")
	}
	s.say("CONFIG held")
	return exitHeld, nil
}

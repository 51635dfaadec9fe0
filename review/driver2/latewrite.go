//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const (
	ledgerKind = "laburnumroad-ledgers"
	// reserved is the tenant's total.
	reserved = 40_000
	// longPrompt and longOutput are the size of a stream: 20 events, one each 0.4 s.
	longPrompt, longOutput = 1_900, 100
	// lateBy is how long after it was sent the write without an answer is done. The pages
	// allow 1 to 6 s.
	lateBy = 2200 * time.Millisecond
	// killAfter is the time from that write to the end of the process.
	killAfter = 2600 * time.Millisecond
)

type ledgerValue struct {
	Closed  map[string]int64 `json:"closed"`
	Routers []struct {
		Name   string              `json:"name"`
		Limits map[string][2]int64 `json:"limits"`
	} `json:"routers"`
}

// limitOf returns a gateway's limit in the ledger, and the sum of all.
func limitOf(spec json.RawMessage, name string) (own, sum int64) {
	var l ledgerValue
	if json.Unmarshal(spec, &l) != nil {
		return 0, 0
	}
	sum = l.Closed["tenant-a"]
	for _, r := range l.Routers {
		sum += r.Limits["tenant-a"][0]
		if r.Name == name {
			own = r.Limits["tenant-a"][0]
		}
	}
	return own, sum
}

// lateWrite shows that a tenant gets more than its reserved total after the answer of one
// write to the store was lost and the write was done late, and the process that sent it was
// killed.
func lateWrite(s *scene) (bool, error) {
	if err := s.startStore(); err != nil {
		return false, err
	}
	if err := s.startEngines("llm", "a", "b", "c", "a"); err != nil {
		return false, err
	}
	s.store.set("config", "main", manifest(1))
	go heartbeats(s.store, s.engines, s.stop)
	if err := s.startGateways("a", "b"); err != nil {
		return false, err
	}
	// Long enough for both to be in touch.
	time.Sleep(4 * time.Second)
	c := &lateCase{scene: s, first: s.gateways[0], second: s.gateways[1], results: make(chan result, 4096), quiet: make(chan struct{}), lost: make(chan struct{})}
	s.store.mu.Lock()
	s.store.lose, s.store.onWrite = c.lose, c.onWrite
	s.store.mu.Unlock()
	return c.play()
}

type lateCase struct {
	*scene
	first, second *gateway
	results       chan result
	wg            sync.WaitGroup

	mu sync.Mutex
	// armed is true from the moment at which the store may lose an answer.
	armed, wasLost, wasQuiet bool
	seeking                  bool
	writes, lostWrites       int
	// quiet is closed when the first gateway's ledger entry no longer changes while
	// requests wait; lost when an answer was lost.
	quiet, lost chan struct{}
}

func (c *lateCase) lose(w write) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.armed {
		c.writes++
	}
	if !c.armed || c.wasLost || w.Kind != ledgerKind {
		return 0, false
	}
	c.wasLost = true
	close(c.lost)
	if !c.trouble || c.only == "kill" {
		return 0, false
	}
	c.lostWrites++
	own, sum := limitOf(w.Spec, c.first.name)
	c.record.add("store: the answer to a write of the ledger is lost, it is done %v later: limit of %s %d, sum %d", lateBy, c.first.name, own, sum)
	return lateBy, true
}

func (c *lateCase) onWrite(w write, status int, changed, late bool) {
	if w.Kind != ledgerKind {
		return
	}
	own, sum := limitOf(w.Spec, c.first.name)
	c.record.add("store: write of the ledger, status %d, changed %v, late %v: limit of %s %d, sum %d", status, changed, late, c.first.name, own, sum)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seeking && !c.wasQuiet && status == http.StatusOK && !changed && sum == reserved {
		c.wasQuiet = true
		close(c.quiet)
	}
}

// start sends a stream of the tenant in the background.
func (c *lateCase) start(g *gateway, kind string, prompt, output int64, onEvent func()) {
	id := newID(kind)
	q := request{ID: id, Body: "{\"id\":\"" + id + "\"}", Method: http.MethodPost, Path: "/chat/x", Key: "key-a", Prompt: prompt, Output: output, Deadline: 15 * time.Second}
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.results <- send(g, q, onEvent)
	}()
}

// fill keeps requests waiting at a gateway until the given number of them runs, or the time
// is over.
func (c *lateCase) fill(g *gateway, kind string, count int, limit time.Duration) int {
	var mu sync.Mutex
	running := 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
		mu.Lock()
		missing := count - running
		mu.Unlock()
		for range missing {
			c.start(g, kind, longPrompt, longOutput, func() {
				mu.Lock()
				defer mu.Unlock()
				running++
			})
		}
		if missing == 0 {
			break
		}
	}
	mu.Lock()
	defer mu.Unlock()
	return running
}

func (c *lateCase) play() (bool, error) {
	// One stream in progress at the second gateway, so that the total never fits into one
	// gateway.
	c.start(c.second, "early", longPrompt, longOutput, nil)
	time.Sleep(300 * time.Millisecond)
	// Requests that are larger than what is left make the first gateway take all of it.
	c.mu.Lock()
	c.seeking = true
	c.mu.Unlock()
	c.record.add("clients: requests larger than the rest, at %s", c.first.name)
	seekingEnd := time.After(12 * time.Second)
seeking:
	for {
		select {
		case <-c.quiet:
			break seeking
		case <-seekingEnd:
			c.record.add("clients: the ledger did not come to rest")
			break seeking
		case <-time.After(60 * time.Millisecond):
			c.start(c.first, "large", reserved-500-longOutput, longOutput, nil)
		}
	}
	c.mu.Lock()
	c.armed = true
	c.mu.Unlock()
	c.record.add("store: answers may be lost from now on")
	select {
	case <-c.lost:
	case <-time.After(6 * time.Second):
		c.record.add("no write of the ledger came")
	}
	sentAt := time.Now()
	time.Sleep(1200 * time.Millisecond)
	n := c.fill(c.first, "mid", (reserved-2*(longPrompt+longOutput))/(longPrompt+longOutput), 900*time.Millisecond)
	c.record.add("clients: %d streams run at %s", n, c.first.name)
	time.Sleep(time.Until(sentAt.Add(killAfter)))
	if c.trouble && c.only != "lost" {
		c.record.add("%s is killed", c.first.name)
		c.first.kill()
		time.Sleep(time.Second)
		if err := c.first.start(); err != nil {
			return false, err
		}
		if err := c.first.waitReady(10 * time.Second); err != nil {
			return false, err
		}
		c.record.add("%s is back", c.first.name)
	}
	c.mu.Lock()
	c.armed = false
	c.mu.Unlock()
	time.Sleep(4 * time.Second)
	for range 6 {
		c.fill(c.first, "late", 20, 500*time.Millisecond)
		c.fill(c.second, "late", 20, 500*time.Millisecond)
	}
	c.wg.Wait()
	return c.judge(), nil
}

// judge adds up what the tenant got: the prompt of each request that ran, once, and the
// output that reached clients.
func (c *lateCase) judge() bool {
	close(c.results)
	runs := c.runsByID()
	var used, output int64
	statuses := map[int]int{}
	for res := range c.results {
		statuses[res.Status]++
		ran := runs[res.Request.ID]
		if len(ran) == 0 {
			continue
		}
		used += res.Request.Prompt
		output += min(res.Events*stride, res.Request.Output)
		c.record.add("ran: %s sent %.3f to %s, status %d, prompt %d, events %d, endpoint %s", res.Request.ID, res.SentAt.Sub(c.record.start).Seconds(), res.Gateway, res.Status, res.Request.Prompt, res.Events, ran[0].Endpoint)
	}
	c.record.add("answers by status: %v", statuses)
	c.record.add("writes to the store while answers may be lost: %d, of which %d were lost (workers write as well)", c.writes, c.lostWrites)
	c.record.add("tenant-a: reserved %d, got %d prompt tokens and %d output tokens, %d in all", reserved, used, output, used+output)
	return used+output > reserved
}

// Package store reads and writes the fleet's objects on the platform. It executes the platform
// commands of the control thread and posts their results as events.
package store

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/platform"
)

// Kinds of platform objects.
const (
	KindConfig     = "config"
	KindLedger     = "ledger"
	KindClaim      = "claim"
	KindProcess    = "process"
	KindFence      = "fence"
	KindStart      = "start"
	KindQuarantine = "quarantine"
)

const (
	// singletonName is the name of the object of a kind that has only one.
	singletonName = "current"
	// configName is the name of the configuration object.
	configName = "fleet"
	// callTimeout limits one call. A write that exceeds it has an unknown outcome.
	callTimeout = 5 * time.Second
	// workerCount is the largest number of concurrent calls.
	workerCount = 8
	// callsPerSecond and callBurst keep this process within its share of the platform's rate
	// limits.
	callsPerSecond = 60
	callBurst      = 120
	// maxQueuedCalls limits the queue. Commands beyond it fail with CallNotApplied.
	maxQueuedCalls = 4096
)

// Store executes platform commands in a pool of workers.
type Store struct {
	client  *platform.Client
	post    func(event.Event)
	limiter *rate.Limiter
	queue   chan func(context.Context)

	mu                sync.Mutex
	reachable         bool
	reachabilityKnown bool
}

// New returns a store. Commands are executed once Run is called.
func New(client *platform.Client, post func(event.Event)) *Store {
	return &Store{
		client:  client,
		post:    post,
		limiter: rate.NewLimiter(callsPerSecond, callBurst),
		queue:   make(chan func(context.Context), maxQueuedCalls),
	}
}

// Run executes queued commands until ctx is done.
func (s *Store) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range workerCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.runWorker(ctx)
		}()
	}
	wg.Wait()
}

// runWorker executes queued calls, within the rate limit, until ctx is done.
func (s *Store) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-s.queue:
			if s.limiter.Wait(ctx) != nil {
				return
			}
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			call(callCtx)
			cancel()
		}
	}
}

// submit queues a call, or runs onQueueFull if the queue is full. It doesn't block.
func (s *Store) submit(call func(context.Context), onQueueFull func()) {
	select {
	case s.queue <- call:
	default:
		onQueueFull()
	}
}

// recordStatus converts the error of a call to a status and records whether the platform is
// reachable.
func (s *Store) recordStatus(err error) event.CallStatus {
	switch {
	case err == nil, errors.Is(err, platform.ErrNotFound):
		s.setReachable(true)
		return event.CallOK
	case errors.Is(err, platform.ErrConflict):
		s.setReachable(true)
		return event.CallConflict
	case errors.Is(err, platform.ErrNotApplied):
		s.setReachable(false)
		return event.CallNotApplied
	default:
		s.setReachable(false)
		return event.CallOutcomeUnknown
	}
}

// setReachable posts PlatformState after the first call and when the platform becomes reachable or
// unreachable.
func (s *Store) setReachable(reachable bool) {
	s.mu.Lock()
	changed := !s.reachabilityKnown || s.reachable != reachable
	s.reachabilityKnown, s.reachable = true, reachable
	s.mu.Unlock()
	if changed {
		s.post(event.PlatformState{Reachable: reachable})
	}
}

// Execute queues the platform commands of one tick. It doesn't block.
func (s *Store) Execute(out *command.Outbox) {
	for _, c := range out.ReadShards {
		s.readShard(c)
	}
	for _, c := range out.WriteShards {
		s.writeShard(c)
	}
	for _, c := range out.ClaimCalls {
		s.claim(c)
	}
	for range out.ReadFenceLists {
		s.submit(s.readFences, func() { s.post(event.FenceList{Status: event.CallNotApplied}) })
	}
	for _, c := range out.WriteFenceLists {
		s.writeFences(c)
	}
	for _, c := range out.WriteQuarantineLists {
		s.writeQuarantine(c)
	}
	for range out.ReadQuarantineLists {
		s.submit(s.readQuarantine, func() { s.post(event.QuarantineList{Status: event.CallNotApplied}) })
	}
	for _, c := range out.ReadProcesses {
		s.submit(func(ctx context.Context) { s.readProcesses(ctx, c) }, func() {})
	}
}

func shardName(id table.ShardID) string { return fmt.Sprintf("%04d", id) }

func (s *Store) readShard(c command.ReadShard) {
	s.submit(func(ctx context.Context) {
		object, err := s.client.Get(ctx, KindLedger, shardName(c.Shard))
		e := event.ShardReadResult{Shard: c.Shard, Status: s.recordStatus(err), Version: object.Version}
		if err == nil {
			err = json.Unmarshal(object.Value, &e.Content)
			if err != nil {
				e.Status = event.CallOutcomeUnknown
			}
		}
		s.post(e)
	}, func() { s.post(event.ShardReadResult{Shard: c.Shard, Status: event.CallNotApplied}) })
}

func (s *Store) writeShard(c command.WriteShard) {
	// Encoded before queueing, because the control thread may change the content later.
	value, err := json.Marshal(c.Content)
	notApplied := event.ShardWriteResult{Shard: c.Shard, Sequence: c.Sequence, Status: event.CallNotApplied}
	if err != nil {
		s.post(notApplied)
		return
	}
	s.submit(func(ctx context.Context) {
		version, err := s.put(ctx, KindLedger, shardName(c.Shard), c.Version, value)
		s.post(event.ShardWriteResult{Shard: c.Shard, Sequence: c.Sequence, Status: s.recordStatus(err), Version: version})
	}, func() { s.post(notApplied) })
}

// put creates an object if version is 0 and otherwise updates it on condition that it still has
// this version. If the object was deleted in the meantime, the error is ErrConflict.
func (s *Store) put(ctx context.Context, kind, name string, version uint64, value []byte) (uint64, error) {
	if version == 0 {
		return s.client.Create(ctx, kind, name, value)
	}
	v, err := s.client.Update(ctx, kind, name, version, value)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, platform.ErrConflict
	}
	return v, err
}

// claimName returns the object name of a claim. It is a hash of the request id, so that callers'
// keys don't appear in object names.
func claimName(id table.RequestID) string {
	return fmt.Sprintf("%x", sha256.Sum256([]byte(id)))
}

func (s *Store) claim(c command.ClaimCall) {
	onQueueFull := func() {
		s.post(event.ClaimResult{Request: c.Claim.Request, Status: event.CallNotApplied, Claim: c.Claim, Read: c.Read})
	}
	s.submit(func(ctx context.Context) {
		if c.Read {
			s.post(s.readClaim(ctx, c.Claim.Request))
			return
		}
		s.post(s.writeClaim(ctx, c))
	}, onQueueFull)
}

func (s *Store) readClaim(ctx context.Context, id table.RequestID) event.ClaimResult {
	object, err := s.client.Get(ctx, KindClaim, claimName(id))
	e := event.ClaimResult{Request: id, Status: s.recordStatus(err), Version: object.Version, Read: true}
	if err == nil && json.Unmarshal(object.Value, &e.Claim) != nil {
		e.Status = event.CallOutcomeUnknown
	}
	return e
}

func (s *Store) writeClaim(ctx context.Context, c command.ClaimCall) event.ClaimResult {
	e := event.ClaimResult{Request: c.Claim.Request, Claim: c.Claim}
	value, err := json.Marshal(c.Claim)
	if err != nil {
		e.Status = event.CallNotApplied
		return e
	}
	e.Version, err = s.put(ctx, KindClaim, claimName(c.Claim.Request), c.Version, value)
	e.Status = s.recordStatus(err)
	return e
}

func (s *Store) readFences(ctx context.Context) {
	object, err := s.client.Get(ctx, KindFence, singletonName)
	e := event.FenceList{Status: s.recordStatus(err), Version: object.Version}
	if err == nil && json.Unmarshal(object.Value, &e.Holders) != nil {
		e.Status = event.CallOutcomeUnknown
	}
	s.post(e)
}

func (s *Store) writeFences(c command.WriteFenceList) {
	value, err := json.Marshal(c.Holders)
	if err != nil {
		s.post(event.FenceListWriteResult{Status: event.CallNotApplied})
		return
	}
	s.submit(func(ctx context.Context) {
		version, err := s.put(ctx, KindFence, singletonName, c.Version, value)
		s.post(event.FenceListWriteResult{Status: s.recordStatus(err), Version: version})
	}, func() { s.post(event.FenceListWriteResult{Status: event.CallNotApplied}) })
}

// storedQuarantineEntry is the stored form of a QuarantineEntry. It uses wall-clock time, because
// monotonic clocks of different processes aren't comparable.
type storedQuarantineEntry struct {
	Fingerprint string    `json:"fingerprint"`
	Until       time.Time `json:"until"`
}

func (s *Store) writeQuarantine(c command.WriteQuarantineList) {
	stored := make([]storedQuarantineEntry, 0, len(c.Entries))
	for _, e := range c.Entries {
		stored = append(stored, storedQuarantineEntry{
			Fingerprint: strconv.FormatUint(uint64(e.Fingerprint), 16), Until: time.Now().Add(e.Remaining),
		})
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return
	}
	s.submit(func(ctx context.Context) {
		_, err := s.put(ctx, KindQuarantine, singletonName, c.Version, value)
		s.recordStatus(err)
		s.readQuarantine(ctx)
	}, func() { s.post(event.QuarantineList{Status: event.CallNotApplied}) })
}

func (s *Store) readQuarantine(ctx context.Context) {
	object, err := s.client.Get(ctx, KindQuarantine, singletonName)
	s.post(decodeQuarantineList(s.recordStatus(err), object))
}

// decodeQuarantineList converts a stored list to an event and skips entries that can't be parsed.
func decodeQuarantineList(status event.CallStatus, object platform.Object) event.QuarantineList {
	list := event.QuarantineList{Status: status, Version: object.Version}
	var stored []storedQuarantineEntry
	if len(object.Value) == 0 || json.Unmarshal(object.Value, &stored) != nil {
		return list
	}
	for _, entry := range stored {
		fingerprint, err := strconv.ParseUint(entry.Fingerprint, 16, 64)
		if err != nil {
			continue
		}
		list.Entries = append(list.Entries, event.QuarantineEntry{
			Fingerprint: table.Fingerprint(fingerprint), Remaining: time.Until(entry.Until),
		})
	}
	return list
}

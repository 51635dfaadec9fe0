package store

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/pause"
	"laburnumroad.dev/laburnumroad/platform"
)

// processObject is the value of a process object.
type processObject struct {
	Process   table.Process    `json:"process"`
	Endpoints []table.Endpoint `json:"endpoints"`
	// FirstIncarnation is true if no earlier incarnation of the process was registered.
	FirstIncarnation bool `json:"first"`
}

const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// maxStartNumberJitter is the longest random delay after a conflict over a start number. It
	// spreads the retries of processes that start at the same time.
	maxStartNumberJitter = 50 * time.Millisecond
)

// Register allocates a start number for this process, writes its object and posts Registered. It
// retries with exponential backoff until that succeeds or ctx is done. onStartNumber is called
// with the number before the object is written.
func (s *Store) Register(ctx context.Context, p table.Process, endpoints []table.Endpoint, onStartNumber func(uint64)) {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		firstIncarnation, err := s.register(ctx, &p, endpoints, onStartNumber)
		if err == nil {
			s.post(event.Registered{StartNumber: p.StartNumber, FirstIncarnation: firstIncarnation})
			return
		}
		if pause.Sleep(ctx, delay) != nil {
			return
		}
	}
}

// register writes the object of this process. It replaces the object of an earlier incarnation,
// because only the newest one is running. It returns true if there was no such object.
func (s *Store) register(ctx context.Context, p *table.Process, endpoints []table.Endpoint, onStartNumber func(uint64)) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if p.StartNumber == 0 {
		start, err := s.allocateStartNumber(ctx)
		if err != nil {
			return false, err
		}
		p.StartNumber = start
		onStartNumber(start)
	}
	existing, err := s.client.Get(ctx, KindProcess, string(p.ID()))
	if s.recordStatus(err) != event.CallOK {
		return false, err
	}
	var stored processObject
	if err == nil && json.Unmarshal(existing.Value, &stored) == nil && stored.Process.Holder == p.Holder {
		// An earlier write by this incarnation succeeded but its response was lost.
		return stored.FirstIncarnation, nil
	}
	object := processObject{Process: *p, Endpoints: endpoints, FirstIncarnation: existing.Version == 0}
	return object.FirstIncarnation, s.putProcess(ctx, existing.Version, object)
}

// putProcess writes a process object if the stored one still has the given version.
func (s *Store) putProcess(ctx context.Context, version uint64, object processObject) error {
	value, err := json.Marshal(object)
	if err != nil {
		return err
	}
	_, err = s.put(ctx, KindProcess, string(object.Process.ID()), version, value)
	s.recordStatus(err)
	return err
}

// allocateStartNumber takes the next start number. It retries conflicts after a short random
// delay, because a conflict means that another process took a number. A number whose write has
// an unknown outcome is not used.
func (s *Store) allocateStartNumber(ctx context.Context) (uint64, error) {
	for {
		start, err := s.tryAllocateStartNumber(ctx)
		if !errors.Is(err, platform.ErrConflict) {
			return start, err
		}
		if err := pause.Sleep(ctx, rand.N(maxStartNumberJitter)); err != nil {
			return 0, err
		}
	}
}

// tryAllocateStartNumber increments the stored counter once and returns its new value.
func (s *Store) tryAllocateStartNumber(ctx context.Context) (uint64, error) {
	o, err := s.client.Get(ctx, KindStart, singletonName)
	if s.recordStatus(err) != event.CallOK {
		return 0, err
	}
	var last uint64
	if err == nil {
		if err := json.Unmarshal(o.Value, &last); err != nil {
			return 0, err
		}
	}
	value, err := json.Marshal(last + 1)
	if err != nil {
		return 0, err
	}
	_, err = s.put(ctx, KindStart, singletonName, o.Version, value)
	s.recordStatus(err)
	return last + 1, err
}

// Deregister marks the process as left, or deletes its object if remove is set, which requires
// that nothing refers to the incarnation any more. An agent's object must stay: the charges of
// its runs are lost when it leaves, and recovery has to know that.
func (s *Store) Deregister(ctx context.Context, id table.ProcessID, remove bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := s.client.Get(ctx, KindProcess, string(id))
	if err != nil {
		return
	}
	if remove {
		// If this fails, the object stays, but the platform's membership list no longer has
		// the host.
		_ = s.client.Delete(ctx, KindProcess, string(id), o.Version)
		return
	}
	var p processObject
	if json.Unmarshal(o.Value, &p) == nil {
		p.Process.Left = true
		_ = s.putProcess(ctx, o.Version, p)
	}
}

func (s *Store) readProcesses(ctx context.Context, c command.ReadProcesses) {
	objects, _, err := s.client.List(ctx, KindProcess)
	if s.recordStatus(err) == event.CallOK {
		list := decodeProcessList(objects)
		list.Call = c.Call
		s.post(list)
	}
}

func decodeProcessList(objects []platform.Object) event.ProcessList {
	var list event.ProcessList
	for _, o := range objects {
		var p processObject
		if o.Deleted() || json.Unmarshal(o.Value, &p) != nil {
			continue
		}
		list.Processes = append(list.Processes, p.Process)
		list.Endpoints = append(list.Endpoints, p.Endpoints...)
	}
	return list
}

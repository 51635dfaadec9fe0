package store

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/platform"
)

// processObject is the value of a process object.
type processObject struct {
	Process   table.Process    `json:"process"`
	Endpoints []table.Endpoint `json:"endpoints"`
}

const (
	firstRetry = 200 * time.Millisecond
	lastRetry  = 5 * time.Second
)

// Register writes this process's object, repeating until it is stored, then
// posts Registered and the fences read after it.
func (s *Store) Register(ctx context.Context, p table.Process, endpoints []table.Endpoint) {
	value, err := json.Marshal(processObject{Process: p, Endpoints: endpoints})
	if err != nil {
		return
	}
	for delay := firstRetry; ; delay = min(2*delay, lastRetry) {
		if s.register(ctx, string(p.ID()), value) == nil {
			break
		}
		if sleep(ctx, delay) != nil {
			return
		}
	}
	s.post(event.Registered{})
}

// register overwrites the object of this process id whatever its version: the
// newest incarnation is the one that runs.
func (s *Store) register(ctx context.Context, name string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var version uint64
	o, err := s.client.Get(ctx, KindProcess, name)
	switch {
	case err == nil:
		version = o.Version
	case !errors.Is(err, platform.ErrNotFound):
		s.status(err)
		return err
	}
	_, err = s.put(ctx, KindProcess, name, version, value)
	s.status(err)
	return err
}

// Deregister removes the object of a process that ends gracefully.
func (s *Store) Deregister(ctx context.Context, id table.ProcessID) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if o, err := s.client.Get(ctx, KindProcess, string(id)); err == nil {
		// A failure leaves the object behind; the platform's list drops the host.
		_ = s.client.Delete(ctx, KindProcess, string(id), o.Version)
	}
}

func (s *Store) readProcesses(ctx context.Context, c command.ReadProcesses) {
	objects, err := s.client.List(ctx, KindProcess)
	if s.status(err) == event.CallOK {
		list := processList(objects)
		list.Call = c.Call
		s.post(list)
	}
}

func processList(objects []platform.Object) event.ProcessList {
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

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

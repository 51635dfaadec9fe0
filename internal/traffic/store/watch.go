package store

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/pause"
	"laburnumroad.dev/laburnumroad/platform"
)

const (
	// watchWait is how long a watch waits for a change. A waiting watch counts
	// as one call.
	watchWait = 30 * time.Second
	// membersInterval is the time between reads of the membership list.
	membersInterval = 2 * time.Second
)

// watch follows a kind until ctx ends and hands over the whole list, also an
// empty one, and then each batch of changes. When the history that it needs is
// gone, it lists again.
func (s *Store) watch(ctx context.Context, kind string, seen func([]platform.Object)) {
	var since uint64
	listed := false
	delay := firstRetry
	for ctx.Err() == nil {
		objects, revision, err := s.next(ctx, kind, since, listed)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrCompacted) {
			listed = false
			continue
		}
		if s.status(err) != event.CallOK {
			if pause.For(ctx, delay) != nil {
				return
			}
			delay = min(2*delay, lastRetry)
			continue
		}
		if len(objects) > 0 || !listed {
			seen(objects)
		}
		delay, since, listed = firstRetry, revision, true
	}
}

func (s *Store) next(ctx context.Context, kind string, since uint64, listed bool) ([]platform.Object, uint64, error) {
	if !listed {
		return s.client.List(ctx, kind)
	}
	return s.client.Watch(ctx, kind, since, watchWait)
}

// configObject is the value of the configuration object.
type configObject struct {
	Generation table.Generation `json:"generation"`
	Text       string           `json:"text"`
}

// WatchConfig hands over each configuration stored on the platform.
func (s *Store) WatchConfig(ctx context.Context, seen func(table.Generation, string)) {
	s.watch(ctx, KindConfig, func(objects []platform.Object) {
		for _, o := range objects {
			var c configObject
			if o.Name == fleetName && !o.Deleted() && json.Unmarshal(o.Value, &c) == nil {
				seen(c.Generation, c.Text)
			}
		}
	})
}

// WatchProcesses posts the process objects at each change.
func (s *Store) WatchProcesses(ctx context.Context) {
	s.watch(ctx, KindProcess, func(objects []platform.Object) { s.post(processList(objects)) })
}

// WatchFences posts the fence list at each change.
func (s *Store) WatchFences(ctx context.Context) {
	s.watch(ctx, KindFence, func(objects []platform.Object) {
		e := event.FenceList{Status: event.CallOK}
		for _, o := range objects {
			e.Version = o.Version
			if json.Unmarshal(o.Value, &e.Holders) != nil {
				e.Status = event.CallUnknown
			}
		}
		s.post(e)
	})
}

// WatchQuarantine posts the quarantine list at each change.
func (s *Store) WatchQuarantine(ctx context.Context) {
	s.watch(ctx, KindQuarantine, func(objects []platform.Object) {
		for _, o := range objects {
			s.post(quarantineList(event.CallOK, o))
		}
	})
}

// WatchMembers posts the platform's membership list from time to time.
func (s *Store) WatchMembers(ctx context.Context) {
	for {
		s.readMembers(ctx)
		if pause.For(ctx, membersInterval) != nil {
			return
		}
	}
}

func (s *Store) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	members, err := s.client.Members(ctx)
	if err != nil {
		return
	}
	var list event.MemberList
	for _, m := range members {
		list.Members = append(list.Members, event.Member{Process: table.ProcessID(m.Host), Leaving: m.Leaving})
	}
	s.post(list)
}

// ReadConfig returns the stored configuration and its version; version 0 means
// that there is none.
func (s *Store) ReadConfig(ctx context.Context) (g table.Generation, text string, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := s.client.Get(ctx, KindConfig, fleetName)
	if s.status(err) == event.CallOK && o.Version == 0 {
		return 0, "", 0, nil
	}
	if err != nil {
		return 0, "", 0, err
	}
	var c configObject
	err = json.Unmarshal(o.Value, &c)
	return c.Generation, c.Text, o.Version, err
}

// WriteConfig stores a configuration conditionally on the version read.
func (s *Store) WriteConfig(ctx context.Context, version uint64, g table.Generation, text string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(configObject{Generation: g, Text: text})
	if err != nil {
		return err
	}
	_, err = s.put(ctx, KindConfig, fleetName, version, value)
	s.status(err)
	return err
}

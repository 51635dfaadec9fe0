package daemon

import (
	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/traffic/peering"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// receive turns a frame into an event. The sender's identity always comes from
// the session, never from the message.
func (d *Daemon) receive(s *wire.Session, f wire.Frame) error {
	switch f.Type {
	case wire.TypeHeartbeat:
		return peering.Post(d.peers, f, func(h *event.Heartbeat) { h.Peer = s.Holder() })
	case wire.TypeConfigRequest:
		return d.sendConfig(s, f)
	case wire.TypeConfigBody:
		return d.receiveConfig(s, f)
	}
	if d.runner != nil {
		return d.receiveAtAgent(s, f)
	}
	return d.receiveAtRouter(s, f)
}

func (d *Daemon) receiveAtRouter(s *wire.Session, f wire.Frame) error {
	from := s.Holder()
	switch f.Type {
	case wire.TypeChunk:
		c, err := wire.Decode[wire.Chunk](f)
		if err == nil {
			d.relay.Directory.Chunk(c)
		}
		return err
	case wire.TypeEnd:
		e, err := wire.Decode[wire.End](f)
		if err == nil {
			d.relay.Directory.End(e)
		}
		return err
	case wire.TypeLookupResult:
		return peering.Post(d.peers, f, func(e *event.LookupResult) { e.Agent = from })
	case wire.TypeFenceResult:
		return peering.Post(d.peers, f, func(e *event.FenceResult) { e.Agent = from })
	case wire.TypeSliceRequest:
		return peering.Post(d.peers, f, func(e *event.SliceRequest) { e.From = from })
	case wire.TypeSliceGrant:
		return peering.Post(d.peers, f, func(e *event.SliceGrant) { e.From = from })
	case wire.TypeSliceReport:
		return peering.Post(d.peers, f, func(e *event.SliceReport) { e.From = from })
	case wire.TypeKeyRecord:
		return peering.Post(d.peers, f, func(e *event.KeyRecord) { e.From = from })
	case wire.TypeKeyQuery:
		return peering.Post(d.peers, f, func(e *event.KeyQuery) { e.From = from })
	case wire.TypeKeyResult:
		return peering.Post(d.peers, f, func(*event.KeyResult) {})
	case wire.TypeCrash:
		return peering.Post(d.peers, f, func(*event.Crash) {})
	}
	return errors.Errorf("unexpected message %s", f.Type)
}

func (d *Daemon) receiveAtAgent(s *wire.Session, f wire.Frame) error {
	from := s.Holder()
	switch f.Type {
	case wire.TypeDispatch:
		m, err := wire.Decode[wire.Dispatch](f)
		if err == nil {
			d.runner.Received(s.ID, from, s, m)
		}
		return err
	case wire.TypeCancel:
		c, err := wire.Decode[wire.Cancel](f)
		if err == nil {
			d.loop.Post(event.RunCancel{Session: s.ID, Holder: from, Request: c.Request, Attempt: c.Attempt})
		}
		return err
	case wire.TypeLookup:
		return peering.Post(d.peers, f, func(e *event.Lookup) { e.From = from })
	case wire.TypeFence:
		return peering.Post(d.peers, f, func(e *event.Fence) { e.From = from })
	case wire.TypeDrain:
		m, err := wire.Decode[wire.Drain](f)
		if err == nil {
			d.loop.Post(event.DrainOrder{Target: m.Target, Undo: m.Undo, Reason: m.Reason})
		}
		return err
	}
	return errors.Errorf("unexpected message %s", f.Type)
}

func (d *Daemon) sendConfig(s *wire.Session, f wire.Frame) error {
	request, err := wire.Decode[wire.ConfigRequest](f)
	if err != nil {
		return err
	}
	now := d.metrics.current.Load()
	body := wire.ConfigBody{Generation: now.Generation, Processes: now.Processes, Endpoints: now.Endpoints}
	if now.Generation > request.Generation {
		body.Text = now.ConfigText
	}
	return s.Send(wire.TypeConfigBody, &body)
}

func (d *Daemon) receiveConfig(s *wire.Session, f wire.Frame) error {
	c, err := wire.Decode[wire.ConfigBody](f)
	if err != nil {
		return err
	}
	d.loop.Post(event.ProcessList{Processes: c.Processes, Endpoints: c.Endpoints})
	d.seenConfig(c.Generation, c.Text, s.Holder().Process)
	return nil
}

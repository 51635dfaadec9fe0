package daemon

import (
	"github.com/pkg/errors"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/traffic/peering"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// receive decodes a frame and posts it as an event or passes it to a traffic
// goroutine. The sender's identity always comes from the session, never from the
// message.
func (d *Daemon) receive(s *wire.Session, f wire.Frame) error {
	switch f.Type {
	case wire.TypeHeartbeat:
		return peering.PostDecoded(d.peers, f, func(h *event.Heartbeat) { h.Peer = s.Holder() })
	case wire.TypeConfigRequest:
		return d.sendConfigBody(s, f)
	case wire.TypeConfigBody:
		return d.receiveConfigBody(s, f)
	}
	if d.runner != nil {
		return d.receiveAgentFrame(s, f)
	}
	return d.receiveRouterFrame(s, f)
}

func (d *Daemon) receiveRouterFrame(s *wire.Session, f wire.Frame) error {
	from := s.Holder()
	switch f.Type {
	case wire.TypeChunk:
		c, err := wire.Decode[wire.Chunk](f)
		if err == nil {
			d.requestRelay.Directory.Chunk(c)
		}
		return err
	case wire.TypeEnd:
		e, err := wire.Decode[wire.End](f)
		if err == nil {
			d.requestRelay.Directory.End(e)
		}
		return err
	case wire.TypeLookupResult:
		return peering.PostDecoded(d.peers, f, func(e *event.LookupResult) { e.Agent = from })
	case wire.TypeFenceResult:
		return peering.PostDecoded(d.peers, f, func(e *event.FenceResult) { e.Agent = from })
	case wire.TypeSliceRequest:
		return peering.PostDecoded(d.peers, f, func(e *event.SliceRequest) { e.From = from })
	case wire.TypeSliceGrant:
		return peering.PostDecoded(d.peers, f, func(e *event.SliceGrant) { e.From = from })
	case wire.TypeSliceReport:
		return peering.PostDecoded(d.peers, f, func(e *event.SliceReport) { e.From = from })
	case wire.TypeKeyRecord:
		return peering.PostDecoded(d.peers, f, func(e *event.KeyRecord) { e.From = from })
	case wire.TypeKeyQuery:
		return peering.PostDecoded(d.peers, f, func(e *event.KeyQuery) { e.From = from })
	case wire.TypeKeyResult:
		return peering.PostDecoded(d.peers, f, func(*event.KeyResult) {})
	case wire.TypeCrash:
		return peering.PostDecoded(d.peers, f, func(*event.Crash) {})
	}
	return errors.Errorf("unexpected message type %s", f.Type)
}

func (d *Daemon) receiveAgentFrame(s *wire.Session, f wire.Frame) error {
	from := s.Holder()
	switch f.Type {
	case wire.TypeDispatch:
		m, err := wire.Decode[wire.Dispatch](f)
		if err == nil {
			d.runner.ReceiveDispatch(s.ID, from, s, m)
		}
		return err
	case wire.TypeCancel:
		c, err := wire.Decode[wire.Cancel](f)
		if err == nil {
			d.loop.Post(event.RunCancel{Session: s.ID, Holder: from, Request: c.Request, Attempt: c.Attempt})
		}
		return err
	case wire.TypeLookup:
		return peering.PostDecoded(d.peers, f, func(e *event.Lookup) { e.From = from })
	case wire.TypeFence:
		return peering.PostDecoded(d.peers, f, func(e *event.Fence) { e.From = from })
	case wire.TypeDrain:
		m, err := wire.Decode[wire.Drain](f)
		if err == nil {
			d.loop.Post(event.DrainOrder{Target: m.Target, Undo: m.Undo, Reason: m.Reason})
		}
		return err
	}
	return errors.Errorf("unexpected message type %s", f.Type)
}

func (d *Daemon) sendConfigBody(s *wire.Session, f wire.Frame) error {
	request, err := wire.Decode[wire.ConfigRequest](f)
	if err != nil {
		return err
	}
	current := d.metrics.snapshot.Load()
	body := wire.ConfigBody{Generation: current.Generation, Processes: current.Processes, Endpoints: current.Endpoints}
	if current.Generation > request.Generation {
		body.Text = current.ConfigText
	}
	return s.Send(wire.TypeConfigBody, &body)
}

func (d *Daemon) receiveConfigBody(s *wire.Session, f wire.Frame) error {
	c, err := wire.Decode[wire.ConfigBody](f)
	if err != nil {
		return err
	}
	d.loop.Post(event.ProcessList{Processes: c.Processes, Endpoints: c.Endpoints})
	d.postConfig(c.Generation, c.Text, s.Holder().Process)
	return nil
}

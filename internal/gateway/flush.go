package gateway

import (
	"slices"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/peering"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// Flush implements control.Sink. It runs on the control thread and passes the
// commands of a tick to traffic goroutines.
func (g *Gateway) Flush(out *command.Outbox) {
	for _, c := range out.EndpointUses {
		g.front.SetEndpointUse(c)
	}
	for _, c := range out.IdleCloses {
		g.pool.CloseIdle(c.Address)
	}
	for _, c := range out.BodyReadLimits {
		g.front.LimitBodyReads(c)
	}
	for _, c := range out.StopAttempts {
		g.front.StopAttempt(c)
	}
	for i := range out.FinishExchanges {
		g.metrics.recordExchange(&out.FinishExchanges[i])
		g.front.FinishExchange(out.FinishExchanges[i])
	}
	for _, c := range out.EndpointCalls {
		g.front.CallEndpoint(c)
	}
	for _, c := range out.WatchStops {
		g.stopWatch(c)
	}
	for _, c := range out.WatchCalls {
		g.startWatch(c)
	}
	for _, c := range out.WriteLimitLedgers {
		go g.writeLimitLedger(c)
	}
	for range out.ReadQuarantineLists {
		go g.readQuarantinedParts()
	}
	for _, c := range out.WriteQuarantineLists {
		go g.writeQuarantinedParts(c)
	}
	for i := range out.WhereReplies {
		g.where.Replies.Deliver(out.WhereReplies[i].ReplyID, out.WhereReplies[i])
	}
	g.flushPeerMessages(out)
	for _, c := range out.StateChanges {
		g.log.Info().Str("subject", c.Subject).Str("id", c.ID).Str("from", c.From).Str("to", c.To).
			Str("reason", c.Reason).Msg("changed")
	}
	for _, c := range out.Exits {
		g.log.Info().Str("reason", c.Reason).Msg("drained")
		g.requestExit(c.CloseTimeout)
	}
}

func (g *Gateway) flushPeerMessages(out *command.Outbox) {
	for _, c := range out.Dials {
		g.peers.Dial(g.ctx, g.node, c)
	}
	for i := range out.RouterReports {
		g.broadcast(wire.TypeRouterReport, &out.RouterReports[i].Report)
	}
	for i := range out.EndpointRelays {
		g.sendToAll(out.EndpointRelays[i].To, wire.TypeEndpointChanges, &out.EndpointRelays[i].Changes)
	}
	for i := range out.ManifestRelays {
		g.sendToAll(out.ManifestRelays[i].To, wire.TypeManifest, &out.ManifestRelays[i].Manifest)
	}
	for i := range out.Crashes {
		if c := &out.Crashes[i]; len(c.To) > 0 {
			g.sendToAll(c.To, wire.TypeCrash, &c.Crash)
		} else {
			g.broadcast(wire.TypeCrash, &c.Crash)
		}
	}
	for i := range out.LedgerChanges {
		if c := &out.LedgerChanges[i]; c.To != (table.Holder{}) {
			g.logSendError(g.peers.SendToIncarnation(c.To, wire.TypeLedgerChange, &c.Change))
		} else {
			g.broadcast(wire.TypeLedgerChange, &c.Change)
		}
	}
	for i := range out.LimitRequests {
		g.logSendError(g.peers.SendToIncarnation(out.LimitRequests[i].To, wire.TypeLimitRequest, &out.LimitRequests[i].Request))
	}
	for i := range out.TransferRequests {
		g.logSendError(g.peers.SendToIncarnation(out.TransferRequests[i].To, wire.TypeTransferRequest, &out.TransferRequests[i].Request))
	}
	for i := range out.Transfers {
		g.logSendError(g.peers.SendToIncarnation(out.Transfers[i].To, wire.TypeTransfer, &out.Transfers[i].Transfer))
	}
}

// broadcast sends a message to all connected routers.
func (g *Gateway) broadcast(t wire.Type, body any) {
	g.sendFrame(g.peers.Sessions(), t, body)
}

// sendToAll sends a message to those of the given routers that are connected.
func (g *Gateway) sendToAll(to []table.Holder, t wire.Type, body any) {
	var sessions []*wire.Session
	for _, s := range g.peers.Sessions() {
		if slices.Contains(to, s.Holder()) {
			sessions = append(sessions, s)
		}
	}
	g.sendFrame(sessions, t, body)
}

// sendFrame encodes a message once and sends it on the sessions.
func (g *Gateway) sendFrame(sessions []*wire.Session, t wire.Type, body any) {
	frame, err := wire.AppendFrame(nil, t, body)
	if err != nil {
		g.log.Error().Err(err).Msg("failed to encode message to routers")
		return
	}
	for _, s := range sessions {
		g.logSendError(s.SendFrame(frame))
	}
}

// logSendError logs a message that could not be queued because its session has
// ended. The session reports its end to the control thread separately.
func (g *Gateway) logSendError(err error) {
	if err != nil {
		g.log.Debug().Err(err).Msg("dropped message to router")
	}
}

// receive decodes a frame of another router and posts it as an event. The
// sender's identity is taken from the session, never from the message.
func (g *Gateway) receive(s *wire.Session, f wire.Frame) error {
	switch f.Type {
	case wire.TypeRouterReport:
		return peering.PostDecoded(g.peers, f, func(e *event.RouterReport) { e.From = s.Holder() })
	case wire.TypeTransferRequest:
		return peering.PostDecoded(g.peers, f, func(e *event.TransferRequest) { e.From = s.Holder() })
	case wire.TypeTransfer:
		return peering.PostDecoded(g.peers, f, func(e *event.Transfer) { e.From = s.Holder() })
	case wire.TypeLedgerChange:
		return peering.PostDecoded(g.peers, f, func(*event.LedgerChange) {})
	case wire.TypeLimitRequest:
		return peering.PostDecoded(g.peers, f, func(e *event.LimitRequest) { e.From = s.Holder() })
	case wire.TypeEndpointChanges:
		return peering.PostDecoded(g.peers, f, func(e *event.EndpointChanges) { e.Relayed = true })
	case wire.TypeManifest:
		return peering.PostDecoded(g.peers, f, func(e *event.ManifestReceived) { e.Relayed, e.From = true, s.Holder().Process })
	case wire.TypeCrash:
		return peering.PostDecoded(g.peers, f, func(*event.Crash) {})
	}
	return errors.Errorf("unexpected message type %s", f.Type)
}

// writeLimitLedger writes the limit ledger to the store and posts the result.
func (g *Gateway) writeLimitLedger(c command.WriteLimitLedger) {
	result := g.store.WriteLimitLedger(g.ctx, c.Revision, &c.Content)
	if result.Status != event.CallOK {
		g.log.Info().Uint64("revision", c.Revision).Int("status", int(result.Status)).Str("reason", result.Reason).
			Msg("failed to write limit ledger")
	}
	g.loop.Post(result)
}

// readQuarantinedParts reads the list of quarantined parts from the store and posts it.
func (g *Gateway) readQuarantinedParts() {
	g.postQuarantinedParts("failed to read list of quarantined parts", g.store.ReadQuarantinedParts(g.ctx))
}

// writeQuarantinedParts writes the list of quarantined parts to the store and posts the
// result.
func (g *Gateway) writeQuarantinedParts(c command.WriteQuarantineList) {
	g.postQuarantinedParts("failed to write list of quarantined parts", g.store.WriteQuarantinedParts(g.ctx, c.Version, c.Entries))
}

func (g *Gateway) postQuarantinedParts(failure string, result event.QuarantineList) {
	if result.Status != event.CallOK || result.Reason != "" {
		g.log.Info().Int("status", int(result.Status)).Str("reason", result.Reason).Msg(failure)
	}
	g.loop.Post(result)
}

// logDecisions writes one log line for each decision about a request.
func (g *Gateway) logDecisions(decisions []table.Decision) {
	for i := range decisions {
		d := &decisions[i]
		inputs := zerolog.Dict()
		for _, input := range d.Inputs {
			inputs.Str(input.Name, input.Value)
		}
		g.log.Info().Str("request", string(d.Request)).Str("system", d.System).Dict("inputs", inputs).Msg(d.Decision)
	}
}

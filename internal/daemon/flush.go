package daemon

import (
	"context"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/wire"
)

// Flush implements control.Sink. It passes the commands of a tick to traffic
// goroutines.
func (d *Daemon) Flush(out *command.Outbox) {
	d.store.Execute(out)
	d.flushSessionCommands(out)
	d.flushPeerMessages(out)
	if d.runner != nil {
		d.flushRunCommands(out)
	}
	if d.requestRelay != nil {
		d.flushRequestCommands(out)
		d.flushOperatorCommands(out)
	}
	for _, c := range out.StateChanges {
		d.log.Info().Str("subject", c.Subject).Str("id", c.ID).Str("from", c.From).Str("to", c.To).
			Str("reason", c.Reason).Msg("state changed")
	}
	for _, c := range out.Exits {
		d.grantsReturned.Store(c.GrantsReturned)
		d.requestExit()
	}
}

func (d *Daemon) flushRequestCommands(out *command.Outbox) {
	for _, c := range out.Accepts {
		d.requestRelay.Directory.Accept(c)
	}
	for _, c := range out.Dispatches {
		d.dispatch(c)
	}
	for _, c := range out.CancelRuns {
		// The error is ignored: the attempt also ends when its session closes.
		_ = d.peers.SendToIncarnation(c.To, wire.TypeCancel, &wire.Cancel{Request: c.Request, Attempt: c.Attempt})
	}
	for _, c := range out.Replies {
		d.requestRelay.Directory.Reply(c)
	}
	for _, c := range out.KeyReplies {
		d.callerAPI.KeyReplies.Deliver(c.ReplyID, c)
	}
	for _, c := range out.CancelReplies {
		d.callerAPI.CancelReplies.Deliver(c.ReplyID, c)
	}
}

// dispatch passes an attempt to the goroutine of its request. If that goroutine has
// ended, the attempt is reported as rejected.
func (d *Daemon) dispatch(c command.Dispatch) {
	if d.requestRelay.Directory.Dispatch(c) {
		return
	}
	d.loop.Post(event.AttemptEnd{
		Request: c.Request, Attempt: c.Attempt, Status: event.AttemptRejected, Code: table.CodeCancelled,
		Reason: "the caller's handler has ended", Ran: table.NotRun,
	})
}

func (d *Daemon) flushOperatorCommands(out *command.Outbox) {
	for _, c := range out.TopUpReplies {
		d.operatorAPI.TopUpReplies.Deliver(c.ReplyID, c)
	}
	for _, c := range out.BudgetReplies {
		d.operatorAPI.BudgetReplies.Deliver(c.ReplyID, c)
	}
	for _, c := range out.StatusReplies {
		d.operatorAPI.StatusReplies.Deliver(c.ReplyID, c)
	}
	for _, c := range out.ExplainReplies {
		d.operatorAPI.ExplainReplies.Deliver(c.ReplyID, c)
	}
	for _, c := range out.DrainReplies {
		d.operatorAPI.DrainReplies.Deliver(c.ReplyID, c)
	}
	for _, c := range out.DrainOrders {
		d.peers.Send(c.To, wire.TypeDrain, &wire.Drain{Target: c.Order.Target, Undo: c.Order.Undo, Reason: c.Order.Reason})
	}
}

func (d *Daemon) flushRunCommands(out *command.Outbox) {
	for _, c := range out.Runs {
		d.runner.StartRun(c)
	}
	for _, c := range out.Rejects {
		d.runner.Reject(c)
	}
	for _, c := range out.Replays {
		d.runner.Replay(c)
	}
	for _, c := range out.StopRuns {
		d.runner.StopRun(c)
	}
	for _, c := range out.FreeAnswers {
		d.runner.FreeAnswer(c)
	}
}

func (d *Daemon) flushSessionCommands(out *command.Outbox) {
	for _, c := range out.Dials {
		d.peers.Dial(d.ctx, d.node, c)
	}
	for i := range out.Heartbeats {
		d.sendHeartbeat(&out.Heartbeats[i])
	}
	for i := range out.Crashes {
		for _, s := range d.peers.Sessions() {
			_ = s.Send(wire.TypeCrash, &out.Crashes[i].Crash)
		}
	}
	for _, c := range out.ConfigRequests {
		d.peers.Send(c.To, wire.TypeConfigRequest, &wire.ConfigRequest{Generation: d.metrics.snapshot.Load().Generation})
	}
}

// sendHeartbeat sends a heartbeat to one process, or to all sessions with a single
// encoding. The sender is omitted because receivers take it from the session.
func (d *Daemon) sendHeartbeat(c *command.SendHeartbeat) {
	c.Heartbeat.Peer = table.Holder{}
	if c.To != "" {
		d.peers.Send(c.To, wire.TypeHeartbeat, &c.Heartbeat)
		return
	}
	frame, err := wire.AppendFrame(nil, wire.TypeHeartbeat, &c.Heartbeat)
	if err != nil {
		return
	}
	for _, s := range d.peers.Sessions() {
		_ = s.SendFrame(frame)
	}
}

func (d *Daemon) flushPeerMessages(out *command.Outbox) {
	for i := range out.SliceRequests {
		d.peers.Send(out.SliceRequests[i].To, wire.TypeSliceRequest, &out.SliceRequests[i].Request)
	}
	for i := range out.SliceGrants {
		_ = d.peers.SendToIncarnation(out.SliceGrants[i].To, wire.TypeSliceGrant, &out.SliceGrants[i].Grant)
	}
	for i := range out.SliceReports {
		_ = d.peers.SendToIncarnation(out.SliceReports[i].To, wire.TypeSliceReport, &out.SliceReports[i].Report)
	}
	for i := range out.KeyRecords {
		d.peers.Send(out.KeyRecords[i].To, wire.TypeKeyRecord, &out.KeyRecords[i].Record)
	}
	for i := range out.KeyQueries {
		d.peers.Send(out.KeyQueries[i].To, wire.TypeKeyQuery, &out.KeyQueries[i].Query)
	}
	for i := range out.KeyResults {
		_ = d.peers.SendToIncarnation(out.KeyResults[i].To, wire.TypeKeyResult, &out.KeyResults[i].Result)
	}
	for i := range out.Lookups {
		d.peers.Send(out.Lookups[i].To, wire.TypeLookup, &out.Lookups[i].Lookup)
	}
	for i := range out.LookupResults {
		_ = d.peers.SendToIncarnation(out.LookupResults[i].To, wire.TypeLookupResult, &out.LookupResults[i].Result)
	}
	for i := range out.Fences {
		d.peers.Send(out.Fences[i].To, wire.TypeFence, &out.Fences[i].Fence)
	}
	for i := range out.FenceResults {
		_ = d.peers.SendToIncarnation(out.FenceResults[i].To, wire.TypeFenceResult, &out.FenceResults[i].Result)
	}
}

// postConfig validates a newer configuration and posts it to the control loop. An
// invalid configuration is rejected as a whole and the active one stays in effect.
func (d *Daemon) postConfig(generation table.Generation, text string, from table.ProcessID) {
	if generation == 0 || generation <= d.metrics.snapshot.Load().Generation {
		return
	}
	config, err := d.parseConfig(generation, text)
	if err != nil {
		d.log.Error().Uint64("generation", uint64(generation)).Err(err).Msg("rejected invalid configuration")
		return
	}
	d.loop.Post(event.ConfigReceived{Config: config, From: from})
}

// startWorker runs fn on a goroutine that stop waits for.
func (d *Daemon) startWorker(fn func(ctx context.Context)) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		fn(d.ctx)
	}()
}

package gateway

import (
	"github.com/rs/zerolog"

	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// Flush implements control.Sink. It runs on the control thread and hands the
// work to traffic goroutines.
func (g *Gateway) Flush(out *command.Outbox) {
	for _, c := range out.StopAttempts {
		g.front.Stop(c)
	}
	for _, c := range out.Finishes {
		g.front.Finish(c)
	}
	for _, c := range out.EndpointCalls {
		g.front.Call(c)
	}
	for _, c := range out.LimitWrites {
		go g.writeLimits(c)
	}
	for _, c := range out.Changes {
		g.log.Info().Str("subject", c.Subject).Str("id", c.ID).Str("from", c.From).Str("to", c.To).
			Str("reason", c.Reason).Msg("changed")
	}
	for _, c := range out.Exits {
		g.log.Info().Str("reason", c.Reason).Msg("drained")
		g.finish()
	}
}

func (g *Gateway) writeLimits(c command.WriteLimits) {
	answer := g.store.WriteLimits(g.ctx, c.Revision, &c.Content)
	if answer.Status != event.CallOK {
		g.log.Info().Uint64("revision", c.Revision).Int("status", int(answer.Status)).Str("reason", answer.Reason).
			Msg("ledger not written")
	}
	g.loop.Post(answer)
}

// logDecisions writes one line for each decision on a request.
func (g *Gateway) logDecisions(decisions []table.Decision) {
	for i := range decisions {
		d := &decisions[i]
		inputs := zerolog.Dict()
		for _, in := range d.Inputs {
			inputs.Str(in.Name, in.Value)
		}
		g.log.Info().Str("request", string(d.Request)).Str("system", d.System).Dict("inputs", inputs).Msg(d.Decision)
	}
}

package daemon

import (
	"context"
	"time"

	"laburnumroad.dev/laburnumroad/internal/event"
	"laburnumroad.dev/laburnumroad/internal/fleetconfig"
	"laburnumroad.dev/laburnumroad/internal/traffic/pause"
)

// reevaluateConfigDaily calls reevaluateConfig after each midnight in UTC, when the
// end dates of exceptions pass.
func (d *Daemon) reevaluateConfigDaily(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now().UTC()
		midnight := now.Truncate(24 * time.Hour).Add(24 * time.Hour)
		if pause.Sleep(ctx, midnight.Sub(now)) != nil {
			return
		}
		d.reevaluateConfig(time.Now())
	}
}

// reevaluateConfig posts the active configuration again if one of its exceptions
// expired within the 24 hours before now.
func (d *Daemon) reevaluateConfig(now time.Time) {
	current := d.metrics.snapshot.Load()
	config, findings := fleetconfig.Load("fleet", current.ConfigText)
	if len(findings) > 0 || !exceptionExpired(config, now.Add(-24*time.Hour), now) {
		return
	}
	d.loop.Post(event.ConfigReceived{Config: newFleetConfig(config, current.Generation, current.ConfigText, now), Reevaluated: true})
}

func exceptionExpired(config *fleetconfig.Config, from, to time.Time) bool {
	for i := range config.Exceptions {
		exception := &config.Exceptions[i]
		if exception.ActiveAt(from) && !exception.ActiveAt(to) {
			return true
		}
	}
	return false
}

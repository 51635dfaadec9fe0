package gateway

import (
	"laburnumroad.dev/laburnumroad/internal/system/allowance"
	"laburnumroad.dev/laburnumroad/internal/system/attempt"
	"laburnumroad.dev/laburnumroad/internal/system/catalog"
	"laburnumroad.dev/laburnumroad/internal/system/drain"
	"laburnumroad.dev/laburnumroad/internal/system/duration"
	"laburnumroad.dev/laburnumroad/internal/system/era"
	"laburnumroad.dev/laburnumroad/internal/system/evacuation"
	"laburnumroad.dev/laburnumroad/internal/system/explain"
	"laburnumroad.dev/laburnumroad/internal/system/health"
	"laburnumroad.dev/laburnumroad/internal/system/intake"
	"laburnumroad.dev/laburnumroad/internal/system/link"
	"laburnumroad.dev/laburnumroad/internal/system/notice"
	"laburnumroad.dev/laburnumroad/internal/system/peers"
	"laburnumroad.dev/laburnumroad/internal/system/placement"
	"laburnumroad.dev/laburnumroad/internal/system/quarantine"
	"laburnumroad.dev/laburnumroad/internal/system/warmup"
	"laburnumroad.dev/laburnumroad/internal/system/watch"
	"laburnumroad.dev/laburnumroad/internal/system/where"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// Systems returns the systems of a gateway in the order in which a tick runs them.
func Systems() []world.System {
	return []world.System{
		world.SystemFunc(era.Run),
		world.SystemFunc(watch.Run),
		world.SystemFunc(catalog.Run),
		world.SystemFunc(evacuation.Run),
		world.SystemFunc(health.Run),
		world.SystemFunc(notice.Run),
		world.SystemFunc(warmup.Run),
		world.SystemFunc(quarantine.RunGateway),
		world.SystemFunc(link.Run),
		world.SystemFunc(attempt.Run),
		world.SystemFunc(duration.Run),
		world.SystemFunc(intake.Run),
		world.SystemFunc(peers.Run),
		world.SystemFunc(allowance.Run),
		world.SystemFunc(placement.Run),
		drain.New(),
		world.SystemFunc(allowance.Settle),
		world.SystemFunc(explain.Run),
		world.SystemFunc(where.Run),
	}
}

package daemon

import (
	"laburnumroad.dev/laburnumroad/internal/system/admission"
	"laburnumroad.dev/laburnumroad/internal/system/budget"
	"laburnumroad.dev/laburnumroad/internal/system/config"
	"laburnumroad.dev/laburnumroad/internal/system/dedup"
	"laburnumroad.dev/laburnumroad/internal/system/drain"
	"laburnumroad.dev/laburnumroad/internal/system/explain"
	"laburnumroad.dev/laburnumroad/internal/system/gate"
	"laburnumroad.dev/laburnumroad/internal/system/ledger"
	"laburnumroad.dev/laburnumroad/internal/system/membership"
	"laburnumroad.dev/laburnumroad/internal/system/quarantine"
	"laburnumroad.dev/laburnumroad/internal/system/recovery"
	"laburnumroad.dev/laburnumroad/internal/system/reply"
	"laburnumroad.dev/laburnumroad/internal/system/retry"
	"laburnumroad.dev/laburnumroad/internal/system/routing"
	"laburnumroad.dev/laburnumroad/internal/world"
)

// routerSystems returns the systems of a router in the order they run in a tick.
func routerSystems() []world.System {
	return []world.System{
		world.SystemFunc(config.Run),
		membership.New(),
		ledger.New(),
		recovery.New(),
		world.SystemFunc(admission.Run),
		world.SystemFunc(quarantine.Run),
		world.SystemFunc(dedup.Run),
		world.SystemFunc(retry.Run),
		budget.New(),
		world.SystemFunc(routing.Run),
		drain.New(),
		world.SystemFunc(dedup.Finish),
		world.SystemFunc(reply.Run),
		world.SystemFunc(explain.Run),
	}
}

// agentSystems returns the systems of an agent in the order they run in a tick.
func agentSystems() []world.System {
	return []world.System{
		world.SystemFunc(config.Run),
		membership.New(),
		world.SystemFunc(quarantine.Run),
		world.SystemFunc(gate.Run),
		drain.New(),
	}
}

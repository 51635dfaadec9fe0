package soak

import (
	"syscall"
	"testing"

	"laburnumroad.dev/laburnumroad/internal/fake"
)

const (
	// maxCopyAgeTicks and maxAwayTicks bound how old the copies are from which the store
	// returns, and how long it is away, in ticks. restTicks is how long it then stays.
	maxCopyAgeTicks = 40
	maxAwayTicks    = 10
	restTicks       = 30
	// settleTicks is how long processes take after a start until the others know what they
	// have, in ticks.
	settleTicks = 20
	// The token limit is spent after some seconds, and then once more after each increase.
	returnTokenLimit         = 20_000
	returnTokenLimitIncrease = 4_000
)

// returns lets the store return from copies, one after the other.
type returns struct {
	*soak
	copied fake.Copy
	// leaveTick, returnTick and nextCopyTick are when the store is away, when it returns, and
	// when the next copy is made.
	leaveTick, returnTick, nextCopyTick int
	// settledTick is when all processes will have run for settleTicks.
	settledTick  int
	count, kills int
}

func (r *returns) runTick() {
	r.tick++
	r.revertFaults(false)
	r.restartProcesses()
	if !r.allRunning() {
		r.settledTick = r.tick + settleTicks
	}
	switch r.tick {
	case r.nextCopyTick:
		r.copied = r.platform.Copy()
		r.leaveTick = r.tick + 1 + r.rng.IntN(maxCopyAgeTicks)
		r.returnTick = r.leaveTick + r.rng.IntN(maxAwayTicks)
		r.nextCopyTick = r.returnTick + 1 + r.rng.IntN(restTicks)
	case r.returnTick:
		r.platform.ReturnFrom(r.copied)
		r.platform.SetFaults(fake.PlatformFaults{})
		r.count++
		// The operator writes again what it wrote.
		r.writeConfig(r.lastConfig)
	case r.leaveTick:
		r.platform.SetFaults(fake.PlatformFaults{Outage: true, Silent: r.rng.IntN(2) == 0})
	default:
		r.disturb()
	}
}

// disturb ends one process at a time, or lets endpoints fail, or raises the token limit while
// the store serves. What a process knew that is killed while no other is connected with it is
// known to nobody once the store has lost it, so that kills wait until all have settled.
func (r *returns) disturb() {
	if r.rng.IntN(100) >= faultPercent {
		return
	}
	p := r.processes[r.rng.IntN(len(r.processes))]
	e := r.endpoints[r.rng.IntN(len(r.endpoints))]
	away := r.tick >= r.leaveTick && r.tick <= r.returnTick
	switch r.rng.IntN(3) {
	case 0:
		switch {
		case !r.allRunning():
		case r.tick >= r.settledTick && r.rng.IntN(4) > 0:
			p.kill()
			r.kills++
		default:
			p.signal(syscall.SIGTERM, processTerminating)
		}
	case 1:
		e.setBehavior(1 + behavior(r.rng.IntN(int(behaviorCount)-1)))
		r.faults = append(r.faults, fault{"behavior of " + e.id, r.tick + 1 + r.rng.IntN(maxFaultTicks), func() { e.setBehavior(behaviorNormal) }})
	case 2:
		if !away {
			r.raiseTokenLimit(returnTokenLimitIncrease)
		}
	}
}

func (s *soak) allRunning() bool {
	for _, p := range s.processes {
		if p.state != processRunning {
			return false
		}
	}
	return true
}

// Guards against violations that only show with real processes while the store returns from
// older copies and processes are restarted or killed in turn, of the promises of TestPromisesUnderFaults.
func TestPromisesThroughReturnsOfStore(t *testing.T) {
	seed := envInt(t, "SOAK_SEED", defaultSeed)
	seconds := envInt(t, "SOAK_SECONDS", defaultSeconds)
	s := newSoak(t, seed, returnTokenLimit, fake.PlatformConfig{Era: 1})
	r := &returns{soak: s, nextCopyTick: 1 + s.rng.IntN(restTicks)}
	s.play(seed, seconds, r.runTick)
	t.Logf("seed %d, %d seconds, %d returns, %d kills", seed, seconds, r.count, r.kills)
}

package watch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against delegates that do not pass a configuration on after the store returned from a
// copy, because its revision is not above that of the configuration before.
func TestConfigurationAfterReturnIsPassedOn(t *testing.T) {
	for _, routers := range []int{6, 12, 29, 103} {
		f := newFleetWithEras(routers, 3)
		copied := f.clone()
		f.run(time.Second)
		for range 3 {
			f.configure()
		}
		f.run(settleTime)
		version := f.version
		f.returnFrom(&copied)
		f.writeAgain(version)
		f.run(2 * settleTime)
		f.configure()
		f.run(changeBound(routers))
		require.Empty(t, f.outdated(), "%d routers", routers)
	}
}

// Guards against a router that starts between the return of the store and the operator's next
// write, and serves the older configuration of the copy although others know the later one.
func TestStartedRouterLearnsConfigurationThatStoreLost(t *testing.T) {
	for _, routers := range []int{4, 12, 29} {
		f := newFleetWithEras(routers, 3)
		copied := f.clone()
		f.configure()
		f.run(settleTime)
		version := f.version
		f.returnFrom(&copied)
		f.run(time.Second)
		f.start(f.routers[1])
		f.run(settleTime)
		for _, m := range f.routers {
			require.Equal(t, version, m.world.Manifest.Version, "%s of %d", m.process.Process, routers)
		}
		f.writeAgain(version)
		f.run(2 * settleTime)
		require.Empty(t, f.outdated(), "%d routers", routers)
	}
}

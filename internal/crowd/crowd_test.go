package crowd

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/testproc"
)

const (
	// crowdSize is the number of clients that come at once.
	crowdSize = 500
	// A process has taken in a crowd when the number of its descriptors is the same for
	// settledSamples samples, or after maxSamples.
	settledSamples = 5
	maxSamples     = 100
)

// rounds returns how many crowds come one after the other: CROWD_ROUNDS, or one.
func rounds(t *testing.T) int {
	text := os.Getenv("CROWD_ROUNDS")
	if text == "" {
		return 1
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err, "CROWD_ROUNDS")
	return n
}

// visitor is a kind of clients at a door.
type visitor struct {
	door door
	kind kind
}

// gather starts a crowd of visitors, in turn, and returns when all have sent what they send.
// Their connections stay open until disperse is called.
func gather(p *testproc.Process, of ...visitor) (disperse func()) {
	done := make(chan struct{})
	var running, open sync.WaitGroup
	for n := range crowdSize {
		running.Add(1)
		open.Go(func() {
			v := of[n%len(of)]
			c := dial(v.door, n)
			if c != nil {
				defer c.Close()
				v.kind.run(c)
			}
			running.Done()
			<-done
		})
	}
	running.Wait()
	for same, last, n := 0, -1, 0; same < settledSamples && n < maxSamples; n++ {
		now := p.Descriptors()
		if same++; now != last {
			same, last = 0, now
		}
		time.Sleep(pollInterval)
	}
	return func() {
		close(done)
		open.Wait()
	}
}

// watchDescriptors samples the open descriptors of a process until the returned function is
// called, which returns the most that were open at a time.
func watchDescriptors(p *testproc.Process) (stop func() int) {
	done, result := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			most = max(most, p.Descriptors())
			select {
			case <-done:
				result <- most
				return
			case <-ticker.C:
			}
		}
	}()
	return func() int {
		close(done)
		return <-result
	}
}

// testCrowd checks a process against a crowd of the given kinds at one door.
func testCrowd(t *testing.T, binary, role, doorName string, of ...kind) {
	tg := newTarget(t, binary, role, doorName)
	var visitors []visitor
	for _, k := range of {
		visitors = append(visitors, visitor{tg.door, k})
	}
	tg.withstands(t, visitors)
}

// withstands checks the target against one crowd.
func (tg *target) withstands(t *testing.T, crowd []visitor) {
	stop := watchDescriptors(tg.Process)
	for range rounds(t) {
		disperse := gather(tg.Process, crowd...)
		require.Eventually(t, tg.serve, waitTimeout, pollInterval, "no ordinary request is served while the crowd is there")
		disperse()
	}
	require.Eventually(t, tg.serve, waitTimeout, pollInterval, "no ordinary request is served after the crowd")
	require.Eventually(t, tg.ask, waitTimeout, pollInterval, "the door does not answer after the crowd")
	descriptors := stop()
	require.False(t, tg.HasExited(), "the process ended")
	peak := tg.PeakMemory(t)
	t.Logf("peak memory %d MB, most descriptors %d", peak>>20, descriptors)
	assert.LessOrEqual(t, peak, memoryMB<<20, "peak resident memory")
	assert.LessOrEqual(t, descriptors, maxDescriptors-fileDescriptors, "open descriptors")
}

var roles = []struct {
	name  string
	doors []string
}{{"gateway", gatewayDoors}, {"router", routerDoors}, {"agent", agentDoors}}

// Guards against clients that end a process, or keep it from serving others, by what they
// make it hold: each kind alone, and two kinds at once, at each door of each role.
func TestCrowds(t *testing.T) {
	binary := testproc.BuildDaemon(t)
	for _, role := range roles {
		for _, doorName := range role.doors {
			t.Run(role.name+"/"+doorName, func(t *testing.T) {
				var here []kind
				for _, k := range kinds {
					if k.doors(door{peers: doorName == "peers", callers: doorName == "callers", ids: doorName == "routed" || doorName == "unrouted" && role.name == "gateway"}) {
						here = append(here, k)
					}
				}
				for i, k := range here {
					t.Run(k.name, func(t *testing.T) { testCrowd(t, binary, role.name, doorName, k) })
					if i%2 == 1 {
						pair := fmt.Sprintf("%s and %s", here[i-1].name, k.name)
						t.Run(pair, func(t *testing.T) { testCrowd(t, binary, role.name, doorName, here[i-1], k) })
					}
				}
				if len(here)%2 == 1 {
					t.Run(fmt.Sprintf("%s and %s", here[len(here)-1].name, here[0].name), func(t *testing.T) {
						testCrowd(t, binary, role.name, doorName, here[len(here)-1], here[0])
					})
				}
			})
		}
	}
}

// Guards against limits that hold at each door but not for all doors of a process together.
func TestCrowdAtAllDoors(t *testing.T) {
	binary := testproc.BuildDaemon(t)
	for _, role := range roles {
		t.Run(role.name, func(t *testing.T) {
			tg := newTarget(t, binary, role.name, role.doors[0])
			var visitors []visitor
			for _, k := range kinds {
				for _, name := range role.doors {
					if d := tg.doors[name]; k.doors(d) {
						visitors = append(visitors, visitor{d, k})
					}
				}
			}
			tg.withstands(t, visitors)
		})
	}
}

// Guards against a listener that gives up, or a process that serves nobody, when the system
// has fewer descriptors than the settings say.
func TestSilentCrowdWithoutDescriptors(t *testing.T) {
	binary := testproc.BuildDaemon(t)
	for _, role := range roles {
		for _, name := range []string{role.doors[0], "peers"} {
			t.Run(role.name+"/"+name, func(t *testing.T) {
				tg := newTarget(t, binary, role.name, name)
				tg.LimitDescriptors(t, tg.Descriptors()+crowdSize/10)
				tg.withstands(t, []visitor{{tg.door, kinds[0]}})
			})
		}
	}
}

// Guards against limits that refuse a request because of the number of its fields.
func TestRequestOfShortFieldsIsServedInCalm(t *testing.T) {
	binary := testproc.BuildDaemon(t)
	for _, role := range []string{"gateway", "router"} {
		t.Run(role, func(t *testing.T) {
			tg := newTarget(t, binary, role, map[string]string{"gateway": "routed", "router": "callers"}[role])
			c := dial(tg.door, 0)
			require.NotNil(t, c)
			defer c.Close()
			body := ""
			if role == "router" {
				body = `{"service":"classroom-app","operation":"bookings","body":"e30="}`
			}
			require.True(t, c.write(c.head(fmt.Sprintf("Content-Length: %d\r\n", len(body))+c.shortFields())+body))
			require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, http.StatusOK, resp.StatusCode)
		})
	}
}

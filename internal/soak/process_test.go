package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/internal/testproc"
	"laburnumroad.dev/laburnumroad/platform"
)

// processState is the state that the test put a process into.
type processState int

const (
	processRunning processState = iota
	// processPaused is stopped by SIGSTOP; its connections stay open.
	processPaused
	// processTerminating has received SIGTERM and has not exited yet.
	processTerminating
	processDown
)

// process is a gateway that runs as a separate process. Its name and addresses stay
// the same across restarts.
type process struct {
	testproc.Process
	name             string
	clientAddress    string
	readinessAddress string
	settingsFile     string
	storeProxy       *faultProxy
	state            processState
}

// memoryLimit is the memory of a process's host, in bytes.
const memoryLimit = 216 << 20

// newProcess returns a process that is not started. Its grace period is in seconds.
func newProcess(t *testing.T, binary, storeAddress string, index, grace int) *process {
	host := fmt.Sprintf("127.0.0.%d", 10+index)
	ports := testproc.FreePorts(t, host, 3)
	p := &process{
		name: fmt.Sprintf("edge-%d", index), storeProxy: newFaultProxy(t, storeAddress), state: processDown,
		clientAddress: fmt.Sprintf("%s:%d", host, ports[0]), readinessAddress: fmt.Sprintf("%s:%d", host, ports[1]),
	}
	settings, err := json.Marshal(map[string]any{
		"node_name": p.name, "ip": host, "zone": "a", "region": "r",
		"listen": map[string]any{"front": p.clientAddress, "readiness": p.readinessAddress}, "port_range": []int{ports[2], ports[2]},
		"limits":   map[string]any{"memory_mb": memoryLimit >> 20},
		"bounds":   map[string]any{"grace_s": grace, "retry_ratio": 0.2, "retry_allowance": 50},
		"platform": map[string]any{"address": p.storeProxy.address},
	})
	require.NoError(t, err)
	p.settingsFile = filepath.Join(t.TempDir(), p.name+".json")
	require.NoError(t, os.WriteFile(p.settingsFile, settings, 0o600))
	p.Process = testproc.Process{Binary: binary, Args: []string{"gateway"}, Env: []string{platform.SettingsEnvVar + "=" + p.settingsFile}}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", p.name, p.Output.Text())
		}
	})
	return p
}

func (p *process) start(t *testing.T) {
	p.Start(t)
	p.state = processRunning
}

func (p *process) signal(sig syscall.Signal, nextState processState) {
	p.Signal(sig)
	p.state = nextState
}

func (p *process) kill() {
	if p.state == processDown {
		return
	}
	p.Kill()
	p.state = processDown
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.readinessAddress + "/api/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

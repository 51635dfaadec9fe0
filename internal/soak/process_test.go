package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
	name             string
	clientAddress    string
	readinessAddress string
	binary           string
	settingsFile     string
	storeProxy       *faultProxy
	state            processState
	cmd              *exec.Cmd
	exited           chan struct{}
	output           *outputBuffer
}

// outputBuffer holds the last part of a process's output.
type outputBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// memoryLimit is the memory of a process's host, in bytes.
const memoryLimit = 216 << 20

// maxOutputBytes bounds the output of a process that is kept: beyond it, the buffer is
// cleared.
const maxOutputBytes = 4 << 20

func (o *outputBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.buf.Len() > maxOutputBytes {
		o.buf.Reset()
	}
	return o.buf.Write(p)
}

// text returns a copy of the output so far.
func (o *outputBuffer) text() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Clone(o.buf.Bytes())
}

// freePorts returns different free ports. All are open at the same time, or the system
// could return one of them twice.
func freePorts(t *testing.T, host string, count int) []int {
	var ports []int
	for range count {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		require.NoError(t, err)
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// buildGateway builds the daemon from the source tree under test.
func buildGateway(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "laburnumroadd")
	out, err := exec.Command("go", "build", "-o", binary, "laburnumroad.dev/laburnumroad/cmd/laburnumroadd").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// newProcess returns a process that is not started. Its grace period is in seconds.
func newProcess(t *testing.T, binary, storeAddress string, index, grace int) *process {
	host := fmt.Sprintf("127.0.0.%d", 10+index)
	ports := freePorts(t, host, 3)
	p := &process{
		name: fmt.Sprintf("edge-%d", index), binary: binary, storeProxy: newFaultProxy(t, storeAddress), state: processDown, output: &outputBuffer{},
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
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", p.name, p.output.text())
		}
	})
	return p
}

func (p *process) start(t *testing.T) {
	p.cmd = exec.Command(p.binary, "gateway")
	p.cmd.Env = append(os.Environ(), platform.SettingsEnvVar+"="+p.settingsFile)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	require.NoError(t, p.cmd.Start())
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		// The exit status does not matter: the test knows which signals it sent.
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	p.state = processRunning
}

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *process) signal(sig syscall.Signal, nextState processState) {
	// The signal fails if the process has just exited, which the next tick detects.
	_ = p.cmd.Process.Signal(sig)
	p.state = nextState
}

func (p *process) kill() {
	if p.state == processDown {
		return
	}
	p.signal(syscall.SIGKILL, processDown)
	<-p.exited
}

// peakMemory returns the most memory that the process has used, in bytes.
func (p *process) peakMemory(t *testing.T) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	require.True(t, found)
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kilobytes << 10
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

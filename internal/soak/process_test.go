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
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumroad.dev/laburnumroad/platform"
)

// processState is what the soak did to a process.
type processState int

const (
	processRuns processState = iota
	// processPaused is stopped by a signal, with its connections open.
	processPaused
	// processEnding was told to end and is awaited.
	processEnding
	processDown
)

// process is a gateway in a process of its own. It keeps its name and addresses
// over restarts.
type process struct {
	name    string
	clients string
	ready   string
	binary  string
	file    string
	store   *link
	state   processState
	cmd     *exec.Cmd
	ended   chan struct{}
	log     *output
}

// output keeps the last part of what a process writes.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// outputKept bounds the output that is kept of one process.
const outputKept = 4 << 20

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.b.Len() > outputKept {
		o.b.Reset()
	}
	return o.b.Write(p)
}

func freePort(t *testing.T, host string) int {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// buildGateway builds the daemon from the tree that is tested.
func buildGateway(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "laburnumroadd")
	out, err := exec.Command("go", "build", "-o", binary, "laburnumroad.dev/laburnumroad/cmd/laburnumroadd").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

func newProcess(t *testing.T, binary, storeAddress string, n int) *process {
	host := fmt.Sprintf("127.0.0.%d", 10+n)
	p := &process{
		name: fmt.Sprintf("edge-%d", n), binary: binary, store: newLink(t, storeAddress), state: processDown, log: &output{},
		clients: fmt.Sprintf("%s:%d", host, freePort(t, host)), ready: fmt.Sprintf("%s:%d", host, freePort(t, host)),
	}
	port := freePort(t, host)
	settings, err := json.Marshal(map[string]any{
		"node_name": p.name, "ip": host, "zone": "a", "region": "r",
		"listen": map[string]any{"front": p.clients, "readiness": p.ready}, "port_range": []int{port, port},
		"bounds":   map[string]any{"grace_s": 2, "retry_ratio": 0.2, "retry_allowance": 50},
		"platform": map[string]any{"address": p.store.address},
	})
	require.NoError(t, err)
	p.file = filepath.Join(t.TempDir(), p.name+".json")
	require.NoError(t, os.WriteFile(p.file, settings, 0o600))
	t.Cleanup(func() { p.kill() })
	return p
}

func (p *process) start(t *testing.T) {
	p.cmd = exec.Command(p.binary, "gateway")
	p.cmd.Env = append(os.Environ(), platform.SettingsEnvVar+"="+p.file)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	require.NoError(t, p.cmd.Start())
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		// How it ended is known from what was done to it.
		_ = cmd.Wait()
		close(ended)
	}(p.cmd, p.ended)
	p.state = processRuns
}

// hasEnded reports whether the process is gone.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) signal(s syscall.Signal, next processState) {
	// A process that has just ended takes no signal, which the next tick sees.
	_ = p.cmd.Process.Signal(s)
	p.state = next
}

func (p *process) kill() {
	if p.state == processDown {
		return
	}
	p.signal(syscall.SIGKILL, processDown)
	<-p.ended
}

func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.ready + "/api/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

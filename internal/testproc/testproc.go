// Package testproc runs the programs of the project as processes in tests.
package testproc

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// maxOutputBytes bounds the output of a process that is kept: beyond it, the buffer is
// cleared.
const maxOutputBytes = 4 << 20

// Output holds the last part of a process's output.
type Output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.buf.Len() > maxOutputBytes {
		o.buf.Reset()
	}
	return o.buf.Write(p)
}

// Text returns a copy of the output so far.
func (o *Output) Text() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Clone(o.buf.Bytes())
}

// Process is a program that can be started several times, one after the other.
type Process struct {
	Binary string
	Args   []string
	// Env is added to the environment of the test.
	Env    []string
	Output Output

	cmd    *exec.Cmd
	exited chan struct{}
}

// BuildDaemon builds the daemon from the source tree under test.
func BuildDaemon(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "laburnumroadd")
	out, err := exec.Command("go", "build", "-o", binary, "laburnumroad.dev/laburnumroad/cmd/laburnumroadd").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// drawnPorts are the ports that FreePorts has returned, by host.
var drawnPorts = struct {
	sync.Mutex
	byHost map[string]map[int]bool
}{byHost: make(map[string]map[int]bool)}

// FreePorts returns different free ports, none of which it has returned before: a process
// may not have opened its own yet. Ports stay open until all are drawn, or the system
// could return one of them twice.
func FreePorts(t testing.TB, host string, count int) []int {
	drawnPorts.Lock()
	defer drawnPorts.Unlock()
	drawn := drawnPorts.byHost[host]
	if drawn == nil {
		drawn = make(map[int]bool)
		drawnPorts.byHost[host] = drawn
	}
	var ports []int
	for len(ports) < count {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		require.NoError(t, err)
		defer l.Close()
		port := l.Addr().(*net.TCPAddr).Port
		if drawn[port] {
			continue
		}
		drawn[port] = true
		ports = append(ports, port)
	}
	return ports
}

// Start starts the process. The test must end it.
func (p *Process) Start(t *testing.T) {
	p.cmd = exec.Command(p.Binary, p.Args...)
	p.cmd.Env = append(os.Environ(), p.Env...)
	p.cmd.Stdout, p.cmd.Stderr = &p.Output, &p.Output
	require.NoError(t, p.cmd.Start())
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		// The exit status does not matter: the test knows which signals it sent.
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
}

// Exited is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// HasExited reports whether the process has exited.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Signal sends a signal. It fails if the process has just exited, which HasExited shows.
func (p *Process) Signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// Kill ends the process at once and waits for its end. It does nothing if it was not started.
func (p *Process) Kill() {
	if p.cmd == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// State returns the state of the process, or of the one before if it has exited.
func (p *Process) State() *os.ProcessState { return p.cmd.ProcessState }

// PeakMemory returns the most resident memory that the process has used, in bytes.
func (p *Process) PeakMemory(t *testing.T) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	require.True(t, found)
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(t, err)
	return kilobytes << 10
}

// Descriptors returns the number of open descriptors, or 0 if the process has exited.
func (p *Process) Descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// LimitDescriptors sets how many descriptors the process may have open.
func (p *Process) LimitDescriptors(t *testing.T, n int) {
	limit := unix.Rlimit{Cur: uint64(n), Max: uint64(n)}
	require.NoError(t, unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
}

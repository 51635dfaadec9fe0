//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gateway is a process of the system, started with the command of the deploy file.
type gateway struct {
	name, zone, ip    string
	client, readiness string
	settings, logFile string
	program           []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// closed is true once the case has ended, so that nothing starts any more.
	closed bool
}

// freePort returns a free port of an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newGateway prepares the settings of a gateway, as a small deployment has them.
func newGateway(dir string, program []string, name, zone, ip, storeAddress string, zones map[string]string, bounds map[string]any) (*gateway, error) {
	var ports []int
	for range 3 {
		p, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports = append(ports, p)
	}
	g := &gateway{
		name: name, zone: zone, ip: ip, program: program,
		client: fmt.Sprintf("%s:%d", ip, ports[0]), readiness: fmt.Sprintf("%s:%d", ip, ports[1]),
		settings: filepath.Join(dir, name+".json"), logFile: filepath.Join(dir, name+".log"),
	}
	settings := map[string]any{
		"node_name": name, "role": "gateway", "machine_class": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "r", "zones": zones,
		"listen":     map[string]any{"front": g.client, "readiness": g.readiness, "control": nil},
		"port_range": []int{ports[2], ports[2]}, "seeds": []string{}, "bootstrap": true, "loss_counts": false,
		"limits": map[string]any{"cpu_quota": 0.304, "cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
		"bounds": bounds, "heartbeat_ms": 1200,
		"platform": map[string]any{"address": storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576},
	}
	return g, os.WriteFile(g.settings, mustJSON(settings), 0o600)
}

func (g *gateway) start() error {
	out, err := os.OpenFile(g.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return fmt.Errorf("the case has ended")
	}
	g.cmd = exec.Command(g.program[0], g.program[1:]...)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMROAD_NODE_FILE=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	if err := g.cmd.Start(); err != nil {
		g.cmd = nil
		return err
	}
	g.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(g.cmd, g.exited)
	return nil
}

// sigkill ends a process at once.
const sigkill = syscall.SIGKILL

// kill ends the process with SIGKILL and waits for its end.
func (g *gateway) kill() {
	g.signal(sigkill)
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// end kills the process and keeps it from being started again.
func (g *gateway) end() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.kill()
}

// signal sends a signal to the process, if it was started.
func (g *gateway) signal(s os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

// waitReady waits until the readiness check succeeds.
func (g *gateway) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + g.readiness + "/api/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, limit)
}

// request is one attempt of a client.
type request struct {
	ID, Method, Path, Body, Key string
	Prompt, Output              int64
	// Parts is the list of the prompt's parts; if it is empty, the prompt is one part.
	Parts    string
	Deadline time.Duration
	Header   map[string]string
}

// result is what the client saw.
type result struct {
	Request  request
	Gateway  string
	SentAt   time.Time
	Status   int
	Header   http.Header
	Events   int64
	Body     string
	Complete bool
	Err      error
}

const hostName = "shop.example"

var clients = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends a request on a new connection and reads the whole answer. onEvent, if not nil,
// is called at the first event of a stream.
func send(g *gateway, q request, onEvent func()) result {
	res := result{Request: q, Gateway: g.name, SentAt: time.Now()}
	req, err := http.NewRequest(q.Method, "http://"+g.client+q.Path, strings.NewReader(q.Body))
	if err != nil {
		res.Err = err
		return res
	}
	req.Host = hostName
	req.Header.Set("Attempt-Id", q.ID)
	req.Header.Set("Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	if q.Key != "" {
		req.Header.Set("Key", q.Key)
	}
	if q.Prompt > 0 {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Count", fmt.Sprintf("%d,%d", q.Prompt, q.Output))
		parts := q.Parts
		if parts == "" {
			parts = fmt.Sprintf("%s:%d", q.ID, q.Prompt)
		}
		req.Header.Set("Prefix-Hash", parts)
	}
	for name, value := range q.Header {
		req.Header.Set(name, value)
	}
	resp, err := clients.Do(req)
	if err != nil {
		res.Err = err
		return res
	}
	defer resp.Body.Close()
	res.Status, res.Header = resp.StatusCode, resp.Header
	var body strings.Builder
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		body.WriteString(line)
		if strings.HasPrefix(line, "data:") && resp.StatusCode == http.StatusOK {
			if res.Events++; res.Events == 1 && onEvent != nil {
				onEvent()
			}
		}
		if err != nil {
			res.Complete = err.Error() == "EOF"
			if !res.Complete {
				res.Err = err
			}
			break
		}
	}
	res.Body = body.String()
	return res
}

// record collects the lines of record.txt.
type record struct {
	mu    sync.Mutex
	lines []string
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

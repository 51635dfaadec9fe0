//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gateway is a process of the deploy file's role with settings like those of a small
// deployment.
type gateway struct {
	name, client, readiness string
	settings                string
	cmd                     *exec.Cmd
	exited                  chan struct{}
	log                     *recorder
	dir                     string
}

const maxDescriptors = 4200

func freePorts(host string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func newGateway(log *recorder, dir, storeAddress string, index int) (*gateway, error) {
	host := fmt.Sprintf("127.0.0.%d", 21+index)
	ports, err := freePorts(host, 4)
	if err != nil {
		return nil, err
	}
	g := &gateway{
		name: fmt.Sprintf("edge-zone-%d", index), client: fmt.Sprintf("%s:%d", host, ports[0]), readiness: fmt.Sprintf("%s:%d", host, ports[1]),
		settings: filepath.Join(dir, fmt.Sprintf("edge-%d.json", index)), log: log, dir: dir,
	}
	zone := fmt.Sprintf("zone-%d", index)
	data, err := json.MarshalIndent(map[string]any{
		"node_name": g.name, "role": "gateway", "machine_class": "edge", "serves": []string{"edge"}, "ip": host, "zone": zone, "region": "r",
		"zones":  map[string]string{"zone-0": "r", "zone-1": "r", "zone-2": "r"},
		"listen": map[string]string{"front": g.client, "readiness": g.readiness}, "port_range": []int{ports[2], ports[2]}, "seeds": []string{}, "bootstrap": true,
		"limits": map[string]any{"cpu_quota": 0.304, "cores": 1, "memory_mb": 284, "max_fds": maxDescriptors, "link_mbps": 1000.0, "disk_mb": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_allowance": 52,
			"recovery_s": 12, "iteration_ms": 120, "retry_after_s": 10, "settle_ms": 1500,
		},
		"heartbeat_ms": 1200,
		"platform":     map[string]any{"address": storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576},
	}, "", " ")
	if err != nil {
		return nil, err
	}
	return g, os.WriteFile(g.settings, data, 0o600)
}

// start runs the command of the deploy file. limitDescriptors gives the process no more
// descriptors than its settings say, as the platform does.
func (g *gateway) start(limitDescriptors bool) error {
	out, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	g.cmd = exec.Command("target/laburnumroadd", "gateway")
	if limitDescriptors {
		g.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/laburnumroadd gateway", maxDescriptors))
	}
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMROAD_NODE_FILE=" + g.settings}
	g.cmd.Stdout, g.cmd.Stderr = out, out
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		g.log.printf("gateway %s exited: %v", g.name, err)
		close(exited)
	}(g.cmd, g.exited)
	g.log.printf("gateway %s started, clients at %s", g.name, g.client)
	return nil
}

func (g *gateway) signal(sig syscall.Signal) {
	g.log.printf("signal %v to gateway %s", sig, g.name)
	_ = g.cmd.Process.Signal(sig)
}

// stop ends the process. It does nothing if it has exited.
func (g *gateway) stop() {
	if g.cmd == nil {
		return
	}
	select {
	case <-g.exited:
		return
	default:
	}
	g.signal(syscall.SIGKILL)
	<-g.exited
}

func (g *gateway) waitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.readiness + "/api/readyz")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready", g.name)
}

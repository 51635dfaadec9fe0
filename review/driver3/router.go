package main

import (
	"encoding/json"
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

// router is a process of the role of the deploy file.
type router struct {
	name, zone, ip, front, readiness string
	settings, logFile                string
	// memoryMB is the memory of its machine.
	cmd    *exec.Cmd
	exited chan struct{}

	mu     sync.Mutex
	misses int
	ready  bool
}

// bounds are those of the smaller installation.
var bounds = map[string]any{
	"seed_lag_s": 3, "reuse_after_s": 2, "stable_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
	"loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revoke": false,
	"revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_allowance": 52, "recovery_s": 12, "iteration_ms": 120,
	"retry_after_s": 10, "settle_ms": 1500,
}

var zones = []string{"tamar", "esk", "meander"}

func (w *world) newRouter(index int) *router {
	zone := zones[index%len(zones)]
	r := &router{name: fmt.Sprintf("edge-%s-%d", zone, index/len(zones)+1), zone: zone, ip: w.nextIP()}
	r.front, r.readiness = freeAddress(r.ip), freeAddress(r.ip)
	first := 7340
	settings := map[string]any{
		"node_name": r.name, "role": "gateway", "machine_class": "edge", "serves": []string{"edge"}, "ip": r.ip, "zone": zone, "region": "tas-north",
		"zones":  map[string]string{"tamar": "tas-north", "esk": "tas-north", "meander": "tas-north"},
		"listen": map[string]any{"front": r.front, "readiness": r.readiness}, "port_range": []int{first, first + 15}, "seeds": []string{},
		"bootstrap": true, "loss_counts": false,
		"limits":   map[string]any{"cpu_quota": 0.304, "cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"fault_tolerance": map[string]int{"nodes": 2, "zones": 0, "regions": 0}, "bounds": bounds,
		"platform": map[string]any{"address": w.store.address, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	data, err := json.Marshal(settings)
	check(err)
	r.settings = filepath.Join(w.dir, r.name+".json")
	check(os.WriteFile(r.settings, data, 0o600))
	r.logFile = filepath.Join(w.dir, r.name+".log")
	w.routers = append(w.routers, r)
	return r
}

// start runs the command of the deploy file.
func (r *router) start(command string) {
	words := strings.Fields(command)
	log, err := os.OpenFile(r.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	r.cmd = exec.Command(words[0], words[1:]...)
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LABURNUMROAD_NODE_FILE=" + r.settings}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(r.cmd.Start())
	r.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		log.Close()
		close(exited)
	}(r.cmd, r.exited)
}

// terminate sends SIGTERM, and SIGKILL after the grace period, and waits for the end.
func (r *router) terminate() {
	_ = r.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-r.exited:
	case <-time.After(8 * time.Second):
		r.kill()
	}
}

func (r *router) kill() {
	if r.cmd == nil {
		return
	}
	_ = r.cmd.Process.Kill()
	<-r.exited
}

// askReadiness asks as the platform does, once a second: two misses take a router out.
func (r *router) askReadiness() {
	client := http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + r.readiness + "/api/readyz")
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		r.mu.Lock()
		if ok {
			r.misses, r.ready = 0, true
		} else if r.misses++; r.misses >= 2 {
			r.ready = false
		}
		r.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (r *router) isReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

func freeAddress(ip string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	defer l.Close()
	return l.Addr().String()
}

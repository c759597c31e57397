package main

import (
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

// check ends a case that can't run.
func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		exit(2)
	}
}

// record writes to record.txt, with the time since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

var rec record

func openRecord(path string) {
	f, err := os.Create(path)
	check(err)
	rec.file, rec.start = f, time.Now()
}

func note(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	line := fmt.Sprintf("%9.3f s  %s\n", time.Since(rec.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = rec.file.WriteString(line)
}

// host is one process of the system.
type host struct {
	name, zone, ip, frontend, ready, dir string
	cmd                                  *exec.Cmd
	exited                               chan struct{}
}

var (
	hostsMu sync.Mutex
	hosts   []*host
	scratch string
)

// exit ends all processes that the case started and removes its temporary folder.
func exit(code int) {
	hostsMu.Lock()
	for _, h := range hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			select {
			case <-h.exited:
			case <-time.After(3 * time.Second):
			}
		}
	}
	if scratch != "" {
		_ = os.RemoveAll(scratch)
	}
	os.Exit(code)
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

const settings = `node_name = "%s"
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip = "%s"
zone = "%s"
region = "si-central"
internal_ports = [%d,%d]
seeds = []
bootstrap = %v
failure_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","stages"]
[zones]
ljubljana = "si-central"
kranj = "si-central"
celje = "si-central"
[listen]
frontend = "%s"
ready = "%s"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
revoke_strict = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 56
warmup_overrun = 1.5
warmup_slack = 5
evacuate_ms = 5000
recover_s = 12
pass_ms = 120
retry_after_s = 9.7
[platform]
address = "%s"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// newHost prepares a host with settings like those of a small deployment. storeAddress is where it
// finds the store.
func newHost(name, zone, ip, storeAddress string) *host {
	if scratch == "" {
		dir, err := os.MkdirTemp("", "review-2-")
		check(err)
		scratch = dir
	}
	h := &host{name: name, zone: zone, ip: ip, dir: filepath.Join(scratch, name)}
	check(os.MkdirAll(h.dir, 0o755))
	h.frontend, h.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
	internal := freePort(ip)
	text := fmt.Sprintf(settings, name, ip, zone, internal, internal, true, h.frontend, h.ready, storeAddress)
	check(os.WriteFile(filepath.Join(h.dir, "boot.toml"), []byte(text), 0o644))
	hostsMu.Lock()
	hosts = append(hosts, h)
	hostsMu.Unlock()
	return h
}

// start starts the host with the command of the deploy file. Its log goes to the temporary folder,
// or to the folder LOGS names.
func (h *host) start() {
	run := deployCommand()
	h.cmd = exec.Command(run[0], run[1:]...)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PIMENTORILL_BOOT=" + filepath.Join(h.dir, "boot.toml")}
	dir := h.dir
	if logs := os.Getenv("LOGS"); logs != "" {
		dir = logs
	}
	out, err := os.OpenFile(filepath.Join(dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	check(h.cmd.Start())
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		out.Close()
		note("%s has ended: %v", h.name, err)
		close(exited)
	}(h.cmd, h.exited)
	note("%s started, process %d", h.name, h.cmd.Process.Pid)
}

func (h *host) signal(s syscall.Signal) {
	note("%s gets %v", h.name, s)
	check(h.cmd.Process.Signal(s))
}

// awaitReady waits until the host's readiness check answers 200.
func (h *host) awaitReady(limit time.Duration) {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + h.ready + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == 200 {
			note("%s is ready", h.name)
			return
		}
	}
	check(fmt.Errorf("%s is not ready within %v", h.name, limit))
}

// deployCommand returns the words of the run line of the deploy file.
func deployCommand() []string {
	raw, err := os.ReadFile("deploy/system.toml")
	check(err)
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`))
		}
	}
	check(fmt.Errorf("deploy/system.toml has no run line"))
	return nil
}

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Host is one process of the project, run as the deploy file says.
type Host struct {
	Name, Zone, IP string
	Frontend       string
	Peers          string // the address for other hosts
	ready          string
	settings, log  string // the paths of its files
	cmd            *exec.Cmd
}

const settings = `node_name = %q
role = "edge"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "si-central"
internal_ports = [%d,%d]
seeds = []
bootstrap = true
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
frontend = %q
ready = %q
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
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// listen opens a listener on a free port of a loopback address.
func listen(ip string) (net.Listener, error) { return net.Listen("tcp", net.JoinHostPort(ip, "0")) }

func freePort(ip string) (int, error) {
	l, err := listen(ip)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// startHost starts a host that sees the store at storeAddress. dir holds its settings file
// and its log.
func startHost(dir, name, zone, ip, storeAddress string) (*Host, error) {
	var ports [3]int
	for i := range ports {
		var err error
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	h := &Host{Name: name, Zone: zone, IP: ip, Frontend: fmt.Sprintf("%s:%d", ip, ports[1]), Peers: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[2])}
	file := filepath.Join(dir, name+".toml")
	text := fmt.Sprintf(settings, name, ip, zone, ports[0], ports[0]+15, h.Frontend, h.ready, storeAddress)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	h.settings, h.log = file, filepath.Join(dir, name+".log")
	return h, h.restart()
}

// restart starts the process, again if it has ended.
func (h *Host) restart() error {
	if h.cmd != nil {
		// Only the first start of the whole system has this setting.
		text, err := os.ReadFile(h.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(h.settings, bytes.Replace(text, []byte("bootstrap = true"), []byte("bootstrap = false"), 1), 0o600); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	words := strings.Fields(deployRun())
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(h.settings), "PIMENTORILL_BOOT=" + h.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd = cmd
	return nil
}

// deployRun returns the command of the deploy file.
func deployRun() string {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return ""
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Trim(value, `"`)
		}
	}
	return ""
}

// awaitReady waits until the host answers its readiness check with 200.
func (h *Host) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get("http://" + h.ready + "/readyz")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == 200 {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready", h.Name)
}

// stop ends the process.
func (h *Host) stop() {
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	}
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is the time between two status reports of a server.
const heartbeat = 1200 * time.Millisecond

// fleet holds the processes of one case.
type fleet struct {
	trouble bool
	store   *store
	folder  string
	start   time.Time

	mu      sync.Mutex
	record  io.Writer
	hosts   []*host
	servers []*serverProcess
	closed  bool
}

// host is one process of the system.
type host struct {
	name, zone, frontend, ready string
	cmd                         *exec.Cmd
	output                      *os.File
}

// serverProcess is a server and its entry in the store.
type serverProcess struct {
	fleet               *fleet
	name, service, zone string
	// address is where the process listens, registered the address in its entry.
	address, registered string
	slots               int
	flags               []string

	mu       sync.Mutex
	id       string
	version  string
	born     int64
	state    string
	sequence int
	cmd      *exec.Cmd
	stdin    io.WriteCloser
	runs     []run
	warmUp   time.Duration
	started  time.Time
}

// run is a request that a server began to work on.
type run struct {
	at      time.Time
	attempt string
	born    int64
}

func newFleet(record io.Writer, trouble bool) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	f := &fleet{trouble: trouble, store: s, folder: folder, record: record, start: time.Now()}
	f.note("trouble: %v", trouble)
	go f.beat()
	return f, nil
}

// note writes a line with the time to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%7.3f %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(f.record, line)
	fmt.Print(line)
}

// clock returns a time as the record has it.
func (f *fleet) clock(at time.Time) string { return fmt.Sprintf("%.3f", at.Sub(f.start).Seconds()) }

// close ends all processes that the fleet started.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	hosts, servers := f.hosts, f.servers
	f.mu.Unlock()
	for _, h := range hosts {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
		h.output.Close()
	}
	for _, s := range servers {
		s.kill()
	}
	f.store.listener.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// freePort returns a port that is free at an address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

var zones = []string{"ljubljana", "kranj", "celje"}

// startHosts starts a number of hosts, in turn in the zones, and waits until all are ready.
func (f *fleet) startHosts(n int) error {
	for i := range n {
		if err := f.startHost(i); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if !within(15*time.Second, func() bool { return isReady(h.ready) }) {
			return fmt.Errorf("host %s is not ready", h.name)
		}
	}
	f.note("%d hosts are ready", n)
	return nil
}

func (f *fleet) startHost(i int) error {
	ip := fmt.Sprintf("127.0.43.%d", i+1)
	h := &host{name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i+1), zone: zones[i%len(zones)]}
	h.frontend, h.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
	peers := freePort(ip)
	settings := fmt.Sprintf(settingsTemplate, h.name, ip, h.zone, peers, peers, h.frontend, h.ready, f.store.address())
	path := filepath.Join(f.folder, h.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(f.folder, h.name+".log"))
	if err != nil {
		return err
	}
	h.output = output
	h.cmd = exec.Command("target/pimentorilld", "-platform")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "PIMENTORILL_BOOT=" + path}
	h.cmd.Stdout, h.cmd.Stderr = output, output
	if err := h.cmd.Start(); err != nil {
		return err
	}
	f.hosts = append(f.hosts, h)
	return nil
}

// settingsTemplate has the bounds and limits of a small deployment.
const settingsTemplate = `node_name = %q
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

// within waits until a condition holds, at most for a time.
func within(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

func isReady(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c, "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.Contains(line, " 200 ")
}

// startServer starts a server on a loopback address of its own and registers it.
func (f *fleet) startServer(name, service, zone string, slots int, warmUp time.Duration, flags ...string) (*serverProcess, error) {
	ip := fmt.Sprintf("127.0.44.%d", len(f.servers)+1)
	s := &serverProcess{fleet: f, name: name, service: service, zone: zone, slots: slots, flags: flags, warmUp: warmUp, version: "v1", address: fmt.Sprintf("%s:%d", ip, freePort(ip))}
	s.registered = s.address
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	return s, s.launch("i-"+name, 0)
}

// launch starts the server's process under an id and registers it. It is cold for the warm-up time.
func (s *serverProcess) launch(id string, warmUp time.Duration) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	born := time.Now().UnixMilli()
	args := append([]string{"server", "-address", s.address, "-id", id, "-born", strconv.FormatInt(born, 10), "-slots", strconv.Itoa(s.slots), "-warmup", warmUp.String(), "-version", s.version}, s.flags...)
	cmd := exec.Command(executable, args...)
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(stdout)
	if !lines.Scan() || lines.Text() != "ready" {
		return fmt.Errorf("server %s didn't start: %s", id, lines.Text())
	}
	s.mu.Lock()
	s.id, s.born, s.state, s.cmd, s.stdin, s.sequence = id, born, "ready", cmd, stdin, 0
	s.started, s.warmUp = time.Now(), warmUp
	s.mu.Unlock()
	go func() {
		for lines.Scan() {
			words := strings.Fields(lines.Text())
			if len(words) < 3 || words[0] != "run" {
				continue
			}
			micros, _ := strconv.ParseInt(words[1], 10, 64)
			s.mu.Lock()
			s.runs = append(s.runs, run{time.UnixMicro(micros), words[2], born})
			s.mu.Unlock()
		}
	}()
	s.report()
	s.fleet.note("server %s (%s %s, %s) serves at %s, born %d, cold for %v", id, s.service, s.version, s.zone, s.address, born, warmUp)
	return nil
}

// report writes the server's entry in the store. It reports false if the store is down.
func (s *serverProcess) report() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return false
	}
	s.sequence++
	left := max(0, s.warmUp-time.Since(s.started)).Milliseconds()
	return s.fleet.store.put("servers/"+s.id, map[string]any{"service": s.service, "address": s.registered, "zone": s.zone, "version": s.version, "slots": s.slots,
		"state": s.state, "warmup_left_ms": left, "sequence": s.sequence, "born": s.born})
}

// behindProxy registers the server at an address of a path to it.
func (s *serverProcess) behindProxy() (*proxy, error) {
	ip, _, _ := net.SplitHostPort(s.address)
	p, err := newProxy(fmt.Sprintf("%s:%d", ip, freePort(ip)), s.address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.registered = p.listener.Addr().String()
	s.mu.Unlock()
	s.report()
	return p, nil
}

// beat has all servers report until the fleet is closed.
func (f *fleet) beat() {
	for {
		time.Sleep(heartbeat)
		f.mu.Lock()
		servers, closed := f.servers, f.closed
		f.mu.Unlock()
		if closed {
			return
		}
		for _, s := range servers {
			s.report()
		}
	}
}

// drain has the server report that it leaves; its answers say so too. It returns when the store
// has accepted that.
func (s *serverProcess) drain() {
	s.mu.Lock()
	s.state = "draining"
	_, _ = io.WriteString(s.stdin, "leave\n")
	s.mu.Unlock()
	s.report()
}

// kill ends the server's process and waits for its end.
func (s *serverProcess) kill() {
	s.mu.Lock()
	cmd := s.cmd
	s.cmd = nil
	s.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// ran returns the requests that the server began to work on.
func (s *serverProcess) ran() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

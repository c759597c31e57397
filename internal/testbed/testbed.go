// Package testbed starts hosts with their real adapters on loopback, connected
// to stand-ins for the platform and the endpoints. Tests and benchmarks use it.
package testbed

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pimentorill/pimentorill/internal/adapter/peer"
	"github.com/pimentorill/pimentorill/internal/adapter/settings"
	"github.com/pimentorill/pimentorill/internal/daemon"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// OperatorToken is the operators' token of all hosts.
const OperatorToken = "testbed-token"

// Customer is the default customer with the largest share.
const Customer = "triglav"

// Config holds the settings of a Cluster. Zero fields take the defaults.
type Config struct {
	// Hosts is the number of hosts, assigned to the zones round-robin; 0 means 1.
	Hosts int
	// Fleet describes the endpoints; nil Zones mean DefaultFleet.
	Fleet standin.FleetConfig
	// Customers maps each customer to its share; nil means Customer and a
	// smaller one.
	Customers map[string]int
	// PeerFaults returns the faults of host i's connections to other hosts; nil
	// means none.
	PeerFaults func(i int) peer.FaultInjector
	// AdjustSettings changes a host's settings before it starts; nil changes nothing.
	AdjustSettings func(s *settings.Settings)
}

// DefaultFleet has short work times and large limits, so that tests run fast
// and seldom reach a limit.
var DefaultFleet = standin.FleetConfig{
	Zones: []string{"ljubljana", "kranj", "celje"}, Region: "si-central", EnginesPerZone: 1,
	Slots: 64, ColdLimit: 64, WarmAfter: 1,
	WorkTime: time.Millisecond, TokenTime: time.Millisecond, MaxTokens: 8, StartsWarm: true,
}

// Cluster is a set of hosts and the stand-ins that they use. Hosts also contains
// those that have stopped or crashed, in the order of their start. Only Live,
// CallerAddresses, PartitionZone and Heal are safe for concurrent use.
type Cluster struct {
	Fleet         *standin.Fleet
	Store         *standin.Store
	HostList      *standin.HostList
	Hosts         []*daemon.Daemon
	config        Config
	crashSwitches map[*daemon.Daemon]*crashSwitch
	network       *network
	// log receives the log lines of all hosts.
	log *lastLines

	mu   sync.Mutex
	live []*daemon.Daemon
}

// Start starts a Cluster and waits until its hosts know each other and the zones'
// lease holders. The cluster is closed when the test ends; if the test has failed, the
// last lines of the hosts' logs are printed.
func Start(tb testing.TB, cfg Config) *Cluster {
	tb.Helper()
	cfg = withDefaults(cfg)
	fleet, err := standin.StartFleet(cfg.Fleet)
	requireNoError(tb, err)
	c := &Cluster{Fleet: fleet, Store: standin.NewStore(standin.NewMemStore(port.SystemClock{})), HostList: standin.NewHostList(0), config: cfg, network: newNetwork(), crashSwitches: map[*daemon.Daemon]*crashSwitch{}, log: &lastLines{}}
	tb.Cleanup(func() {
		if tb.Failed() {
			tb.Logf("the hosts' log:\n%s", c.log)
		}
	})
	tb.Cleanup(c.close)
	requireNoError(tb, c.Store.Start())
	requireNoError(tb, c.HostList.Start())
	requireNoError(tb, daemon.PutRelease(c.Store.MemStore, fleet.Note("first", cfg.Customers)))
	for i := range cfg.Hosts {
		c.StartHost(tb, i)
	}
	Until(tb, "the hosts know each other and the zones' lease holders", c.converged)
	return c
}

// converged reports whether all live hosts know each other and the lease holder
// of each zone that has hosts.
func (c *Cluster) converged() bool {
	live := c.Live()
	zones := map[string]bool{}
	for _, d := range live {
		zones[d.App().Status().AvailabilityZone] = true
	}
	for _, d := range live {
		s := d.App().Status()
		if len(live) > 1 && (len(s.Hosts) < len(live) || len(s.LeaseHolders) < len(zones)) {
			return false
		}
	}
	return true
}

func withDefaults(cfg Config) Config {
	cfg.Hosts = max(1, cfg.Hosts)
	if cfg.Fleet.Zones == nil {
		cfg.Fleet = DefaultFleet
	}
	if cfg.Customers == nil {
		cfg.Customers = map[string]int{Customer: 3, "tazalyk": 2}
	}
	return cfg
}

// StartHost starts a host, appends it to Hosts and waits until it is ready. Its id
// and its zone depend on i, which counts from 0. With the i of a stopped host, the new
// host has the same id and zone and other ports.
func (c *Cluster) StartHost(tb testing.TB, i int) *daemon.Daemon {
	tb.Helper()
	d := c.StartHostWithoutWaiting(tb, i)
	Until(tb, "the host is ready", func() bool { return d.App().Ready() == nil })
	return d
}

// StartHostWithoutWaiting is StartHost without the wait for readiness.
func (c *Cluster) StartHostWithoutWaiting(tb testing.TB, i int) *daemon.Daemon {
	tb.Helper()
	s := c.settings(tb, i)
	log := slog.New(slog.NewTextHandler(c.log, &slog.HandlerOptions{Level: slog.LevelDebug})).With(slog.String("on", s.Host))
	deps, err := daemon.Connect(s, log)
	requireNoError(tb, err)
	sw := newCrashSwitch(c.network, s.AvailabilityZone)
	deps.SingleHost = c.config.Hosts == 1
	if c.config.PeerFaults != nil {
		deps.PeerFaults = c.config.PeerFaults(i)
	}
	d, err := daemon.Start(s, sw.wrap(deps), log)
	requireNoError(tb, err)
	c.crashSwitches[d] = sw
	c.Hosts = append(c.Hosts, d)
	c.setLive(d, true)
	return d
}

// Kill ends the host at index i of Hosts as a crash of its process does.
func (c *Cluster) Kill(i int) {
	c.setLive(c.Hosts[i], false)
	c.crashSwitches[c.Hosts[i]].crash()
	c.Hosts[i].Kill()
}

// Stop stops the host at index i of Hosts gracefully and returns the number of
// interrupted requests. CallerAddresses contains the host until it has stopped.
func (c *Cluster) Stop(i int) int {
	interrupted := c.Hosts[i].Stop()
	c.setLive(c.Hosts[i], false)
	return interrupted
}

func (c *Cluster) setLive(d *daemon.Daemon, live bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.live = slices.DeleteFunc(slices.Clone(c.live), func(other *daemon.Daemon) bool { return other == d })
	if live {
		c.live = append(c.live, d)
	}
}

// Live returns the hosts that have neither stopped nor crashed. The caller must not
// change the slice.
func (c *Cluster) Live() []*daemon.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.live
}

// CallerAddresses returns the addresses, IP:PORT, at which the live hosts accept
// callers.
func (c *Cluster) CallerAddresses() []string {
	var out []string
	for _, d := range c.Live() {
		out = append(out, d.Address("callers"))
	}
	return out
}

// settings returns the settings of host i, on free ports, with the live hosts as
// seeds.
func (c *Cluster) settings(tb testing.TB, i int) settings.Settings {
	tb.Helper()
	zones := c.config.Fleet.Zones
	s, err := settings.Parse(fmt.Appendf(nil, `
host: entry-%d
availability_zone: %s
region: %s
listen: {callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0"}
store: {url: %q}
host_list: {url: %q}
peers: {shared_key: testbed-peers}
operators: {token: %s}
`, i+1, zones[i%len(zones)], c.config.Fleet.Region, c.Store.URL(), c.HostList.URL(), OperatorToken))
	requireNoError(tb, err)
	for _, d := range c.Live() {
		s.Peers.SeedAddresses = append(s.Peers.SeedAddresses, d.Address("peers"))
	}
	if c.config.AdjustSettings != nil {
		c.config.AdjustSettings(&s)
	}
	return s
}

// waitTimeout bounds each wait, so that a test fails instead of hanging.
const waitTimeout = 20 * time.Second

// Until polls the condition until it holds, and fails the test after waitTimeout.
// It must be called from the test's goroutine.
func Until(tb testing.TB, description string, condition func() bool) {
	tb.Helper()
	timeout := time.After(waitTimeout)
	for !condition() {
		select {
		case <-timeout:
			tb.Fatalf("timed out waiting until %s", description)
		case <-time.After(time.Millisecond):
		}
	}
}

func (c *Cluster) close() {
	for _, d := range c.Live() {
		d.Stop()
	}
	c.HostList.Close()
	c.Store.Close()
	c.Fleet.Close()
}

func requireNoError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// Package testbed starts hosts with their real adapters on loopback, before
// stand-ins for the platform and the endpoints. Tests and benchmarks use it.
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

// Token is the operators' token of all hosts.
const Token = "testbed-token"

// Customer is the one customer with the largest share.
const Customer = "triglav"

// Config is what a Bed starts with. Zero fields take the defaults.
type Config struct {
	// Hosts is the number of hosts, spread over the zones in turn; 0 means 1.
	Hosts int
	Fleet standin.FleetConfig
	// Customers are the customers with their shares.
	Customers map[string]int
	// PeerFaults disturbs the connections of host i to others; nil disturbs none.
	PeerFaults func(i int) peer.FaultInjector
	// Adjust changes a host's settings before it starts; nil changes nothing.
	Adjust func(s *settings.Settings)
}

// DefaultFleet is small and fast.
var DefaultFleet = standin.FleetConfig{
	Zones: []string{"ljubljana", "kranj", "celje"}, Region: "si-central", EnginesPerZone: 1,
	Slots: 64, ColdLimit: 64, WarmAfter: 1,
	WorkTime: time.Millisecond, TokenTime: time.Millisecond, MaxTokens: 8, StartsWarm: true,
}

// Bed is the running hosts and stand-ins.
type Bed struct {
	Fleet    *standin.Fleet
	Store    *standin.Store
	HostList *standin.HostList
	Hosts    []*daemon.Daemon
	config   Config
	mortals  map[*daemon.Daemon]*mortal
	network  *network

	mu   sync.Mutex
	live []*daemon.Daemon
}

// Start starts a Bed, which ends with the test.
func Start(tb testing.TB, cfg Config) *Bed {
	tb.Helper()
	cfg = withDefaults(cfg)
	fleet, err := standin.StartFleet(cfg.Fleet)
	check(tb, err)
	b := &Bed{Fleet: fleet, Store: standin.NewStore(standin.NewMemStore(port.SystemClock{})), HostList: standin.NewHostList(0), config: cfg, network: newNetwork(), mortals: map[*daemon.Daemon]*mortal{}}
	tb.Cleanup(b.close)
	check(tb, b.Store.Start())
	check(tb, b.HostList.Start())
	check(tb, daemon.PutRelease(b.Store.MemStore, fleet.Note("first", cfg.Customers)))
	for i := range cfg.Hosts {
		b.StartHost(tb, i)
	}
	Until(tb, "the hosts know each other and who holds the zones' leases", b.agree)
	return b
}

// agree reports whether all live hosts know all of them, and the holder of
// the lease of each zone that has hosts.
func (b *Bed) agree() bool {
	live := b.Live()
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

// StartHost starts one more host, in the zone that its number gives, and
// appends it to Hosts.
func (b *Bed) StartHost(tb testing.TB, i int) *daemon.Daemon {
	tb.Helper()
	d := b.StartUnready(tb, i)
	Until(tb, "the host is ready", func() bool { return d.App().Ready() == nil })
	return d
}

// StartUnready is StartHost without the wait until the host is ready.
func (b *Bed) StartUnready(tb testing.TB, i int) *daemon.Daemon {
	tb.Helper()
	s := b.settings(tb, i)
	outside, err := daemon.Connect(s, slog.New(slog.DiscardHandler))
	check(tb, err)
	m := newMortal(b.network, s.AvailabilityZone)
	outside.SingleHost = b.config.Hosts == 1
	if b.config.PeerFaults != nil {
		outside.PeerFaults = b.config.PeerFaults(i)
	}
	d, err := daemon.Start(s, m.wrap(outside), slog.New(slog.DiscardHandler))
	check(tb, err)
	b.mortals[d] = m
	b.Hosts = append(b.Hosts, d)
	b.setLive(d, true)
	return d
}

// Kill ends host i like the death of its process.
func (b *Bed) Kill(i int) {
	b.setLive(b.Hosts[i], false)
	b.mortals[b.Hosts[i]].die()
	b.Hosts[i].Kill()
}

// Stop stops host i gracefully and returns the number of requests cut off.
// The balancer goes on to know it until it has stopped.
func (b *Bed) Stop(i int) int {
	left := b.Hosts[i].Stop()
	b.setLive(b.Hosts[i], false)
	return left
}

func (b *Bed) setLive(d *daemon.Daemon, live bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.live = slices.DeleteFunc(slices.Clone(b.live), func(other *daemon.Daemon) bool { return other == d })
	if live {
		b.live = append(b.live, d)
	}
}

// Live returns the hosts that have neither stopped nor died.
func (b *Bed) Live() []*daemon.Daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.live
}

// CallerAddresses returns the callers' addresses of the live hosts.
func (b *Bed) CallerAddresses() []string {
	var out []string
	for _, d := range b.Live() {
		out = append(out, d.Address("callers"))
	}
	return out
}

// settings returns the settings of host i, on free ports.
func (b *Bed) settings(tb testing.TB, i int) settings.Settings {
	tb.Helper()
	zones := b.config.Fleet.Zones
	s, err := settings.Parse(fmt.Appendf(nil, `
host: entry-%d
availability_zone: %s
region: %s
listen: {callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0"}
store: {url: %q}
host_list: {url: %q}
peers: {shared_key: testbed-peers}
operators: {token: %s}
`, i+1, zones[i%len(zones)], b.config.Fleet.Region, b.Store.URL(), b.HostList.URL(), Token))
	check(tb, err)
	for _, d := range b.Live() {
		s.Peers.SeedAddresses = append(s.Peers.SeedAddresses, d.Address("peers"))
	}
	if b.config.Adjust != nil {
		b.config.Adjust(&s)
	}
	return s
}

// waitLimit bounds every wait; it fails a test that would hang.
const waitLimit = 20 * time.Second

// Until waits for the condition, which is looked at again and again.
func Until(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	limit := time.After(waitLimit)
	for !condition() {
		select {
		case <-limit:
			tb.Fatalf("waited in vain: %s", what)
		case <-time.After(time.Millisecond):
		}
	}
}

func (b *Bed) close() {
	for _, d := range b.Live() {
		d.Stop()
	}
	b.HostList.Close()
	b.Store.Close()
	b.Fleet.Close()
}

func check(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

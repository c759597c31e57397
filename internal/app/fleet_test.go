package app_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/adapter/peer"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/daemon"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

// network disturbs the connections between hosts: it loses a share of the
// frames and cuts a set of addresses off from all others.
type network struct {
	mu   sync.Mutex
	rand *rand.Rand
	loss atomic.Int64 // in percent
	cut  map[string]bool
	// sides are the hosts' in their order.
	sides []*side
}

func newNetwork(seed uint64) *network {
	return &network{rand: rand.New(rand.NewPCG(seed, 1)), cut: map[string]bool{}}
}

// side is the network as one host meets it. self is set once it is known.
type side struct {
	net  *network
	self atomic.Pointer[string]
}

// Outbound implements peer.Faults.
func (s *side) Outbound(address string) (bool, time.Duration) {
	if s.Cut(address) {
		return true, 0
	}
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	return s.net.rand.Int64N(100) < s.net.loss.Load(), 0
}

// Cut implements peer.Faults.
func (s *side) Cut(address string) bool {
	self := s.self.Load()
	if self == nil {
		return false
	}
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	return s.net.cut[address] != s.net.cut[*self]
}

func (n *network) setCut(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[string]bool{}
	for _, a := range addresses {
		n.cut[a] = true
	}
}

// startFleet starts hosts in three zones on one network.
func startFleet(t testing.TB, hosts int, seed uint64) (*testbed.Bed, *network) {
	n := newNetwork(seed)
	bed := testbed.Start(t, testbed.Config{Hosts: hosts, PeerFaults: func(i int) peer.Faults {
		n.sides = append(n.sides, &side{net: n})
		return n.sides[i]
	}})
	n.know(bed)
	return bed, n
}

// know tells the sides the hosts' addresses.
func (n *network) know(bed *testbed.Bed) {
	for i, d := range bed.Hosts {
		address := d.Address("peers")
		n.sides[i].self.Store(&address)
	}
}

func inForce(hosts []*daemon.Daemon, version uint64) bool {
	for _, d := range hosts {
		r := d.App().Snapshot().Release
		if r == nil || r.Version < version {
			return false
		}
	}
	return true
}

// accept applies a note that takes a zone out, or back in, on a host.
func accept(t testing.TB, d *daemon.Daemon, out bool) uint64 {
	t.Helper()
	r := d.App().Snapshot().Release
	zone := r.Zones[0]
	zone.OutOfService = out
	accepted, err := d.App().ApplyNote(t.Context(), release.Note{
		ID: fmt.Sprintf("note-%d", r.Version+1), Author: "op", Reason: "test", Base: r.Version,
		Changed: release.Elements{Zones: []release.Zone{zone}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return accepted.Version
}

// Releases come in force on all hosts: undisturbed, through a fifth of the
// frames lost, with the store away right after the accept, in a zone that was
// cut off from the others, and on a host that starts while the store is away.
func TestReleaseComesInForceEverywhere(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const hosts = 16 // three of the five or six in each zone watch the store
	bed, network := startFleet(t, hosts, 1)
	until := func(what string, version uint64) {
		t.Helper()
		start := time.Now()
		testbed.Until(t, what, func() bool { return inForce(bed.Live(), version) })
		t.Logf("%s: in force on %d hosts after %v", what, len(bed.Live()), time.Since(start).Round(time.Millisecond))
	}
	until("undisturbed", accept(t, bed.Hosts[0], true))

	network.loss.Store(20)
	until("a fifth of frames lost", accept(t, bed.Hosts[3], false))

	version := accept(t, bed.Hosts[4], true)
	bed.Store.Outage(true)
	until("a fifth lost and the store away after the accept", version)
	network.loss.Store(0)

	late := bed.StartHost(t, hosts)
	is.Equal(late.App().Snapshot().Release.Version, version) // from its neighbours
	bed.Store.Outage(false)
	network.know(bed)

	// One zone is cut off from the others: its own watchers bring it the
	// release, and its hosts say which zones they don't reach.
	var zone []string
	for _, d := range bed.Live() {
		if d.App().Status().AvailabilityZone == "kranj" {
			zone = append(zone, d.Address("peers"))
		}
	}
	network.setCut(zone...)
	testbed.Until(t, "the cut is noticed", func() bool {
		return len(bed.Hosts[1].App().Status().UnreachableZones) == 2 && len(bed.Hosts[0].App().Status().UnreachableZones) == 1
	})
	until("a zone cut off from the others", accept(t, bed.Hosts[0], false))
	is.True(!bed.Hosts[1].App().Status().Stale) // the store still tells it of changes
	bed.Store.Outage(true)
	testbed.Until(t, "a host of the zone that is cut off from the store too is stale", func() bool {
		for _, d := range bed.Live() {
			if s := d.App().Status(); s.AvailabilityZone == "kranj" && !s.WatchesStore && s.Stale {
				return true
			}
		}
		return false
	})
	bed.Store.Outage(false)
	network.setCut()
	testbed.Until(t, "the cut heals", func() bool { return len(bed.Hosts[1].App().Status().UnreachableZones) == 0 })
}

// BenchmarkReleaseInForce counts the time, the frames and bytes between
// hosts, and the store's calls, from the accept of a release until it is in
// force on all hosts. The bound is the operators' 12 s.
func BenchmarkReleaseInForce(b *testing.B) {
	for _, hosts := range []int{2, 4, 8, 16, 32} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			bed, _ := startFleet(b, hosts, 3)
			var worst time.Duration
			calls := bed.Store.Calls()
			before := peerStats(bed)
			out := false
			b.ResetTimer()
			for b.Loop() {
				out = !out
				start := time.Now()
				version := accept(b, bed.Hosts[0], out)
				testbed.Until(b, "in force", func() bool { return inForce(bed.Hosts, version) })
				worst = max(worst, time.Since(start))
			}
			after := peerStats(bed)
			now := bed.Store.Calls()
			rounds := float64(b.N)
			b.ReportMetric(worst.Seconds()*1000, "worst-ms")
			b.ReportMetric(float64(after.FramesOut-before.FramesOut)/rounds/float64(hosts), "frames/host")
			b.ReportMetric(float64(after.BytesOut-before.BytesOut)/rounds/float64(hosts), "B/host")
			b.ReportMetric(float64(now.Reads()-calls.Reads())/rounds, "store-reads")
			if worst > 12*time.Second {
				b.Errorf("in force after %v, bound 12 s", worst)
			}
		})
	}
}

// The operators' limit for what a host sends and receives for control.
const maxControlBytesPerSecond = 9_000

// BenchmarkPeersAtRest counts what real connections carry while no requests
// and no releases come, handshakes included.
func BenchmarkPeersAtRest(b *testing.B) {
	const watched = 20 * time.Second
	for _, hosts := range []int{2, 4, 8, 16, 32} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			bed, _ := startFleet(b, hosts, 4)
			for b.Loop() {
				before := peerStats(bed)
				<-time.After(watched)
				after := peerStats(bed)
				perHost := float64(hosts) * watched.Seconds()
				rate := 2 * float64(after.BytesOut-before.BytesOut) / perHost // sent and received
				b.ReportMetric(rate, "B/s/host")
				b.ReportMetric(2*float64(after.FramesOut-before.FramesOut)/perHost, "frames/s/host")
				if rate > maxControlBytesPerSecond {
					b.Errorf("%.0f B/s, bound %d", rate, maxControlBytesPerSecond)
				}
			}
		})
	}
}

// peerStats sums what the hosts' links have counted.
func peerStats(bed *testbed.Bed) peer.Stats {
	var sum peer.Stats
	for _, d := range bed.Hosts {
		s := d.PeerStats()
		sum.FramesOut += s.FramesOut
		sum.BytesOut += s.BytesOut
	}
	return sum
}

// A host that starts alone while the store is away says that it isn't ready
// and why.
func TestLoneHostWithoutStoreIsNotReady(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{})
	bed.Store.Outage(true)
	d := bed.StartUnready(t, 1)
	testbed.Until(t, "the store is found away", func() bool { return d.App().Status().Stale })
	is.True(d.App().Ready() != nil)
	is.True(d.App().Status().NotReadyReason != "")
}

// Hosts that stop are known as leaving at once; killed ones as gone soon.
func TestHostsLeaveAndDie(t *testing.T) {
	t.Parallel()
	bed, _ := startFleet(t, 8, 2)
	state := func(host string, d *daemon.Daemon) string {
		for _, h := range d.App().Status().Hosts {
			if h.Host == host {
				return h.State
			}
		}
		return ""
	}
	start := time.Now()
	bed.Stop(6)
	testbed.Until(t, "the stopped host is leaving everywhere", func() bool {
		for _, d := range bed.Live() {
			if s := state("entry-7", d); s != "leaving" && s != "gone" {
				return false
			}
		}
		return true
	})
	t.Logf("stopped host known on all others after %v", time.Since(start).Round(time.Millisecond))
	start = time.Now()
	bed.Kill(5)
	testbed.Until(t, "the killed host is gone everywhere", func() bool {
		for _, d := range bed.Live() {
			if state("entry-6", d) != "gone" {
				return false
			}
		}
		return true
	})
	t.Logf("killed host gone on all others after %v", time.Since(start).Round(time.Millisecond))
}

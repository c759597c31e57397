package peering

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

// fakeTransport is a transport on which some hosts do not respond.
type fakeTransport struct {
	mu             sync.Mutex
	unresponsive   map[string]bool // by address
	overloaded     map[string]bool // by address
	frames         int64           // received from overloaded hosts
	resetAddresses []string        // arguments of the Reset calls
}

func (f *fakeTransport) Ask(ctx context.Context, address, _ string, _ []byte) ([]byte, error) {
	f.mu.Lock()
	unresponsive, responseTime := f.unresponsive[address], time.Millisecond
	if f.overloaded[address] {
		responseTime = overloadedResponseTime
	}
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(responseTime):
		return []byte{1}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// overloadedResponseTime is how long an overloaded host takes for any response. It
// sends other frames meanwhile.
const overloadedResponseTime = 2 * pingTimeout

func (f *fakeTransport) Reset(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resetAddresses = append(f.resetAddresses, address)
}

func (f *fakeTransport) FramesReceived(address string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.overloaded[address] {
		f.frames++
	}
	return f.frames
}

func (f *fakeTransport) setUnresponsive(unresponsive bool, addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		f.unresponsive[a] = unresponsive
	}
}

// newGroup returns the Group of host e, which knows the hosts a to e. Their ids are
// also their addresses. Host a started last, so it is the first candidate.
func newGroup(transport *fakeTransport) *Group {
	hosts := make(map[string]facts.Host)
	for i, id := range []string{"a", "b", "c", "d", "e"} {
		hosts[id] = facts.Host{ID: id, Address: id, StartedUnixMs: int64(10 - i)}
	}
	g := &Group{cfg: Config{Self: hosts["e"], Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler), Hosts: func() map[string]facts.Host { return hosts }},
		suspected: make(map[string]bool), inFlight: make(map[string]*hostRequests), transport: transport}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

func TestHostsPartitionedTogetherAreSuspectedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{unresponsive: make(map[string]bool)}
		g := newGroup(transport)
		defer func() { g.cancel(); synctest.Wait() }()
		is.Equal(g.Candidates(), []string{"a", "b", "c", "d", "e"})
		transport.setUnresponsive(true, "a", "b", "c", "d")
		startedAt := time.Now()
		_, err := g.Ask(context.Background(), "a", "work", nil)
		is.True(err != nil)
		is.True(time.Since(startedAt) <= inFlightPingInterval+pingTimeout+time.Millisecond)
		<-time.After(pingTimeout + time.Millisecond)
		synctest.Wait()
		is.Equal(g.Candidates(), []string{"e"})
		is.Equal(g.ReachableShare(nil), 0.2)
	})
}

func TestSuspectedHostIsCandidateAgainOnceItResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{unresponsive: make(map[string]bool)}
		g := newGroup(transport)
		defer func() { g.cancel(); synctest.Wait() }()
		transport.setUnresponsive(true, "a")
		_, err := g.Ask(context.Background(), "a", "work", nil)
		is.True(err != nil)
		is.Equal(g.Candidates()[0], "b")
		transport.setUnresponsive(false, "a")
		<-time.After(suspectedPingInterval + pingTimeout)
		synctest.Wait()
		is.Equal(g.Candidates()[0], "a")
		is.True(len(transport.resetAddresses) > 0)
	})
}

// Guards against taking a host that is overloaded for a dead one: its pings time out,
// but it sends replies to other requests. To close the connection would end these
// requests, and have other hosts run them a second time.
func TestOverloadedHostIsNotSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{unresponsive: make(map[string]bool), overloaded: map[string]bool{"a": true}}
		g := newGroup(transport)
		defer func() { g.cancel(); synctest.Wait() }()
		_, err := g.Ask(context.Background(), "a", "work", nil)
		is.NoErr(err)
		is.Equal(g.Candidates()[0], "a")
		is.Equal(len(transport.resetAddresses), 0)
	})
}

// TestHostIsWatchedWithoutRequests guards against a carrier that does not notice that the owner
// of a call has lost its path to it.
func TestHostIsWatchedWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{unresponsive: make(map[string]bool)}
		g := newGroup(transport)
		defer func() { g.cancel(); synctest.Wait() }()
		ctx, release := g.WhileReachable("a")
		other, releaseOther := g.WhileReachable("a")
		<-time.After(10 * time.Second)
		releaseOther()
		is.NoErr(ctx.Err())
		is.True(other.Err() != nil)
		transport.setUnresponsive(true, "a")
		<-time.After(inFlightPingInterval + pingTimeout + time.Millisecond)
		synctest.Wait()
		is.True(ctx.Err() != nil)
		release()
		release()
		is.Equal(len(g.inFlight), 0)
	})
}

func TestCancelledRequestSuspectsNoHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{unresponsive: map[string]bool{"a": true}}
		g := newGroup(transport)
		defer func() { g.cancel(); synctest.Wait() }()
		ctx, cancel := context.WithTimeout(context.Background(), inFlightPingInterval/2)
		defer cancel()
		_, err := g.Ask(ctx, "a", "work", nil)
		is.True(err != nil)
		is.Equal(len(g.Others()), 4)
	})
}

func TestLeavingHostIsNoCandidate(t *testing.T) {
	is := is.New(t)
	g := newGroup(&fakeTransport{})
	g.leaving = true
	is.Equal(g.Candidates(), []string{"a", "b", "c", "d"})
}

// The coordinator sends no requests for stage work to other hosts. The pings of its
// monitored hosts show that it is partitioned.
func TestHostWithoutRequestsDetectsThatNoPeerResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		transport := &fakeTransport{unresponsive: make(map[string]bool)}
		g := newGroup(transport)
		defer func() { g.cancel(); synctest.Wait() }()
		go g.pingMonitoredHosts()
		<-time.After(10 * monitoredPingInterval)
		is.Equal(len(g.Others()), 4)
		is.True(!g.NoPeerResponds())
		transport.setUnresponsive(true, "a", "b", "c", "d")
		<-time.After(monitoredPingInterval + 2*pingTimeout + time.Millisecond)
		synctest.Wait()
		is.True(g.NoPeerResponds())
		transport.setUnresponsive(false, "b")
		<-time.After(suspectedPingInterval + pingTimeout)
		synctest.Wait()
		is.True(!g.NoPeerResponds())
	})
}

// A host whose lease expired while it could not reach the store is unknown to the
// others, which use another coordinator.
func TestUnregisteredHostIsNoCandidateIfOthersRespond(t *testing.T) {
	is := is.New(t)
	g := newGroup(&fakeTransport{})
	known := g.cfg.Hosts()
	g.cfg.Self = known["a"]
	is.Equal(g.Candidates()[0], "a")
	delete(known, "a")
	is.Equal(g.Candidates(), []string{"b", "c", "d", "e"})
	for _, id := range []string{"b", "c", "d", "e"} {
		g.suspected[id] = true
	}
	is.Equal(g.Candidates(), []string{"a"}) // without responsive peers it coordinates its own work
}

// fakeStore stores the newest value of each key. CompareAndSwap compares with the
// revision of the whole store, and Range returns no keys.
type fakeStore struct {
	port.WatchableStore
	values   map[string][]byte
	revision int64
	ttl      time.Duration // of the last lease granted
}

func (f *fakeStore) GrantLease(_ context.Context, ttl time.Duration) (port.Lease, error) {
	f.ttl = ttl
	return port.Lease{ID: 1}, nil
}

func (f *fakeStore) Range(context.Context, string) ([]port.KeyValue, port.StorePosition, error) {
	return nil, port.StorePosition{Revision: f.revision}, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, prev int64, _ port.Lease) (int64, error) {
	if prev != f.revision {
		return 0, port.ErrConflict
	}
	f.revision++
	f.values[key] = value
	return f.revision, nil
}

// When hosts are restarted in turn, the coordinator stays, and the host just
// restarted is the next candidate.
func TestCoordinationStaysWithItsCoordinator(t *testing.T) {
	is := is.New(t)
	g := newGroup(&fakeTransport{})
	defer g.cancel()
	f := &fakeStore{values: make(map[string][]byte), revision: 7}
	g.cfg.Store, g.cfg.KeyPrefix = f, "own/"
	known := g.cfg.Hosts()
	is.Equal(g.Candidates(), []string{"a", "b", "c", "d", "e"}) // the host that started last comes first
	c := known["c"]
	c.CoordinatorSinceUnixMs = 100
	known["c"] = c
	is.Equal(g.Candidates(), []string{"c", "a", "b", "d", "e"})
	restarted := known["b"]
	restarted.StartedUnixMs = 1000
	known["b"] = restarted
	is.Equal(g.Candidates(), []string{"c", "b", "a", "d", "e"})
	c.Leaving = true
	known["c"] = c
	is.Equal(g.Candidates(), []string{"b", "a", "d", "e"})
	g.ClaimCoordination("kranj") // no effect: not registered yet
	is.Equal(len(f.values), 0)
	g.lease, g.revision = port.Lease{ID: 1}, 7
	g.ClaimCoordination("kranj")
	g.ClaimCoordination("kranj")
	is.Equal(f.revision, int64(8)) // written once
	var ownEntry facts.Host
	is.NoErr(json.Unmarshal(f.values["own/hosts/e"], &ownEntry))
	is.True(ownEntry.CoordinatorSinceUnixMs > 0)
	is.Equal(g.Candidates()[0], "e")
}

// Hosts that lose the store for 12 seconds, as on days of the users' bench, must
// stay known to the others, which can still reach them. The lease's TTL must cover
// that time and two renewal intervals.
func TestLeaseTTLCoversAPartitionFromTheStore(t *testing.T) {
	is := is.New(t)
	g := newGroup(&fakeTransport{})
	defer g.cancel()
	f := &fakeStore{values: make(map[string][]byte)}
	g.cfg.Store, g.cfg.KeyPrefix = f, "own/"
	_, err := g.register(t.Context())
	is.NoErr(err)
	is.True(f.ttl >= 12*time.Second+2*leaseRenewInterval)
	is.Equal(len(f.values), 1)
}

// zonedGroup returns the Group of host a1, which knows six hosts of three zones. The
// hosts of each zone started in the order of their names.
func zonedGroup() *Group {
	g := newGroup(&fakeTransport{})
	known := g.cfg.Hosts()
	clear(known)
	for i, id := range []string{"a1", "a2", "a3", "b1", "b2", "c1"} {
		known[id] = facts.Host{ID: id, Address: id, Zone: id[:1], StartedUnixMs: int64(i), Cores: 0.2, LinkMbps: 10}
	}
	g.cfg.Self = known["a1"]
	return g
}

func TestCoordinatorIsAHostOfTheGroupsZones(t *testing.T) {
	is := is.New(t)
	g := zonedGroup()
	is.Equal(g.Coordinators("a", []string{"a"}), []string{"a3", "a2", "a1"})
	is.Equal(g.Coordinators("b+c", []string{"b", "c"}), []string{"c1", "b2", "b1"})
	is.Equal(len(g.Coordinators("d", []string{"d"})), 6) // no host in the zone: all are candidates
	g.suspected["b1"], g.suspected["b2"] = true, true
	is.Equal(len(g.Coordinators("b", []string{"b"})), 0) // partitioned hosts keep their endpoints
	is.Equal(g.ReachableShare([]string{"b"}), 1.0/3)     // this host counts
	is.Equal(g.ReachableShare([]string{"a"}), 1.0)
}

// Guards against a coordinator on one of the smallest hosts while larger ones are idle.
func TestHostWithMoreCapacityCoordinates(t *testing.T) {
	is := is.New(t)
	g := zonedGroup()
	known := g.cfg.Hosts()
	set := func(id string, change func(*facts.Host)) {
		h := known[id]
		change(&h)
		known[id] = h
	}
	set("a2", func(h *facts.Host) { h.CoordinatorSinceUnixMs, h.CoordinatedGroup = 5, "a" })
	is.Equal(g.Coordinators("a", []string{"a"}), []string{"a2", "a3", "a1"})
	set("a3", func(h *facts.Host) { h.Cores = 0.24 }) // not worth a change
	is.Equal(g.Coordinators("a", []string{"a"})[0], "a2")
	set("a3", func(h *facts.Host) { h.Cores = 0.8 })
	is.Equal(g.Coordinators("a", []string{"a"}), []string{"a3", "a2", "a1"})
	set("a2", func(h *facts.Host) { h.Cores, h.LinkMbps = 0.8, 100 })
	is.Equal(g.Coordinators("a", []string{"a"}), []string{"a2", "a3", "a1"})
}

// Two groups of one zone have two coordinators.
func TestCoordinatorOfAnotherGroupComesLast(t *testing.T) {
	is := is.New(t)
	g := zonedGroup()
	known := g.cfg.Hosts()
	h := known["a3"]
	h.CoordinatorSinceUnixMs, h.CoordinatedGroup = 5, "a"
	known["a3"] = h
	is.Equal(g.Coordinators("a", []string{"a"})[0], "a3")
	is.Equal(g.Coordinators("a/1", []string{"a"}), []string{"a2", "a1", "a3"})
}

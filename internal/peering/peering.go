// Package peering connects the hosts: each registers itself in the store under a
// lease and reaches the others over authenticated connections. A host whose ping
// or request fails is suspected and not used until it responds to a ping, even
// while its entry exists. A ping fails only if nothing at all arrives from the host
// meanwhile: a host that is overloaded responds late, but goes on sending replies.
//
// A host pings three kinds of other hosts: those to which it has requests in
// flight, up to two monitored hosts, and suspected hosts.
package peering

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/adapter/peer"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// leaseTTL is how long a host's entry remains in the store after the last renewal
	// of its lease. Hosts that do not respond are suspected long before. A host that
	// is partitioned only from the store keeps its work for that time.
	leaseTTL = 15 * time.Second
	// leaseRenewInterval is the time between two renewals of the lease.
	leaseRenewInterval = 1300 * time.Millisecond
	// callTimeout bounds a store call.
	callTimeout = time.Second
	// retryDelay is the delay after a failed store call.
	retryDelay = 400 * time.Millisecond
	// inFlightPingInterval is the time between two pings of a host with requests in
	// flight, and pingTimeout bounds a ping. Their sum bounds how long it takes to
	// detect that such a host has stopped responding.
	inFlightPingInterval = 250 * time.Millisecond
	pingTimeout          = 400 * time.Millisecond
	// maxCandidatePings bounds the candidates that are pinged when a host becomes
	// suspected.
	maxCandidatePings = 8
	// monitoredPingInterval is the time between two pings of a host's monitored
	// hosts. The coordinator needs these pings because it sends no other requests to
	// hosts.
	monitoredPingInterval = 500 * time.Millisecond
	// suspectedPingInterval is the time between two pings of a suspected host.
	suspectedPingInterval = 500 * time.Millisecond
	// sharedKeyBytes is the size of the key with which all hosts authenticate to each
	// other.
	sharedKeyBytes = 32
	// sharedKeyName is the store key of the shared key, and hostKeyPrefix the prefix
	// of the store keys of the hosts' entries. Both follow Config.KeyPrefix.
	sharedKeyName = "peer-key"
	hostKeyPrefix = "hosts/"

	// kindPing is the kind of ping requests. Those to monitored hosts carry what
	// Config.Gossip sends, and so do the replies to these.
	kindPing = "ping"
)

// Config holds the settings and dependencies of a Group.
type Config struct {
	// Self is the entry of this host. Listen listens on its Address.
	Self facts.Host
	// KeyPrefix is the prefix of pimentorill's own keys in the store.
	KeyPrefix string
	Store     port.WatchableStore
	Clock     port.Clock
	Log       *slog.Logger
	// MinLease is the shortest lease TTL that the store grants.
	MinLease time.Duration
	// OnSuspected is called with the zone of each known host that becomes suspected.
	// It may be nil. Calls may be concurrent.
	OnSuspected func(zone string)
	// Hosts returns the hosts known from the store by id, with this host only while
	// it is registered. The Group does not modify the map.
	Hosts func() map[string]facts.Host
	// Gossip spreads state among the hosts with the pings of the monitored hosts; nil
	// for none.
	Gossip Gossip
}

// Gossip is state that hosts tell each other. Its methods may be called concurrently.
type Gossip interface {
	// Outgoing returns what this host tells another one; nothing is exchanged if it is
	// empty.
	Outgoing() []byte
	// Incoming applies what another host tells.
	Incoming(payload []byte)
}

// Group is this host's membership in the group of hosts. It is safe for concurrent
// use, except for Handle and HandleWhileConnected.
type Group struct {
	cfg      Config
	listener net.Listener
	// handlers and connectedHandlers are those of Handle and HandleWhileConnected.
	handlers, connectedHandlers map[string]port.RequestHandler

	// ctx ends when Run returns.
	ctx    context.Context
	cancel context.CancelFunc

	// writeMu serializes ClaimCoordination and AnnounceLeaving.
	writeMu sync.Mutex

	mu sync.Mutex
	// transport is nil until Run has loaded the shared key.
	transport transport
	// suspected holds the ids of the suspected hosts; each is pinged until it
	// responds or is no longer known.
	suspected map[string]bool
	// inFlight holds the requests in flight by host id.
	inFlight map[string]*hostRequests
	// lease and revision are those of the entry that this host wrote last, which may
	// have expired; zero before the first one.
	lease    port.Lease
	revision int64
	// coordinatorSinceUnixMs is when this host became the coordinator, in Unix
	// milliseconds; 0 if it is not.
	coordinatorSinceUnixMs int64
	// coordinatedGroup is the name of the group that it coordinates.
	coordinatedGroup string
	// leaving is set once AnnounceLeaving is called.
	leaving bool
}

// transport sends requests to addresses. *peer.Transport implements it.
type transport interface {
	// Ask sends a request and returns the response. The error is a *verdict.Error,
	// with CodeNoCapacity also if the address can't be reached.
	Ask(ctx context.Context, address, kind string, payload []byte) ([]byte, error)
	// Reset closes the connection to an address; the next request opens a new one.
	Reset(address string)
	// FramesReceived returns the number of frames that have arrived from an address.
	FramesReceived(address string) int64
}

// hostRequests counts the requests in flight to a host. Its context ends when none
// is left, or when a ping of the host fails.
type hostRequests struct {
	ctx    context.Context
	cancel context.CancelFunc
	count  int
}

// Listen listens for the other hosts on cfg.Self.Address and returns a Group. Run
// makes it serve and send requests.
func Listen(cfg Config) (*Group, error) {
	l, err := net.Listen("tcp", cfg.Self.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for hosts")
	}
	// Port 0 is replaced by the port that was chosen.
	cfg.Self.Address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{cfg: cfg, ctx: ctx, cancel: cancel, listener: l, handlers: make(map[string]port.RequestHandler), connectedHandlers: make(map[string]port.RequestHandler),
		suspected: make(map[string]bool), inFlight: make(map[string]*hostRequests)}
	g.Handle(kindPing, g.handlePing)
	return g, nil
}

// Handle sets the handler for requests of a kind. It must be called before Run.
func (g *Group) Handle(kind string, fn port.RequestHandler) { g.handlers[kind] = fn }

// HandleWhileConnected is like Handle, but the context of the handler also ends when
// the requester's connection closes.
func (g *Group) HandleWhileConnected(kind string, fn port.RequestHandler) {
	g.connectedHandlers[kind] = fn
}

// Run registers this host and serves the requests of the others until ctx ends,
// then removes its entry. It must be called once.
func (g *Group) Run(ctx context.Context) {
	defer g.cancel()
	key := g.loadSharedKey(ctx)
	if key == nil {
		g.listener.Close()
		return
	}
	t, err := peer.New(peer.Config{
		Self:     port.Member{ID: g.cfg.Self.ID, AvailabilityZone: g.cfg.Self.Zone, Address: g.cfg.Self.Address, Incarnation: uint64(g.cfg.Self.StartedUnixMs)},
		Listener: g.listener, SharedKeys: [][]byte{key}, Clock: g.cfg.Clock, Log: g.cfg.Log,
	})
	if err != nil {
		g.cfg.Log.Error("hosts can't be reached", slog.Any("error", err))
		g.listener.Close()
		return
	}
	for kind, fn := range g.handlers {
		t.Handle(kind, fn)
	}
	for kind, fn := range g.connectedHandlers {
		t.HandleWhileConnected(kind, fn)
	}
	t.Start()
	g.mu.Lock()
	g.transport = t
	g.mu.Unlock()
	go g.pingMonitoredHosts()
	g.maintainEntry(ctx, key)
	t.Close()
}

// Others returns the ids of the other known hosts that are not suspected, sorted.
func (g *Group) Others() []string {
	hosts := g.cfg.Hosts()
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for id := range hosts {
		if !g.suspected[id] && id != g.cfg.Self.ID {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Candidates returns the hosts that are neither suspected nor leaving, in an order
// that hosts with the same knowledge agree on: coordinators first, the longest-serving
// one before the others, then the hosts that started last. This host is one of them,
// unless it is leaving or unregistered and there are others.
func (g *Group) Candidates() []string {
	return sortedIDs(g.candidates(nil), "")
}

// Coordinators returns the candidates for the coordinator of a group of endpoints in
// order of preference: the hosts of the zones that are neither suspected nor leaving,
// or those of all zones if none is known in these. Hosts with more capacity come first.
// Among equal ones the group's coordinators do, the longest-serving one before the
// others, and last those of other groups; then the hosts that started last: hosts
// are often restarted in turn, and the one just restarted will be the last to be
// restarted again.
func (g *Group) Coordinators(group string, zones []string) []string {
	return sortedIDs(g.candidates(zones), group)
}

// candidates returns the hosts of the zones that are neither suspected nor leaving, or
// of all zones if no host of these is known.
func (g *Group) candidates(zones []string) []facts.Host {
	hosts := g.cfg.Hosts()
	self := g.selfEntry()
	inZones := func(h facts.Host) bool { return len(zones) == 0 || slices.Contains(zones, h.Zone) }
	if !inZones(self) && !anyHost(hosts, inZones) {
		inZones = func(facts.Host) bool { return true }
	}
	var list []facts.Host
	g.mu.Lock()
	for id, h := range hosts {
		if id != self.ID && !g.suspected[id] && !h.Leaving && inZones(h) {
			list = append(list, h)
		}
	}
	g.mu.Unlock()
	// A host whose lease expired while it could not reach the store is unknown to
	// the others. It would coordinate at the same time as the host that they use.
	_, registered := hosts[self.ID]
	if inZones(self) && (!self.Leaving && registered || len(list) == 0) {
		list = append(list, self)
	}
	return list
}

func anyHost(hosts map[string]facts.Host, matches func(facts.Host) bool) bool {
	for _, h := range hosts {
		if matches(h) {
			return true
		}
	}
	return false
}

// sortedIDs sorts the candidates for the coordinator of a group, or of any group if the
// name is empty, and returns their ids.
func sortedIDs(candidates []facts.Host, group string) []string {
	slices.SortFunc(candidates, func(a, b facts.Host) int {
		return cmp.Or(compareCapacity(a, b, group), cmp.Compare(coordinatorRank(a, group), coordinatorRank(b, group)),
			cmp.Compare(a.CoordinatorSinceUnixMs, b.CoordinatorSinceUnixMs), cmp.Compare(b.StartedUnixMs, a.StartedUnixMs), cmp.Compare(a.ID, b.ID))
	})
	out := make([]string, 0, len(candidates))
	for _, h := range candidates {
		out = append(out, h.ID)
	}
	return out
}

// compareCapacity sorts hosts with more processor time before others, then those with
// more bandwidth. Only powers of two count: smaller differences are not worth a change
// of the coordinator.
func compareCapacity(a, b facts.Host, group string) int {
	if group == "" {
		return 0
	}
	return cmp.Or(cmp.Compare(magnitude(b.Cores), magnitude(a.Cores)), cmp.Compare(magnitude(b.LinkMbps), magnitude(a.LinkMbps)))
}

// magnitude returns the binary logarithm, rounded down; the smallest number for 0,
// which stands for an unknown capacity.
func magnitude(x float64) int {
	if x <= 0 {
		return math.MinInt
	}
	return int(math.Floor(math.Log2(x)))
}

// ShuttingDown reports whether AnnounceLeaving was called.
func (g *Group) ShuttingDown() bool { return g.selfEntry().Leaving }

// coordinatorRank sorts the coordinators of a group before the hosts that coordinate
// none, and these before the coordinators of other groups. If the group is empty, all
// coordinators come first.
func coordinatorRank(h facts.Host, group string) int {
	switch {
	case h.CoordinatorSinceUnixMs == 0:
		return 1
	case group == "" || h.CoordinatedGroup == group:
		return 0
	default:
		return 2
	}
}

// NoPeerResponds reports whether other hosts are known and all of them are
// suspected.
func (g *Group) NoPeerResponds() bool {
	known := len(g.cfg.Hosts())
	if _, registered := g.cfg.Hosts()[g.cfg.Self.ID]; registered {
		known--
	}
	return known > 0 && len(g.Others()) == 0
}

// ReachableShare returns the share, from 0 to 1, of the known hosts of the zones (of
// all hosts without zones) that are not suspected. This host counts as one of them.
func (g *Group) ReachableShare(zones []string) float64 {
	hosts := g.cfg.Hosts()
	g.mu.Lock()
	defer g.mu.Unlock()
	known, reachable := 1, 1
	for id, h := range hosts {
		if id == g.cfg.Self.ID || len(zones) > 0 && !slices.Contains(zones, h.Zone) {
			continue
		}
		known++
		if !g.suspected[id] {
			reachable++
		}
	}
	return float64(reachable) / float64(known)
}

// selfEntry returns the entry of this host as it should be in the store.
func (g *Group) selfEntry() facts.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.cfg.Self
	h.Leaving, h.CoordinatorSinceUnixMs, h.CoordinatedGroup = g.leaving, g.coordinatorSinceUnixMs, g.coordinatedGroup
	return h
}

// Self returns this host's id.
func (g *Group) Self() string { return g.cfg.Self.ID }

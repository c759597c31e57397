// Package peering connects the hosts: each registers itself in the store under a
// lease and reaches the others over authenticated connections. A host that does
// not respond is suspected and not used until it responds to a probe, even while
// its entry exists.
package peering

import (
	"cmp"
	"context"
	"log/slog"
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
	// leaseTTL is how long a host's entry outlives it. Hosts that do not respond are
	// suspected long before. A host that is partitioned only from the store keeps
	// its work for that time.
	leaseTTL = 15 * time.Second
	// leaseRenewInterval is the time between two renewals of the lease.
	leaseRenewInterval = 1300 * time.Millisecond
	// callTimeout bounds a store call.
	callTimeout = time.Second
	// retryDelay is the delay after a failed store call.
	retryDelay = 400 * time.Millisecond
	// pingInterval and pingTimeout bound how long it takes to detect that a host
	// with requests in flight has stopped responding.
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 400 * time.Millisecond
	// maxCorrelatedChecks bounds the candidates that are checked when a host does
	// not respond.
	maxCorrelatedChecks = 8
	// neighbourCheckInterval is the time between two checks of a host's neighbours.
	// The coordinator needs them because it sends no other requests to hosts.
	neighbourCheckInterval = 500 * time.Millisecond
	// probeInterval is the time between two probes of a suspected host.
	probeInterval = 500 * time.Millisecond
	// keyBytes is the size of the shared key.
	keyBytes = 32
	// keyName is the store key of the shared key, and hostsName the prefix of the
	// hosts' entries, both below Config.KeyPrefix.
	keyName   = "peer-key"
	hostsName = "hosts/"

	kindPing = "ping"
)

// Config holds the settings and dependencies of a Group.
type Config struct {
	Self      facts.Host
	KeyPrefix string
	Store     port.WatchableStore
	Clock     port.Clock
	Log       *slog.Logger
	// MinLease is the shortest lease TTL that the store grants.
	MinLease time.Duration
	// OnSuspected is called with the zone of each host that becomes suspected. It
	// may be nil.
	OnSuspected func(zone string)
	// Hosts returns the known hosts by id.
	Hosts func() map[string]facts.Host
}

// Group is this host's membership in the group of hosts. It is safe for concurrent
// use, except for Handle.
type Group struct {
	cfg      Config
	listener net.Listener
	handlers map[string]port.RequestHandler

	// ctx ends with Run.
	ctx    context.Context
	cancel context.CancelFunc

	// writeMu serializes ClaimCoordination and AnnounceLeaving.
	writeMu sync.Mutex

	mu        sync.Mutex
	transport transport
	// suspected holds the hosts that did not respond; each is probed until it does.
	suspected map[string]bool
	// inFlight holds the hosts with requests in flight.
	inFlight map[string]*hostRequests
	// lease and revision are those of this host's entry.
	lease, revision int64
	// coordinatorSince is when this host became the coordinator, in Unix
	// milliseconds; 0 if it is not.
	coordinatorSince int64
	leaving          bool
}

// transport sends requests to addresses. *peer.Transport implements it.
type transport interface {
	Ask(ctx context.Context, address, kind string, payload []byte) ([]byte, error)
	Reset(address string)
}

// hostRequests counts the requests in flight to a host. Its context ends when the
// host stops responding.
type hostRequests struct {
	ctx    context.Context
	cancel context.CancelFunc
	count  int
}

// Listen listens on the address for the other hosts and returns a Group.
func Listen(cfg Config) (*Group, error) {
	l, err := net.Listen("tcp", cfg.Self.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for hosts")
	}
	// Port 0 is replaced by the port that was chosen.
	cfg.Self.Address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{cfg: cfg, ctx: ctx, cancel: cancel, listener: l, handlers: make(map[string]port.RequestHandler),
		suspected: make(map[string]bool), inFlight: make(map[string]*hostRequests)}
	g.Handle(kindPing, func(context.Context, port.Member, []byte) ([]byte, error) { return []byte{1}, nil })
	return g, nil
}

// Handle sets the handler for requests of a kind. It must be called before Run.
func (g *Group) Handle(kind string, fn port.RequestHandler) { g.handlers[kind] = fn }

// Run joins the group and leaves it when ctx ends.
func (g *Group) Run(ctx context.Context) {
	defer g.cancel()
	key := g.loadSharedKey(ctx)
	if key == nil {
		g.listener.Close()
		return
	}
	link, err := peer.New(peer.Config{
		Self:     port.Member{ID: g.cfg.Self.ID, AvailabilityZone: g.cfg.Self.Zone, Address: g.cfg.Self.Address, Incarnation: uint64(g.cfg.Self.StartedUnixMs)},
		Listener: g.listener, SharedKeys: [][]byte{key}, Clock: g.cfg.Clock, Log: g.cfg.Log,
	})
	if err != nil {
		g.cfg.Log.Error("hosts can't be reached", slog.Any("error", err))
		g.listener.Close()
		return
	}
	for kind, fn := range g.handlers {
		link.Handle(kind, fn)
	}
	link.Start()
	g.mu.Lock()
	g.transport = link
	g.mu.Unlock()
	go g.checkNeighbours()
	g.maintainEntry(ctx)
	link.Close()
}

// Others returns the ids of the other hosts that are not suspected.
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

// Candidates returns the candidates for the coordinator in order of preference:
// the hosts that respond and are not leaving, including this one. Hosts that are
// coordinators already come first, the longest-serving one before the others,
// then the hosts that started last: hosts are often restarted in turn, and the
// one just restarted will be the last to be restarted again.
func (g *Group) Candidates() []string {
	hosts := g.cfg.Hosts()
	self := g.selfEntry()
	list := []facts.Host{self}
	for _, id := range g.Others() {
		if h := hosts[id]; !h.Leaving {
			list = append(list, h)
		}
	}
	// A host whose lease expired while it could not reach the store is unknown to
	// the others. It would coordinate at the same time as the host that they use.
	_, registered := hosts[self.ID]
	if (self.Leaving || !registered) && len(list) > 1 {
		list = list[1:]
	}
	slices.SortFunc(list, func(a, b facts.Host) int {
		return cmp.Or(cmp.Compare(coordinatorRank(a), coordinatorRank(b)), cmp.Compare(a.CoordinatorSinceUnixMs, b.CoordinatorSinceUnixMs),
			cmp.Compare(b.StartedUnixMs, a.StartedUnixMs), cmp.Compare(a.ID, b.ID))
	})
	ids := make([]string, 0, len(list))
	for _, h := range list {
		ids = append(ids, h.ID)
	}
	return ids
}

// ShuttingDown reports whether this host is about to stop.
func (g *Group) ShuttingDown() bool { return g.selfEntry().Leaving }

// coordinatorRank sorts coordinators before the other hosts.
func coordinatorRank(h facts.Host) int {
	if h.CoordinatorSinceUnixMs > 0 {
		return 0
	}
	return 1
}

// NoPeerResponds reports whether other hosts are known and all are suspected.
func (g *Group) NoPeerResponds() bool {
	known := len(g.cfg.Hosts())
	if _, registered := g.cfg.Hosts()[g.cfg.Self.ID]; registered {
		known--
	}
	return known > 0 && len(g.Others()) == 0
}

// ReachableShare returns the share of the known hosts, including this one, that
// are not suspected.
func (g *Group) ReachableShare() float64 {
	known := len(g.cfg.Hosts())
	if _, registered := g.cfg.Hosts()[g.cfg.Self.ID]; !registered {
		known++
	}
	return float64(len(g.Others())+1) / float64(known)
}

func (g *Group) selfEntry() facts.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.cfg.Self
	h.Leaving, h.CoordinatorSinceUnixMs = g.leaving, g.coordinatorSince
	return h
}

// Self returns this host's id.
func (g *Group) Self() string { return g.cfg.Self.ID }

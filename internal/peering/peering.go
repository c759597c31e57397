// Package peering joins the hosts: each enters itself in the store under a
// lease, and reaches the others over authenticated connections. A host that
// does not answer is left alone for a while, whatever its entry says.
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
	// leaseTime is how long a host's entry outlives it. Hosts that do not answer
	// are left alone long before; one that only the store does not reach keeps its
	// work through a cut of that length.
	leaseTime = 15 * time.Second
	// keepInterval is how often the lease is renewed.
	keepInterval = 1300 * time.Millisecond
	// callTimeout bounds a call of the store.
	callTimeout = time.Second
	// retryPause is the wait after a failed call of the store.
	retryPause = 400 * time.Millisecond
	// pingInterval and pingTimeout find out that a host with work of ours has
	// stopped answering.
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 400 * time.Millisecond
	// suspectedTogether bounds the hosts that are looked at when one does not
	// answer.
	suspectedTogether = 8
	// beatInterval is how often a host asks its neighbours whether they answer,
	// also without work for them: the keeper of the stages asks nobody else.
	beatInterval = 500 * time.Millisecond
	// probeInterval is how often a host that did not answer is asked again.
	probeInterval = 500 * time.Millisecond
	// keyBytes is the size of the key that the hosts share.
	keyBytes = 32
	// keyName and hostsName are keys of the store under the own prefix.
	keyName   = "peer-key"
	hostsName = "hosts/"

	kindPing = "ping"
)

// Config is what a Group needs.
type Config struct {
	Self   facts.Host
	Prefix string
	Feed   port.WatchableStore
	Clock  port.Clock
	Log    *slog.Logger
	// MinLease is the shortest lease that the store gives.
	MinLease time.Duration
	// Suspected is told of the zone of each host that does not answer; nil if
	// nobody asks.
	Suspected func(zone string)
	// Hosts returns the hosts that are known.
	Hosts func() map[string]facts.Host
}

// Group is this host among the others. It is safe for concurrent use.
type Group struct {
	cfg      Config
	listener net.Listener
	handlers map[string]port.RequestHandler

	// ctx ends with Run.
	ctx    context.Context
	cancel context.CancelFunc

	// writing lets one change of the own entry follow the other.
	writing sync.Mutex

	mu   sync.Mutex
	link link
	// suspects holds the hosts that did not answer; each is probed until it does.
	suspects map[string]bool
	// asking holds the hosts with questions under way.
	asking map[string]*asked
	// lease and revision are those of the own entry.
	lease, revision int64
	// keeperSince is when this host became the keeper, in Unix milliseconds.
	keeperSince int64
	leaving     bool
}

// link carries questions to addresses; *peer.Link is one.
type link interface {
	Ask(ctx context.Context, address, kind string, payload []byte) ([]byte, error)
	Reset(address string)
}

// asked is a host with questions under way; its context ends when it stops answering.
type asked struct {
	ctx    context.Context
	cancel context.CancelFunc
	count  int
}

// Listen opens the address for the other hosts.
func Listen(cfg Config) (*Group, error) {
	l, err := net.Listen("tcp", cfg.Self.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for hosts")
	}
	// Port 0 takes any that is free.
	cfg.Self.Address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{cfg: cfg, ctx: ctx, cancel: cancel, listener: l, handlers: make(map[string]port.RequestHandler),
		suspects: make(map[string]bool), asking: make(map[string]*asked)}
	g.Handle(kindPing, func(context.Context, port.Member, []byte) ([]byte, error) { return []byte{1}, nil })
	return g, nil
}

// Handle sets the function for requests of a kind. Call it before Run.
func (g *Group) Handle(kind string, fn port.RequestHandler) { g.handlers[kind] = fn }

// Run joins the group and stays in it until ctx ends.
func (g *Group) Run(ctx context.Context) {
	defer g.cancel()
	key := g.sharedKey(ctx)
	if key == nil {
		g.listener.Close()
		return
	}
	link, err := peer.New(peer.Config{
		Self:     port.Member{ID: g.cfg.Self.ID, AvailabilityZone: g.cfg.Self.Zone, Address: g.cfg.Self.Address, Incarnation: uint64(g.cfg.Self.Started)},
		Listener: g.listener, Keys: [][]byte{key}, Clock: g.cfg.Clock, Log: g.cfg.Log,
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
	g.link = link
	g.mu.Unlock()
	go g.beat()
	g.stayEntered(ctx)
	link.Close()
}

// Others returns the ids of the other hosts that are not suspected.
func (g *Group) Others() []string {
	hosts := g.cfg.Hosts()
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for id := range hosts {
		if !g.suspects[id] && id != g.cfg.Self.ID {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Candidates returns the hosts that answer and are not leaving, this one among
// them, in the order in which they are to gather work: those that do so already
// first, then the one that started last. Hosts are often restarted in turn, and
// the one that has just been is the last to be restarted again.
func (g *Group) Candidates() []string {
	hosts := g.cfg.Hosts()
	self := g.self()
	list := []facts.Host{self}
	for _, id := range g.Others() {
		if h := hosts[id]; !h.Leaving {
			list = append(list, h)
		}
	}
	// One that the others do not know, because its lease has lapsed while it does
	// not reach the store, would work beside the host that they ask.
	_, entered := hosts[self.ID]
	if (self.Leaving || !entered) && len(list) > 1 {
		list = list[1:]
	}
	slices.SortFunc(list, func(a, b facts.Host) int {
		return cmp.Or(cmp.Compare(turn(a), turn(b)), cmp.Compare(a.KeeperSince, b.KeeperSince),
			cmp.Compare(b.Started, a.Started), cmp.Compare(a.ID, b.ID))
	})
	ids := make([]string, 0, len(list))
	for _, h := range list {
		ids = append(ids, h.ID)
	}
	return ids
}

// Leaving reports whether this host is about to end.
func (g *Group) ShuttingDown() bool { return g.self().Leaving }

// turn puts hosts that gather work before the others.
func turn(h facts.Host) int {
	if h.KeeperSince > 0 {
		return 0
	}
	return 1
}

// Alone reports whether other hosts are known and none of them answers.
func (g *Group) Alone() bool {
	known := len(g.cfg.Hosts())
	if _, entered := g.cfg.Hosts()[g.cfg.Self.ID]; entered {
		known--
	}
	return known > 0 && len(g.Others()) == 0
}

// Reach returns the part of the known hosts that answer, this one among them.
func (g *Group) Reach() float64 {
	known := len(g.cfg.Hosts())
	if _, entered := g.cfg.Hosts()[g.cfg.Self.ID]; !entered {
		known++
	}
	return float64(len(g.Others())+1) / float64(known)
}

func (g *Group) self() facts.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.cfg.Self
	h.Leaving, h.KeeperSince = g.leaving, g.keeperSince
	return h
}

// Self returns this host's id.
func (g *Group) Self() string { return g.cfg.Self.ID }

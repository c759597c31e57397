// Package peering joins the hosts: each enters itself in the store under a
// lease, and reaches the others over authenticated connections. A host that
// does not answer is left alone for a while, whatever its entry says.
package peering

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/adapter/peer"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// leaseTime is how long a host's entry outlives it.
	leaseTime = 4 * time.Second
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
	// suspectTime is how long a host that did not answer is left alone.
	suspectTime = 2 * time.Second
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
	Feed   port.Feed
	Clock  port.Clock
	Log    *slog.Logger
	// MinLease is the shortest lease that the store gives.
	MinLease time.Duration
	// Hosts returns the hosts that are known.
	Hosts func() map[string]facts.Host
}

// Group is this host among the others. It is safe for concurrent use.
type Group struct {
	cfg      Config
	listener net.Listener
	handlers map[string]port.RequestHandler

	mu       sync.Mutex
	link     *peer.Link
	suspects map[string]time.Time
	// asking holds the hosts with questions under way.
	asking map[string]*asked
	lease  int64
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
	g := &Group{cfg: cfg, listener: l, handlers: make(map[string]port.RequestHandler),
		suspects: make(map[string]time.Time), asking: make(map[string]*asked)}
	g.Handle(kindPing, func(context.Context, port.Member, []byte) ([]byte, error) { return []byte{1}, nil })
	return g, nil
}

// Handle sets the function for requests of a kind. Call it before Run.
func (g *Group) Handle(kind string, fn port.RequestHandler) { g.handlers[kind] = fn }

// Run joins the group and stays in it until ctx ends.
func (g *Group) Run(ctx context.Context) {
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
	g.stayEntered(ctx)
	link.Close()
}

// sharedKey returns the key of all hosts; the first one to come makes it.
// It is nil if ctx ends before.
func (g *Group) sharedKey(ctx context.Context) []byte {
	name := g.cfg.Prefix + keyName
	for ctx.Err() == nil {
		key, err := g.readKey(ctx, name)
		if key != nil {
			return key
		}
		if err == nil {
			fresh := make([]byte, keyBytes)
			_, _ = rand.Read(fresh)
			call, cancel := context.WithTimeout(ctx, callTimeout)
			_, err = g.cfg.Feed.Write(call, name, fresh, 0, 0)
			cancel()
			if err == nil {
				return fresh
			}
			if errors.Is(err, port.ErrConflict) {
				continue
			}
		}
		g.cfg.Log.Warn("the hosts' key can't be had yet", slog.Any("error", err))
		port.Sleep(ctx, retryPause)
	}
	return nil
}

func (g *Group) readKey(ctx context.Context, name string) ([]byte, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, _, err := g.cfg.Feed.Read(call, name)
	if err != nil {
		return nil, err
	}
	for _, i := range items {
		if i.Key == name {
			return i.Value, nil
		}
	}
	return nil, nil
}

// stayEntered keeps this host's entry in the store until ctx ends, and then
// takes it out.
func (g *Group) stayEntered(ctx context.Context) {
	lease := int64(0)
	for ctx.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = g.enter(ctx)
		} else {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			err = g.cfg.Feed.Keep(call, lease)
			cancel()
			if errors.Is(err, port.ErrNotFound) {
				g.cfg.Log.Info("own entry lapsed", slog.Int64("lease", lease))
				lease = 0
				continue
			}
		}
		if err != nil {
			port.Sleep(ctx, retryPause)
			continue
		}
		port.Sleep(ctx, keepInterval)
	}
	if lease != 0 {
		call, cancel := context.WithTimeout(context.Background(), callTimeout/2)
		defer cancel()
		if err := g.cfg.Feed.Revoke(call, lease); err != nil {
			g.cfg.Log.Info("own entry left to lapse", slog.Any("error", err))
		}
	}
}

// enter writes this host's entry under a new lease and returns the lease.
func (g *Group) enter(ctx context.Context) (int64, error) {
	call, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	lease, err := g.cfg.Feed.Grant(call, max(leaseTime, g.cfg.MinLease))
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(g.cfg.Self)
	if err != nil {
		return 0, errors.Wrap(err, "encode own entry")
	}
	name := g.cfg.Prefix + hostsName + g.cfg.Self.ID
	items, _, err := g.cfg.Feed.Read(call, name)
	if err != nil {
		return 0, err
	}
	prev := int64(0)
	for _, i := range items {
		if i.Key == name {
			prev = i.Revision
		}
	}
	if _, err = g.cfg.Feed.Write(call, name, value, prev, lease); err != nil {
		return 0, err
	}
	g.cfg.Log.Info("entered among the hosts", slog.Int64("lease", lease))
	return lease, nil
}

// Others returns the ids of the other hosts that are not suspected.
func (g *Group) Others() []string {
	hosts := g.cfg.Hosts()
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for id := range hosts {
		if until, ok := g.suspects[id]; ok && now.Before(until) {
			continue
		}
		if id != g.cfg.Self.ID {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Live returns Others and this host.
func (g *Group) Live() []string { return append(g.Others(), g.cfg.Self.ID) }

// Self returns this host's id.
func (g *Group) Self() string { return g.cfg.Self.ID }

// Ask asks another host. The error is a *verdict.Error. A host that stops
// answering while it is asked is suspected.
func (g *Group) Ask(ctx context.Context, id, kind string, payload []byte) ([]byte, error) {
	host, known := g.cfg.Hosts()[id]
	a, link := g.begin(id)
	defer g.end(id, a)
	if link == nil || !known {
		return nil, verdict.New(verdict.CodeNotReady, verdict.NotRun, "host is not known")
	}
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(a.ctx, cancel)
	defer stop()
	answer, err := link.Ask(call, host.Address, kind, payload)
	if err != nil && ctx.Err() == nil && (a.ctx.Err() != nil || verdict.From(err).Code != verdict.CodeNoCapacity) {
		g.suspect(id, err)
	}
	return answer, err
}

func (g *Group) begin(id string) (*asked, *peer.Link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.asking[id]
	if a == nil {
		ctx, cancel := context.WithCancel(context.Background())
		a = &asked{ctx: ctx, cancel: cancel}
		g.asking[id] = a
		go g.watch(id, a)
	}
	a.count++
	return a, g.link
}

func (g *Group) end(id string, a *asked) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.count--; a.count == 0 {
		a.cancel()
		if g.asking[id] == a {
			delete(g.asking, id)
		}
	}
}

// watch pings a host while it has questions of ours.
func (g *Group) watch(id string, a *asked) {
	for {
		port.Sleep(a.ctx, pingInterval)
		host, known := g.cfg.Hosts()[id]
		g.mu.Lock()
		link := g.link
		g.mu.Unlock()
		if a.ctx.Err() != nil || link == nil || !known {
			return
		}
		call, cancel := context.WithTimeout(a.ctx, pingTimeout)
		_, err := link.Ask(call, host.Address, kindPing, nil)
		cancel()
		if err != nil && a.ctx.Err() == nil {
			g.mu.Lock()
			if g.asking[id] == a {
				delete(g.asking, id)
			}
			g.mu.Unlock()
			g.suspect(id, err)
			a.cancel()
			return
		}
	}
}

func (g *Group) suspect(id string, err error) {
	g.mu.Lock()
	now := g.cfg.Clock.Now()
	fresh := !now.Before(g.suspects[id])
	g.suspects[id] = now.Add(suspectTime)
	g.mu.Unlock()
	if fresh {
		g.cfg.Log.Warn("host does not answer", slog.String("host", id), slog.Any("error", err))
	}
}

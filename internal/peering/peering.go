// Package peering joins the hosts: each enters itself in the store under a
// lease, and reaches the others over authenticated connections. A host that
// does not answer is left alone for a while, whatever its entry says.
package peering

import (
	"cmp"
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
	// suspectedTogether bounds the hosts that are looked at when one does not
	// answer.
	suspectedTogether = 8
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

	// ctx ends with Run.
	ctx    context.Context
	cancel context.CancelFunc

	mu   sync.Mutex
	link link
	// suspects holds the hosts that did not answer; each is probed until it does.
	suspects map[string]bool
	// asking holds the hosts with questions under way.
	asking map[string]*asked
	// lease and revision are those of the own entry.
	lease, revision int64
	leaving         bool
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
	revision, err := g.write(call, prev, lease)
	if err != nil {
		return 0, err
	}
	g.mu.Lock()
	g.lease, g.revision = lease, revision
	g.mu.Unlock()
	g.cfg.Log.Info("entered among the hosts", slog.Int64("lease", lease))
	return lease, nil
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

// Elders returns the hosts that answer and are not leaving, this one among
// them, the one that started first first. A host that comes back takes nothing
// over from those that stayed.
func (g *Group) Elders() []string {
	hosts := g.cfg.Hosts()
	self := g.self()
	list := []facts.Host{self}
	for _, id := range g.Others() {
		if h := hosts[id]; !h.Leaving {
			list = append(list, h)
		}
	}
	if self.Leaving && len(list) > 1 {
		list = list[1:]
	}
	slices.SortFunc(list, func(a, b facts.Host) int {
		return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.ID, b.ID))
	})
	ids := make([]string, 0, len(list))
	for _, h := range list {
		ids = append(ids, h.ID)
	}
	return ids
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
	h.Leaving = g.leaving
	return h
}

// Leave tells the other hosts that this one takes over nothing new.
func (g *Group) Leave() {
	g.mu.Lock()
	g.leaving = true
	lease, revision := g.lease, g.revision
	g.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	if _, err := g.write(ctx, revision, lease); err != nil {
		g.cfg.Log.Info("the others are not told that this host leaves", slog.Any("error", err))
	}
}

// write writes this host's entry and returns its revision.
func (g *Group) write(ctx context.Context, prev, lease int64) (int64, error) {
	value, err := json.Marshal(g.self())
	if err != nil {
		return 0, errors.Wrap(err, "encode own entry")
	}
	return g.cfg.Feed.Write(ctx, g.cfg.Prefix+hostsName+g.cfg.Self.ID, value, prev, lease)
}

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

func (g *Group) begin(id string) (*asked, link) {
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
		if a.ctx.Err() != nil || !known {
			return
		}
		err := g.ping(a.ctx, host.Address)
		if err == nil || a.ctx.Err() != nil {
			continue
		}
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

// suspect leaves a host alone until it answers a probe or is gone.
func (g *Group) suspect(id string, err error) {
	g.mu.Lock()
	known := g.suspects[id]
	g.suspects[id] = true
	g.mu.Unlock()
	if known {
		return
	}
	g.cfg.Log.Warn("host does not answer", slog.String("host", id), slog.Any("error", err))
	go g.probe(id)
	// Hosts are often cut off together; those that may be asked next are looked
	// at in the same moment, not one after the other.
	for _, next := range g.Elders()[:min(len(g.Elders()), suspectedTogether)] {
		if next != g.cfg.Self.ID {
			go g.check(next)
		}
	}
}

// check suspects a host that does not answer a ping.
func (g *Group) check(id string) {
	host, known := g.cfg.Hosts()[id]
	if !known {
		return
	}
	if err := g.ping(g.ctx, host.Address); err != nil && g.ctx.Err() == nil {
		g.suspect(id, err)
	}
}

func (g *Group) probe(id string) {
	for {
		port.Sleep(g.ctx, probeInterval)
		host, known := g.cfg.Hosts()[id]
		if g.ctx.Err() != nil {
			return
		}
		if known && g.ping(g.ctx, host.Address) != nil {
			continue
		}
		g.mu.Lock()
		delete(g.suspects, id)
		g.mu.Unlock()
		g.cfg.Log.Info("host answers again or is gone", slog.String("host", id), slog.Bool("known", known))
		return
	}
}

// ping asks a host for a sign of life.
func (g *Group) ping(ctx context.Context, address string) error {
	g.mu.Lock()
	link := g.link
	g.mu.Unlock()
	if link == nil {
		return verdict.New(verdict.CodeNotReady, verdict.NotRun, "not among the hosts yet")
	}
	call, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := link.Ask(call, address, kindPing, nil)
	if err != nil && ctx.Err() == nil {
		// The connection may have gone silent: the next question opens another.
		link.Reset(address)
	}
	return err
}

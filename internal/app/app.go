// Package app joins the core's decisions into the daemon: one control
// goroutine owns all control state and publishes immutable snapshots; the
// traffic path reads them and runs on a bounded pool of goroutines.
package app

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/uber-go/tally/v4"

	"github.com/pimentorill/pimentorill/internal/app/fleet"
	"github.com/pimentorill/pimentorill/internal/core/claim"
	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/order"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/suspect"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Config is what the application learns from the settings.
type Config struct {
	Host             string
	AvailabilityZone string
	Region           string
	// Runs is the most requests under way or waiting on this host.
	Runs int
	// Alone says that no other host ever sends to the endpoints.
	Alone bool
	// Drain bounds how long Stop waits for requests under way.
	Drain time.Duration
	// HostListEvery is the pause between two readings of the host list.
	HostListEvery time.Duration
	// PeersKey is the hosts' shared secret; it signs issued keys.
	PeersKey string
}

// Deps are the adapters that the application works with.
type Deps struct {
	Store port.Store
	// Control is Store for leases and releases; nil means Store.
	Control port.Store
	// Claims is Store for claims and trials; nil means Store.
	Claims port.Store
	Caller port.AttemptClient
	// Peers reaches the other hosts; it is not started before New returns. Nil
	// if there are none.
	Peers port.Peers
	// Fleet is this host's part of the fleet, which serves as Peers and Board;
	// nil on a host without a fleet.
	Fleet *fleet.Fleet
	// Board spreads records between the hosts; it is not started before New
	// returns. Nil if there is none.
	Board port.Gossip
	// HostList is the platform's; nil if it is not followed.
	HostList port.HostList
	Audit    port.Audit
	Clock    port.Clock
	Log      *slog.Logger
	Metrics  tally.Scope
	// NewID returns an id that is unique over all hosts.
	NewID func() string
	// Orders sends orders to engines; nil on a host that gives none.
	Orders port.OrderClient
	// ZoneLease returns the zone's lease as this host holds it now; nil on a
	// host that never holds it.
	ZoneLease func(now time.Time) order.Lease
	// LeaseRank returns the host's place among the zone's candidates for its
	// lease, below 0 if it is none; nil on a host that never is one.
	LeaseRank func() int
	// SetFleetSize fits the store's ceilings to the number of hosts; may be nil.
	SetFleetSize func(hosts int)
	// ZoneHolder returns the host that holds a zone's lease, as last heard;
	// nil if it is never known.
	ZoneHolder func(zone string) (host string, ok bool)
}

// App is one host's daemon without its listeners. Its methods are safe for
// concurrent use after New.
type App struct {
	cfg      Config
	deps     Deps
	pool     *ants.Pool
	traffic  *traffic
	ledger   *cost.Ledger
	shelf    *cost.BookStore
	control  *control
	snapshot atomic.Pointer[Snapshot]
	active   *activeRuns
	traces   *traceLog
	metrics  runMetrics
	orders   *OrderLoop
	claims   *claim.Claims
	guard    *suspect.Guard
	// lease is nil on a host that never is a candidate.
	lease *zoneLease
	// heard is a release that a peer has in force, not yet adopted; the
	// control goroutine owns it.
	heard *release.StoredRelease
	// life ends when the host stops or is killed; stop ends it.
	life context.Context
	stop context.CancelFunc
	done chan struct{}
}

// New returns an App that is not started yet.
func New(cfg Config, deps Deps) (*App, error) {
	if deps.Fleet != nil {
		deps.Peers, deps.Board = deps.Fleet, deps.Fleet
		deps.LeaseRank = func() int { return deps.Fleet.View().LeaseRank }
		deps.ZoneHolder = holderOf(deps.Fleet)
	}
	if deps.Control == nil {
		deps.Control = deps.Store
	}
	if deps.Claims == nil {
		deps.Claims = deps.Store
	}
	pool, err := ants.NewPool(cfg.Runs, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "traffic pool")
	}
	a := &App{
		cfg:     cfg,
		deps:    deps,
		pool:    pool,
		ledger:  cost.NewLedger(deps.Clock),
		active:  newActiveRuns(),
		traces:  newTraceLog(),
		metrics: newRunMetrics(deps.Metrics),
		done:    make(chan struct{}),
	}
	a.life, a.stop = context.WithCancel(context.Background())
	a.shelf = cost.NewBookStore(deps.Store, deps.Clock, a.ledger, deps.NewID)
	if deps.Peers != nil {
		deps.Peers.Handle(kindBook, a.handleBook)
	}
	a.snapshot.Store(&Snapshot{})
	a.claims = a.newClaims()
	a.guard = a.newGuard()
	a.control = newControl(&a.snapshot, deps.Clock)
	a.followLease()
	if a.lease != nil {
		a.lease.heard = a.control.noteStore
	}
	a.orders = a.newOrders()
	a.traffic, err = a.newTraffic()
	if err != nil {
		return nil, errors.Wrap(err, "attempts' pool")
	}
	a.listenLeaving()
	a.listenReleases()
	a.control.prepare = func(s *Snapshot) { a.traffic.adopt(s) }
	return a, nil
}

// Start runs the control goroutine and what feeds it. Call it once.
func (a *App) Start() {
	ctx := a.life
	go a.control.run(ctx)
	var loops sync.WaitGroup
	for _, loop := range a.loops() {
		loops.Go(func() { loop(ctx) })
	}
	go func() {
		defer close(a.done)
		loops.Wait()
	}()
}

// loops returns what runs until the host stops.
func (a *App) loops() []func(context.Context) {
	return []func(context.Context){
		a.runFleet,
		a.follow,
		a.settle,
		a.followCaches,
		a.orders.Run,
		a.lease.run,
		a.keepBooks,
		a.probeLeaving,
		a.followHostList,
		a.reportGauges,
		a.traffic.permits.run,
		a.traffic.watchCapacity,
	}
}

// Snapshot returns the control state as last published. It is immutable.
func (a *App) Snapshot() *Snapshot { return a.snapshot.Load() }

// Ready returns nil if the host can take requests, else why it cannot.
func (a *App) Ready() error {
	if a.active.draining() {
		return errors.New("shutting down")
	}
	if a.Snapshot().Release == nil {
		return errors.New("no release known yet: store and peers have not answered")
	}
	return nil
}

// Stop refuses new requests, waits for those under way up to the drain time
// and ends all goroutines. It returns the number of requests cut off.
func (a *App) Stop() int {
	a.claims.Drain()
	a.leaveFleet()
	left := a.active.drain(a.cfg.Drain)
	if left > 0 {
		a.deps.Log.Warn("drain time is over", slog.Int("requests_cut_off", left))
	}
	a.claims.Flush(outcomeGrace)
	a.end()
	a.lease.giveBack()
	a.closeBooks()
	return left
}

// Kill ends all goroutines and requests at once, without handing anything
// over, as the death of the process does.
func (a *App) Kill() {
	a.active.drain(0)
	a.end()
}

func (a *App) end() {
	a.stop()
	a.claims.Close()
	a.guard.Close()
	<-a.done
	a.pool.Release()
	a.traffic.pool.Release()
}

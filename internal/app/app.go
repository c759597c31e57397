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
	// MaxRequests is the most requests under way or waiting on this host.
	MaxRequests int
	// Standalone says that no other host ever sends to the endpoints.
	Standalone bool
	// DrainTimeout bounds how long Stop waits for requests under way.
	DrainTimeout time.Duration
	// HostListInterval is the pause between two readings of the host list.
	HostListInterval time.Duration
	// SharedKey is the hosts' shared secret; it signs issued keys.
	SharedKey string
}

// Deps are the adapters that the application works with.
type Deps struct {
	Store port.Store
	// ControlStore is Store for leases and releases; nil means Store.
	ControlStore port.Store
	// ClaimStore is Store for claims and trials; nil means Store.
	ClaimStore    port.Store
	AttemptClient port.AttemptClient
	// Peers reaches the other hosts; it is not started before New returns. Nil
	// if there are none.
	Peers port.Peers
	// Fleet is this host's part of the fleet, which serves as Peers and Board;
	// nil on a host without a fleet.
	Fleet *fleet.Fleet
	// Gossip spreads records between the hosts; it is not started before New
	// returns. Nil if there is none.
	Gossip port.Gossip
	// HostList is the platform's; nil if it is not followed.
	HostList port.HostList
	Audit    port.Audit
	Clock    port.Clock
	Log      *slog.Logger
	Metrics  tally.Scope
	// NewID returns an id that is unique over all hosts.
	NewID func() string
	// Orders sends orders to engines; nil on a host that gives none.
	OrderClient port.OrderClient
	// ZoneLease returns the zone's lease as this host holds it now; nil on a
	// host that never holds it.
	ZoneLease func(now time.Time) order.Lease
	// LeaseRank returns the host's place among the zone's candidates for its
	// lease, below 0 if it is none; nil on a host that never is one.
	LeaseRank func() int
	// SetFleetSize fits the store's ceilings to the number of hosts; may be nil.
	SetFleetSize func(hosts int)
	// ZoneLeaseHolder returns the host that holds a zone's lease, as last heard;
	// nil if it is never known.
	ZoneLeaseHolder func(zone string) (host string, ok bool)
}

// App is one host's daemon without its listeners. Its methods are safe for
// concurrent use after New.
type App struct {
	cfg            Config
	deps           Deps
	pool           *ants.Pool
	dataPlane      *dataPlane
	ledger         *cost.Ledger
	bookStore      *cost.BookStore
	controlLoop    *controlLoop
	snapshot       atomic.Pointer[Snapshot]
	activeRequests *requestCounter
	traces         *traceLog
	metrics        runMetrics
	orders         *OrderLoop
	claims         *claim.Claims
	guard          *suspect.Guard
	// lease is nil on a host that never is a candidate.
	lease *zoneLease
	// heard is a release that a peer has in force, not yet adopted; the
	// control goroutine owns it.
	peerRelease *release.StoredRelease
	// life ends when the host stops or is killed; stop ends it.
	runCtx    context.Context
	cancelRun context.CancelFunc
	loopsDone chan struct{}
}

// New returns an App that is not started yet.
func New(cfg Config, deps Deps) (*App, error) {
	if deps.Fleet != nil {
		deps.Peers, deps.Gossip = deps.Fleet, deps.Fleet
		deps.LeaseRank = func() int { return deps.Fleet.View().LeaseRank }
		deps.ZoneLeaseHolder = leaseHolderFrom(deps.Fleet)
	}
	if deps.ControlStore == nil {
		deps.ControlStore = deps.Store
	}
	if deps.ClaimStore == nil {
		deps.ClaimStore = deps.Store
	}
	pool, err := ants.NewPool(cfg.MaxRequests, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "traffic pool")
	}
	a := &App{
		cfg:            cfg,
		deps:           deps,
		pool:           pool,
		ledger:         cost.NewLedger(deps.Clock),
		activeRequests: newRequestCounter(),
		traces:         newTraceLog(),
		metrics:        newRunMetrics(deps.Metrics),
		loopsDone:      make(chan struct{}),
	}
	a.runCtx, a.cancelRun = context.WithCancel(context.Background())
	a.bookStore = cost.NewBookStore(deps.Store, deps.Clock, a.ledger, deps.NewID)
	if deps.Peers != nil {
		deps.Peers.Handle(kindCostBook, a.handleBookRequest)
	}
	a.snapshot.Store(&Snapshot{})
	a.claims = a.newClaims()
	a.guard = a.newGuard()
	a.controlLoop = newControlLoop(&a.snapshot, deps.Clock)
	a.initZoneLease()
	if a.lease != nil {
		a.lease.onStoreResult = a.controlLoop.recordStoreResult
	}
	a.orders = a.newZoneOrderLoop()
	a.dataPlane, err = a.newDataPlane()
	if err != nil {
		return nil, errors.Wrap(err, "attempts' pool")
	}
	a.subscribeLeaving()
	a.subscribeReleases()
	a.controlLoop.beforePublish = func(s *Snapshot) { a.dataPlane.applySnapshot(s) }
	return a, nil
}

// Start runs the control goroutine and what feeds it. Call it once.
func (a *App) Start() {
	ctx := a.runCtx
	go a.controlLoop.run(ctx)
	var loops sync.WaitGroup
	for _, loop := range a.loops() {
		loops.Go(func() { loop(ctx) })
	}
	go func() {
		defer close(a.loopsDone)
		loops.Wait()
	}()
}

// loops returns what runs until the host stops.
func (a *App) loops() []func(context.Context) {
	return []func(context.Context){
		a.runFleet,
		a.followRelease,
		a.settleCosts,
		a.followCacheEvents,
		a.orders.Run,
		a.lease.run,
		a.maintainBooks,
		a.probeLeaving,
		a.followHostList,
		a.reportGauges,
		a.dataPlane.permits.run,
		a.dataPlane.followHostCount,
	}
}

// Snapshot returns the control state as last published. It is immutable.
func (a *App) Snapshot() *Snapshot { return a.snapshot.Load() }

// Ready returns nil if the host can take requests, else why it cannot.
func (a *App) Ready() error {
	if a.activeRequests.draining() {
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
	left := a.activeRequests.drain(a.cfg.DrainTimeout)
	if left > 0 {
		a.deps.Log.Warn("drain time is over", slog.Int("requests_cut_off", left))
	}
	a.claims.Flush(outcomeFlushTimeout)
	a.shutDown()
	a.lease.release()
	a.finalizeBook()
	return left
}

// Kill ends all goroutines and requests at once, without handing anything
// over, as the death of the process does.
func (a *App) Kill() {
	a.activeRequests.drain(0)
	a.shutDown()
}

func (a *App) shutDown() {
	a.cancelRun()
	a.claims.Close()
	a.guard.Close()
	<-a.loopsDone
	a.pool.Release()
	a.dataPlane.pool.Release()
}

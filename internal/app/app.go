// Package app assembles the core packages into the daemon. One control
// goroutine owns all control state and publishes immutable snapshots; the data
// plane reads them and serves requests on a bounded pool of goroutines.
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

// Config holds the settings of an App.
type Config struct {
	Host             string
	AvailabilityZone string
	Region           string
	// MaxRequests bounds the requests that run or wait for admission on this host.
	// Run refuses further ones.
	MaxRequests int
	// Standalone is true if no other host ever sends requests to the endpoints, so
	// that this host issues the permits of all zones without a lease.
	Standalone bool
	// DrainTimeout bounds how long Stop waits for requests in progress.
	DrainTimeout time.Duration
	// HostListInterval is the mean pause between two reads of the host list in a
	// fleet of up to hostListReadsPerInterval hosts, longer in a larger one. It
	// also bounds one read.
	HostListInterval time.Duration
	// SharedKey is the secret that all hosts share; it signs issued keys.
	SharedKey string
}

// Deps holds the adapters that an App uses.
type Deps struct {
	// Store holds the cost books.
	Store port.Store
	// ControlStore is the store for leases and releases; nil means Store.
	ControlStore port.Store
	// ClaimStore is the store for claims and for trials of suspect requests; nil
	// means Store.
	ClaimStore port.Store
	// AttemptClient sends attempts to endpoints. It may also implement
	// port.UsageReader, port.LoadReader and port.CacheEventReader; queries of lost
	// costs, probes and cache events are disabled without them.
	AttemptClient port.AttemptClient
	// Peers sends requests to the other hosts; nil if there are none. It must not
	// be started before New returns, because New registers handlers on it.
	Peers port.Peers
	// Fleet runs membership and gossip on this host. If it is not nil, it replaces
	// Peers, Gossip, LeaseRank, HostLeaving and ZoneLeaseHolder.
	Fleet *fleet.Fleet
	// Gossip disseminates records between the hosts; nil if there is none. It must
	// not be started before New returns, because New subscribes to it.
	Gossip port.Gossip
	// HostList reads the platform's host list; nil if the list is not used.
	HostList port.HostList
	Audit    port.Audit
	Clock    port.Clock
	Log      *slog.Logger
	Metrics  tally.Scope
	// NewID returns an id that is unique across all hosts.
	NewID func() string
	// OrderClient sends orders to engines; nil on a host that sends none.
	OrderClient port.OrderClient
	// ZoneLease returns the zone's lease if this host holds it at the given time,
	// else the zero Lease; nil on a host that never holds it. New sets it if
	// LeaseRank and Peers are set.
	ZoneLease func(now time.Time) order.Lease
	// LeaseRank returns the host's position among the candidates for its zone's
	// lease, from 0, or a negative value if it is not a candidate; nil on a host
	// that is never a candidate.
	LeaseRank func() int
	// HostLeaving reports whether another host is known to be stopping or gone; nil if
	// the other hosts are not known.
	HostLeaving func(host string) bool
	// SetFleetSize adjusts this host's rate limits on the store to the number of
	// hosts; may be nil.
	SetFleetSize func(hosts int)
	// ZoneLeaseHolder returns the id of the host that last announced that it holds
	// a zone's lease, false if none has; nil if holders are never known.
	ZoneLeaseHolder func(zone string) (host string, ok bool)
}

// App is the daemon of one host without its listeners. Its methods are safe for
// concurrent use.
type App struct {
	cfg  Config
	deps Deps
	// pool runs requests; the data plane's pool runs attempts.
	pool           *ants.Pool
	dataPlane      *dataPlane
	ledger         *cost.Ledger
	bookStore      *cost.BookStore
	controlLoop    *controlLoop
	snapshot       atomic.Pointer[Snapshot]
	activeRequests *requestCounter
	traces         *traceLog
	metrics        requestMetrics
	orders         *OrderLoop
	claims         *claim.Claims
	guard          *suspect.Guard
	// lease is nil on a host that is never a candidate for its zone's lease.
	lease *zoneLease
	// peerRelease is the release last received by gossip, nil once it is applied;
	// the control goroutine owns it.
	peerRelease *release.StoredRelease
	// runCtx ends when the host stops or is killed; cancelRun ends it.
	runCtx    context.Context
	cancelRun context.CancelFunc
	// loopsDone is closed when all functions of loops have returned.
	loopsDone chan struct{}
	// zoneCtx ends before runCtx if the host hands its zone's lease over; cancelZone
	// ends it. zoneLoops counts the loops of the lease's duties.
	zoneCtx    context.Context
	cancelZone context.CancelFunc
	zoneLoops  sync.WaitGroup
}

// New returns an App that is not running, and registers its handlers and
// subscriptions with the peers and the gossip. Call Start to run it.
func New(cfg Config, deps Deps) (*App, error) {
	if deps.Fleet != nil {
		deps.Peers, deps.Gossip = deps.Fleet, deps.Fleet
		deps.LeaseRank = func() int { return deps.Fleet.View().LeaseRank }
		deps.ZoneLeaseHolder = leaseHolderFrom(deps.Fleet)
		deps.HostLeaving = func(host string) bool { return deps.Fleet.View().Leaving(host) }
	}
	if deps.ControlStore == nil {
		deps.ControlStore = deps.Store
	}
	if deps.ClaimStore == nil {
		deps.ClaimStore = deps.Store
	}
	pool, err := ants.NewPool(cfg.MaxRequests, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Wrap(err, "create request pool")
	}
	a := &App{
		cfg:            cfg,
		deps:           deps,
		pool:           pool,
		ledger:         cost.NewLedger(deps.Clock),
		activeRequests: newRequestCounter(),
		traces:         newTraceLog(),
		metrics:        newRequestMetrics(deps.Metrics),
		loopsDone:      make(chan struct{}),
	}
	a.runCtx, a.cancelRun = context.WithCancel(context.Background())
	a.zoneCtx, a.cancelZone = context.WithCancel(a.runCtx)
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
		a.lease.onEpoch = a.claims.ObserveEpoch
	}
	a.orders = a.newZoneOrderLoop()
	a.dataPlane, err = a.newDataPlane()
	if err != nil {
		return nil, errors.Wrap(err, "create attempt pool")
	}
	if a.lease != nil {
		a.lease.onChange = a.dataPlane.permits.leaseChanged.Signal
	}
	a.subscribeLeaving()
	a.subscribeReleases()
	a.controlLoop.beforePublish = func(s *Snapshot) { a.dataPlane.applySnapshot(s) }
	return a, nil
}

// Start starts the control goroutine and the background loops. Call it once.
func (a *App) Start() {
	ctx := a.runCtx
	go a.controlLoop.run(ctx)
	var loops sync.WaitGroup
	for _, loop := range a.loops() {
		loops.Go(func() { loop(ctx) })
	}
	for _, loop := range []func(context.Context){a.orders.Run, a.lease.run, a.dataPlane.permits.run} {
		a.zoneLoops.Go(func() { loop(a.zoneCtx) })
	}
	go func() {
		defer close(a.loopsDone)
		loops.Wait()
		a.zoneLoops.Wait()
	}()
}

// loops returns the functions that run until the host stops, each on a
// goroutine of its own. Those of the zone's lease run besides.
func (a *App) loops() []func(context.Context) {
	return []func(context.Context){
		a.runFleet,
		a.followRelease,
		a.settleCosts,
		a.followCacheEvents,
		a.maintainBooks,
		a.probeLeaving,
		a.followHostList,
		a.reportGauges,
		a.dataPlane.maintainLimits,
	}
}

// Snapshot returns the latest published control state. It is immutable.
func (a *App) Snapshot() *Snapshot { return a.snapshot.Load() }

// Ready returns nil if the host accepts requests, else an error with the reason: it
// is shutting down, knows no release or has not caught up with the other hosts.
func (a *App) Ready() error {
	if a.activeRequests.draining() {
		return errors.New("shutting down")
	}
	if a.Snapshot().Release == nil {
		return errors.New("no release known yet: store and peers have not answered")
	}
	if !a.caughtUp() {
		return errors.New("not caught up with the other hosts yet")
	}
	return nil
}

// caughtUp reports whether the host knows what the other hosts know, such as the zones'
// lease holders and the endpoints that are warm.
func (a *App) caughtUp() bool { return a.deps.Fleet == nil || a.deps.Fleet.View().CaughtUp }

// Stop announces to the other hosts that this one is leaving, refuses new requests,
// waits up to the drain timeout for those in progress and interrupts the others. It
// stores the outcomes of runs with an idempotency key, as far as that takes no longer
// than outcomeFlushTimeout, hands the zone's lease over, ends the App's loops and writes
// the cost book. Attempts that outlast finalSettleTimeout may still run when it
// returns. It returns the number of interrupted requests. Call it once, after Start,
// and not together with Kill.
func (a *App) Stop() int {
	a.claims.Drain()
	a.leaveFleet()
	remaining := a.activeRequests.drain(a.cfg.DrainTimeout)
	if remaining > 0 {
		a.deps.Log.Warn("drain timeout exceeded", slog.Int("requests_cut_off", remaining))
	}
	a.claims.Flush(outcomeFlushTimeout)
	a.handOverLease()
	a.shutDown()
	a.finalizeBook()
	return remaining
}

// handOverLease ends the duties of the zone's lease holder and releases the lease. The
// gossip still runs: the other hosts get the last statuses of endpoints, without which
// they would take warm endpoints for cold and ask a holder that is gone.
func (a *App) handOverLease() {
	a.cancelZone()
	a.zoneLoops.Wait()
	a.lease.release()
	if a.deps.Fleet != nil {
		ctx, cancel := context.WithTimeout(a.runCtx, leaveBroadcastTimeout)
		defer cancel()
		a.deps.Fleet.Flush(ctx)
	}
}

// Kill ends the App's loops and all requests at once, to simulate a crash of the
// process. Unlike Stop it neither announces that the host is leaving nor stores
// pending outcomes nor releases the lease nor writes the cost book. Call it once,
// after Start, and not together with Stop.
func (a *App) Kill() {
	a.activeRequests.drain(0)
	a.shutDown()
}

// shutDown interrupts all requests, abandons the outcomes not stored yet and ends the
// App's loops. Attempts that outlast their run are not waited for.
func (a *App) shutDown() {
	a.cancelRun()
	a.claims.Close()
	a.guard.Close()
	<-a.loopsDone
	a.pool.Release()
	a.dataPlane.pool.Release()
}

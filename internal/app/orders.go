package app

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/order"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// orderTick is the pause between two looks at what is due.
	orderTick = 500 * time.Millisecond
	// stateTimeout bounds one reading of an engine's state.
	stateTimeout = 2 * time.Second
	// maxOrderResults bounds the results that wait for the loop.
	maxOrderResults = 64
)

// OrderLoop gives an availability zone's engines their orders while this host
// holds the zone's lease. One goroutine runs it; Statuses may be called by any.
type OrderLoop struct {
	deps     OrderDeps
	control  *order.Controller
	results  chan func()
	calls    sync.WaitGroup
	version  uint64
	statuses atomic.Pointer[[]order.Status]
}

// OrderDeps are what an OrderLoop works with.
type OrderDeps struct {
	Host, Zone string
	Orders     port.OrderClient
	// Lease returns the zone's lease as this host holds it now.
	Lease func(now time.Time) order.Lease
	// Release returns the release in force, nil if none is known.
	Release func() *release.Release
	Audit   port.Audit
	Clock   port.Clock
	Log     *slog.Logger
	NewID   func() string
	Rand    *rand.Rand
}

// NewOrderLoop returns a loop that Run starts.
func NewOrderLoop(deps OrderDeps) *OrderLoop {
	l := &OrderLoop{
		deps:    deps,
		control: order.New(order.Config{Host: deps.Host, Zone: deps.Zone, Rand: deps.Rand}),
		results: make(chan func(), maxOrderResults),
	}
	l.statuses.Store(&[]order.Status{})
	return l
}

// newOrders returns the loop of the host's own availability zone.
func (a *App) newOrders() *OrderLoop {
	lease := a.deps.ZoneLease
	if a.lease != nil {
		lease = a.lease.held
	}
	if lease == nil || a.deps.OrderClient == nil {
		lease = func(time.Time) order.Lease { return order.Lease{} }
	}
	return NewOrderLoop(OrderDeps{
		Host:    a.cfg.Host,
		Zone:    a.cfg.AvailabilityZone,
		Orders:  a.deps.OrderClient,
		Lease:   lease,
		Release: func() *release.Release { return a.Snapshot().Release },
		Audit:   a.deps.Audit,
		Clock:   a.deps.Clock,
		Log:     a.deps.Log,
		NewID:   a.deps.NewID,
		Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

// Statuses returns what the loop knows of the zone's engines; empty on a host
// that does not hold the lease.
func (l *OrderLoop) Statuses() []order.Status { return *l.statuses.Load() }

// Suspect asks for a reading of an engine that may have restarted. It does not
// wait and may be called by any goroutine.
func (l *OrderLoop) Suspect(endpoint string) {
	select {
	case l.results <- func() { l.control.RequestRead(l.deps.Clock.Now(), endpoint) }:
	default:
		// The loop has much to do; the engine's next reading comes anyway.
	}
}

// Run gives orders until ctx ends and returns when all calls have ended.
func (l *OrderLoop) Run(ctx context.Context) {
	tick := time.NewTicker(orderTick)
	defer tick.Stop()
	defer l.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.step(ctx)
		case settle := <-l.results:
			settle()
		}
		l.report()
	}
}

func (l *OrderLoop) step(ctx context.Context) {
	now := l.deps.Clock.Now()
	if r := l.deps.Release(); r != nil {
		l.version = r.Version
		l.control.SetRelease(now, r)
	}
	for _, read := range l.control.DueReads(now, l.deps.Lease(now)) {
		l.calls.Go(func() { l.read(ctx, read) })
	}
	statuses := l.control.Statuses()
	l.statuses.Store(&statuses)
}

// read runs on its own goroutine and hands its result to the loop.
func (l *OrderLoop) read(ctx context.Context, read order.ReadRequest) {
	callCtx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := l.deps.Orders.State(callCtx, read.Endpoint)
	l.hand(ctx, func() {
		now := l.deps.Clock.Now()
		send, ok := l.control.ReadDone(now, l.deps.Lease(now), read.Endpoint.ID, state, err)
		if ok {
			l.calls.Go(func() { l.send(ctx, send) })
		}
	})
}

// send runs on its own goroutine. An order is not sent once its deadline has
// passed, so a host that was paused before it got here sends nothing.
func (l *OrderLoop) send(ctx context.Context, s order.SendRequest) {
	callCtx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	err := l.deps.Orders.Send(callCtx, s.Endpoint, s.Fence, s.Order)
	l.hand(ctx, func() { l.control.SendDone(l.deps.Clock.Now(), s.Endpoint.ID, err) })
}

func (l *OrderLoop) hand(ctx context.Context, result func()) {
	select {
	case l.results <- result:
	case <-ctx.Done():
	}
}

// report writes the audit trail.
func (l *OrderLoop) report() {
	for _, ev := range l.control.TakeEvents() {
		l.deps.Audit.Record(port.AuditRecord{
			ID:      l.deps.NewID(),
			Time:    l.deps.Clock.Now(),
			Host:    l.deps.Host,
			Kind:    port.AuditOrder,
			Actor:   l.deps.Host,
			Subject: ev.Endpoint,
			Action:  action(ev.Order),
			Version: l.version,
			Outcome: outcome(ev),
		})
		l.deps.Log.Info("order", slog.String("endpoint", ev.Endpoint), slog.String("order", ev.Order.ID),
			slog.String("action", action(ev.Order)), slog.String("outcome", outcome(ev)))
	}
}

func action(o port.Order) string {
	text := string(o.Kind)
	for _, part := range []string{o.Model, o.Version, o.Adapter, o.Role} {
		if part != "" {
			text += " " + part
		}
	}
	return text
}

func outcome(ev order.Event) string {
	if ev.Detail == "" {
		return string(ev.Outcome)
	}
	return string(ev.Outcome) + ": " + ev.Detail
}

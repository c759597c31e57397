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
	// orderStepInterval is the time between two checks for reads of engine states
	// that are due.
	orderStepInterval = 500 * time.Millisecond
	// stateReadTimeout bounds one read of an engine's state.
	stateReadTimeout = 2 * time.Second
	// maxPendingOrderTasks bounds the tasks that wait for Run's goroutine.
	maxPendingOrderTasks = 64
)

// OrderLoop sends orders to the engines of an availability zone while this host
// holds the zone's lease. One goroutine calls Run; it owns the controller and
// releaseVersion. Statuses and RequestRead are safe for concurrent use.
type OrderLoop struct {
	deps           OrderDeps
	controller     *order.Controller
	tasks          chan func()
	calls          sync.WaitGroup
	releaseVersion uint64
	statuses       atomic.Pointer[[]order.Status]
}

// OrderDeps holds the dependencies of an OrderLoop.
type OrderDeps struct {
	// Host and Zone are the id of this host and the name of the availability zone.
	Host, Zone string
	// OrderClient may be nil if Lease never returns a lease.
	OrderClient port.OrderClient
	// Lease returns the zone's lease if this host holds it at the given time, else
	// the zero Lease.
	Lease func(now time.Time) order.Lease
	// Release returns the release in force; nil if none is known.
	Release func() *release.Release
	Audit   port.Audit
	Clock   port.Clock
	Log     *slog.Logger
	// NewID returns an id that is unique across all hosts, for audit records.
	NewID func() string
	// Rand is used only by the goroutine that calls Run.
	Rand *rand.Rand
}

// NewOrderLoop returns an OrderLoop that does nothing until Run is called.
func NewOrderLoop(deps OrderDeps) *OrderLoop {
	l := &OrderLoop{
		deps:       deps,
		controller: order.New(order.Config{Host: deps.Host, Zone: deps.Zone, Rand: deps.Rand}),
		tasks:      make(chan func(), maxPendingOrderTasks),
	}
	l.statuses.Store(&[]order.Status{})
	return l
}

// newZoneOrderLoop returns the loop for the host's own availability zone. It sends
// nothing on a host that is never a lease holder or has no OrderClient.
func (a *App) newZoneOrderLoop() *OrderLoop {
	lease := a.deps.ZoneLease
	if a.lease != nil {
		lease = a.lease.held
	}
	if lease == nil || a.deps.OrderClient == nil {
		lease = func(time.Time) order.Lease { return order.Lease{} }
	}
	return NewOrderLoop(OrderDeps{
		Host:        a.cfg.Host,
		Zone:        a.cfg.AvailabilityZone,
		OrderClient: a.deps.OrderClient,
		Lease:       lease,
		Release:     func() *release.Release { return a.Snapshot().Release },
		Audit:       a.deps.Audit,
		Clock:       a.deps.Clock,
		Log:         a.deps.Log,
		NewID:       a.deps.NewID,
		Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

// Statuses returns the state of the zone's engines as of the last step; empty on a
// host that does not hold the lease.
func (l *OrderLoop) Statuses() []order.Status { return *l.statuses.Load() }

// RequestRead schedules an immediate read of the state of an engine that may have
// restarted; endpoint is its id. It does not block.
func (l *OrderLoop) RequestRead(endpoint string) {
	select {
	case l.tasks <- func() { l.controller.RequestRead(l.deps.Clock.Now(), endpoint) }:
	default:
		// Too many tasks are pending; the engine's next scheduled read follows
		// anyway.
	}
}

// Run sends orders until ctx ends and returns when all reads and sends have ended.
func (l *OrderLoop) Run(ctx context.Context) {
	tick := time.NewTicker(orderStepInterval)
	defer tick.Stop()
	defer l.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.step(ctx)
		case task := <-l.tasks:
			task()
		}
		l.recordEvents()
	}
}

// step passes the current release to the controller and starts the reads that are
// due.
func (l *OrderLoop) step(ctx context.Context) {
	now := l.deps.Clock.Now()
	if r := l.deps.Release(); r != nil {
		l.releaseVersion = r.Version
		l.controller.SetRelease(now, r)
	}
	for _, read := range l.controller.DueReads(now, l.deps.Lease(now)) {
		l.calls.Go(func() { l.read(ctx, read) })
	}
	statuses := l.controller.Statuses()
	l.statuses.Store(&statuses)
}

// read reads an engine's state on its own goroutine and passes the result to Run's
// goroutine, which then starts the send that the controller returns, if any.
func (l *OrderLoop) read(ctx context.Context, read order.ReadRequest) {
	callCtx, cancel := context.WithTimeout(ctx, stateReadTimeout)
	defer cancel()
	state, err := l.deps.OrderClient.State(callCtx, read.Endpoint)
	l.deliver(ctx, func() {
		now := l.deps.Clock.Now()
		send, ok := l.controller.ReadDone(now, l.deps.Lease(now), read.Endpoint.ID, state, err)
		if ok {
			l.calls.Go(func() { l.send(ctx, send) })
		}
	})
}

// send sends one order on its own goroutine. An order is not sent once its deadline
// has passed, so a host that was paused before this call sends nothing.
func (l *OrderLoop) send(ctx context.Context, s order.SendRequest) {
	callCtx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	err := l.deps.OrderClient.Send(callCtx, s.Endpoint, s.Fence, s.Order)
	l.deliver(ctx, func() { l.controller.SendDone(l.deps.Clock.Now(), s.Endpoint.ID, err) })
}

// deliver passes a task to Run's goroutine, unless ctx ends first.
func (l *OrderLoop) deliver(ctx context.Context, task func()) {
	select {
	case l.tasks <- task:
	case <-ctx.Done():
	}
}

// recordEvents writes the controller's events to the audit trail and the log.
func (l *OrderLoop) recordEvents() {
	for _, ev := range l.controller.TakeEvents() {
		l.deps.Audit.Record(port.AuditRecord{
			ID:      l.deps.NewID(),
			Time:    l.deps.Clock.Now(),
			Host:    l.deps.Host,
			Kind:    port.AuditOrder,
			Actor:   l.deps.Host,
			Subject: ev.Endpoint,
			Action:  describeOrder(ev.Order),
			Version: l.releaseVersion,
			Outcome: describeOutcome(ev),
		})
		l.deps.Log.Info("order", slog.String("endpoint", ev.Endpoint), slog.String("order", ev.Order.ID),
			slog.String("action", describeOrder(ev.Order)), slog.String("outcome", describeOutcome(ev)))
	}
}

// describeOrder returns the order's kind and the values that it sets.
func describeOrder(o port.Order) string {
	text := string(o.Kind)
	for _, part := range []string{o.Model, o.Version, o.Adapter, o.Role} {
		if part != "" {
			text += " " + part
		}
	}
	return text
}

func describeOutcome(ev order.Event) string {
	if ev.Detail == "" {
		return string(ev.Outcome)
	}
	return string(ev.Outcome) + ": " + ev.Detail
}

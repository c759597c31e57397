package app

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/lease"
	"github.com/pimentorill/pimentorill/internal/core/order"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// zoneDuty names the lease for what one host of a zone does: orders to
	// engines and permits for cold endpoints.
	zoneDuty = "control"
	// claimTick is the pause between two looks at whether a call is due.
	claimTick = 250 * time.Millisecond
	// claimTimeout bounds one call to the store for the lease.
	claimTimeout = 2 * time.Second
	// giveBackCalls bounds the calls with which a stopping host gives it back.
	giveBackCalls = 3
)

// zoneLease keeps the zone's lease while this host is a candidate for it.
// Its methods are safe for concurrent use; on a nil zoneLease run and giveBack
// do nothing.
type zoneLease struct {
	app *App
	// heard is told how each call to the store ended; nil if nobody asks.
	heard func(err error)

	mu    sync.Mutex
	claim *lease.Elector
	fence uint64
}

// followLease makes the host a candidate for its zone's lease. Without peers
// the permits are not shared out, so the lease serves the orders alone.
func (a *App) followLease() {
	if a.deps.LeaseRank == nil {
		return
	}
	key := lease.Key(a.cfg.AvailabilityZone, zoneDuty)
	a.lease = &zoneLease{app: a, claim: lease.NewElector(a.cfg.Host, key, a.deps.NewID)}
	if a.deps.Peers != nil {
		a.deps.ZoneLease = a.lease.held
	}
}

// held returns the lease if the host may act on it now.
func (z *zoneLease) held(now time.Time) order.Lease {
	z.mu.Lock()
	defer z.mu.Unlock()
	h, ok := z.claim.Held(now)
	if !ok {
		return order.Lease{}
	}
	return order.Lease{Fence: h.Fence, AcquiredAt: h.Since, ValidUntil: h.Until}
}

// run gets and renews the lease until ctx ends. It does not give it back.
func (z *zoneLease) run(ctx context.Context) {
	if z == nil {
		return
	}
	for ctx.Err() == nil {
		z.step(ctx, z.app.deps.LeaseRank())
		z.note(z.held(z.app.deps.Clock.Now()).Fence)
		port.Sleep(ctx, claimTick)
	}
}

// step makes the call to the store that is due. It reports whether there was one.
func (z *zoneLease) step(ctx context.Context, rank int) bool {
	z.mu.Lock()
	call, due := z.claim.NextCall(z.app.deps.Clock.Now(), rank)
	z.mu.Unlock()
	if !due {
		return false
	}
	entry, err := z.send(ctx, call)
	if z.heard != nil && ctx.Err() == nil {
		z.heard(err)
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.claim.HandleResult(z.app.deps.Clock.Now(), call, entry, err)
	return true
}

func (z *zoneLease) send(ctx context.Context, call lease.Call) (port.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	store := z.app.deps.Control
	switch call.Operation {
	case lease.Write:
		return store.CompareAndSwap(ctx, call.Key, call.Prev, call.Value, call.TTL)
	case lease.Delete:
		return port.Entry{}, store.Delete(ctx, call.Key, call.Prev)
	default:
		return store.Get(ctx, call.Key)
	}
}

// giveBack removes the lease from the store, so that the next holder need not
// wait for its end. Call it once run has ended.
func (z *zoneLease) giveBack() {
	if z == nil {
		return
	}
	z.mu.Lock()
	z.claim.Release(z.app.deps.Clock.Now())
	z.mu.Unlock()
	for range giveBackCalls {
		if !z.step(context.Background(), -1) {
			break
		}
	}
	z.note(0)
}

// note writes a change of the lease to the audit trail.
func (z *zoneLease) note(fence uint64) {
	if fence == z.fence {
		return
	}
	action, number := "got", fence
	if fence == 0 {
		action, number = "lost or given back", z.fence
	}
	z.fence = fence
	if fence > 0 {
		z.app.tellHolder(fence)
	}
	deps := z.app.deps
	deps.Log.Info("zone lease", slog.String("action", action), slog.Uint64("fence", number))
	deps.Audit.Record(port.AuditRecord{
		ID: deps.NewID(), Time: deps.Clock.Now(), Host: z.app.cfg.Host, Kind: port.AuditLease,
		Actor: z.app.cfg.Host, Subject: z.app.cfg.AvailabilityZone,
		Action: action, Outcome: "number " + strconv.FormatUint(number, 10),
	})
}

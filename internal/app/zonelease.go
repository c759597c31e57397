package app

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/lease"
	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/order"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// zoneLeasePurpose names the lease whose holder alone sends orders to the zone's
	// engines and issues permits for its cold endpoints.
	zoneLeasePurpose = "control"
	// leaseCheckInterval is the pause between two checks whether a call to the
	// store is due.
	leaseCheckInterval = 250 * time.Millisecond
	// leaseCallTimeout bounds one call to the store for the lease.
	leaseCallTimeout = 2 * time.Second
	// maxReleaseCalls bounds the calls to the store with which a stopping host
	// releases the lease.
	maxReleaseCalls = 3
	// kindLeaseReleased is the kind of the message with which a host tells a candidate
	// for its zone's lease that it has released it.
	kindLeaseReleased = "lease.released"
	// releaseNoticeTimeout bounds how long a stopping host waits for the responses.
	releaseNoticeTimeout = 300 * time.Millisecond
)

// zoneLease acquires and renews the zone's lease while this host is a candidate
// for it. held is safe for concurrent use. Call release only after run has
// returned; both do nothing on a nil zoneLease.
type zoneLease struct {
	app *App
	// onStoreResult is called with the error of each call to the store; may be nil.
	onStoreResult func(err error)
	// onChange is called when the host has acquired or lost the lease; may be nil. It
	// must not block.
	onChange func()
	// released makes run read the lease at once.
	released wake
	// onEpoch is called with the store's epoch after each call, 0 if it is not known; may be
	// nil.
	onEpoch func(epoch int64)

	mu      sync.Mutex
	elector *lease.Elector // guarded by mu
	// recordedToken is the fencing token last recorded in the audit trail, 0 if
	// none. Only run and release use it, without mu.
	recordedToken uint64
}

// initZoneLease makes the host a candidate for its zone's lease. Without peers
// permits are not distributed, so the lease covers the orders alone.
func (a *App) initZoneLease() {
	if a.deps.LeaseRank == nil {
		return
	}
	key := lease.Key(a.cfg.AvailabilityZone, zoneLeasePurpose)
	a.lease = &zoneLease{app: a, elector: lease.NewElector(a.cfg.Host, key, a.deps.NewID), released: newWake()}
	if a.deps.Peers != nil {
		a.deps.ZoneLease = a.lease.held
		a.deps.Peers.Handle(kindLeaseReleased, a.lease.handleReleased)
	}
}

// held returns the lease if the host may act on it at the given time, else the
// zero Lease.
func (z *zoneLease) held(now time.Time) order.Lease {
	z.mu.Lock()
	defer z.mu.Unlock()
	l, ok := z.elector.Held(now)
	if !ok {
		return order.Lease{}
	}
	return order.Lease{Fence: l.Fence, AcquiredAt: l.Since, ValidUntil: l.Until}
}

// run acquires and renews the lease until ctx ends. It does not release it.
func (z *zoneLease) run(ctx context.Context) {
	if z == nil {
		return
	}
	for ctx.Err() == nil {
		rank := z.app.deps.LeaseRank()
		if z.makeDueCall(ctx, rank) && z.acquisitionDue(rank) {
			z.makeDueCall(ctx, rank)
		}
		z.recordChange(z.held(z.app.deps.Clock.Now()).Fence)
		z.released.sleep(ctx, leaseCheckInterval)
	}
}

// acquisitionDue reports whether the host may acquire the lease now.
func (z *zoneLease) acquisitionDue(rank int) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.elector.AcquisitionDue(z.app.deps.Clock.Now(), rank)
}

// makeDueCall makes the call to the store that is due, if any, and reports whether
// there was one. rank is as returned by Deps.LeaseRank.
func (z *zoneLease) makeDueCall(ctx context.Context, rank int) bool {
	z.mu.Lock()
	if leaving := z.app.deps.HostLeaving; leaving != nil && leaving(z.elector.OtherHolder()) {
		z.elector.HolderLeaving()
	}
	call, due := z.elector.NextCall(z.app.deps.Clock.Now(), rank)
	z.mu.Unlock()
	if !due {
		return false
	}
	entry, err := z.callStore(ctx, call)
	if z.onStoreResult != nil && ctx.Err() == nil {
		z.onStoreResult(err)
	}
	if z.onEpoch != nil {
		z.onEpoch(entry.Epoch)
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.elector.HandleResult(z.app.deps.Clock.Now(), call, entry, err)
	return true
}

// callStore makes a call to the store. A delete returns the zero Entry.
func (z *zoneLease) callStore(ctx context.Context, call lease.Call) (port.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	store := z.app.deps.ControlStore
	switch call.Operation {
	case lease.Write:
		return store.CompareAndSwap(ctx, call.Key, call.Prev, call.Value, call.TTL)
	case lease.Delete:
		return port.Entry{}, store.Delete(ctx, call.Key, call.Prev)
	default:
		return store.Get(ctx, call.Key)
	}
}

// release deletes the lease from the store, so that the next holder need not wait
// until it expires, and tells the candidates so. Call it after run has returned.
func (z *zoneLease) release() {
	if z == nil {
		return
	}
	z.mu.Lock()
	held := z.elector.Revision() > 0
	z.elector.Release(z.app.deps.Clock.Now())
	z.mu.Unlock()
	for range maxReleaseCalls {
		if !z.makeDueCall(context.Background(), -1) {
			break
		}
	}
	z.recordChange(0)
	if held {
		z.notifyCandidates()
	}
}

// notifyCandidates tells the hosts that may acquire the lease that it is free, and waits
// for their responses up to releaseNoticeTimeout. A host that does not receive it finds
// the lease free at its next read.
func (z *zoneLease) notifyCandidates() {
	peers := z.app.deps.Peers
	if peers == nil {
		return
	}
	var ids []string
	for _, m := range peers.Members() {
		if m.State == port.MemberLive && m.AvailabilityZone == z.app.cfg.AvailabilityZone && m.ID != z.app.cfg.Host {
			ids = append(ids, m.ID)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseNoticeTimeout)
	defer cancel()
	var asks sync.WaitGroup
	for _, id := range membership.SelectByRendezvous(ids, membership.LeasePurpose, membership.CandidatesPerLease) {
		asks.Go(func() { _, _ = peers.Ask(ctx, id, kindLeaseReleased, nil) })
	}
	asks.Wait()
}

// handleReleased handles the message of the zone's lease holder that it has released the
// lease.
func (z *zoneLease) handleReleased(_ context.Context, from port.Member, _ []byte) ([]byte, error) {
	if from.AvailabilityZone == z.app.cfg.AvailabilityZone {
		z.mu.Lock()
		z.elector.HolderReleased(z.app.deps.Clock.Now())
		z.mu.Unlock()
		z.released.Signal()
	}
	return []byte{1}, nil
}

// recordChange logs and audits an acquisition or a loss of the lease, and calls
// onChange. token is the fencing token held now, 0 if none.
func (z *zoneLease) recordChange(token uint64) {
	if token == z.recordedToken {
		return
	}
	action, number := "got", token
	if token == 0 {
		action, number = "lost or given back", z.recordedToken
	}
	z.recordedToken = token
	if z.onChange != nil {
		z.onChange()
	}
	deps := z.app.deps
	deps.Log.Info("zone lease changed", slog.String("action", action), slog.Uint64("fence", number))
	deps.Audit.Record(port.AuditRecord{
		ID: deps.NewID(), Time: deps.Clock.Now(), Host: z.app.cfg.Host, Kind: port.AuditLease,
		Actor: z.app.cfg.Host, Subject: z.app.cfg.AvailabilityZone,
		Action: action, Outcome: "number " + strconv.FormatUint(number, 10),
	})
}

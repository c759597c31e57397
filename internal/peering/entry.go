package peering

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"log/slog"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

// loadSharedKey returns the key that all hosts share and creates it if the store
// has none. It retries until it succeeds, and returns nil if ctx ends first.
func (g *Group) loadSharedKey(ctx context.Context) []byte {
	name := g.cfg.KeyPrefix + sharedKeyName
	for ctx.Err() == nil {
		key, err := g.readKey(ctx, name)
		if key != nil {
			return key
		}
		if err == nil {
			newKey := make([]byte, sharedKeyBytes)
			_, _ = rand.Read(newKey)
			if err = g.createKey(ctx, name, newKey); err == nil {
				return newKey
			}
			if errors.Is(err, port.ErrConflict) {
				continue
			}
		}
		g.cfg.Log.Warn("shared key not loaded, retrying", slog.Any("error", err))
		port.Sleep(ctx, retryDelay)
	}
	return nil
}

// createKey writes a key that must not exist.
func (g *Group) createKey(ctx context.Context, name string, value []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := g.cfg.Store.CompareAndSwap(callCtx, name, value, 0, port.Lease{})
	return err
}

// rewriteSharedKey writes the shared key again if a restored store has lost it, so that
// hosts that start later use the same one.
func (g *Group) rewriteSharedKey(ctx context.Context, key []byte) {
	name := g.cfg.KeyPrefix + sharedKeyName
	stored, err := g.readKey(ctx, name)
	if err == nil && stored == nil {
		err = g.createKey(ctx, name, key)
	}
	switch {
	case errors.Is(err, port.ErrConflict): // another host has written it
	case err != nil:
		g.cfg.Log.Warn("shared key not written again after the store was restored", slog.Any("error", err))
	case stored != nil && !bytes.Equal(stored, key):
		g.cfg.Log.Error("the restored store holds another shared key, hosts that start now are not reached")
	}
}

// readKey returns the value of a key, nil if the store has no such key.
func (g *Group) readKey(ctx context.Context, name string) ([]byte, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	items, _, err := g.cfg.Store.Range(callCtx, name)
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

// maintainEntry keeps this host registered in the store until ctx ends, and then
// removes its entry. After a restore of the store, its lease counts as expired, and the
// next renewal registers it again; the hosts' renewals are spread over
// leaseRenewInterval. key is the shared key.
func (g *Group) maintainEntry(ctx context.Context, key []byte) {
	var lease port.Lease
	epoch := int64(0) // of the last lease; 0 before the first
	for ctx.Err() == nil {
		var err error
		if lease == (port.Lease{}) {
			if lease, err = g.register(ctx); err == nil {
				if epoch != 0 && lease.Epoch != epoch {
					g.rewriteSharedKey(ctx, key)
				}
				epoch = lease.Epoch
			}
		} else {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			err = g.cfg.Store.RenewLease(callCtx, lease)
			cancel()
			if errors.Is(err, port.ErrNotFound) {
				g.cfg.Log.Info("own entry expired", slog.Int64("lease", lease.ID), slog.Any("error", err))
				lease = port.Lease{}
				continue
			}
		}
		if err != nil {
			port.Sleep(ctx, retryDelay)
			continue
		}
		port.Sleep(ctx, leaseRenewInterval)
	}
	if lease != (port.Lease{}) {
		callCtx, cancel := context.WithTimeout(context.Background(), callTimeout/2)
		defer cancel()
		if err := g.cfg.Store.RevokeLease(callCtx, lease); err != nil {
			g.cfg.Log.Info("own entry not removed and left to expire", slog.Any("error", err))
		}
	}
}

// register writes this host's entry under a new lease and returns the lease.
func (g *Group) register(ctx context.Context) (port.Lease, error) {
	// If this host was the coordinator, its entry has expired, and another host has
	// taken over.
	g.mu.Lock()
	g.coordinatorSinceUnixMs, g.coordinatedGroup = 0, ""
	g.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	lease, err := g.cfg.Store.GrantLease(callCtx, max(leaseTTL, g.cfg.MinLease))
	if err != nil {
		return port.Lease{}, err
	}
	// An entry of an earlier start is rare: it is read only if the first write fails for it.
	revision, err := g.writeEntry(callCtx, 0, lease)
	if errors.Is(err, port.ErrConflict) {
		var former int64
		if former, err = g.formerEntry(callCtx); err == nil {
			revision, err = g.writeEntry(callCtx, former, lease)
		}
	}
	if err != nil {
		return port.Lease{}, err
	}
	g.mu.Lock()
	g.lease, g.revision = lease, revision
	g.mu.Unlock()
	g.cfg.Log.Info("registered in the store", slog.Int64("lease", lease.ID), slog.Int64("epoch", lease.Epoch))
	return lease, nil
}

// formerEntry returns the revision of this host's entry in the store, 0 if there is none.
func (g *Group) formerEntry(ctx context.Context) (int64, error) {
	name := g.cfg.KeyPrefix + hostKeyPrefix + g.cfg.Self.ID
	items, _, err := g.cfg.Store.Range(ctx, name)
	for _, i := range items {
		if i.Key == name {
			return i.Revision, err
		}
	}
	return 0, err
}

// ClaimCoordination records in this host's entry that it is the coordinator of a
// group, so that the other hosts keep using it as such. It does nothing before the host
// is registered, while it is leaving, or once a claim is written, also of another
// group. It waits for the store, up to callTimeout; a claim that can't be written is
// logged and dropped.
func (g *Group) ClaimCoordination(group string) {
	g.writeMu.Lock()
	defer g.writeMu.Unlock()
	g.mu.Lock()
	lease, revision, sinceUnixMs := g.lease, g.revision, g.coordinatorSinceUnixMs
	if lease == (port.Lease{}) || sinceUnixMs > 0 || g.leaving {
		g.mu.Unlock()
		return
	}
	g.coordinatorSinceUnixMs, g.coordinatedGroup = g.cfg.Clock.Now().UnixMilli(), group
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	newRevision, err := g.writeEntry(ctx, revision, lease)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.coordinatorSinceUnixMs, g.coordinatedGroup = 0, ""
		g.cfg.Log.Info("coordination not announced to the other hosts", slog.Any("error", err))
		return
	}
	g.revision = newRevision
	g.cfg.Log.Info("gathers work from now on", slog.String("group", group), slog.Int64("revision", newRevision))
}

// AnnounceLeaving records in this host's entry that it takes over no more work. It
// waits for the store, up to callTimeout, and only logs an error.
func (g *Group) AnnounceLeaving() {
	g.writeMu.Lock()
	defer g.writeMu.Unlock()
	g.mu.Lock()
	g.leaving = true
	lease, revision := g.lease, g.revision
	g.mu.Unlock()
	if lease == (port.Lease{}) {
		return
	}
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	if _, err := g.writeEntry(ctx, revision, lease); err != nil {
		g.cfg.Log.Info("leaving not announced to the other hosts", slog.Any("error", err))
	}
}

// writeEntry writes this host's entry under lease if the revision of the entry is
// prevRevision (0: none), and returns the new revision. Errors are those of
// port.WatchableStore.CompareAndSwap.
func (g *Group) writeEntry(ctx context.Context, prevRevision int64, lease port.Lease) (int64, error) {
	value, err := json.Marshal(g.selfEntry())
	if err != nil {
		return 0, errors.Wrap(err, "encode own entry")
	}
	return g.cfg.Store.CompareAndSwap(ctx, g.cfg.KeyPrefix+hostKeyPrefix+g.cfg.Self.ID, value, prevRevision, lease)
}

package peering

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"log/slog"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

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
			_, err = g.cfg.Feed.CompareAndSwap(call, name, fresh, 0, 0)
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
	items, _, err := g.cfg.Feed.Range(call, name)
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
			err = g.cfg.Feed.RenewLease(call, lease)
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
		if err := g.cfg.Feed.RevokeLease(call, lease); err != nil {
			g.cfg.Log.Info("own entry left to lapse", slog.Any("error", err))
		}
	}
}

// enter writes this host's entry under a new lease and returns the lease.
func (g *Group) enter(ctx context.Context) (int64, error) {
	// Another host has taken over what this one gathered.
	g.mu.Lock()
	g.keeperSince = 0
	g.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	lease, err := g.cfg.Feed.GrantLease(call, max(leaseTime, g.cfg.MinLease))
	if err != nil {
		return 0, err
	}
	name := g.cfg.Prefix + hostsName + g.cfg.Self.ID
	items, _, err := g.cfg.Feed.Range(call, name)
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

// Claim notes in this host's entry that it gathers work, so that the others stay
// with it. Calls after the first one do nothing.
func (g *Group) ClaimCoordination() {
	g.writing.Lock()
	defer g.writing.Unlock()
	g.mu.Lock()
	lease, revision, since := g.lease, g.revision, g.keeperSince
	if lease == 0 || since > 0 || g.leaving {
		g.mu.Unlock()
		return
	}
	g.keeperSince = g.cfg.Clock.Now().UnixMilli()
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(g.ctx, callTimeout)
	defer cancel()
	written, err := g.write(ctx, revision, lease)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.keeperSince = 0
		g.cfg.Log.Info("the others are not told that this host gathers work", slog.Any("error", err))
		return
	}
	g.revision = written
	g.cfg.Log.Info("gathers work from now on", slog.Int64("revision", written))
}

// Leave tells the other hosts that this one takes over nothing new.
func (g *Group) Leave() {
	g.writing.Lock()
	defer g.writing.Unlock()
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
	return g.cfg.Feed.CompareAndSwap(ctx, g.cfg.Prefix+hostsName+g.cfg.Self.ID, value, prev, lease)
}

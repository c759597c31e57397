package app

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Timing of reads and watches of the release in the store.
const (
	// watchTimeout bounds one watch; a read follows it.
	watchTimeout = 30 * time.Second
	// readTimeout bounds one read.
	readTimeout = 5 * time.Second
	// minReadInterval is the minimum mean pause between two reads by a host that
	// does not watch the store. The mean is at least readIntervalPerHost for each
	// host of the fleet, which bounds the fleet's total read rate.
	minReadInterval     = 30 * time.Second
	readIntervalPerHost = 500 * time.Millisecond
	// partitionedReadInterval is the mean pause between two reads by a host that
	// does not watch the store and that knows no other host or reaches no other
	// zone.
	partitionedReadInterval = 10 * time.Second
	// minRetryDelay and maxRetryDelay bound the mean delay after a failure.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
	// roleCheckInterval is the pause between two checks whether this host has
	// become a watcher.
	roleCheckInterval = time.Second
)

// followRelease brings the release in the store into force, until ctx ends. A few
// hosts of each zone watch the store. The others receive the release from them
// by gossip and also read it from time to time in case that fails.
func (a *App) followRelease(ctx context.Context) {
	var seen uint64 // revision of the last entry read
	retry := minRetryDelay
	// readFirst is set if nothing has been read yet, so that there is no revision to watch
	// from, or the last call failed: a watch would only tell of the next change that the
	// store responds again.
	readFirst := true
	for ctx.Err() == nil {
		watching := a.watchesStore()
		entry, err := a.pollRelease(ctx, watching && !readFirst, seen)
		if err != nil {
			a.reportPollFailure(ctx, err)
			readFirst = true
			port.Sleep(ctx, jittered(retry))
			retry = min(2*retry, maxRetryDelay)
			continue
		}
		retry, readFirst = minRetryDelay, false
		if entry.Revision != seen || entry.Revision == 0 {
			a.applyStored(entry)
		}
		seen = entry.Revision
		a.controlLoop.send(storeRespondedEvent())
		if !watching {
			a.awaitNextRead(ctx)
		}
	}
}

// watchesStore reports whether this host watches the store. Without a Fleet it does.
func (a *App) watchesStore() bool {
	return a.deps.Fleet == nil || a.deps.Fleet.View().WatchesStore
}

// pollRelease reads the release. With watch set, it first waits until the revision
// differs from seen or watchTimeout has passed. The entry is zero if no release is
// stored.
func (a *App) pollRelease(ctx context.Context, watch bool, seen uint64) (port.Entry, error) {
	if !watch {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		entry, err := a.deps.ControlStore.Get(ctx, release.CurrentKey)
		a.claims.ObserveEpoch(entry.Epoch)
		if errors.Is(err, port.ErrNotFound) {
			return port.Entry{}, nil
		}
		return entry, err
	}
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	entry, err := a.deps.ControlStore.Watch(watchCtx, release.CurrentKey, seen)
	a.claims.ObserveEpoch(entry.Epoch)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		// A watch without events looks the same if the store is unreachable; a
		// read tells the two apart.
		return a.pollRelease(ctx, false, seen)
	}
	return entry, err
}

// reportPollFailure logs and records a failed read or watch, unless ctx has ended.
func (a *App) reportPollFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	a.deps.Log.Warn("cannot read the release from the store", slog.Any("error", err))
	a.controlLoop.send(storeFailedEvent())
}

// awaitNextRead waits until the next read is due, the host has become a watcher or
// ctx ends. It re-evaluates the interval as it waits, so that a partition between
// zones shortens the wait.
func (a *App) awaitNextRead(ctx context.Context) {
	factor := 0.5 + rand.Float64()
	for waited := time.Duration(0); ctx.Err() == nil && !a.watchesStore(); waited += roleCheckInterval {
		if waited >= time.Duration(factor*float64(a.readInterval())) {
			return
		}
		port.Sleep(ctx, roleCheckInterval)
	}
}

// readInterval returns the mean pause between two reads by a host that does not
// watch the store.
func (a *App) readInterval() time.Duration {
	v := a.deps.Fleet.View()
	if len(v.Members) == 1 || v.Partitioned() {
		return partitionedReadInterval
	}
	return max(minReadInterval, time.Duration(v.NotGoneCount)*readIntervalPerHost)
}

// applyStored brings the release in a store entry into force and broadcasts it to
// the other hosts. A key that does not exist stands for the empty release that
// precedes the first note.
func (a *App) applyStored(entry port.Entry) {
	a.controlLoop.send(storeRespondedEvent())
	if entry.Revision == 0 {
		a.controlLoop.send(releaseEvent(release.StoredRelease{Release: *release.Empty()}))
		return
	}
	stored, err := release.DecodeStored(entry.Value)
	if err != nil {
		a.deps.Log.Error("cannot decode the release in the store", slog.Any("error", err))
		return
	}
	a.controlLoop.send(releaseEvent(stored))
	a.broadcastRelease(stored, entry.Value)
}

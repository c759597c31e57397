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

// Timing of following the release in the store.
const (
	// watchTimeout is how long one watch waits.
	watchTimeout = 30 * time.Second
	// readTimeout bounds one reading.
	readTimeout = 5 * time.Second
	// minReadInterval is the least mean pause between two readings of a host
	// that does not watch; readIntervalPerHost makes it grow with the fleet, so
	// that the fleet's rate of readings has a ceiling.
	minReadInterval     = 30 * time.Second
	readIntervalPerHost = 500 * time.Millisecond
	// partitionedReadInterval is the mean pause of a host that hears no other zone.
	partitionedReadInterval = 10 * time.Second
	// minRetryDelay and maxRetryDelay bound the mean pause after a failure.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
	// roleCheckInterval is how often a host looks whether it has become a watcher.
	roleCheckInterval = time.Second
)

// follow brings in force what the store holds, until ctx ends. A few hosts of
// each zone watch it; the others hear of it from them, and read it now and
// then in case they do not.
func (a *App) followRelease(ctx context.Context) {
	var seen uint64
	retry := minRetryDelay
	first := true
	for ctx.Err() == nil {
		watching := a.watchesStore()
		entry, err := a.pollRelease(ctx, watching && !first, seen)
		if err != nil {
			a.reportPollFailure(ctx, err)
			port.Sleep(ctx, jittered(retry))
			retry = min(2*retry, maxRetryDelay)
			continue
		}
		retry, first = minRetryDelay, false
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

// watching reports whether this host watches the store.
func (a *App) watchesStore() bool {
	return a.deps.Fleet == nil || a.deps.Fleet.View().WatchesStore
}

// look reads the release, or waits until it differs from what was seen.
func (a *App) pollRelease(ctx context.Context, watch bool, seen uint64) (port.Entry, error) {
	if !watch {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		entry, err := a.deps.ControlStore.Get(ctx, release.CurrentKey)
		if errors.Is(err, port.ErrNotFound) {
			return port.Entry{}, nil
		}
		return entry, err
	}
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	entry, err := a.deps.ControlStore.Watch(watchCtx, release.CurrentKey, seen)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		// Silence may be that of a store that cannot be reached: a read shows it.
		return a.pollRelease(ctx, false, seen)
	}
	return entry, err
}

func (a *App) reportPollFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	a.deps.Log.Warn("release not read from the store", slog.Any("error", err))
	a.controlLoop.send(storeFailedEvent())
}

// awaitNextRead waits until the next reading is due or the host has become a
// watcher. A cut between zones shortens the wait.
func (a *App) awaitNextRead(ctx context.Context) {
	share := 0.5 + rand.Float64()
	for waited := time.Duration(0); ctx.Err() == nil && !a.watchesStore(); waited += roleCheckInterval {
		if waited >= time.Duration(share*float64(a.readInterval())) {
			return
		}
		port.Sleep(ctx, roleCheckInterval)
	}
}

// readInterval is the mean pause between two readings of a host that does not watch.
func (a *App) readInterval() time.Duration {
	v := a.deps.Fleet.View()
	if len(v.Members) == 1 || v.Partitioned() {
		return partitionedReadInterval
	}
	return max(minReadInterval, time.Duration(v.LiveCount)*readIntervalPerHost)
}

// take adopts what the store holds and tells the other hosts. A key that does
// not exist is the release before the first note.
func (a *App) applyStored(entry port.Entry) {
	a.controlLoop.send(storeRespondedEvent())
	if entry.Revision == 0 {
		a.controlLoop.send(releaseEvent(release.StoredRelease{Release: *release.Empty()}))
		return
	}
	stored, err := release.DecodeStored(entry.Value)
	if err != nil {
		a.deps.Log.Error("release in the store cannot be read", slog.Any("error", err))
		return
	}
	a.controlLoop.send(releaseEvent(stored))
	a.broadcastRelease(stored, entry.Value)
}

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
	// minReadPause is the least mean pause between two readings of a host
	// that does not watch; readPausePerHost makes it grow with the fleet, so
	// that the fleet's rate of readings has a ceiling.
	minReadPause     = 30 * time.Second
	readPausePerHost = 500 * time.Millisecond
	// cutOffReadPause is the mean pause of a host that hears no other zone.
	cutOffReadPause = 10 * time.Second
	// minRetryPause and maxRetryPause bound the mean pause after a failure.
	minRetryPause = time.Second
	maxRetryPause = 30 * time.Second
	// rolePause is how often a host looks whether it has become a watcher.
	rolePause = time.Second
)

// follow brings in force what the store holds, until ctx ends. A few hosts of
// each zone watch it; the others hear of it from them, and read it now and
// then in case they do not.
func (a *App) follow(ctx context.Context) {
	var seen uint64
	retry := minRetryPause
	first := true
	for ctx.Err() == nil {
		watching := a.watching()
		entry, err := a.look(ctx, watching && !first, seen)
		if err != nil {
			a.lookFailed(ctx, err)
			port.Sleep(ctx, jittered(retry))
			retry = min(2*retry, maxRetryPause)
			continue
		}
		retry, first = minRetryPause, false
		if entry.Revision != seen || entry.Revision == 0 {
			a.take(entry)
		}
		seen = entry.Revision
		a.control.send(storeHeard())
		if !watching {
			a.awaitTurn(ctx)
		}
	}
}

// watching reports whether this host watches the store.
func (a *App) watching() bool {
	return a.deps.Fleet == nil || a.deps.Fleet.View().Watching
}

// look reads the release, or waits until it differs from what was seen.
func (a *App) look(ctx context.Context, watch bool, seen uint64) (port.Entry, error) {
	if !watch {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		entry, err := a.deps.Control.Get(ctx, release.CurrentKey)
		if errors.Is(err, port.ErrNotFound) {
			return port.Entry{}, nil
		}
		return entry, err
	}
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	entry, err := a.deps.Control.Watch(watchCtx, release.CurrentKey, seen)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		// Silence may be that of a store that cannot be reached: a read shows it.
		return a.look(ctx, false, seen)
	}
	return entry, err
}

func (a *App) lookFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	a.deps.Log.Warn("release not read from the store", slog.Any("error", err))
	a.control.send(storeFailed())
}

// awaitTurn waits until the next reading is due or the host has become a
// watcher. A cut between zones shortens the wait.
func (a *App) awaitTurn(ctx context.Context) {
	share := 0.5 + rand.Float64()
	for waited := time.Duration(0); ctx.Err() == nil && !a.watching(); waited += rolePause {
		if waited >= time.Duration(share*float64(a.readPause())) {
			return
		}
		port.Sleep(ctx, rolePause)
	}
}

// readPause is the mean pause between two readings of a host that does not watch.
func (a *App) readPause() time.Duration {
	v := a.deps.Fleet.View()
	if len(v.Members) == 1 || v.CutOff() {
		return cutOffReadPause
	}
	return max(minReadPause, time.Duration(v.Live)*readPausePerHost)
}

// take adopts what the store holds and tells the other hosts. A key that does
// not exist is the release before the first note.
func (a *App) take(entry port.Entry) {
	a.control.send(storeHeard())
	if entry.Revision == 0 {
		a.control.send(adopt(release.StoredRelease{Release: *release.Empty()}))
		return
	}
	stored, err := release.DecodeStored(entry.Value)
	if err != nil {
		a.deps.Log.Error("release in the store cannot be read", slog.Any("error", err))
		return
	}
	a.control.send(adopt(stored))
	a.shareRelease(stored, entry.Value)
}

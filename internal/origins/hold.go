package origins

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/origin"
	"github.com/pimentorill/pimentorill/internal/port"
)

// The hosts that watch the store, few of many, hold the records of all hosts: while a route has
// several versions they read all segments once for each uninterrupted watch, and learn of the
// others with it. The rest ask them. So hosts that start together read the segments some times
// and not once each, which takes longer at hundreds of hosts than callers wait.

const (
	// holdInterval is the time between two looks whether this host lacks segments.
	holdInterval = 100 * time.Millisecond
	// holdTimeout bounds a read of all segments by a host that is to hold them, and
	// holdRetryDelay is the time to the next attempt after one that failed.
	holdTimeout    = 3 * time.Second
	holdRetryDelay = 500 * time.Millisecond
)

// holdSegments reads all segments whenever this host watches the store and has not read them
// since it does, until ctx ends.
func (r *Registry) holdSegments(ctx context.Context) {
	for ctx.Err() == nil {
		port.Sleep(ctx, holdInterval)
		watch, lacks := r.lacksSegments()
		if !lacks {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, holdTimeout)
		err := r.learnAllSegments(callCtx)
		cancel()
		if err != nil {
			r.cfg.Log.Info("origins of streams not read from the store, they are read again", slog.Any("error", err))
			port.Sleep(ctx, holdRetryDelay+rand.N(holdRetryDelay))
			continue
		}
		r.heldSince.Store(watch)
	}
}

// lacksSegments reports whether this host is to hold all records and doesn't, with the number
// of its watch.
func (r *Registry) lacksSegments() (int64, bool) {
	watch := r.cfg.Watch()
	if watch == 0 || watch == r.heldSince.Load() || len(r.cfg.Peers.Followed()) > 0 {
		return watch, false
	}
	s := r.cfg.Snapshot()
	if s.Config == nil {
		return watch, false
	}
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, route := range s.Config.Routes {
		if route.Resumable && r.hasSeveral(route.Name, now) {
			return watch, true
		}
	}
	return watch, false
}

// holdsAll reports whether this host holds all records that are in the store.
func (r *Registry) holdsAll() bool {
	watch := r.cfg.Watch()
	return watch != 0 && watch == r.heldSince.Load()
}

// awaitAll waits until this host holds all records, if it is to, for awaitTimeout at most.
func (r *Registry) awaitAll(ctx context.Context) {
	for deadline := r.cfg.Clock.Now().Add(awaitTimeout); ctx.Err() == nil && r.cfg.Clock.Now().Before(deadline); port.Sleep(ctx, positionInterval) {
		if _, lacks := r.lacksSegments(); !lacks {
			return
		}
	}
}

// findInSegments returns the origin that the record in the store names of an attempt. known
// says that another host that holds all records has none of it.
func (r *Registry) findInSegments(ctx context.Context, request getRequest, known bool) (origin.Origin, bool) {
	if request.Attempt == "" {
		return origin.Origin{}, false
	}
	if len(r.cfg.Peers.Followed()) > 0 {
		if known {
			return origin.Origin{}, false
		}
		if record, responded := r.askFollowed(ctx, request); responded {
			return record.Origin, record.Origin.Known()
		}
	}
	r.awaitAll(ctx)
	own := r.lookUp(request)
	if !own.HasRecord && r.readSegments(ctx) == nil {
		own = r.lookUp(request)
	}
	return own.Record.Origin, own.HasRecord && own.Record.Origin.Known()
}

// askFollowed asks the hosts that hold all records for one, also while they read them or this
// host connects to them. responded means that one of them does hold all.
func (r *Registry) askFollowed(ctx context.Context, request getRequest) (record origin.Record, responded bool) {
	request.Await = true
	for deadline := r.cfg.Clock.Now().Add(awaitTimeout); ; port.Sleep(ctx, askAgainInterval) {
		left := deadline.Sub(r.cfg.Clock.Now())
		followed := r.cfg.Peers.Followed()
		if len(followed) == 0 || left <= 0 || ctx.Err() != nil {
			return origin.Record{}, false
		}
		answers := r.askAll(ctx, followed, request, left)
		if answers.record != nil {
			return *answers.record, true
		}
		if answers.holdsAll {
			return origin.Record{}, true
		}
	}
}

package stagework

import (
	"context"
	"log/slog"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// freeResultsTimeout bounds a call that frees results.
	freeResultsTimeout = time.Second
	// maxFreeAttempts bounds the calls that free the same results, freeRetryInterval is the
	// pause before the second; it doubles.
	maxFreeAttempts   = 3
	freeRetryInterval = 300 * time.Millisecond
)

// Free frees results stored at endpoints of this scheduler's queues. It does
// not wait for the endpoints.
func (sc *Scheduler) Free(handles []string) {
	if len(handles) == 0 {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.freeLocked(handles)
}

// freeLocked is Free for a caller that holds sc.mu. It returns the number of results that
// were stored and not being freed.
func (sc *Scheduler) freeLocked(handles []string) int {
	n := 0
	for _, q := range sc.queues {
		for e, list := range q.StartFree(handles) {
			n += len(list)
			go sc.freeResults(q, e, list)
		}
	}
	return n
}

// freeResults frees results at their endpoint, once it takes calls, and starts the calls
// that waited for the storage. Results that the endpoint doesn't confirm are freed once more,
// a few times, and count until they expire. It leaves results alone that expire before.
func (sc *Scheduler) freeResults(q *queue, e *catalog.Endpoint, handles []string) {
	sc.mu.Lock()
	ttl := q.Limits().ResultTTL
	sc.mu.Unlock()
	for attempt := 1; ; attempt++ {
		if rest := sc.cfg.Advisories.Rest(e); rest > 0 && rest >= ttl {
			return
		}
		sc.awaitRest(e)
		ctx, cancel := context.WithTimeout(context.Background(), freeResultsTimeout)
		err := sc.cfg.Endpoints.FreeResults(ctx, e, handles)
		cancel()
		if err == nil {
			break
		}
		sc.cfg.Log.Warn("results not freed", slog.String("endpoint", e.ID), slog.Int("results", len(handles)), slog.Int("attempt", attempt), slog.Any("error", err))
		if attempt == maxFreeAttempts {
			return
		}
		port.Sleep(sc.ctx, freeRetryInterval<<(attempt-1))
		if sc.ctx.Err() != nil {
			return
		}
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	q.FinishFree(e, handles)
	sc.startCalls(q)
}

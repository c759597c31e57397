package cost

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Deferred is an attempt whose usage is still to be queried from its endpoint.
type Deferred struct {
	AttemptID string
	Endpoint  release.Endpoint
	Cause     Cause
	// DeferredAt is when the attempt was deferred.
	DeferredAt time.Time
	// nextQueryAt is when the endpoint is queried next, retryDelay the delay
	// until the query after that.
	nextQueryAt time.Time
	retryDelay  time.Duration
}

// The bounds of the delay between two queries for one attempt's usage. The delay
// doubles after each query.
const (
	minQueryDelay = 500 * time.Millisecond
	maxQueryDelay = time.Minute
)

// NextDeferred returns up to n deferred attempts in the order in which they are
// to be queried.
func (l *Ledger) NextDeferred(n int) []Deferred {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Deferred, 0, len(l.deferred))
	for _, d := range l.deferred {
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b Deferred) int {
		return cmp.Or(a.nextQueryAt.Compare(b.nextQueryAt), cmp.Compare(a.AttemptID, b.AttemptID))
	})
	return out[:min(n, len(out))]
}

// maxQueriesPerCall bounds the attempts queried or rescheduled in one call of
// SettleDue.
const maxQueriesPerCall = 64

// SettleDue queries the endpoints of the deferred attempts that are due, one
// after the other, and settles the attempts that have ended with the usage charged.
// An endpoint that does not respond is queried only once per call, so that it does
// not delay the others. Only one goroutine may call it.
func (l *Ledger) SettleDue(ctx context.Context, r port.UsageReader) {
	now := l.clock.Now()
	unresponsive := map[string]bool{}
	for _, d := range l.NextDeferred(maxQueriesPerCall) {
		if d.nextQueryAt.After(now) || ctx.Err() != nil {
			return
		}
		if !unresponsive[d.Endpoint.ID] && l.queryAndSettle(ctx, r, d, unresponsive) {
			continue
		}
		l.reschedule(d.AttemptID)
	}
}

// queryAndSettle queries one attempt's usage and settles the attempt if the
// endpoint has ended its work on it. It reports whether it settled the attempt, and
// adds an endpoint that does not respond to unresponsive.
func (l *Ledger) queryAndSettle(ctx context.Context, r port.UsageReader, d Deferred, unresponsive map[string]bool) bool {
	usage, finished, err := queryUsage(ctx, r, d)
	if err != nil {
		unresponsive[d.Endpoint.ID] = true
		return false
	}
	if finished {
		l.Settle(d.AttemptID, d.Cause, usage)
	}
	return finished
}

// SettleAll queries each deferred attempt once, due or not, until ctx is done,
// but skips those of an endpoint that did not respond before in the same call. It
// must not run concurrently with SettleDue.
func (l *Ledger) SettleAll(ctx context.Context, r port.UsageReader) {
	unresponsive := map[string]bool{}
	for _, d := range l.NextDeferred(maxDeferredAttempts) {
		if ctx.Err() != nil {
			return
		}
		if !unresponsive[d.Endpoint.ID] {
			l.queryAndSettle(ctx, r, d, unresponsive)
		}
	}
}

// queryTimeout bounds one usage query.
const queryTimeout = time.Second

// queryUsage returns the attempt's usage charged so far and whether the endpoint has
// ended its work on the attempt.
func queryUsage(ctx context.Context, r port.UsageReader, d Deferred) (port.Usage, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return r.AttemptUsage(ctx, d.Endpoint, d.AttemptID)
}

// reschedule sets the time of an attempt's next query, or gives the attempt up if it
// has been deferred for longer than maxDeferredAge.
func (l *Ledger) reschedule(attemptID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.deferred[attemptID]
	if !ok {
		return
	}
	now := l.clock.Now()
	if now.Sub(d.DeferredAt) > maxDeferredAge {
		l.giveUpLocked(attemptID)
		return
	}
	d.nextQueryAt = now.Add(d.retryDelay)
	d.retryDelay = min(2*d.retryDelay, maxQueryDelay)
}

// giveUpLocked removes an attempt and counts its cost as unknown. The caller
// holds mu.
func (l *Ledger) giveUpLocked(attemptID string) {
	delete(l.unsettled, attemptID)
	delete(l.deferred, attemptID)
	l.unknownCount++
}

// PendingCounts returns the number of deferred attempts, and the number of
// attempts given up since the host's start, whose cost stays unknown.
func (l *Ledger) PendingCounts() (deferred int, unknown int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.deferred), l.unknownCount
}

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

// maxQueriesPerCall bounds the attempts processed in one call of SettleDue.
const maxQueriesPerCall = 64

// SettleDue queries the endpoints of the deferred attempts that are due, one
// after the other, and settles the attempts with the usage charged. An endpoint
// that does not answer is queried only once per call, so that it does not delay
// the others. Only one goroutine may call it.
func (l *Ledger) SettleDue(ctx context.Context, m port.UsageReader) {
	now := l.clock.Now()
	unresponsive := map[string]bool{}
	for _, d := range l.NextDeferred(maxQueriesPerCall) {
		if d.nextQueryAt.After(now) || ctx.Err() != nil {
			return
		}
		if !unresponsive[d.Endpoint.ID] && l.queryAndSettle(ctx, m, d, unresponsive) {
			continue
		}
		l.reschedule(d.AttemptID)
	}
}

// queryAndSettle queries one attempt's usage and settles the attempt if it has
// finished, which it reports. It adds an endpoint that does not answer to
// unresponsive.
func (l *Ledger) queryAndSettle(ctx context.Context, m port.UsageReader, d Deferred, unresponsive map[string]bool) bool {
	usage, finished, err := queryUsage(ctx, m, d)
	if err != nil {
		unresponsive[d.Endpoint.ID] = true
		return false
	}
	if finished {
		l.Settle(d.AttemptID, d.Cause, usage)
	}
	return finished
}

// SettleAll queries each deferred attempt once, due or not, until ctx is done. It
// must not run concurrently with SettleDue.
func (l *Ledger) SettleAll(ctx context.Context, m port.UsageReader) {
	unresponsive := map[string]bool{}
	for _, d := range l.NextDeferred(maxDeferredAttempts) {
		if ctx.Err() != nil {
			return
		}
		if !unresponsive[d.Endpoint.ID] {
			l.queryAndSettle(ctx, m, d, unresponsive)
		}
	}
}

// queryTimeout bounds one usage query.
const queryTimeout = time.Second

func queryUsage(ctx context.Context, m port.UsageReader, d Deferred) (port.Usage, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return m.AttemptUsage(ctx, d.Endpoint, d.AttemptID)
}

// reschedule sets the time of an attempt's next query. An attempt that has been
// deferred for longer than maxDeferredAge is given up.
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

package cost

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// NextDeferred is an attempt whose endpoint is still to be asked for its usage.
type Deferred struct {
	AttemptID string
	Endpoint  release.Endpoint
	Cause     Cause
	// DeferredAt is when the attempt was deferred.
	DeferredAt time.Time
	// nextQueryAt is when the endpoint is asked next, wait the pause after that.
	nextQueryAt time.Time
	retryDelay  time.Duration
}

// The pauses between two questions for one attempt's usage.
const (
	minQueryDelay = 500 * time.Millisecond
	maxQueryDelay = time.Minute
)

// NextDeferred returns up to n deferred attempts, the next to be asked first.
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

// maxQueriesPerCall bounds the endpoints asked in one call of SettleDue.
const maxQueriesPerCall = 64

// SettleDue asks the endpoints of deferred attempts that are due, one after
// the other, and books what they charged. An endpoint that does not answer is
// asked once only. It is called by one goroutine.
func (l *Ledger) SettleDue(ctx context.Context, m port.Meter) {
	now := l.clock.Now()
	silent := map[string]bool{}
	for _, d := range l.NextDeferred(maxQueriesPerCall) {
		if d.nextQueryAt.After(now) || ctx.Err() != nil {
			return
		}
		if !silent[d.Endpoint.ID] && l.queryAndSettle(ctx, m, d, silent) {
			continue
		}
		l.reschedule(d.AttemptID)
	}
}

// queryAndSettle asks for one attempt and books it if its work has ended. It adds
// an endpoint that does not answer to silent.
func (l *Ledger) queryAndSettle(ctx context.Context, m port.Meter, d Deferred, silent map[string]bool) bool {
	usage, ended, err := queryUsage(ctx, m, d)
	if err != nil {
		silent[d.Endpoint.ID] = true
		return false
	}
	if ended {
		l.Settle(d.AttemptID, d.Cause, usage)
	}
	return ended
}

// SettleAll asks once for each deferred attempt, due or not, as long as ctx
// lasts. It must not run beside SettleDue.
func (l *Ledger) SettleAll(ctx context.Context, m port.Meter) {
	silent := map[string]bool{}
	for _, d := range l.NextDeferred(maxDeferredAttempts) {
		if ctx.Err() != nil {
			return
		}
		if !silent[d.Endpoint.ID] {
			l.queryAndSettle(ctx, m, d, silent)
		}
	}
}

// askTimeout bounds one question.
const askTimeout = time.Second

func queryUsage(ctx context.Context, m port.Meter, d Deferred) (port.Usage, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return m.Charged(ctx, d.Endpoint, d.AttemptID)
}

// postpone sets the next time to ask for an attempt. An attempt that has
// waited longer than maxDeferredAge is given up and counted as unknown.
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

// giveUpLocked forgets an attempt whose cost cannot be learned.
func (l *Ledger) giveUpLocked(attemptID string) {
	delete(l.unsettled, attemptID)
	delete(l.deferred, attemptID)
	l.unknownCount++
}

// PendingCounts returns the number of attempts whose cost is not known yet, and of
// those that were given up since the start.
func (l *Ledger) PendingCounts() (deferred int, unknown int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.deferred), l.unknownCount
}

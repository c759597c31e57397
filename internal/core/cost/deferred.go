package cost

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Deferred is an attempt whose endpoint is still to be asked for its usage.
type Deferred struct {
	AttemptID string
	Endpoint  release.Endpoint
	Cause     Cause
	// Since is when the attempt was deferred.
	Since time.Time
	// askAt is when the endpoint is asked next, wait the pause after that.
	askAt time.Time
	wait  time.Duration
}

// The pauses between two questions for one attempt's usage.
const (
	firstAsk = 500 * time.Millisecond
	maxAsk   = time.Minute
)

// Deferred returns up to n deferred attempts, the next to be asked first.
func (l *Ledger) Deferred(n int) []Deferred {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Deferred, 0, len(l.deferred))
	for _, d := range l.deferred {
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b Deferred) int {
		return cmp.Or(a.askAt.Compare(b.askAt), cmp.Compare(a.AttemptID, b.AttemptID))
	})
	return out[:min(n, len(out))]
}

// maxAsked bounds the endpoints asked in one call of SettleDue.
const maxAsked = 64

// SettleDue asks the endpoints of deferred attempts that are due, one after
// the other, and books what they charged. An endpoint that does not answer is
// asked once only. It is called by one goroutine.
func (l *Ledger) SettleDue(ctx context.Context, m port.UsageReader) {
	now := l.clock.Now()
	silent := map[string]bool{}
	for _, d := range l.Deferred(maxAsked) {
		if d.askAt.After(now) || ctx.Err() != nil {
			return
		}
		if !silent[d.Endpoint.ID] && l.settleOne(ctx, m, d, silent) {
			continue
		}
		l.postpone(d.AttemptID)
	}
}

// settleOne asks for one attempt and books it if its work has ended. It adds
// an endpoint that does not answer to silent.
func (l *Ledger) settleOne(ctx context.Context, m port.UsageReader, d Deferred, silent map[string]bool) bool {
	usage, ended, err := ask(ctx, m, d)
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
func (l *Ledger) SettleAll(ctx context.Context, m port.UsageReader) {
	silent := map[string]bool{}
	for _, d := range l.Deferred(maxDeferredAttempts) {
		if ctx.Err() != nil {
			return
		}
		if !silent[d.Endpoint.ID] {
			l.settleOne(ctx, m, d, silent)
		}
	}
}

// opRequestTimeout bounds one question.
const askTimeout = time.Second

func ask(ctx context.Context, m port.UsageReader, d Deferred) (port.Usage, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return m.AttemptUsage(ctx, d.Endpoint, d.AttemptID)
}

// postpone sets the next time to ask for an attempt. An attempt that has
// waited longer than maxDeferred is given up and counted as unknown.
func (l *Ledger) postpone(attemptID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.deferred[attemptID]
	if !ok {
		return
	}
	now := l.clock.Now()
	if now.Sub(d.Since) > maxDeferred {
		l.giveUpLocked(attemptID)
		return
	}
	d.askAt = now.Add(d.wait)
	d.wait = min(2*d.wait, maxAsk)
}

// giveUpLocked forgets an attempt whose cost cannot be learned.
func (l *Ledger) giveUpLocked(attemptID string) {
	delete(l.open, attemptID)
	delete(l.deferred, attemptID)
	l.unknown++
}

// Pending returns the number of attempts whose cost is not known yet, and of
// those that were given up since the start.
func (l *Ledger) Pending() (deferred int, unknown int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.deferred), l.unknown
}

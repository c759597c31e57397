package cost

import (
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// maxDeferredAge is how long an attempt's usage is queried before it is given up.
const maxDeferredAge = time.Hour

// maxDeferredAttempts bounds the deferred attempts. Beyond it, an attempt to be
// deferred is given up at once.
const maxDeferredAttempts = 20_000

// unsettledAttempt is an attempt whose cost has not been recorded yet.
type unsettledAttempt struct {
	endpoint release.Endpoint
	key      Key
	price    release.Price
}

// Ledger records the costs of one host's attempts since its start. It records
// each attempt at most once. It is safe for concurrent use.
type Ledger struct {
	clock port.Clock

	mu sync.Mutex
	// unsettled and deferred are by attempt id; each deferred attempt is also in
	// unsettled.
	unsettled map[string]unsettledAttempt
	deferred  map[string]*Deferred
	rows      map[Key]Row
	// unknownCount counts the attempts that were given up.
	unknownCount int64
}

// Row holds the totals for one Key.
type Row struct {
	Key
	// Attempts is the number of attempts recorded.
	Attempts int64 `json:"attempts"`
	// Amount is in millionths of the unit of currency.
	Amount int64 `json:"amount"`
}

// NewLedger returns an empty Ledger.
func NewLedger(clock port.Clock) *Ledger {
	return &Ledger{
		clock:     clock,
		unsettled: map[string]unsettledAttempt{},
		deferred:  map[string]*Deferred{},
		rows:      map[Key]Row{},
	}
}

// Begin registers an attempt that is about to be sent. The cause in k is ignored;
// Settle sets it.
func (l *Ledger) Begin(attemptID string, e release.Endpoint, k Key, p release.Price) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsettled[attemptID] = unsettledAttempt{endpoint: e, key: k, price: p}
}

// Settle records the attempt's usage under the cause and removes it from the
// unsettled attempts. It returns the amount, 0 if the attempt is not unsettled.
func (l *Ledger) Settle(attemptID string, cause Cause, u port.Usage) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.unsettled[attemptID]
	if !ok {
		return 0
	}
	delete(l.unsettled, attemptID)
	delete(l.deferred, attemptID)
	a.key.Cause = cause
	amount := Amount(a.price, u)
	row := l.rows[a.key]
	row.Key = a.key
	row.Attempts++
	row.Amount += amount
	l.rows[a.key] = row
	return amount
}

// Drop removes an attempt that cost nothing and is not deferred.
func (l *Ledger) Drop(attemptID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.unsettled, attemptID)
}

// Defer keeps an attempt unsettled until its usage is known, to be recorded under
// the cause. If there are maxDeferredAttempts already, it gives the attempt up.
func (l *Ledger) Defer(attemptID string, cause Cause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.unsettled[attemptID]
	if !ok {
		return
	}
	if len(l.deferred) >= maxDeferredAttempts {
		l.giveUpLocked(attemptID)
		return
	}
	now := l.clock.Now()
	l.deferred[attemptID] = &Deferred{
		AttemptID:   attemptID,
		Endpoint:    a.endpoint,
		Cause:       cause,
		DeferredAt:  now,
		nextQueryAt: now.Add(minQueryDelay),
		retryDelay:  minQueryDelay,
	}
}

// Rows returns all rows, sorted by customer, pipeline, stage and cause.
func (l *Ledger) Rows() []Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Row, 0, len(l.rows))
	for _, r := range l.rows {
		out = append(out, r)
	}
	sortRows(out)
	return out
}

// UnsettledCount returns the number of attempts whose cost has not been recorded
// yet, deferred ones included.
func (l *Ledger) UnsettledCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unsettled)
}

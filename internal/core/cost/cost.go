// Package cost records what each attempt of a stage cost, by customer, pipeline,
// stage and cause. A host's Ledger holds its totals in memory; its BookStore
// writes them to the store as a Book and reports the totals of all hosts. Amounts
// are integers in millionths of the operators' unit of currency, so sums are exact.
package cost

import (
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Cause is the reason why an attempt was made or why its response was not used.
type Cause string

// The causes. An attempt is made for one of the first three. Its cost is recorded
// under that cause unless one of the last three applies.
const (
	// CauseFirst is a stage's first attempt.
	CauseFirst Cause = "first"
	// CauseRetry is an attempt after a failed one.
	CauseRetry Cause = "retry"
	// CauseHedge is an attempt made while another one of the stage was in flight.
	CauseHedge Cause = "hedge"
	// CauseCancelled is an attempt without a complete response that was cancelled
	// because it stalled or was no longer needed, or that failed after the run of
	// its stage had ended.
	CauseCancelled Cause = "cancelled"
	// CauseLate is an attempt that was answered after the run of its stage had
	// ended without a response.
	CauseLate Cause = "late"
	// CauseDuplicate is any other attempt whose complete response was not used,
	// mostly since another attempt's had been.
	CauseDuplicate Cause = "duplicate"
)

// Key identifies a Row.
type Key struct {
	Customer string `json:"customer"`
	Pipeline string `json:"pipeline"`
	Stage    string `json:"stage"`
	Cause    Cause  `json:"cause"`
}

// Amount returns the cost of the usage in millionths of the unit of currency.
func Amount(p release.Price, u port.Usage) int64 {
	return p.PerCall*u.Calls +
		p.PerPromptToken*u.PromptTokens +
		p.PerCachedToken*u.CachedTokens +
		p.PerCompletionToken*u.CompletionTokens
}

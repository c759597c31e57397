package app

import (
	"context"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// settleInterval is the pause between two rounds of queries for the cost of attempts
// whose responses were lost.
const settleInterval = 250 * time.Millisecond

// settleCosts queries the endpoints for the cost of attempts whose responses were
// lost and records it in the ledger, until ctx ends.
func (a *App) settleCosts(ctx context.Context) {
	reader, ok := a.deps.AttemptClient.(port.UsageReader)
	if !ok {
		a.deps.Log.Warn("the endpoint client cannot read the cost of lost responses")
		return
	}
	for ctx.Err() == nil {
		a.ledger.SettleDue(ctx, reader)
		port.Sleep(ctx, settleInterval)
	}
}

// CostsSettled reports whether the cost of every attempt so far is recorded in the
// ledger or given up on as unknown.
func (a *App) CostsSettled() bool { return a.ledger.UnsettledCount() == 0 }

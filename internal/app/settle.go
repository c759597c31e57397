package app

import (
	"context"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// settleInterval is the pause between two rounds of reading from the endpoints the
// cost of attempts whose responses were lost.
const settleInterval = 250 * time.Millisecond

// settleCosts reads and books the cost of attempts whose responses were lost,
// until ctx ends.
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

// CostsSettled reports whether the cost of every attempt so far is booked.
func (a *App) CostsSettled() bool { return a.ledger.UnsettledCount() == 0 }

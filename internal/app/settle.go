package app

import (
	"context"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// settleInterval is the pause between two rounds of asking endpoints for the
// cost of attempts whose answers were lost.
const settleInterval = 250 * time.Millisecond

// settle asks for the cost of lost attempts until ctx ends.
func (a *App) settleCosts(ctx context.Context) {
	meter, ok := a.deps.AttemptClient.(port.UsageReader)
	if !ok {
		a.deps.Log.Warn("endpoints cannot be asked for the cost of lost answers")
		return
	}
	for ctx.Err() == nil {
		a.ledger.SettleDue(ctx, meter)
		port.Sleep(ctx, settleInterval)
	}
}

// CostsSettled reports whether the cost of all attempts so far is booked.
func (a *App) CostsSettled() bool { return a.ledger.UnsettledCount() == 0 }

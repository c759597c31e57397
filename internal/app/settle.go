package app

import (
	"context"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// settleEvery is the pause between two rounds of asking endpoints for the
// cost of attempts whose answers were lost.
const settleEvery = 250 * time.Millisecond

// settle asks for the cost of lost attempts until ctx ends.
func (a *App) settle(ctx context.Context) {
	meter, ok := a.deps.Caller.(port.UsageReader)
	if !ok {
		a.deps.Log.Warn("endpoints cannot be asked for the cost of lost answers")
		return
	}
	for ctx.Err() == nil {
		a.ledger.SettleDue(ctx, meter)
		port.Sleep(ctx, settleEvery)
	}
}

// Settled reports whether the cost of all attempts so far is booked.
func (a *App) Settled() bool { return a.ledger.UnsettledCount() == 0 }

package pipeline

import (
	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// complete ends an attempt: it records the cost, calls OnAttempt and, unless
// the stage is closed or already has a winner, passes the attempt to the
// stage's loop. The first usable response wins; later ones are dropped. It is
// called exactly once for each attempt.
func (s *stageRun) complete(a *attempt, response port.AttemptResult, err *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.done = true
	a.response = response
	a.err = err
	if err != nil && !a.cancelled {
		s.failure = err
	}
	a.isWinner = err == nil && !s.closed && !s.hasWinner && s.stream.accepts(a.id, a.resumeAt)
	cause := s.costCauseLocked(a)
	s.recordCostLocked(a, cause)
	s.observeFirstAttemptLocked(a)
	s.reportLocked(a, cause)
	if a.cause == cost.CauseHedge && a.sent {
		s.firstAttempt.HedgeEnded(a.isWinner)
	}
	if s.closed || s.hasWinner {
		return
	}
	if a.isWinner {
		s.setWinnerLocked(a)
	} else {
		s.stream.releaseOwner(a.id)
	}
	s.completed <- a
}

// setWinnerLocked closes the stage with this attempt as its winner and cancels
// all other attempts.
func (s *stageRun) setWinnerLocked(a *attempt) {
	s.hasWinner = true
	if s.stream.tokensOwnedBy(a.id) == 0 {
		s.observeTimeToFirstToken(a)
	}
	s.closeLocked()
	s.cancelInFlightLocked()
}

// costCauseLocked returns the cause under which the attempt's cost is
// recorded.
func (s *stageRun) costCauseLocked(a *attempt) cost.Cause {
	succeeded := a.err == nil
	switch {
	case a.isWinner:
		return a.cause
	case succeeded && s.closed && !s.hasWinner:
		return cost.CauseLate
	case succeeded:
		return cost.CauseDuplicate
	case a.cancelled || a.stalled || s.closed:
		return cost.CauseCancelled
	default:
		return a.cause
	}
}

// recordCostLocked records the attempt's cost if its usage is final, and drops
// an attempt that has not run from the ledger. Any other attempt that was sent
// is deferred until its usage has been queried.
func (s *stageRun) recordCostLocked(a *attempt, cause cost.Cause) {
	ledger := s.runner.deps.Ledger
	switch {
	case !a.sent:
		return
	case a.err == nil || a.response.UsageIsFinal:
		s.recordedCost += ledger.Settle(a.id, cause, a.response.Usage)
	case a.err.Verdict == verdict.NotRun:
		ledger.Drop(a.id)
	default:
		ledger.Defer(a.id, cause)
	}
}

// cancelInFlightLocked cancels all attempts that have not ended.
func (s *stageRun) cancelInFlightLocked() {
	for _, a := range s.attempts {
		if !a.done {
			s.observeFirstAttemptLocked(a)
			a.cancelled = true
			a.cancel()
		}
	}
}

// reportLocked calls the request's OnAttempt, if set, with s.mu held.
func (s *stageRun) reportLocked(a *attempt, cause cost.Cause) {
	if s.req.OnAttempt == nil {
		return
	}
	r := AttemptReport{
		Stage:            s.stage.Name,
		Endpoint:         a.endpoint.ID,
		AvailabilityZone: a.endpoint.AvailabilityZone,
		Cause:            cause,
		Verdict:          verdict.Ran,
	}
	if a.sent {
		r.DurationMs = s.runner.deps.Clock.Now().Sub(a.sentAt).Milliseconds()
	}
	if a.err != nil {
		r.Verdict = a.err.Verdict
		r.Code = a.err.Code
		r.Detail = a.err.Error()
	}
	s.req.OnAttempt(r)
}

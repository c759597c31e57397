package pipeline

import (
	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// end books an attempt's cost and tells the loop, if that still runs. The
// first good answer wins; each later one is dropped.
func (s *stageRun) end(a *attempt, answer port.Answer, err *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.over = true
	a.answer = answer
	a.err = err
	if err != nil && !a.cancelled {
		s.failure = err
	}
	a.wins = err == nil && !s.closed && !s.won && s.stream.allows(a.id, a.resume)
	cause := s.causeLocked(a)
	s.bookLocked(a, cause)
	s.reportLocked(a, cause)
	if a.cause == cost.CauseHedge && a.sent {
		s.runner.deps.Retry.RecordHedge(s.stage.Service, a.wins)
	}
	if s.closed || s.won {
		return
	}
	if a.wins {
		s.winLocked(a)
	} else {
		s.stream.release(a.id)
	}
	s.ended <- a
}

// winLocked takes the attempt's answer as the stage's and ends all others.
func (s *stageRun) winLocked(a *attempt) {
	s.won = true
	if s.stream.owns(a.id) == 0 {
		s.progressed(a)
	}
	s.closeLocked()
	s.cancelUnderWayLocked()
}

// causeLocked returns the cause under which the attempt's cost is booked.
func (s *stageRun) causeLocked(a *attempt) cost.Cause {
	answered := a.err == nil
	switch {
	case a.wins:
		return a.cause
	case answered && s.closed && !s.won:
		return cost.CauseLate
	case answered:
		return cost.CauseDuplicate
	case a.cancelled || a.stalled || s.closed:
		return cost.CauseCancelled
	default:
		return a.cause
	}
}

// bookLocked books the attempt's cost if it is known. An attempt that may
// have run and did not say what it cost stays open in the ledger.
func (s *stageRun) bookLocked(a *attempt, cause cost.Cause) {
	ledger := s.runner.deps.Ledger
	switch {
	case !a.sent:
		return
	case a.err == nil || a.answer.UsageFinal:
		s.booked += ledger.Settle(a.id, cause, a.answer.Usage)
	case a.err.Verdict == verdict.NotRun:
		ledger.Drop(a.id)
	default:
		ledger.Defer(a.id, cause)
	}
}

// cancelUnderWayLocked cancels all attempts that have not ended.
func (s *stageRun) cancelUnderWayLocked() {
	for _, a := range s.attempts {
		if !a.over {
			a.cancelled = true
			a.cancel()
		}
	}
}

// reportLocked tells who asked for it how the attempt ended.
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

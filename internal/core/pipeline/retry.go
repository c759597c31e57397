package pipeline

import (
	"context"
	"slices"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/retry"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// countFirstAttempt reports the stage's first attempt to the retry controller,
// which credits the service's retry and hedge budgets for it.
func (s *stageRun) countFirstAttempt() {
	if c := s.runner.deps.Retry; c != nil {
		c.RecordFirstAttempt(s.stage.Service, s.settings())
	}
}

func (s *stageRun) settings() release.Settings { return s.req.Release.Settings }

// reserveRetry returns the delay before the next retry, or false if none is
// allowed. A retry that the budget limits is charged to it, unless the attempt before
// was refused before it was sent: then it has cost no endpoint anything. For the backoff,
// a hedge counts like a retry.
func (s *stageRun) reserveRetry() (time.Duration, bool) {
	c := s.runner.deps.Retry
	if c == nil {
		return 0, false
	}
	failure := s.lastFailure()
	class := retry.Classify(failure, s.stage.AtMostOnce)
	if class == retry.NoRetry || !s.belowAttemptLimit() {
		return 0, false
	}
	wait := max(c.Backoff(s.attemptCount()-1), failure.RetryAfter)
	if s.missesDeadlineAfter(wait) {
		return 0, false
	}
	if class == retry.RetryWithinBudget && s.lastAttemptSent() && !s.consumePrepaidRetry() && !c.TryTakeRetry(s.stage.Service) {
		return 0, false
	}
	return wait, true
}

// belowAttemptLimit reports whether the stage has made fewer than
// retry.MaxAttempts attempts, hedges included. Only retries are subject to it.
func (s *stageRun) belowAttemptLimit() bool { return s.attemptCount() < retry.MaxAttempts }

// consumePrepaidRetry reports whether the next retry is already charged to the
// budget, and clears the flag.
func (s *stageRun) consumePrepaidRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	prepaid := s.retryPrepaid
	s.retryPrepaid = false
	return prepaid
}

func (s *stageRun) lastFailure() *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failureLocked()
}

// lastAttemptSent reports whether the latest attempt or its hedge was sent to an
// endpoint.
func (s *stageRun) lastAttemptSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range slices.Backward(s.attempts) {
		if a.sent {
			return true
		}
		if a.cause != cost.CauseHedge {
			break
		}
	}
	return false
}

// attemptCount returns the number of attempts, including hedges.
func (s *stageRun) attemptCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts)
}

// missesDeadlineAfter reports whether the stages from this one on cannot
// finish before the deadline if the next attempt is sent after wait.
func (s *stageRun) missesDeadlineAfter(wait time.Duration) bool {
	d := s.runner.deps
	end := d.Clock.Now().Add(wait + s.runner.minRemaining(s.req, s.index))
	return !end.Before(s.req.Deadline)
}

// hedgeTimer returns a channel that fires when a hedge may be sent, or nil if
// the stage is not hedged: there is no retry controller, the stage is
// at-most-once, or HedgeDelay returns no delay.
func (s *stageRun) hedgeTimer() <-chan time.Time {
	c := s.runner.deps.Retry
	if c == nil || s.stage.AtMostOnce {
		return nil
	}
	delay, ok := c.HedgeDelay(s.stage.Service, s.settings())
	if !ok {
		return nil
	}
	return time.After(delay)
}

// maybeHedge sends a hedge if the stage's only attempt so far is in flight and
// has streamed no token, the deadline can still be met, and the budget allows
// a hedge. Call it only after the channel of hedgeTimer has fired, which implies
// that there is a retry controller.
func (s *stageRun) maybeHedge(ctx context.Context) {
	if tokens, _ := s.stream.position(); tokens > 0 {
		return
	}
	if s.inFlight() != 1 || s.attemptCount() != 1 || s.missesDeadlineAfter(0) {
		return
	}
	if s.runner.deps.Retry.TryTakeHedge(s.stage.Service) {
		s.launch(ctx, cost.CauseHedge)
	}
}

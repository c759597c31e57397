package pipeline

import (
	"context"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/retry"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// countFirstAttempt counts the stage's first attempt for the budgets.
func (s *stageRun) countFirstAttempt() {
	if c := s.runner.deps.Retry; c != nil {
		c.First(s.stage.Service, s.settings())
	}
}

func (s *stageRun) settings() release.Settings { return s.req.Release.Settings }

// retryDelay reports whether an attempt may follow the failed ones, and after
// which wait.
func (s *stageRun) retryDelay() (time.Duration, bool) {
	c := s.runner.deps.Retry
	if c == nil {
		return 0, false
	}
	failure := s.lastFailure()
	class := retry.Classify(failure, s.stage.AtMostOnce)
	if class == retry.Final || !s.belowAttemptLimit() {
		return 0, false
	}
	wait := max(c.Backoff(s.attemptCount()-1), failure.RetryAfter)
	if s.missesDeadlineAfter(wait) {
		return 0, false
	}
	if class == retry.Budgeted && !s.consumePrepaidRetry() && !c.TakeRetry(s.stage.Service) {
		return 0, false
	}
	return wait, true
}

// belowAttemptLimit reports whether the stage may have one more attempt.
func (s *stageRun) belowAttemptLimit() bool { return s.attemptCount() < retry.MaxAttempts }

// consumePrepaidRetry uses up a retry that the budget was charged for already.
func (s *stageRun) consumePrepaidRetry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	paid := s.retryPrepaid
	s.retryPrepaid = false
	return paid
}

func (s *stageRun) lastFailure() *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failureLocked()
}

// launched returns the number of attempts, hedges included.
func (s *stageRun) attemptCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts)
}

// missesDeadlineAfter reports whether the stages from this one on cannot end in
// time if an attempt is sent after the wait.
func (s *stageRun) missesDeadlineAfter(wait time.Duration) bool {
	d := s.runner.deps
	end := d.Clock.Now().Add(wait + s.runner.minRemaining(s.req, s.index))
	return !end.Before(s.req.Deadline)
}

// hedgeTimer returns the channel that fires when a hedge may be sent, nil if
// none may.
func (s *stageRun) hedgeTimer() <-chan time.Time {
	c := s.runner.deps.Retry
	if c == nil || s.stage.AtMostOnce {
		return nil
	}
	after, ok := c.HedgeAfter(s.stage.Service, s.settings())
	if !ok {
		return nil
	}
	return time.After(after)
}

// maybeHedge sends a second attempt beside the first one, if that has given
// no token and the budget allows it.
func (s *stageRun) maybeHedge(ctx context.Context) {
	if tokens, _ := s.stream.position(); tokens > 0 {
		return
	}
	if s.inFlight() != 1 || s.attemptCount() != 1 || s.missesDeadlineAfter(0) {
		return
	}
	if s.runner.deps.Retry.TakeHedge(s.stage.Service) {
		s.launch(ctx, cost.CauseHedge)
	}
}

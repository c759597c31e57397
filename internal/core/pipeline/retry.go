package pipeline

import (
	"context"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/hedge"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/retry"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// countFirstAttempt reports the stage's first attempt to the retry controller,
// which credits the service's retry and hedge budgets for it, and begins to watch
// whether it is slow, unless the stage is at-most-once.
func (s *stageRun) countFirstAttempt() {
	c := s.runner.deps.Retry
	if c == nil {
		return
	}
	c.RecordFirstAttempt(s.stage.Service, s.settings())
	if !s.stage.AtMostOnce {
		route := s.req.Pipeline.Name + "/" + s.stage.Name
		s.firstAttempt = c.WatchFirstAttempt(hedge.Key{Service: s.stage.Service, Route: route, Size: hedge.SizeClass(len(s.input))}, s.settings())
	}
}

func (s *stageRun) settings() release.Settings { return s.req.Release.Settings }

// reserveRetry returns the delay before the next retry, or false if none is
// allowed. A retry that the budget limits is charged to it. For the backoff, a hedge
// counts like a retry.
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
	if class == retry.RetryWithinBudget && !s.consumePrepaidRetry() && !c.TryTakeRetry(s.stage.Service) {
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
// the stage is not hedged.
func (s *stageRun) hedgeTimer() <-chan time.Time {
	delay, ok := s.firstAttempt.Delay()
	if !ok {
		return nil
	}
	return time.After(delay)
}

// maybeHedge sends a hedge if the stage's only attempt so far is in flight and
// has streamed no token, the deadline can still be met, and the budget allows
// a hedge. Call it only after the channel of hedgeTimer has fired.
func (s *stageRun) maybeHedge(ctx context.Context) {
	if tokens, _ := s.stream.position(); tokens > 0 {
		return
	}
	if s.inFlight() != 1 || s.attemptCount() != 1 || s.missesDeadlineAfter(0) {
		return
	}
	if s.firstAttempt.Slow() == hedge.Allowed && s.firstAttempt.Take() == hedge.Allowed {
		s.launch(ctx, cost.CauseHedge)
	}
}

// observeFirstAttemptLocked tells the watch that the first attempt got its response, or
// that it is cancelled because another attempt has one.
func (s *stageRun) observeFirstAttemptLocked(a *attempt) {
	if a.cause != cost.CauseFirst || !a.sent {
		return
	}
	took := s.runner.deps.Clock.Now().Sub(a.sentAt)
	switch {
	case !a.done:
		s.firstAttempt.Beaten(took)
	case a.err == nil && !a.cancelled:
		s.firstAttempt.Answered(took)
	}
}

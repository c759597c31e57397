package pipeline

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// stallTimer returns a channel that fires when the attempts in flight are due
// for a progress check, or nil if the stall timeout is unknown or the stage is
// an at-most-once stage.
func (s *stageRun) stallTimer() <-chan time.Time {
	timeout, ok := s.stallTimeout()
	if !ok || s.stage.AtMostOnce {
		return nil
	}
	return time.After(timeout)
}

// stallTimeout returns how long an attempt of the service may go without
// progress, or false if that is unknown.
func (s *stageRun) stallTimeout() (time.Duration, bool) {
	if c := s.runner.deps.Retry; c != nil {
		return c.StallTimeout(s.stage.Service)
	}
	return 0, false
}

// checkStall cancels the attempt in flight, if it is the only one, has stalled
// and may be retried; the retry is then charged to the budget.
// previousTokens is the stream's token count at the previous check; the current
// count is returned.
func (s *stageRun) checkStall(previousTokens int) int {
	tokens, _ := s.stream.position()
	timeout, ok := s.stallTimeout()
	if !ok || tokens > previousTokens || s.inFlight() != 1 || s.missesDeadlineAfter(0) {
		return tokens
	}
	a := s.stalledAttempt(s.runner.deps.Clock.Now().Add(-timeout))
	if a == nil || !s.belowAttemptLimit() || !s.runner.deps.Retry.TryTakeRetry(s.stage.Service) {
		return tokens
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.stalled = true
	s.retryPrepaid = true
	a.cancel()
	return tokens
}

// stalledAttempt returns an attempt in flight that was sent at latest or
// before, or nil.
func (s *stageRun) stalledAttempt(latest time.Time) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		if a.sent && !a.done && !a.sentAt.After(latest) {
			return a
		}
	}
	return nil
}

// observeTimeToFirstToken reports the time since the attempt was sent to the retry
// controller. It is called at the attempt's first token, or at its response if
// it streams no tokens.
func (s *stageRun) observeTimeToFirstToken(a *attempt) {
	if c := s.runner.deps.Retry; c != nil {
		c.ObserveTimeToFirstToken(s.stage.Service, s.runner.deps.Clock.Now().Sub(a.sentAt))
	}
}

// attributeFailure returns the attempt's failure, turned into an endpoint
// failure if the attempt was cancelled as stalled, or reached its deadline
// without a token after at least the stall timeout.
func (s *stageRun) attributeFailure(a *attempt, failure *verdict.Error, duration time.Duration) *verdict.Error {
	s.mu.Lock()
	stalled := a.stalled
	s.mu.Unlock()
	if stalled {
		return verdict.Wrap(failure, verdict.CodeEndpointFailed, failure.Verdict, "the endpoint made no progress")
	}
	timeout, ok := s.stallTimeout()
	noResponse := ok && duration >= timeout && s.stream.tokensOwnedBy(a.id) == 0
	if noResponse && failure.Code == verdict.CodeDeadlineExceeded {
		return verdict.Wrap(failure, verdict.CodeEndpointFailed, failure.Verdict, "the endpoint did not answer in time")
	}
	return failure
}

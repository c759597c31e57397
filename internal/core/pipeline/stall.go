package pipeline

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// stallTimer returns a channel that fires when the attempts in flight are due
// for a progress check, or nil if the stall timeout is unknown or the stage is
// an at-most-once stage.
func (s *stageRun) stallTimer() <-chan time.Time {
	after, ok := s.stallTimeout()
	if !ok || s.stage.AtMostOnce {
		return nil
	}
	return time.After(after)
}

func (s *stageRun) stallTimeout() (time.Duration, bool) {
	if c := s.runner.deps.Retry; c != nil {
		return c.StallTimeout(s.stage.Service)
	}
	return 0, false
}

// checkStall cancels the attempt in flight if it has stalled and a retry is
// allowed. seen is the token count at the previous check; the current count is
// returned.
func (s *stageRun) checkStall(seen int) int {
	tokens, _ := s.stream.position()
	after, ok := s.stallTimeout()
	if !ok || tokens > seen || s.inFlight() != 1 || s.missesDeadlineAfter(0) {
		return tokens
	}
	a := s.stalledAttempt(s.runner.deps.Clock.Now().Add(-after))
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

// stalledAttempt returns an attempt in flight that was not sent after the
// given time, or nil.
func (s *stageRun) stalledAttempt(before time.Time) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		if a.sent && !a.done && !a.sentAt.After(before) {
			return a
		}
	}
	return nil
}

// observeProgress records the attempt's time to first token, or to its answer
// if it streams no tokens.
func (s *stageRun) observeProgress(a *attempt) {
	if c := s.runner.deps.Retry; c != nil {
		c.ObserveProgress(s.stage.Service, s.runner.deps.Clock.Now().Sub(a.sentAt))
	}
}

// attributeFailure turns the failure of a cancelled or expired attempt into an
// endpoint failure if the endpoint exceeded the stall timeout.
func (s *stageRun) attributeFailure(a *attempt, failure *verdict.Error, took time.Duration) *verdict.Error {
	s.mu.Lock()
	stalled := a.stalled
	s.mu.Unlock()
	if stalled {
		return verdict.Wrap(failure, verdict.CodeEndpointFailed, failure.Verdict, "the endpoint made no progress")
	}
	after, ok := s.stallTimeout()
	noResponse := ok && took >= after && s.stream.tokensOwnedBy(a.id) == 0
	if noResponse && failure.Code == verdict.CodeDeadlineExceeded {
		return verdict.Wrap(failure, verdict.CodeEndpointFailed, failure.Verdict, "the endpoint did not answer in time")
	}
	return failure
}

package pipeline

import (
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// stallTimer returns the channel that fires when the attempts under way are
// to be checked for progress, nil if it is not known how long they may take.
func (s *stageRun) stallTimer() <-chan time.Time {
	after, ok := s.stallTimeout()
	if !ok || s.stage.AtMostOnce {
		return nil
	}
	return time.After(after)
}

func (s *stageRun) stallTimeout() (time.Duration, bool) {
	if c := s.runner.deps.Retry; c != nil {
		return c.StallAfter(s.stage.Service)
	}
	return 0, false
}

// checkStall cancels the attempt under way if it makes no progress and
// another one may follow. seen is the number of tokens at the last check; the
// present number is returned.
func (s *stageRun) checkStall(seen int) int {
	tokens, _ := s.stream.position()
	after, ok := s.stallTimeout()
	if !ok || tokens > seen || s.inFlight() != 1 || s.missesDeadlineAfter(0) {
		return tokens
	}
	a := s.stalledAttempt(s.runner.deps.Clock.Now().Add(-after))
	if a == nil || !s.belowAttemptLimit() || !s.runner.deps.Retry.TakeRetry(s.stage.Service) {
		return tokens
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a.stalled = true
	s.retryPrepaid = true
	a.cancel()
	return tokens
}

// stalling returns the attempt under way if it was sent before the given time.
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

// progressed measures how long the attempt took to its first token, or to
// its answer if it has no tokens.
func (s *stageRun) observeProgress(a *attempt) {
	if c := s.runner.deps.Retry; c != nil {
		c.Progressed(s.stage.Service, s.runner.deps.Clock.Now().Sub(a.sentAt))
	}
}

// blame turns the end of a cancelled attempt into a failure of its endpoint
// if that had made no progress for too long.
func (s *stageRun) attributeFailure(a *attempt, failure *verdict.Error, took time.Duration) *verdict.Error {
	s.mu.Lock()
	stalled := a.stalled
	s.mu.Unlock()
	if stalled {
		return verdict.Wrap(failure, verdict.CodeEndpointFailed, failure.Verdict, "the endpoint made no progress")
	}
	after, ok := s.stallTimeout()
	silent := ok && took >= after && s.stream.tokensOwnedBy(a.id) == 0
	if silent && failure.Code == verdict.CodeDeadline {
		return verdict.Wrap(failure, verdict.CodeEndpointFailed, failure.Verdict, "the endpoint did not answer in time")
	}
	return failure
}

package pipeline

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/hedge"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/retry"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// stageRun runs one stage of one request. Its loop starts attempts, each on
// its own goroutine, and ends with the first usable response, when no further
// attempt is allowed, or when its context ends. Attempts still in flight then
// record their own cost when they end.
type stageRun struct {
	runner    *Runner
	req       *Request
	stage     release.Stage
	index     int
	input     json.RawMessage
	startedAt time.Time
	stream    *stream
	// firstAttempt watches the first attempt; nil, and valid, if it is not to be hedged.
	firstAttempt *hedge.Attempt

	// completed receives each attempt that ends while the stage is open, and
	// the winner. Its capacity exceeds the number of attempts, because complete
	// sends with mu held and must not block.
	completed chan *attempt

	// mu guards the fields below and those of the attempts. The caller of a
	// method whose name ends in Locked holds it.
	mu       sync.Mutex
	attempts []*attempt
	// closed is set when the stage has a winner, has failed, or its context has
	// ended. hasWinner is set only in the first case.
	closed    bool
	hasWinner bool
	// failure is the last failure of an attempt that the stage did not cancel.
	failure *verdict.Error
	// retryPrepaid is set if the next retry is already charged to the budget.
	retryPrepaid bool
	// recordedCost is the cost recorded so far, in millionths of the currency
	// unit.
	recordedCost int64
}

// newStageRun returns a stageRun for stage i.
func newStageRun(r *Runner, req *Request, i int, input json.RawMessage) *stageRun {
	s := &stageRun{
		runner:    r,
		req:       req,
		stage:     req.Pipeline.Stages[i],
		index:     i,
		input:     input,
		startedAt: r.deps.Clock.Now(),
		completed: make(chan *attempt, 2*retry.MaxAttempts),
	}
	s.stream = &stream{onFirstToken: s.onFirstToken}
	if i == len(req.Pipeline.Stages)-1 {
		s.stream.out = req.OnToken
	}
	return s
}

// run is the stage's loop. The error is a *verdict.Error whose verdict covers
// this stage only.
func (s *stageRun) run(ctx context.Context) (finishedStage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.countFirstAttempt()
	s.launch(ctx, cost.CauseFirst)
	hedge := s.hedgeTimer()
	stall, tokensAtLastCheck := s.stallTimer(), 0
	var retryTimer <-chan time.Time
	for {
		select {
		case a := <-s.completed:
			if a.isWinner {
				return s.stageResult(a), nil
			}
			if s.inFlight() > 0 {
				continue
			}
			wait, ok := s.reserveRetry()
			if !ok {
				return finishedStage{}, s.fail()
			}
			retryTimer = time.After(wait)
		case <-retryTimer:
			retryTimer = nil
			s.launch(ctx, cost.CauseRetry)
		case <-hedge:
			hedge = nil
			s.maybeHedge(ctx)
		case <-stall:
			tokensAtLastCheck = s.checkStall(tokensAtLastCheck)
			stall = s.stallTimer()
		case <-ctx.Done():
			return s.contextEnded(ctx)
		}
	}
}

// stageResult builds the stage's result from the winning attempt.
func (s *stageRun) stageResult(a *attempt) finishedStage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return finishedStage{
		StageResult: StageResult{
			Stage:            s.stage.Name,
			Endpoint:         a.endpoint.ID,
			AvailabilityZone: a.endpoint.AvailabilityZone,
			Attempts:         s.sentCountLocked(),
			DurationMs:       s.runner.deps.Clock.Now().Sub(s.startedAt).Milliseconds(),
			Cost:             s.recordedCost,
		},
		output: a.response.Output,
	}
}

// fail closes the stage and returns the last failure with the stage's verdict.
func (s *stageRun) fail() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeLocked()
	failure := s.failureLocked()
	return failure.WithVerdict(s.verdictLocked(failure.Verdict))
}

// failureLocked returns the last failure. Without one, the attempts returned
// responses that do not continue the stream.
func (s *stageRun) failureLocked() *verdict.Error {
	if s.failure != nil {
		return s.failure
	}
	return verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "no answer continues the stream")
}

// contextEnded closes the stage after its context has ended. It still returns
// the result if an attempt has won just before.
func (s *stageRun) contextEnded(ctx context.Context) (finishedStage, error) {
	s.mu.Lock()
	won := s.hasWinner
	s.closeLocked()
	v := s.verdictLocked(verdict.NotRun)
	s.mu.Unlock()
	if won {
		return s.stageResult(s.receiveWinner()), nil
	}
	return finishedStage{}, contextFailure(ctx, v)
}

// receiveWinner receives completed attempts up to the winning one. It does not
// block if hasWinner is set, because the winner is in the channel by then.
func (s *stageRun) receiveWinner() *attempt {
	for a := range s.completed {
		if a.isWinner {
			return a
		}
	}
	return nil
}

// closeLocked closes the stage: no further attempt is sent and no further token
// is emitted.
func (s *stageRun) closeLocked() {
	s.closed = true
	s.stream.close()
}

// verdictLocked returns the stage's verdict; failureVerdict is that of the last
// failure, or NotRun if the stage ends with its context.
func (s *stageRun) verdictLocked(failureVerdict verdict.Verdict) verdict.Verdict {
	if !s.mayHaveRunLocked() {
		return verdict.NotRun
	}
	if failureVerdict == verdict.Ran {
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

// mayHaveRunLocked reports whether any attempt has run or may have run, such as
// one that was sent and has not ended.
func (s *stageRun) mayHaveRunLocked() bool {
	for _, a := range s.attempts {
		notRun := a.done && a.err != nil && a.err.Verdict == verdict.NotRun
		if a.sent && !notRun {
			return true
		}
	}
	return false
}

// inFlight returns the number of attempts that have not ended.
func (s *stageRun) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.attempts {
		if !a.done {
			n++
		}
	}
	return n
}

// sentCountLocked returns the number of attempts that were sent.
func (s *stageRun) sentCountLocked() int {
	n := 0
	for _, a := range s.attempts {
		if a.sent {
			n++
		}
	}
	return n
}

// onFirstToken handles the first token of the attempt that now owns the
// stream: it records the time to first token and cancels the other attempts.
func (s *stageRun) onFirstToken(attemptID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		switch {
		case a.id == attemptID:
			s.observeTimeToFirstToken(a)
		case !a.done:
			s.observeFirstAttemptLocked(a)
			a.cancelled = true
			a.cancel()
		}
	}
}

package pipeline

import (
	"context"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// maxPicksPerAttempt bounds the endpoints that one attempt tries to acquire.
const maxPicksPerAttempt = 3

// priorityStep is the amount of time to the deadline per step of an attempt's
// priority: engines run the attempts with the earliest deadlines first.
const priorityStep = 100 * time.Millisecond

// attempt is one attempt of a stage. The mutex of the stageRun guards its
// fields; endpoint, answer and err are set before done is.
type attempt struct {
	id     string
	cause  cost.Cause
	cancel context.CancelFunc

	endpoint release.Endpoint
	sentAt   time.Time
	response port.AttemptResult
	err      *verdict.Error

	// resumeAt is the number of tokens already streamed when the attempt
	// starts.
	resumeAt int
	// isWinner is set if the attempt's answer is used as the stage's output.
	isWinner bool
	// sent is set before the attempt is passed to the port.AttemptClient.
	sent bool
	done bool
	// cancelled is set if the stage cancelled the attempt in favor of another
	// one.
	cancelled bool
	// stalled is set if the stage cancelled the attempt for lack of progress.
	stalled bool
}

// launch starts an attempt on a new goroutine.
func (s *stageRun) launch(ctx context.Context, cause cost.Cause) {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{id: s.runner.deps.NewID(), cause: cause, cancel: cancel}
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	s.mu.Unlock()
	s.runner.spawn(func() {
		defer cancel()
		s.execute(ctx, a)
	})
}

// execute acquires an endpoint, sends the attempt, and processes its result.
func (s *stageRun) execute(ctx context.Context, a *attempt) {
	info := s.attemptInfo(a.cause)
	info.Cancel = a.cancel
	endpoint, releaseSlot, err := s.acquireEndpoint(ctx, &info)
	if err != nil {
		s.complete(a, port.AttemptResult{}, verdict.From(err).WithVerdict(verdict.NotRun))
		return
	}
	if !s.markSent(a, endpoint) {
		releaseSlot(Outcome{Err: errNotSent})
		s.complete(a, port.AttemptResult{}, errNotSent)
		return
	}
	d := s.runner.deps
	s.runner.trackBegin(endpoint.ID)
	d.Ledger.Begin(a.id, endpoint, s.ledgerKey(), s.stage.Price)
	answer, callErr := d.AttemptClient.Call(ctx, s.prepareAttempt(a))
	answer, failure := checkResponse(a.id, answer, callErr)
	o := Outcome{Response: answer, Duration: d.Clock.Now().Sub(a.sentAt)}
	if failure != nil {
		failure = s.attributeFailure(a, failure, o.Duration)
		o.Err = failure
	}
	releaseSlot(o)
	s.runner.trackEnd(endpoint.ID, info, o)
	s.complete(a, answer, failure)
}

// errNotSent is the failure of an attempt that became unnecessary before it
// was sent.
var errNotSent = verdict.New(verdict.CodeDeadlineExceeded, verdict.NotRun, "the run has ended")

// checkResponse discards an answer that belongs to another attempt.
func checkResponse(id string, answer port.AttemptResult, err error) (port.AttemptResult, *verdict.Error) {
	if err != nil {
		if answer.AttemptID != id {
			answer = port.AttemptResult{}
		}
		return answer, verdict.From(err)
	}
	if answer.AttemptID != id {
		return port.AttemptResult{}, verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "the answer belongs to another attempt")
	}
	return answer, nil
}

// acquireEndpoint picks an endpoint and acquires a slot on it. If the gate
// refuses an endpoint, it is added to Avoid and another one is picked.
func (s *stageRun) acquireEndpoint(ctx context.Context, info *AttemptInfo) (release.Endpoint, func(Outcome), error) {
	d := s.runner.deps
	var lastErr error
	for range maxPicksPerAttempt {
		e, err := d.Picker.Pick(*info)
		if err != nil {
			if lastErr != nil {
				err = lastErr
			}
			return release.Endpoint{}, nil, err
		}
		releaseSlot, err := d.Gate.Acquire(ctx, *info, e)
		if err == nil {
			return e, releaseSlot, nil
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
		info.Avoid = append(info.Avoid, e.ID)
	}
	return release.Endpoint{}, nil, lastErr
}

// attemptInfo describes the next attempt to the picker and the gate.
func (s *stageRun) attemptInfo(cause cost.Cause) AttemptInfo {
	return AttemptInfo{
		RequestID:   s.req.ID,
		Customer:    s.req.Customer,
		Pipeline:    s.req.Pipeline.Name,
		Release:     s.req.Release,
		Stage:       s.stage,
		Input:       s.input,
		Deadline:    s.req.Deadline,
		Fingerprint: s.req.Fingerprint,
		Avoid:       s.triedEndpoints(),
		Cause:       cause,
	}
}

// triedEndpoints returns the ids of the endpoints that attempts were sent to.
func (s *stageRun) triedEndpoints() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for _, a := range s.attempts {
		if a.sent {
			ids = append(ids, a.endpoint.ID)
		}
	}
	return ids
}

// markSent records that the attempt is about to be sent. It returns false if
// the stage has ended, another attempt has won, or this one was cancelled.
func (s *stageRun) markSent(a *attempt, e release.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.hasWinner || a.cancelled {
		return false
	}
	a.endpoint = e
	a.sent = true
	a.sentAt = s.runner.deps.Clock.Now()
	return true
}

// prepareAttempt returns the message for the port.AttemptClient.
func (s *stageRun) prepareAttempt(a *attempt) port.Attempt {
	// An unknown service has no kind; the adapter treats it as a pool.
	service, _ := s.req.Release.Service(s.stage.Service)
	m := port.Attempt{
		ID:       a.id,
		Endpoint: a.endpoint,
		Service:  service,
		Stage:    s.stage,
		Input:    s.input,
		Deadline: s.req.Deadline,
		Priority: int(s.req.Deadline.Sub(a.sentAt) / priorityStep),
	}
	if s.stage.AtMostOnce {
		m.IdempotencyKey = s.req.IdempotencyKey
	}
	if service.Kind == release.KindEngine {
		m.ResumeTokens, m.ResumeText = s.stream.position()
		m.OnToken = s.stream.writer(a.id, m.ResumeTokens)
		s.setResumePosition(a, m.ResumeTokens)
	}
	return m
}

// setResumePosition records the stream position at which the attempt starts.
func (s *stageRun) setResumePosition(a *attempt, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.resumeAt = tokens
}

// ledgerKey returns the stage's key in the ledger.
func (s *stageRun) ledgerKey() cost.Key {
	return cost.Key{Customer: s.req.Customer, Pipeline: s.req.Pipeline.Name, Stage: s.stage.Name}
}

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

// priorityStep is the unit of port.Attempt.Priority, which is the time from
// sending the attempt to its deadline. Engines run lower values first.
const priorityStep = 100 * time.Millisecond

// attempt is one attempt of a stage. Fields that change after launch are
// guarded by stageRun.mu. endpoint and sentAt do not change once sent is set,
// response and err not once done is set.
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
	// isWinner is set if the attempt's response is used as the stage's output.
	isWinner bool
	// sent is set before the attempt is passed to the port.AttemptClient.
	sent bool
	// done is set when the attempt has ended, also if it was never sent.
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

// execute acquires an endpoint, sends the attempt, and completes it with its
// result. If the attempt is not sent, it completes with a failure.
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
	response, callErr := d.AttemptClient.Call(ctx, s.prepareAttempt(a))
	response, failure := checkResponse(a.id, response, callErr)
	o := Outcome{Response: response, Duration: d.Clock.Now().Sub(a.sentAt)}
	if failure != nil {
		failure = s.attributeFailure(a, failure, o.Duration)
		o.Err = failure
	}
	releaseSlot(o)
	s.runner.trackEnd(endpoint.ID, info, o)
	s.complete(a, response, failure)
}

// errNotSent is the failure of an attempt that became unnecessary before it
// was sent.
var errNotSent = verdict.New(verdict.CodeDeadlineExceeded, verdict.NotRun, "the run has ended")

// checkResponse discards a response that belongs to another attempt. If the
// call reported no error, such a response is an endpoint failure.
func checkResponse(id string, response port.AttemptResult, err error) (port.AttemptResult, *verdict.Error) {
	if err != nil {
		if response.AttemptID != id {
			response = port.AttemptResult{}
		}
		return response, verdict.From(err)
	}
	if response.AttemptID != id {
		return port.AttemptResult{}, verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "the answer belongs to another attempt")
	}
	return response, nil
}

// acquireEndpoint picks an endpoint and acquires a slot on it. If the gate
// refuses an endpoint, it is added to info.Avoid and another one is picked, up
// to maxPicksPerAttempt in total. The error is that of the last refusal, or the
// picker's if the gate refused none.
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

// attemptInfo describes the next attempt to the picker and the gate. Cancel is
// left to the caller.
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

// triedEndpoints returns the ids of the endpoints that attempts of this stage
// were sent to.
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

// prepareAttempt returns the message for the port.AttemptClient. For an engine
// it also records the stream position from which the attempt resumes.
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

// setResumePosition records the number of tokens after which the attempt
// resumes the stream.
func (s *stageRun) setResumePosition(a *attempt, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.resumeAt = tokens
}

// ledgerKey returns the stage's key in the ledger.
func (s *stageRun) ledgerKey() cost.Key {
	return cost.Key{Customer: s.req.Customer, Pipeline: s.req.Pipeline.Name, Stage: s.stage.Name}
}

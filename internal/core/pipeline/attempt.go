package pipeline

import (
	"context"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// maxPicksPerAttempt bounds the endpoints that one attempt asks for a place.
const maxPicksPerAttempt = 3

// priorityStep is the time to the deadline that makes one step of an
// attempt's priority: engines run first what is due first.
const priorityStep = 100 * time.Millisecond

// attempt is one try of a stage. Its fields are guarded by the stageRun's
// mutex; endpoint, answer and err are set before the attempt is over.
type attempt struct {
	id     string
	cause  cost.Cause
	cancel context.CancelFunc

	endpoint release.Endpoint
	sentAt   time.Time
	answer   port.Answer
	err      *verdict.Error

	// resume is the number of tokens that the attempt goes on behind.
	resumeAt int
	// wins says that its answer is the stage's.
	isWinner bool
	// sent says that the attempt was handed to the caller port.
	sent bool
	done bool
	// cancelled says that the stage cancelled it beside another attempt.
	cancelled bool
	// stalled says that the stage cancelled it for lack of progress.
	stalled bool
}

// launch starts an attempt on a goroutine.
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

// perform takes a place on an endpoint, sends the attempt and judges its end.
func (s *stageRun) execute(ctx context.Context, a *attempt) {
	w := s.attemptInfo(a.cause)
	w.Cancel = a.cancel
	endpoint, leave, err := s.acquireEndpoint(ctx, &w)
	if err != nil {
		s.complete(a, port.Answer{}, verdict.From(err).WithVerdict(verdict.NotRun))
		return
	}
	if !s.markSent(a, endpoint) {
		leave(Outcome{Err: errNotSent})
		s.complete(a, port.Answer{}, errNotSent)
		return
	}
	d := s.runner.deps
	s.runner.trackBegin(endpoint.ID)
	d.Ledger.Begin(a.id, endpoint, s.ledgerKey(), s.stage.Price)
	answer, callErr := d.Caller.Call(ctx, s.outgoingAttempt(a))
	answer, failure := checkAnswer(a.id, answer, callErr)
	o := Outcome{Answer: answer, Duration: d.Clock.Now().Sub(a.sentAt)}
	if failure != nil {
		failure = s.attributeFailure(a, failure, o.Duration)
		o.Err = failure
	}
	leave(o)
	s.runner.trackEnd(endpoint.ID, w, o)
	s.complete(a, answer, failure)
}

// errNotSent is the end of an attempt that the stage no longer wanted.
var errNotSent = verdict.New(verdict.CodeDeadline, verdict.NotRun, "the run has ended")

// checkAnswer drops an answer that belongs to another attempt.
func checkAnswer(id string, answer port.Answer, err error) (port.Answer, *verdict.Error) {
	if err != nil {
		if answer.AttemptID != id {
			answer = port.Answer{}
		}
		return answer, verdict.From(err)
	}
	if answer.AttemptID != id {
		return port.Answer{}, verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "the answer belongs to another attempt")
	}
	return answer, nil
}

// enter picks an endpoint and takes a place on it. An endpoint that has no
// place is avoided, and another one is picked.
func (s *stageRun) acquireEndpoint(ctx context.Context, w *AttemptInfo) (release.Endpoint, func(Outcome), error) {
	d := s.runner.deps
	var last error
	for range maxPicksPerAttempt {
		e, err := d.Picker.Pick(*w)
		if err != nil {
			if last != nil {
				err = last
			}
			return release.Endpoint{}, nil, err
		}
		leave, err := d.Gate.Acquire(ctx, *w, e)
		if err == nil {
			return e, leave, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
		w.Avoid = append(w.Avoid, e.ID)
	}
	return release.Endpoint{}, nil, last
}

// work describes the stage to the picker and the gate.
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

// tried returns the ids of the endpoints that attempts were sent to.
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

// markSent notes that the attempt is about to be sent; false if the stage has
// ended or another attempt has won.
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

// message returns what is sent.
func (s *stageRun) outgoingAttempt(a *attempt) port.Attempt {
	// An unknown service has no kind: the adapter speaks to it as to a pool.
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
		m.Key = s.req.IdempotencyKey
	}
	if service.Kind == release.KindEngine {
		m.Resume, m.ResumedText = s.stream.position()
		m.OnToken = s.stream.writer(a.id, m.Resume)
		s.setResumePosition(a, m.Resume)
	}
	return m
}

// setResumePosition notes the place in the stream that the attempt goes on from.
func (s *stageRun) setResumePosition(a *attempt, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.resumeAt = tokens
}

// key returns the ledger's key of the stage.
func (s *stageRun) ledgerKey() cost.Key {
	return cost.Key{Customer: s.req.Customer, Pipeline: s.req.Pipeline.Name, Stage: s.stage.Name}
}

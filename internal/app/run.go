package app

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/admission"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/suspect"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// poolRetryAfter is what callers are told when the host is full.
const poolRetryAfter = time.Second

// RunRequest is a caller's request, decoded but not checked against the release.
type RunRequest struct {
	Customer string
	Pipeline string
	// Key is the caller's idempotency key, empty if none was sent.
	Key   string
	Input json.RawMessage
	// Deadline is the time that the caller allows; zero means the pipeline's own.
	Deadline time.Duration
	// OnToken and OnStage are as in pipeline.Request.
	OnToken func(text string)
	OnStage func(s pipeline.StageResult)
}

// RunAnswer is the whole answer to a request.
type RunAnswer struct {
	RequestID      string                 `json:"request_id"`
	Pipeline       string                 `json:"pipeline"`
	Output         json.RawMessage        `json:"output"`
	Stages         []pipeline.StageResult `json:"stages"`
	Cost           int64                  `json:"cost"`
	ReleaseVersion uint64                 `json:"release_version"`

	attempts *attemptLog
}

// Run answers one request. It returns the request's id also on failure. The
// error is a *verdict.Error. Cancelling ctx stops the work under way.
func (a *App) Run(ctx context.Context, in RunRequest) (RunAnswer, error) {
	started := a.deps.Clock.Now()
	answer := RunAnswer{RequestID: a.deps.NewID(), Pipeline: in.Pipeline, attempts: &attemptLog{}}
	err := a.active.enter()
	if err == nil {
		defer a.active.leave()
		err = a.runInPool(ctx, &answer, in, started)
	} else {
		err = a.doubtRefusal(in, err)
	}
	a.finish(in, answer, err, a.deps.Clock.Now().Sub(started))
	return answer, err
}

// runInPool runs the request on the traffic pool and waits for it.
func (a *App) runInPool(ctx context.Context, answer *RunAnswer, in RunRequest, started time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.life, cancel)()
	var err error
	finished := make(chan struct{})
	task := func() {
		defer close(finished)
		err = a.serve(ctx, answer, in, started)
	}
	if a.pool.Submit(task) != nil {
		full := verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "the host is full").WithRetryAfter(poolRetryAfter)
		return a.doubtRefusal(in, full)
	}
	<-finished
	return err
}

// serve checks the request against the release and runs its pipeline.
func (a *App) serve(ctx context.Context, answer *RunAnswer, in RunRequest, started time.Time) error {
	req, err := a.prepare(answer.RequestID, in, started)
	if err != nil {
		return err
	}
	answer.ReleaseVersion = req.Release.Version
	req.Fingerprint = suspect.NewFingerprint(in.Customer, in.Pipeline, in.Input)
	if err := a.checkSuspect(req); err != nil {
		return err
	}
	req.OnAttempt = answer.attempts.add
	if req.Pipeline.HasAtMostOnceStage() {
		return a.runOnce(ctx, answer, in, req)
	}
	return a.runPipeline(ctx, answer, req)
}

// runPipeline admits the request, runs its pipeline and fills in the answer.
func (a *App) runPipeline(ctx context.Context, answer *RunAnswer, req pipeline.Request) error {
	grant, err := a.admit(ctx, &req)
	if err != nil {
		return err
	}
	outcome := admission.Failed
	defer func() { grant.Done(outcome) }()
	result, err := a.traffic.runner.Run(ctx, req)
	outcome = outcomeOf(err)
	answer.Output, answer.Stages, answer.Cost = result.Output, result.Stages, result.Cost
	if err != nil && ctx.Err() != nil {
		return verdict.Wrap(err, verdict.CodeCallerCancelled, verdict.Of(err), "the caller went away")
	}
	return err
}

// prepare checks the request against the release in force. Its errors are NotRun.
func (a *App) prepare(id string, in RunRequest, started time.Time) (pipeline.Request, error) {
	r := a.Snapshot().Release
	if r == nil {
		return pipeline.Request{}, verdict.New(verdict.CodeNotReady, verdict.NotRun, "no release is known yet").WithRetryAfter(time.Second)
	}
	p, ok := r.Pipeline(in.Pipeline)
	if !ok {
		return pipeline.Request{}, verdict.New(verdict.CodeNotFound, verdict.NotRun, "no such pipeline")
	}
	if err := checkCaller(r, p, in); err != nil {
		return pipeline.Request{}, err
	}
	allowed := p.Deadline()
	if in.Deadline > 0 {
		allowed = min(allowed, in.Deadline)
	}
	return pipeline.Request{
		ID:             id,
		Customer:       in.Customer,
		Pipeline:       p,
		Release:        r,
		Input:          in.Input,
		Deadline:       started.Add(allowed),
		IdempotencyKey: in.Key,
		OnToken:        in.OnToken,
		OnStage:        in.OnStage,
	}, nil
}

// checkCaller checks that the customer may call the pipeline in this way.
func checkCaller(r *release.Release, p release.Pipeline, in RunRequest) error {
	c, ok := r.Customer(in.Customer)
	if !ok {
		return verdict.New(verdict.CodeBadInput, verdict.NotRun, "unknown customer in header Pimentorill-Customer")
	}
	if !c.Allows(p.Name) {
		return verdict.New(verdict.CodeNotFound, verdict.NotRun, "no such pipeline for this customer")
	}
	if p.HasAtMostOnceStage() && in.Key == "" {
		return verdict.New(verdict.CodeBadInput, verdict.NotRun, "this pipeline has a stage that may not be repeated: send header Idempotency-Key")
	}
	return nil
}

// finish logs and counts the end of a request.
func (a *App) finish(in RunRequest, answer RunAnswer, err error, took time.Duration) {
	a.metrics.count(err, took)
	a.traces.add(Trace{
		RequestID: answer.RequestID, Customer: in.Customer, Pipeline: in.Pipeline, ReleaseVersion: answer.ReleaseVersion,
		Stages: answer.Stages, Cost: answer.Cost, DurationMs: took.Milliseconds(), Error: traceError(err),
		log: answer.attempts,
	})
	if err == nil {
		return
	}
	e := verdict.From(err)
	a.deps.Log.Info("request failed", slog.String("request_id", answer.RequestID), slog.String("customer", in.Customer),
		slog.String("pipeline", in.Pipeline), slog.String("code", string(e.Code)), slog.String("verdict", e.Verdict.String()), slog.Any("error", err))
}

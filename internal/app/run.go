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

// hostFullRetryAfter is the retry delay sent to callers when the host is full.
const hostFullRetryAfter = time.Second

// RunRequest is a caller's request, decoded but not checked against the release.
type RunRequest struct {
	Customer string
	Pipeline string
	// Key is the caller's idempotency key, empty if none was sent.
	Key   string
	Input json.RawMessage
	// Timeout is the time that the caller allows; zero means the pipeline's
	// deadline, which is also the maximum.
	Timeout time.Duration
	// OnToken and OnStage are passed on to pipeline.Request; each may be nil.
	OnToken func(text string)
	OnStage func(s pipeline.StageResult)
}

// RunResponse is the complete response to a request.
type RunResponse struct {
	RequestID string                 `json:"request_id"`
	Pipeline  string                 `json:"pipeline"`
	Output    json.RawMessage        `json:"output"`
	Stages    []pipeline.StageResult `json:"stages"`
	// Cost is in millionths of the currency unit.
	Cost           int64  `json:"cost"`
	ReleaseVersion uint64 `json:"release_version"`

	// attempts collects the request's attempts for its trace.
	attempts *attemptLog
}

// Run serves one request. The response carries the request's id also on failure.
// The error is a *verdict.Error. Cancelling ctx stops the work in progress.
func (a *App) Run(ctx context.Context, in RunRequest) (RunResponse, error) {
	started := a.deps.Clock.Now()
	response := RunResponse{RequestID: a.deps.NewID(), Pipeline: in.Pipeline, attempts: &attemptLog{}}
	err := a.activeRequests.begin()
	if err == nil {
		defer a.activeRequests.end()
		err = a.runOnPool(ctx, &response, in, started)
	} else {
		err = a.refusalWithVerdict(in, err)
	}
	a.recordCompletion(in, response, err, a.deps.Clock.Now().Sub(started))
	return response, err
}

// runOnPool serves the request on the request pool and waits for it. If the pool is
// full, it refuses the request. The request is cancelled when ctx ends or the host
// stops.
func (a *App) runOnPool(ctx context.Context, response *RunResponse, in RunRequest, started time.Time) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.runCtx, cancel)()
	var err error
	finished := make(chan struct{})
	task := func() {
		defer close(finished)
		err = a.process(ctx, response, in, started)
	}
	if a.pool.Submit(task) != nil {
		full := verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "the host is full").WithRetryAfter(hostFullRetryAfter)
		return a.refusalWithVerdict(in, full)
	}
	<-finished
	return err
}

// process checks the request against the release in force and the quarantine, and
// runs its pipeline.
func (a *App) process(ctx context.Context, response *RunResponse, in RunRequest, started time.Time) error {
	req, err := a.newPipelineRequest(response.RequestID, in, started)
	if err != nil {
		return err
	}
	response.ReleaseVersion = req.Release.Version
	req.Fingerprint = suspect.NewFingerprint(in.Customer, in.Pipeline, in.Input)
	if err := a.checkSuspect(req); err != nil {
		return err
	}
	req.OnAttempt = response.attempts.add
	if req.Pipeline.HasAtMostOnceStage() {
		return a.runAtMostOnce(ctx, response, in, req)
	}
	return a.runPipeline(ctx, response, req)
}

// runPipeline admits the request, runs its pipeline and fills in the response.
func (a *App) runPipeline(ctx context.Context, response *RunResponse, req pipeline.Request) error {
	grant, err := a.admit(ctx, &req)
	if err != nil {
		return err
	}
	outcome := admission.Failed
	defer func() { grant.Done(outcome) }()
	result, err := a.dataPlane.runner.Run(ctx, req)
	outcome = admissionOutcome(err)
	response.Output, response.Stages, response.Cost = result.Output, result.Stages, result.Cost
	if err != nil && ctx.Err() != nil {
		return verdict.Wrap(err, verdict.CodeCallerCancelled, verdict.Of(err), "the caller went away")
	}
	return err
}

// newPipelineRequest checks the request against the release in force and returns
// it in the form that the pipeline runner takes. Its errors are NotRun.
func (a *App) newPipelineRequest(id string, in RunRequest, started time.Time) (pipeline.Request, error) {
	r := a.Snapshot().Release
	if r == nil {
		return pipeline.Request{}, verdict.New(verdict.CodeNotReady, verdict.NotRun, "no release is known yet").WithRetryAfter(time.Second)
	}
	if !a.caughtUp() {
		return pipeline.Request{}, verdict.New(verdict.CodeNotReady, verdict.NotRun, "the host has not caught up with the others yet").WithRetryAfter(time.Second)
	}
	p, ok := r.Pipeline(in.Pipeline)
	if !ok {
		return pipeline.Request{}, verdict.New(verdict.CodeNotFound, verdict.NotRun, "no such pipeline")
	}
	if err := checkCustomer(r, p, in); err != nil {
		return pipeline.Request{}, err
	}
	timeout := p.Timeout()
	if in.Timeout > 0 {
		timeout = min(timeout, in.Timeout)
	}
	return pipeline.Request{
		ID:             id,
		Customer:       in.Customer,
		Pipeline:       p,
		Release:        r,
		Input:          in.Input,
		Deadline:       started.Add(timeout),
		IdempotencyKey: in.Key,
		OnToken:        in.OnToken,
		OnStage:        in.OnStage,
	}, nil
}

// checkCustomer checks that the customer may run the pipeline and that the
// request has the idempotency key that an at-most-once stage needs. Its errors are
// NotRun.
func checkCustomer(r *release.Release, p release.Pipeline, in RunRequest) error {
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

// recordCompletion adds a finished request to the metrics and the traces, and
// logs a failed one.
func (a *App) recordCompletion(in RunRequest, response RunResponse, err error, duration time.Duration) {
	a.metrics.record(err, duration)
	a.traces.add(Trace{
		RequestID: response.RequestID, Customer: in.Customer, Pipeline: in.Pipeline, ReleaseVersion: response.ReleaseVersion,
		Stages: response.Stages, Cost: response.Cost, DurationMs: duration.Milliseconds(), Error: traceError(err),
		attemptLog: response.attempts,
	})
	if err == nil {
		return
	}
	e := verdict.From(err)
	a.deps.Log.Info("request failed", slog.String("request_id", response.RequestID), slog.String("customer", in.Customer),
		slog.String("pipeline", in.Pipeline), slog.String("code", string(e.Code)), slog.String("verdict", e.Verdict.String()), slog.Any("error", err))
}

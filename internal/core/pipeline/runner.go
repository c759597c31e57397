package pipeline

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	deps    Deps
	tracker Tracker
	wg      sync.WaitGroup
}

// NewRunner returns a Runner with the given dependencies.
func NewRunner(d Deps) *Runner {
	if d.Go == nil {
		d.Go = func(fn func()) { go fn() }
	}
	tracker, _ := d.Picker.(Tracker)
	return &Runner{deps: d, tracker: tracker}
}

// Wait blocks until all attempts have ended, including those of runs that have
// already returned. Run must not be called after Wait.
func (r *Runner) Wait() { r.wg.Wait() }

// Run runs the request's stages in order, each on the output of the previous
// one, and returns the output of the last. The error is a *verdict.Error whose
// verdict covers the whole run.
func (r *Runner) Run(ctx context.Context, req Request) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	verdicts := &stageVerdicts{pipeline: req.Pipeline}
	result := r.resumeFromCache(ctx, &req, verdicts)
	for i := len(result.Stages); i < len(req.Pipeline.Stages); i++ {
		done, err := r.runStage(ctx, &req, i, result.Output)
		verdicts.record(verdict.Of(err))
		if err != nil {
			return Result{}, finalFailure(&req, err, verdicts.runVerdict())
		}
		result.add(done)
		r.cacheStage(&req, i, done)
		if req.OnStage != nil {
			req.OnStage(done.StageResult)
		}
	}
	return result, nil
}

// The default RetryAfter of a failed run is at least retryAfterMin and less
// than retryAfterMin + retryAfterSpread.
const (
	retryAfterMin    = 500 * time.Millisecond
	retryAfterSpread = time.Second
)

// finalFailure returns the failure of the whole run. If the failure has no
// RetryAfter and a retry by the caller is safe and can help, it gets one that
// is spread by request ID, so that callers do not all retry at the same time.
func finalFailure(req *Request, err error, v verdict.Verdict) *verdict.Error {
	e := verdict.From(err).WithVerdict(v)
	retryAllowed := v == verdict.NotRun || !req.Pipeline.HasAtMostOnceStage()
	if e.RetryAfter > 0 || !retryAllowed {
		return e
	}
	switch e.Code {
	case verdict.CodeNoCapacity, verdict.CodeEndpointFailed, verdict.CodeDeadlineExceeded:
		spread := time.Duration(xxhash.Sum64String(req.ID) % uint64(retryAfterSpread))
		return e.WithRetryAfter(retryAfterMin + spread)
	default:
		return e
	}
}

// resumeFromCache returns the result of the stages that an earlier run of the
// same request has finished, and records them in verdicts as Ran. The last
// stage always runs, and so do the first at-most-once stage and all stages
// after it.
func (r *Runner) resumeFromCache(ctx context.Context, req *Request, verdicts *stageVerdicts) Result {
	result := Result{Output: req.Input}
	if r.deps.StageCache == nil || len(req.Pipeline.Stages) < 2 {
		return result
	}
	last := len(req.Pipeline.Stages) - 1
	for i, cached := range r.deps.StageCache.Get(ctx, req) {
		stage := req.Pipeline.Stages[i]
		if i == last || stage.AtMostOnce || cached.Result.Stage != stage.Name {
			break
		}
		cached.Result.Attempts = 0
		cached.Result.Cost = 0
		result.add(finishedStage{StageResult: cached.Result, output: cached.Output})
		verdicts.record(verdict.Ran)
	}
	return result
}

// cacheStage stores a finished stage in the cache, except a last or
// at-most-once stage, which resumeFromCache would not use.
func (r *Runner) cacheStage(req *Request, i int, done finishedStage) {
	stage := req.Pipeline.Stages[i]
	if r.deps.StageCache == nil || stage.AtMostOnce || i == len(req.Pipeline.Stages)-1 {
		return
	}
	r.deps.StageCache.Put(req, i, CachedStage{Result: done.StageResult, Output: done.output})
}

// finishedStage is a stage's result with its output.
type finishedStage struct {
	StageResult
	output json.RawMessage
}

func (r *Result) add(s finishedStage) {
	r.Output = s.output
	r.Stages = append(r.Stages, s.StageResult)
	r.Cost += s.Cost
}

// runStage runs stage i unless ctx has ended, the remaining stages cannot
// finish before the deadline, or BeforeAtMostOnceStage returns an error.
func (r *Runner) runStage(ctx context.Context, req *Request, i int, input json.RawMessage) (finishedStage, error) {
	s := newStageRun(r, req, i, input)
	if ctx.Err() != nil {
		return finishedStage{}, contextFailure(ctx, verdict.NotRun)
	}
	if s.missesDeadlineAfter(0) {
		return finishedStage{}, deadlineUnreachable()
	}
	if s.stage.AtMostOnce && req.BeforeAtMostOnceStage != nil {
		if err := req.BeforeAtMostOnceStage(); err != nil {
			return finishedStage{}, verdict.From(err).WithVerdict(verdict.NotRun)
		}
	}
	ctx, cancel := r.withStageDeadline(ctx, req, i)
	defer cancel()
	return s.run(ctx)
}

// minRemaining returns an estimate of the time that nearly every run needs for the
// stages from i on. It is 0 if the time is unknown or there is no stage i.
func (r *Runner) minRemaining(req *Request, i int) time.Duration {
	if r.deps.MinRemaining == nil || i >= len(req.Pipeline.Stages) {
		return 0
	}
	return r.deps.MinRemaining(req.Pipeline, i)
}

// spawn runs fn on a goroutine that Wait waits for.
func (r *Runner) spawn(fn func()) {
	r.wg.Add(1)
	r.deps.Go(func() {
		defer r.wg.Done()
		fn()
	})
}

// trackBegin reports an attempt that is about to be sent to the tracker.
func (r *Runner) trackBegin(endpointID string) {
	if r.tracker != nil {
		r.tracker.Begin(endpointID)
	}
}

// trackEnd reports an ended attempt to the tracker.
func (r *Runner) trackEnd(endpointID string, info AttemptInfo, o Outcome) {
	if r.tracker != nil {
		r.tracker.End(endpointID, info, o)
	}
}

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

// NewRunner returns a Runner that works with the given parts.
func NewRunner(d Deps) *Runner {
	if d.Go == nil {
		d.Go = func(fn func()) { go fn() }
	}
	tracker, _ := d.Picker.(Tracker)
	return &Runner{deps: d, tracker: tracker}
}

// Wait returns when all attempts have ended, also those of runs that have
// been answered. No Run may begin after Wait is called.
func (r *Runner) Wait() { r.wg.Wait() }

// Run runs the request's stages in order, each on the output of the one
// before, and returns the last one's output. The error is a *verdict.Error
// whose verdict speaks of the whole run.
func (r *Runner) Run(ctx context.Context, req Request) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	seen := &stageVerdicts{pipeline: req.Pipeline}
	result := r.resumeFromCache(ctx, &req, seen)
	for i := len(result.Stages); i < len(req.Pipeline.Stages); i++ {
		done, err := r.runStage(ctx, &req, i, result.Output)
		seen.record(verdict.Of(err))
		if err != nil {
			return Result{}, finalFailure(&req, err, seen.runVerdict())
		}
		result.add(done)
		r.cacheStage(&req, i, done)
		if req.OnStage != nil {
			req.OnStage(done.StageResult)
		}
	}
	return result, nil
}

// The bounds of the time after which a caller is told to come back.
const (
	retryAfterMin    = 500 * time.Millisecond
	retryAfterSpread = time.Second
)

// final returns the failure of the whole run. If it names no time to come
// back after, and coming back can help, it gets one that differs by request.
func finalFailure(req *Request, err error, v verdict.Verdict) *verdict.Error {
	e := verdict.From(err).WithVerdict(v)
	mayReturn := v == verdict.NotRun || !req.Pipeline.HasAtMostOnceStage()
	if e.RetryAfter > 0 || !mayReturn {
		return e
	}
	switch e.Code {
	case verdict.CodeNoCapacity, verdict.CodeEndpointFailed, verdict.CodeDeadline:
		spread := time.Duration(xxhash.Sum64String(req.ID) % uint64(retryAfterSpread))
		return e.WithRetryAfter(retryAfterMin + spread)
	default:
		return e
	}
}

// resume returns the result of the stages that an earlier sending of the
// request has finished. The last stage always runs, and so does each one from
// the first that may not be repeated on.
func (r *Runner) resumeFromCache(ctx context.Context, req *Request, seen *stageVerdicts) Result {
	result := Result{Output: req.Input}
	if r.deps.StageCache == nil || len(req.Pipeline.Stages) < 2 {
		return result
	}
	last := len(req.Pipeline.Stages) - 1
	for i, k := range r.deps.StageCache.Get(ctx, req) {
		stage := req.Pipeline.Stages[i]
		if i == last || stage.AtMostOnce || k.Result.Stage != stage.Name {
			break
		}
		k.Result.Attempts = 0
		k.Result.Cost = 0
		result.add(finishedStage{StageResult: k.Result, output: k.Output})
		seen.record(verdict.Ran)
	}
	return result
}

// keep hands a finished stage to the keeper.
func (r *Runner) cacheStage(req *Request, i int, s finishedStage) {
	stage := req.Pipeline.Stages[i]
	if r.deps.StageCache == nil || stage.AtMostOnce || i == len(req.Pipeline.Stages)-1 {
		return
	}
	r.deps.StageCache.Put(req, i, CachedStage{Result: s.StageResult, Output: s.output})
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

// runStage runs stage i unless it cannot end in time.
func (r *Runner) runStage(ctx context.Context, req *Request, i int, input json.RawMessage) (finishedStage, error) {
	s := newStageRun(r, req, i, input)
	if ctx.Err() != nil {
		return finishedStage{}, contextFailure(ctx, verdict.NotRun)
	}
	if s.missesDeadlineAfter(0) {
		return finishedStage{}, deadlineUnreachable()
	}
	if s.stage.AtMostOnce && req.BeforeOnce != nil {
		if err := req.BeforeOnce(); err != nil {
			return finishedStage{}, verdict.From(err).WithVerdict(verdict.NotRun)
		}
	}
	ctx, cancel := r.withStageDeadline(ctx, req, i)
	defer cancel()
	return s.run(ctx)
}

// remaining returns the least time that the stages from i on need.
func (r *Runner) minRemaining(req *Request, i int) time.Duration {
	if r.deps.MinRemaining == nil || i >= len(req.Pipeline.Stages) {
		return 0
	}
	return r.deps.MinRemaining(req.Pipeline, i)
}

// start runs fn on a goroutine that Wait waits for.
func (r *Runner) spawn(fn func()) {
	r.wg.Add(1)
	r.deps.Go(func() {
		defer r.wg.Done()
		fn()
	})
}

// begin and end tell the tracker of an attempt.
func (r *Runner) trackBegin(endpointID string) {
	if r.tracker != nil {
		r.tracker.Begin(endpointID)
	}
}

func (r *Runner) trackEnd(endpointID string, w AttemptInfo, o Outcome) {
	if r.tracker != nil {
		r.tracker.End(endpointID, w, o)
	}
	if r.deps.Retry != nil && o.Err == nil {
		r.deps.Retry.Observe(w.Stage.Service, o.Duration, w.Release.Settings)
	}
}

package pipeline

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// errInsufficientTime is the cause of a context that ended because the
// remaining stages no longer fit before the deadline.
var errInsufficientTime = errors.New("the remaining stages cannot finish before the deadline")

// deadlineUnreachable returns the failure of a stage that is not started,
// because it and the stages after it cannot finish before the deadline.
func deadlineUnreachable() error {
	return verdict.Wrap(errInsufficientTime, verdict.CodeDeadlineExceeded, verdict.NotRun, "the remaining stages cannot end before the deadline")
}

// withStageDeadline returns a context for stage i that ends when the stages
// after it no longer fit before the request's deadline. An at-most-once stage
// keeps the full deadline, because its response is useful even if no later
// stage can run.
func (r *Runner) withStageDeadline(ctx context.Context, req *Request, i int) (context.Context, context.CancelFunc) {
	laterStagesTime := r.minRemaining(req, i+1)
	if laterStagesTime <= 0 || req.Pipeline.Stages[i].AtMostOnce {
		return context.WithCancel(ctx)
	}
	return context.WithDeadlineCause(ctx, req.Deadline.Add(-laterStagesTime), errInsufficientTime)
}

// contextFailure returns the failure, with verdict v, of a stage whose context
// has ended.
func contextFailure(ctx context.Context, v verdict.Verdict) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errInsufficientTime):
		return verdict.Wrap(cause, verdict.CodeDeadlineExceeded, v, "the remaining stages cannot end before the deadline")
	case errors.Is(cause, context.DeadlineExceeded):
		return verdict.Wrap(cause, verdict.CodeDeadlineExceeded, v, "the deadline has passed")
	default:
		return verdict.Wrap(cause, verdict.CodeCallerCancelled, v, "the caller has gone")
	}
}

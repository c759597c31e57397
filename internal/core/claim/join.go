package claim

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// errJoinedRunUnclaimed means that the run that was waited for ended without a
// claim, so that the request may try to claim the key itself.
var errJoinedRunUnclaimed = errors.New("claim: joined run has no claim")

// join waits for the outcome of the key's existing run on this host and returns
// it as the decision. The error is a *verdict.Error or errJoinedRunUnclaimed.
func (c *Claims) join(ctx context.Context, r *run, req Request, k callerKey) (Decision, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if r.digest != req.Digest {
		return Decision{}, c.rejectOtherRequest(ctx, r, k)
	}
	alreadyFinished := r.isFinished()
	select {
	case <-r.done:
	case <-ctx.Done():
		return Decision{}, errRunInProgress()
	}
	out := c.runs.outcomeOf(r)
	if out.err != nil {
		return Decision{}, c.joinedError(ctx, r, out.err, k, alreadyFinished)
	}
	return Decision{Kind: Replay, Output: out.output}, nil
}

// joinedError returns the error for a request that joined a failed run. A NotRun
// verdict from before the request joined is not returned again, because the key
// may have run on another host since.
func (c *Claims) joinedError(ctx context.Context, r *run, err error, k callerKey, alreadyFinished bool) error {
	e := verdict.From(err)
	switch {
	case e.Verdict != verdict.NotRun || r.issued:
		return err
	case e.Code == verdict.CodeStoreUnavailable:
		return errStoreUnavailable(e.Cause, c.verdictWithoutStore(ctx, k))
	case alreadyFinished:
		return errKeyBeingReleased()
	default:
		return err
	}
}

// rejectOtherRequest rejects a request whose key is used by a run of a different
// request. As long as that run holds no claim, another host may have run the key
// with this request, so it waits for the run to get the claim or to end.
func (c *Claims) rejectOtherRequest(ctx context.Context, r *run, k callerKey) error {
	if r.hasClaim() {
		return errKeyConflict()
	}
	select {
	case <-r.claimHeld:
		return errKeyConflict()
	case <-r.done:
	case <-ctx.Done():
		return errRunInProgress()
	}
	e := verdict.From(c.runs.outcomeOf(r).err)
	if e.Code != verdict.CodeStoreUnavailable {
		return errJoinedRunUnclaimed
	}
	return errStoreUnavailable(e.Cause, c.verdictWithoutStore(ctx, k))
}

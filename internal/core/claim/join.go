package claim

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// errNoClaim means that the run that was joined had not got the claim.
var errNoClaim = errors.New("claim: joined run has no claim")

// join waits for the outcome of the key's run on this host.
func (c *Claims) join(ctx context.Context, r *run, req Request, k callerKey) (Decision, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	if r.digest != req.Digest {
		return Decision{}, c.joinOther(ctx, r, k)
	}
	late := r.finished()
	select {
	case <-r.done:
	case <-ctx.Done():
		return Decision{}, errUnderWay()
	}
	out := c.table.outcomeOf(r)
	if out.err != nil {
		return Decision{}, c.joinedError(ctx, r, out.err, k, late)
	}
	return Decision{Kind: Replay, Output: out.output}, nil
}

// joinedError returns the error for who joined a run that failed. A verdict of
// not run that was found before the joiner came is not repeated: the key may
// have run elsewhere since.
func (c *Claims) joinedError(ctx context.Context, r *run, err error, k callerKey, late bool) error {
	e := verdict.From(err)
	switch {
	case e.Verdict != verdict.NotRun || r.issued:
		return err
	case e.Code == verdict.CodeStoreUnavailable:
		return errStoreUnavailable(e.Cause, c.verdictWithoutStore(ctx, k))
	case late:
		return errReleasing()
	default:
		return err
	}
}

// joinOther refuses a request whose key another request has claimed. While
// the other one has no claim, the key may have run with this request elsewhere.
func (c *Claims) joinOther(ctx context.Context, r *run, k callerKey) error {
	if r.hasClaim() {
		return errOtherRequest()
	}
	select {
	case <-r.claimed:
		return errOtherRequest()
	case <-r.done:
	case <-ctx.Done():
		return errUnderWay()
	}
	e := verdict.From(c.table.outcomeOf(r).err)
	if e.Code != verdict.CodeStoreUnavailable {
		return errNoClaim
	}
	return errStoreUnavailable(e.Cause, c.verdictWithoutStore(ctx, k))
}

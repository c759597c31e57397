package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// Execution is the permission to run a request once on this host. It is not safe
// for concurrent use.
type Execution struct {
	claims *Claims
	run    *run
	id     keyID
	// addr is the address of a caller key's document, nil for an issued key.
	addr *documentAddress
	// claimID is the ID of the claim of a caller key, zero for an issued key.
	claimID [16]byte
	// usableUntil is when CheckClaim begins to fail.
	usableUntil time.Time
	finished    bool
}

// CheckClaim must be called immediately before each call of an at-most-once
// stage. It fails with NotRun if so much time has passed, for example because the
// process was paused, that other hosts might delete the claim; then the stage
// must not be called.
func (ex *Execution) CheckClaim() error {
	if ex.claims.cfg.Clock.Now().Before(ex.usableUntil) {
		return nil
	}
	return verdict.New(verdict.CodeDeadlineExceeded, verdict.NotRun, "the claim was not used in its window")
}

// Finish records the outcome of the run: an output, or an error whose verdict
// says whether the request may have run. With NotRun the key is released and can
// be claimed again, except an issued key on a host that is draining. Calls after
// the first have no effect.
func (ex *Execution) Finish(output json.RawMessage, err error) {
	ex.finish(output, err, verdict.Of(err))
}

// finish returns the output or the error to the requests that wait for the run,
// and updates the key according to v, which concerns this run only: the verdict of
// err may also cover earlier runs of the key.
func (ex *Execution) finish(output json.RawMessage, err error, v verdict.Verdict) {
	if ex.finished {
		return
	}
	ex.finished = true
	ex.claims.runs.setOutcome(ex.run, outcome{output: output, err: err})
	if v != verdict.NotRun || ex.claims.draining.Load() {
		ex.claims.runs.retain(ex.id, ex.run)
	}
	switch {
	case ex.addr == nil && v == verdict.NotRun && !ex.claims.draining.Load():
		ex.claims.runs.remove(ex.id)
	case ex.addr != nil && v != verdict.MayHaveRun:
		ex.storeOutcome(output, v)
	}
}

// storeOutcome writes the outcome of a caller key's run to the store, or releases
// the claim if v is NotRun, in the background. After the release, or once it was
// given up, the run is removed.
func (ex *Execution) storeOutcome(output json.RawMessage, v verdict.Verdict) {
	expires := ex.claims.cfg.Clock.Now().Add(outcomeWriteTimeout)
	o := ex.op(opRecordOutcome, expires)
	o.Output = storableOutput(output)
	if v == verdict.NotRun {
		o = ex.op(opReleaseClaim, expires)
	}
	ex.claims.pendingOutcomes.Add(1)
	go func() {
		defer ex.claims.pendingOutcomes.Done()
		ctx, cancel := context.WithDeadline(ex.claims.ctx, expires)
		defer cancel()
		ex.claims.submitOp(ctx, o)
		if v == verdict.NotRun {
			ex.claims.runs.remove(ex.id)
		}
	}()
}

func (ex *Execution) op(kind opKind, expires time.Time) op {
	return op{
		Kind: kind, Shard: ex.addr.shard, Bucket: ex.addr.bucket,
		Key: ex.id, Claim: ex.claimID, Expires: expires.UnixMilli(),
	}
}

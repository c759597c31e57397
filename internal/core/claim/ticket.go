package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// Ticket is the right of this host to run a request once. One goroutine uses
// it at a time.
type Ticket struct {
	claims *Claims
	run    *run
	id     keyID
	// addr is the document of a caller's own key, nil for an issued key.
	addr        *address
	claim       [16]byte
	usableUntil time.Time
	finished    bool
}

// Started must be called right before each sending of a stage that may not
// be repeated. It fails with NotRun if the process was paused for so long that
// other hosts may have forgotten the claim; then nothing may be sent.
func (t *Ticket) Started() error {
	if t.claims.cfg.Clock.Now().Before(t.usableUntil) {
		return nil
	}
	return verdict.New(verdict.CodeDeadlineExceeded, verdict.NotRun, "the claim was not used in its window")
}

// Finish says how the run ended: with an output, or with an error whose
// verdict tells whether the request may have run. With NotRun the key is
// released and can be claimed again. Only the first call counts.
func (t *Ticket) Finish(output json.RawMessage, err error) {
	t.finish(output, err, verdict.Of(err))
}

// finish ends the run for those who wait with the output or the error, and
// for the key with the verdict.
func (t *Ticket) finish(output json.RawMessage, err error, v verdict.Verdict) {
	if t.finished {
		return
	}
	t.finished = true
	t.claims.table.settle(t.run, outcome{output: output, err: err})
	if v != verdict.NotRun || t.claims.draining.Load() {
		t.claims.table.keep(t.id, t.run)
	}
	switch {
	case t.addr == nil && v == verdict.NotRun && !t.claims.draining.Load():
		t.claims.table.remove(t.id)
	case t.addr != nil && v != verdict.MayHaveRun:
		t.store(output, v)
	}
}

// store writes the outcome to the store in the background.
func (t *Ticket) store(output json.RawMessage, v verdict.Verdict) {
	expires := t.claims.cfg.Clock.Now().Add(outcomeLife)
	o := t.op(opSettle, expires)
	o.Output = storable(output)
	if v == verdict.NotRun {
		o = t.op(opRelease, expires)
	}
	t.claims.outcomes.Add(1)
	go func() {
		defer t.claims.outcomes.Done()
		ctx, cancel := context.WithDeadline(t.claims.life, expires)
		defer cancel()
		t.claims.submit(ctx, o)
		if v == verdict.NotRun {
			t.claims.table.remove(t.id)
		}
	}()
}

func (t *Ticket) op(kind opKind, expires time.Time) op {
	return op{
		Kind: kind, Shard: t.addr.shard, Bucket: t.addr.bucket,
		Key: t.id, Claim: t.claim, Expires: expires.UnixMilli(),
	}
}

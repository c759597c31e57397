package claim

import (
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// heldClaim is a claim in the store that this host's memory holds with its run.
type heldClaim struct {
	id  keyID
	run *run
}

// heldBatch is a list of claims of one document.
type heldBatch struct {
	addr   documentAddress
	claims []heldClaim
}

// setClaim records the run's claim as it is in the store, so that it can be written again
// if the store loses it.
func (t *runTable) setClaim(r *run, addr documentAddress, e entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.addr, r.claim = addr, e
}

// claimsByDocument returns the claims of all runs in documents that match, in batches of
// at most size claims.
func (t *runTable) claimsByDocument(size int, match func(documentAddress) bool) []heldBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	byDocument := make(map[documentAddress][]heldClaim)
	for id, r := range t.runs {
		if !r.claim.compacted() && !r.endedWithoutRunning() && match(r.addr) {
			byDocument[r.addr] = append(byDocument[r.addr], heldClaim{id: id, run: r})
		}
	}
	var batches []heldBatch
	for addr, claims := range byDocument {
		for len(claims) > size {
			batches = append(batches, heldBatch{addr: addr, claims: claims[:size]})
			claims = claims[size:]
		}
		batches = append(batches, heldBatch{addr: addr, claims: claims})
	}
	return batches
}

// entriesOf returns the entries of a batch with the outcomes that are known.
func (t *runTable) entriesOf(batch heldBatch) []entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := make([]entry, 0, len(batch.claims))
	for _, h := range batch.claims {
		entries = append(entries, h.run.entry())
	}
	return entries
}

// entry returns the run's claim with its outcome, if it is known. The caller holds the
// table's mu.
func (r *run) entry() entry {
	e := r.claim
	if !r.isFinished() || e.State == stateRan {
		return e
	}
	switch {
	case r.outcome.err == nil:
		e.State, e.Output = stateRan, storableOutput(r.outcome.output)
	case verdict.Of(r.outcome.err) == verdict.Ran:
		e.State = stateRan
	}
	return e
}

// haveChanged reports whether a run of the batch has got an outcome that is not in
// entries.
func (t *runTable) haveChanged(batch heldBatch, entries []entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, h := range batch.claims {
		if h.run.entry().State != entries[i].State {
			return true
		}
	}
	return false
}

// endedWithoutRunning reports whether the run has ended without having run, so that its
// claim is released.
func (r *run) endedWithoutRunning() bool {
	return r.isFinished() && r.outcome.err != nil && verdict.Of(r.outcome.err) == verdict.NotRun
}

// isReleased reports whether the run of a claim has ended without having run.
func (t *runTable) isReleased(h heldClaim) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return h.run.endedWithoutRunning()
}

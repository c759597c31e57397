package app

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/suspect"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// kindWitnessAttempt is the kind of the message that registers an attempt with
	// its witness or unregisters it. kindHostAlive is the kind of the message that
	// checks whether a host still responds.
	kindWitnessAttempt = "suspect.attempt"
	kindHostAlive      = "suspect.alive"
	// witnessTimeout bounds how long an attempt waits for one witness. It allows
	// for a round trip between regions.
	witnessTimeout = 30 * time.Millisecond
	// aliveTimeout bounds one check whether a host responds, and one unregistration
	// of an attempt.
	aliveTimeout = 300 * time.Millisecond
	// maxWitnessCandidates bounds the hosts tried as the witness of an attempt.
	maxWitnessCandidates = 2
)

// peerWitness implements suspect.Witness with the other hosts as witnesses.
type peerWitness struct{ app *App }

// handleWitnessMessages makes this host a witness for the other hosts.
func (a *App) handleWitnessMessages() {
	a.deps.Peers.Handle(kindWitnessAttempt, func(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
		var attempt suspect.Attempt
		if err := cbor.Unmarshal(payload, &attempt); err != nil {
			return nil, err
		}
		return cbor.Marshal(a.guard.WitnessAttempt(attempt))
	})
	a.deps.Peers.Handle(kindHostAlive, func(context.Context, port.Member, []byte) ([]byte, error) { return []byte{1}, nil })
}

// candidates returns the ids of the hosts that may be the witness of a request, in
// the order in which to try them. All hosts order them alike, but each leaves itself
// out.
func (w peerWitness) candidates(f suspect.Fingerprint) []string {
	var ids []string
	for _, m := range w.app.deps.Peers.Members() {
		if m.State != port.MemberGone && m.ID != w.app.deps.Peers.Self().ID {
			ids = append(ids, m.ID)
		}
	}
	return membership.SelectByRendezvous(ids, f.String(), maxWitnessCandidates)
}

// Register implements suspect.Witness. It tries the candidates one after the other
// and waits for each at most witnessTimeout.
func (w peerWitness) Register(ctx context.Context, attempt suspect.Attempt) []suspect.Attempt {
	payload, err := cbor.Marshal(attempt)
	if err != nil {
		return nil
	}
	for _, host := range w.candidates(attempt.Fingerprint) {
		callCtx, cancel := context.WithTimeout(ctx, witnessTimeout)
		response, err := w.app.deps.Peers.Ask(callCtx, host, kindWitnessAttempt, payload)
		cancel()
		if err != nil {
			continue
		}
		var earlier []suspect.Attempt
		if err := cbor.Unmarshal(response, &earlier); err != nil {
			return nil
		}
		return earlier
	}
	return nil
}

// Unregister implements suspect.Witness: it sends the attempt, with Ended set, like
// Register. If that fails, the attempt expires on its witness.
func (w peerWitness) Unregister(attempt suspect.Attempt) {
	go func() {
		ctx, cancel := context.WithTimeout(w.app.runCtx, aliveTimeout)
		defer cancel()
		_ = w.Register(ctx, attempt)
	}()
}

// HostResponds implements suspect.Witness.
func (w peerWitness) HostResponds(ctx context.Context, host string) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	_, err := w.app.deps.Peers.Ask(ctx, host, kindHostAlive, nil)
	return err == nil
}

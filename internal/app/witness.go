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
	// kindAttempt is the message to the witness of an attempt, kindAlive the
	// question whether a host still answers.
	kindAttempt = "suspect.attempt"
	kindAlive   = "suspect.alive"
	// witnessTimeout bounds how long an attempt waits for its witness: a round
	// trip between regions.
	witnessTimeout = 30 * time.Millisecond
	// aliveTimeout is the time within which a live host answers.
	aliveTimeout = 300 * time.Millisecond
	// witnessTries bounds the hosts that are asked to be the witness.
	witnessTries = 2
)

// witness implements suspect.Witness with the other hosts.
type witness struct{ app *App }

// handleAttempts has this host be the witness of others.
func (a *App) handleAttempts() {
	a.deps.Peers.Handle(kindAttempt, func(_ context.Context, _ port.Member, payload []byte) ([]byte, error) {
		var at suspect.Attempt
		if err := cbor.Unmarshal(payload, &at); err != nil {
			return nil, err
		}
		return cbor.Marshal(a.guard.WitnessAttempt(at))
	})
	a.deps.Peers.Handle(kindAlive, func(context.Context, port.Member, []byte) ([]byte, error) { return []byte{1}, nil })
}

// of returns the hosts that may be the witness of a request, in the order in
// which every host asks them.
func (w witness) of(f suspect.Fingerprint) []string {
	var ids []string
	for _, m := range w.app.deps.Peers.Members() {
		if m.State != port.MemberGone && m.ID != w.app.deps.Peers.Self().ID {
			ids = append(ids, m.ID)
		}
	}
	return membership.SelectByRendezvous(ids, f.String(), witnessTries)
}

// Enter implements suspect.Witness.
func (w witness) Register(ctx context.Context, a suspect.Attempt) []suspect.Attempt {
	payload, err := cbor.Marshal(a)
	if err != nil {
		return nil
	}
	for _, host := range w.of(a.Fingerprint) {
		call, cancel := context.WithTimeout(ctx, witnessTimeout)
		raw, err := w.app.deps.Peers.Ask(call, host, kindAttempt, payload)
		cancel()
		if err != nil {
			continue
		}
		var earlier []suspect.Attempt
		if err := cbor.Unmarshal(raw, &earlier); err != nil {
			return nil
		}
		return earlier
	}
	return nil
}

// Leave implements suspect.Witness. A witness that does not hear it forgets
// the attempt with time.
func (w witness) Unregister(a suspect.Attempt) {
	go func() {
		ctx, cancel := context.WithTimeout(w.app.runCtx, aliveTimeout)
		defer cancel()
		_ = w.Register(ctx, a)
	}()
}

// Answers implements suspect.Witness.
func (w witness) HostResponds(ctx context.Context, host string) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	_, err := w.app.deps.Peers.Ask(ctx, host, kindAlive, nil)
	return err == nil
}

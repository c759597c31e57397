package claim

import (
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// Constructors of the errors that Begin returns.

func errKeyConflict() error {
	return verdict.New(verdict.CodeConflict, verdict.NotRun, "the key was used for another request; this one was not run")
}

func errRunInProgress() error {
	return verdict.New(verdict.CodeKeyInUse, verdict.MayHaveRun, "a run of this key is under way").WithRetryAfter(inProgressRetryAfter)
}

func errKeyBeingReleased() error {
	return verdict.New(verdict.CodeKeyInUse, verdict.MayHaveRun, "the key is being released after a run that was given up").WithRetryAfter(inProgressRetryAfter)
}

func errUnknownOutcome() error {
	return verdict.New(verdict.CodeKeyInUse, verdict.MayHaveRun, "a run of this key was begun and its outcome is not known")
}

func errOutputDiscarded() error {
	return verdict.New(verdict.CodeKeyInUse, verdict.Ran, "the key has run; its output is no longer kept")
}

func errKeyExpired() error {
	return verdict.New(verdict.CodeKeyInUse, verdict.MayHaveRun, "the key is older than the claim window")
}

func errIssuerGone() error {
	return verdict.New(verdict.CodeKeyInUse, verdict.MayHaveRun, "the host that issued the key is gone")
}

func errIssuerDraining() error {
	return verdict.New(verdict.CodeNotReady, verdict.NotRun, "the host that issued the key is shutting down; take a new key")
}

func errNoCapacity() error {
	return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, "no room for another key").WithRetryAfter(bucketSpan)
}

func errStoreUnavailable(cause error, v verdict.Verdict) error {
	message := "the store is away"
	if errors.Is(cause, errClaimsNotBack) {
		message = "the store came back from an older copy and keys are being written again"
	}
	if v == verdict.NotRun {
		message += "; nothing was run"
	} else {
		message += "; this sending was not run, an earlier one may have"
	}
	return verdict.Wrap(cause, verdict.CodeStoreUnavailable, v, message).WithRetryAfter(storeFailurePause)
}

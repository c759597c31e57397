package retry

import "github.com/pimentorill/pimentorill/internal/core/verdict"

// MaxAttempts bounds the attempts of one stage, hedges aside.
const MaxAttempts = 4

// RetryClass says what may follow a failed attempt.
type RetryClass uint8

// The classes of failed attempts.
const (
	// NoRetry means that no attempt may follow.
	NoRetry RetryClass = iota
	// RetryWithinBudget means that a retry may follow if the budget has one.
	RetryWithinBudget
	// RetryWithoutBudget means that a retry may follow without the budget: the attempt
	// reached no endpoint and so put no load on the service.
	RetryWithoutBudget
)

// Classify judges a failed attempt of a stage. once says that the stage may
// not be repeated: then only an attempt that has not run may be followed.
func Classify(err *verdict.Error, once bool) RetryClass {
	if once && err.Verdict != verdict.NotRun {
		return NoRetry
	}
	switch err.Code {
	case verdict.CodeEndpointFailed:
		if err.Verdict == verdict.NotRun {
			return RetryWithoutBudget
		}
		return RetryWithinBudget
	case verdict.CodeNoCapacity, verdict.CodeNotReady, verdict.CodeInternal:
		return RetryWithinBudget
	default:
		return NoRetry
	}
}

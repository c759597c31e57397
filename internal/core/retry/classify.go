package retry

import "github.com/pimentorill/pimentorill/internal/core/verdict"

// MaxAttempts is the number of attempts of one stage, hedges included, from which
// on no retry may follow. Hedges themselves are not subject to it.
const MaxAttempts = 4

// RetryClass says whether a retry may follow a failed attempt.
type RetryClass uint8

// The classes of failed attempts.
const (
	// NoRetry means that no retry may follow.
	NoRetry RetryClass = iota
	// RetryWithinBudget means that a retry may follow if the budget allows it.
	RetryWithinBudget
	// RetryWithoutBudget means that a retry may follow without using the
	// budget, as the failed attempt put no load on the service: it did not reach
	// an endpoint, or the endpoint answered that it did not run the request, for a
	// reason other than lack of capacity.
	RetryWithoutBudget
)

// Classify returns the class of a failed attempt of a stage. If atMostOnce is
// set, the stage must not run twice, so a retry may follow only if the attempt
// has not run.
func Classify(err *verdict.Error, atMostOnce bool) RetryClass {
	if atMostOnce && err.Verdict != verdict.NotRun {
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

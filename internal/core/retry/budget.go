// Package retry decides whether and when a stage is attempted again: it limits
// retries to a fraction of the first attempts, returns jittered backoff delays, and
// derives from measured latencies when an attempt has stalled. Hedges are those of
// package hedge.
package retry

// hundredPercent is 100 % in the unit of the percentages in release.Settings.
const hundredPercent = 100

// maxSavedAttempts is the number of extra attempts that a budget can
// accumulate.
const maxSavedAttempts = 20

// budget limits retries to a percentage of first attempts. It starts empty, so
// they never exceed that percentage of the first attempts counted so far. It is
// not safe for concurrent use.
type budget struct {
	// credit is in hundredths of an attempt.
	credit int
}

// addCredit adds the credit of one first attempt.
func (b *budget) addCredit(percent int) {
	b.credit = min(b.credit+percent, maxSavedAttempts*hundredPercent)
}

// tryTake takes one retry from the budget. It returns false and takes none if the credit is less than one attempt.
func (b *budget) tryTake() bool {
	if b.credit < hundredPercent {
		return false
	}
	b.credit -= hundredPercent
	return true
}

// Package retry decides whether and when a stage is attempted again: it limits
// retries to a fraction of the traffic, adds jittered backoff and sends hedges
// after a measured quantile. The exported types are safe for concurrent use.
package retry

// hundredPercent is the whole of the percentages in release.Settings.
const hundredPercent = 100

// maxSavedAttempts is the number of extra attempts that a budget can
// accumulate.
const maxSavedAttempts = 20

// budget limits extra attempts to a percentage of first attempts. It starts
// empty, so the extra attempts never exceed that percentage of the first ones
// seen. It is not safe for concurrent use.
type budget struct {
	// credit is in hundredths of an attempt.
	credit int
}

// earn adds the credit of one first attempt.
func (b *budget) addCredit(percent int) {
	b.credit = min(b.credit+percent, maxSavedAttempts*hundredPercent)
}

// tryTake spends one extra attempt. It returns false if the credit is less
// than one.
func (b *budget) tryTake() bool {
	if b.credit < hundredPercent {
		return false
	}
	b.credit -= hundredPercent
	return true
}

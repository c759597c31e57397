// Package retry decides whether and when an attempt is sent again: a budget
// that is a share of traffic, jittered backoff, and hedges after a measured
// quantile. All types are safe for concurrent use.
package retry

// percent is the whole in the shares of release.Settings.
const hundredPercent = 100

// maxSavedAttempts is the number of extra attempts that quiet traffic can save up.
const maxSavedAttempts = 20

// budget allows extra attempts as a share of first attempts. It starts empty,
// so the extra attempts never exceed the share of the first ones seen. It is
// not safe for concurrent use.
type budget struct {
	// saved is in hundredths of an attempt.
	credit int
}

// earn adds the share of one first attempt.
func (b *budget) earn(share int) {
	b.credit = min(b.credit+share, maxSavedAttempts*hundredPercent)
}

// take spends one extra attempt, or reports false if there is none.
func (b *budget) trySpend() bool {
	if b.credit < hundredPercent {
		return false
	}
	b.credit -= hundredPercent
	return true
}

// Package quota limits the retries of all hosts together without coordination:
// for each service, a host may send retries up to a fraction of its own first
// attempts plus an equal part of the slack.
package quota

import (
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// bucketCount is the number of buckets into which a window is divided.
const bucketCount = 20

// RetryLimit is the platform's limit on the retries of a service in any window.
type RetryLimit struct {
	// Ratio is the allowed ratio of retries to first attempts. Slack is the number
	// of retries allowed in addition, for all hosts together.
	Ratio, Slack float64
	// Window is the length of the sliding window, at least bucketCount ns.
	Window time.Duration
}

// RetryBudgets holds one host's retry budget for each service. It is safe for
// concurrent use.
type RetryBudgets struct {
	limit RetryLimit
	clock port.Clock
	// origin is the time from which buckets are numbered. Time differences to
	// it use the monotonic clock.
	origin time.Time

	mu        sync.Mutex
	hostCount int
	// slackFrom is when this host has a part of the slack.
	slackFrom time.Time
	// counts holds the counts of each service, by service name.
	counts map[string]*windowCounts
}

// windowCounts holds one service's number of first attempts and retries in each
// bucket of the window.
type windowCounts struct {
	// currentBucket is the number of the latest bucket, counted from origin.
	// Bucket n is stored at index n%bucketCount.
	currentBucket int64
	firstAttempts [bucketCount]int
	retries       [bucketCount]int
}

// NewRetryBudgets returns the budgets of a host that uses the whole slack until
// SetHostCount is called.
func NewRetryBudgets(limit RetryLimit, clock port.Clock) *RetryBudgets {
	return &RetryBudgets{limit: limit, clock: clock, origin: clock.Now(), hostCount: 1, counts: make(map[string]*windowCounts)}
}

// SetHostCount sets the number of hosts among which the slack is divided.
// Values below 1 count as 1.
func (r *RetryBudgets) SetHostCount(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hostCount = max(1, n)
}

// HoldSlack says that this host has no part of the slack until a time: a host that has started
// anew within the window doesn't know what it used before.
func (r *RetryBudgets) HoldSlack(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slackFrom = until
}

// RecordFirstAttempts counts n first attempts at a service.
func (r *RetryBudgets) RecordFirstAttempts(service string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.countsFor(service)
	c.firstAttempts[c.currentBucket%bucketCount] += n
}

// TryTake takes n retries from a service's budget. It returns false and takes
// none if the budget has fewer.
func (r *RetryBudgets) TryTake(service string, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.countsFor(service)
	firstAttempts, retries := 0, 0
	for i := range bucketCount {
		firstAttempts += c.firstAttempts[i]
		retries += c.retries[i]
	}
	slack := r.limit.Slack / float64(r.hostCount)
	if r.clock.Now().Before(r.slackFrom) {
		slack = 0
	}
	if float64(retries+n) > r.limit.Ratio*float64(firstAttempts)+slack {
		return false
	}
	c.retries[c.currentBucket%bucketCount] += n
	return true
}

// countsFor returns the counts of a service after clearing the buckets that
// have left the window. The caller holds r.mu.
func (r *RetryBudgets) countsFor(service string) *windowCounts {
	now := int64(r.clock.Now().Sub(r.origin) / (r.limit.Window / bucketCount))
	c := r.counts[service]
	if c == nil {
		c = &windowCounts{currentBucket: now}
		r.counts[service] = c
	}
	if now-c.currentBucket >= bucketCount {
		c.firstAttempts, c.retries = [bucketCount]int{}, [bucketCount]int{}
	} else {
		for b := c.currentBucket + 1; b <= now; b++ {
			c.firstAttempts[b%bucketCount], c.retries[b%bucketCount] = 0, 0
		}
	}
	c.currentBucket = max(c.currentBucket, now)
	return c
}

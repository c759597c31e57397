// Package quota bounds what hosts send again, so that the sum over all hosts
// holds without talk between them: each host has a share of its own requests
// and an equal part of the slack.
package quota

import (
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/port"
)

// buckets is the number of parts that a window is counted in.
const bucketCount = 20

// RetryLimit is the platform's bound on repeats in any window.
type RetryLimit struct {
	// Share is the part of the requests, Slack what is added for all hosts.
	Share, Slack float64
	Window       time.Duration
}

// RetryBudgets is one host's budget by service. It is safe for concurrent use.
type RetryBudgets struct {
	limit RetryLimit
	clock port.Clock
	// start makes the buckets follow the steady clock.
	origin time.Time

	mu       sync.Mutex
	hosts    int
	services map[string]*windowCounts
}

// counts holds what was sent in each bucket of the window.
type windowCounts struct {
	currentBucket int64
	firstSends    [bucketCount]int
	retries       [bucketCount]int
}

// NewRetryBudgets returns a host's budgets.
func NewRetryBudgets(rule RetryLimit, clock port.Clock) *RetryBudgets {
	return &RetryBudgets{limit: rule, clock: clock, origin: clock.Now(), hosts: 1, services: make(map[string]*windowCounts)}
}

// SetHosts tells among how many hosts the slack is divided.
func (r *RetryBudgets) SetHosts(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = max(1, n)
}

// RecordFirst counts n first sends to a service.
func (r *RetryBudgets) RecordFirst(service string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.countsFor(service)
	c.firstSends[c.currentBucket%bucketCount] += n
}

// TryTake spends n repeats at a service, or reports false.
func (r *RetryBudgets) TryTake(service string, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.countsFor(service)
	first, repeats := 0, 0
	for i := range bucketCount {
		first += c.firstSends[i]
		repeats += c.retries[i]
	}
	if float64(repeats+n) > r.limit.Share*float64(first)+r.limit.Slack/float64(r.hosts) {
		return false
	}
	c.retries[c.currentBucket%bucketCount] += n
	return true
}

// at returns the counts of a service with buckets before the window emptied.
func (r *RetryBudgets) countsFor(service string) *windowCounts {
	now := int64(r.clock.Now().Sub(r.origin) / (r.limit.Window / bucketCount))
	c := r.services[service]
	if c == nil {
		c = &windowCounts{currentBucket: now}
		r.services[service] = c
	}
	if now-c.currentBucket >= bucketCount {
		c.firstSends, c.retries = [bucketCount]int{}, [bucketCount]int{}
	} else {
		for b := c.currentBucket + 1; b <= now; b++ {
			c.firstSends[b%bucketCount], c.retries[b%bucketCount] = 0, 0
		}
	}
	c.currentBucket = max(c.currentBucket, now)
	return c
}

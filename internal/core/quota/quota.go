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
const buckets = 20

// Rule is the platform's bound on repeats in any window.
type Rule struct {
	// Share is the part of the requests, Slack what is added for all hosts.
	Share, Slack float64
	Window       time.Duration
}

// Retries is one host's budget by service. It is safe for concurrent use.
type Retries struct {
	rule  Rule
	clock port.Clock
	// start makes the buckets follow the steady clock.
	start time.Time

	mu       sync.Mutex
	hosts    int
	services map[string]*counts
}

// counts holds what was sent in each bucket of the window.
type counts struct {
	bucket  int64
	first   [buckets]int
	repeats [buckets]int
}

// NewRetries returns a host's budgets.
func NewRetries(rule Rule, clock port.Clock) *Retries {
	return &Retries{rule: rule, clock: clock, start: clock.Now(), hosts: 1, services: make(map[string]*counts)}
}

// SetHosts tells among how many hosts the slack is divided.
func (r *Retries) SetHosts(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = max(1, n)
}

// First counts n first sends to a service.
func (r *Retries) First(service string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.at(service)
	c.first[c.bucket%buckets] += n
}

// Take spends n repeats at a service, or reports false.
func (r *Retries) Take(service string, n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.at(service)
	first, repeats := 0, 0
	for i := range buckets {
		first += c.first[i]
		repeats += c.repeats[i]
	}
	if float64(repeats+n) > r.rule.Share*float64(first)+r.rule.Slack/float64(r.hosts) {
		return false
	}
	c.repeats[c.bucket%buckets] += n
	return true
}

// at returns the counts of a service with buckets before the window emptied.
func (r *Retries) at(service string) *counts {
	now := int64(r.clock.Now().Sub(r.start) / (r.rule.Window / buckets))
	c := r.services[service]
	if c == nil {
		c = &counts{bucket: now}
		r.services[service] = c
	}
	if now-c.bucket >= buckets {
		c.first, c.repeats = [buckets]int{}, [buckets]int{}
	} else {
		for b := c.bucket + 1; b <= now; b++ {
			c.first[b%buckets], c.repeats[b%buckets] = 0, 0
		}
	}
	c.bucket = max(c.bucket, now)
	return c
}

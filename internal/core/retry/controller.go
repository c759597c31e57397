package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/hedge"
	"github.com/pimentorill/pimentorill/internal/core/release"
)

// maxServices limits the services that a Controller keeps state for. At the
// limit it drops an arbitrary one, whose budgets then start empty.
const maxServices = 256

// samplesPerUpdate is the number of samples after which a service's stall timeout is
// recomputed.
const samplesPerUpdate = 50

// The stall timeout is stallFactor times the 99th percentile of the time to
// progress, and at least minStallTimeout.
const (
	stallFactor     = 3
	minStallTimeout = 500 * time.Millisecond
)

// serviceState is the state kept for one service.
type serviceState struct {
	retries budget
	// timeToFirstToken measures the time that attempts take to their first
	// token, or to their response if they produce no tokens.
	timeToFirstToken *latencyWindow
	// stallTimeout is how long an attempt may go without progress, 0 if that is
	// not known yet.
	stallTimeout time.Duration
	// timeToFirstTokenSamples counts the samples of timeToFirstToken.
	timeToFirstTokenSamples int
}

// Controller holds one host's retry and hedge budgets and its measured
// latencies, by service. It is safe for concurrent use.
type Controller struct {
	hedges *hedge.Policy

	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*serviceState
}

// New returns a Controller that draws its jitter from rng, which must not be
// used by others.
func New(rng *rand.Rand) *Controller {
	return &Controller{hedges: hedge.New(), rng: rng, services: map[string]*serviceState{}}
}

// RecordFirstAttempt counts a first attempt, which adds credit to the service's
// retry and hedge budgets.
func (c *Controller) RecordFirstAttempt(service string, s release.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateFor(service).retries.addCredit(s.RetryPercent)
	c.hedges.RecordRequest(service, hedgeShare(s))
}

// TryTakeRetry takes one retry from the service's budget, or returns false if
// the budget has none.
func (c *Controller) TryTakeRetry(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateFor(service).retries.tryTake()
}

// WatchFirstAttempt returns the watch over a first attempt that may be hedged, which
// RecordFirstAttempt has counted. It is nil, and valid, if hedges are off.
func (c *Controller) WatchFirstAttempt(key hedge.Key, s release.Settings) *hedge.Attempt {
	return c.hedges.Begin(key, hedgeShare(s), 0)
}

// hedgeShare returns the share of a service's first attempts that may be hedged.
func hedgeShare(s release.Settings) float64 { return float64(s.HedgePercent) / hundredPercent }

// Backoff returns a random delay before a retry, at most maxBackoffBound.
// Retries count from 0.
func (c *Controller) Backoff(retry int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return backoff(c.rng, retry)
}

// ObserveTimeToFirstToken records the time that an attempt took to its first
// token, or to its response if it produces no tokens.
func (c *Controller) ObserveTimeToFirstToken(service string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.stateFor(service)
	state.timeToFirstToken.observe(d)
	state.timeToFirstTokenSamples++
	if state.timeToFirstTokenSamples%samplesPerUpdate != 0 {
		return
	}
	if q, ok := state.timeToFirstToken.percentiles(99); ok {
		state.stallTimeout = max(stallFactor*q[0], minStallTimeout)
	}
}

// StallTimeout returns how long an attempt may go without progress before its
// endpoint counts as failed, or false if that is not known yet.
func (c *Controller) StallTimeout(service string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.stateFor(service).stallTimeout
	return d, d > 0
}

// stateFor returns the state of a service and creates it if needed. The caller
// holds c.mu.
func (c *Controller) stateFor(service string) *serviceState {
	if s, ok := c.services[service]; ok {
		return s
	}
	if len(c.services) >= maxServices {
		for evicted := range c.services {
			delete(c.services, evicted)
			break
		}
	}
	s := &serviceState{timeToFirstToken: newLatencyWindow()}
	c.services[service] = s
	return s
}

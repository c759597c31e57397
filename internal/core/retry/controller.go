package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
)

// maxServices limits the services that a Controller keeps state for. At the
// limit it drops an arbitrary one, whose budgets then start empty.
const maxServices = 256

// samplesPerUpdate is the number of samples after which a service's hedge delay
// or stall timeout is recomputed.
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
	hedges  budget
	// responseLatency measures the duration of attempts that got a response, and
	// responseSamples counts its samples.
	responseLatency *latencyWindow
	responseSamples int
	// hedgeDelay is the time after which a hedge is sent, 0 if hedges do not
	// help.
	hedgeDelay time.Duration
	hedgeStats hedgeStats
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
	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*serviceState
}

// New returns a Controller that draws its jitter from rng, which must not be
// used by others.
func New(rng *rand.Rand) *Controller {
	return &Controller{rng: rng, services: map[string]*serviceState{}}
}

// RecordFirstAttempt counts a first attempt, which adds credit to the service's
// retry and hedge budgets.
func (c *Controller) RecordFirstAttempt(service string, s release.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.stateFor(service)
	state.retries.addCredit(s.RetryPercent)
	state.hedges.addCredit(s.HedgePercent)
}

// TryTakeRetry takes one retry from the service's budget, or returns false if
// the budget has none.
func (c *Controller) TryTakeRetry(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateFor(service).retries.tryTake()
}

// TryTakeHedge takes one hedge from the service's budget, or returns false if
// the budget has none.
func (c *Controller) TryTakeHedge(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateFor(service).hedges.tryTake()
}

// Backoff returns a random delay before a retry, at most maxBackoffBound.
// Retries count from 0.
func (c *Controller) Backoff(retry int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return backoff(c.rng, retry)
}

// ObserveResponse records the duration of an attempt that got a response.
func (c *Controller) ObserveResponse(service string, d time.Duration, s release.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.stateFor(service)
	state.responseLatency.observe(d)
	state.responseSamples++
	if state.responseSamples%samplesPerUpdate == 0 {
		state.hedgeDelay = state.hedgeStats.update(state.responseLatency, s.HedgePercent)
	}
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

// HedgeDelay returns how long an attempt may run before a hedge is sent, or
// false if hedges are disabled, do not help or are not measured yet.
func (c *Controller) HedgeDelay(service string, s release.Settings) (time.Duration, bool) {
	if s.HedgePercent <= 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.stateFor(service).hedgeDelay
	return d, d > 0
}

// RecordHedge records that a hedge has ended, and whether it won, that is, got
// its response before the attempt that it duplicates.
func (c *Controller) RecordHedge(service string, won bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateFor(service).hedgeStats.record(won)
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
	s := &serviceState{responseLatency: newLatencyWindow(), timeToFirstToken: newLatencyWindow()}
	c.services[service] = s
	return s
}

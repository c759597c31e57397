package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
)

// maxServices bounds the services that a Controller keeps state of. At the
// bound it forgets one of them, whose budget then starts empty.
const maxServices = 256

// thresholdInterval is the number of answers between two computations of a
// service's hedge threshold.
const thresholdInterval = 50

// An attempt has stalled when it goes stallFactor times the 99th percentile
// without progress, and at least minStallTimeout.
const (
	stallFactor     = 3
	minStallTimeout = 500 * time.Millisecond
)

// service is the state kept for one service.
type serviceState struct {
	retries budget
	hedges  budget
	latency *latencyWindow
	// answers counts the observed answers.
	responses int
	// hedgeDelay is the current threshold, 0 if hedges do not pay.
	hedgeDelay time.Duration
	hedgeStats hedgeStats
	// progress measures how long attempts take to their first token, or to
	// their answer if they have no tokens.
	progressLatency *latencyWindow
	// stallTimeout is how long an attempt may go without progress, 0 if that is
	// not known yet.
	stallTimeout    time.Duration
	progressSamples int
}

// Controller holds one host's budgets and measured durations, by service.
type Controller struct {
	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*serviceState
}

// New returns a Controller that draws its jitter from r, which must not be
// used by others.
func New(r *rand.Rand) *Controller {
	return &Controller{rng: r, services: map[string]*serviceState{}}
}

// RecordFirst counts a first attempt, which earns its share of the budgets.
func (c *Controller) RecordFirst(name string, s release.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	svc := c.stateFor(name)
	svc.retries.earn(s.RetryPercent)
	svc.hedges.earn(s.HedgePercent)
}

// TryTakeRetry spends one retry of the service's budget, or reports false.
func (c *Controller) TryTakeRetry(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateFor(name).retries.trySpend()
}

// TryTakeHedge spends one hedge of the service's budget, or reports false.
func (c *Controller) TryTakeHedge(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateFor(name).hedges.trySpend()
}

// Backoff returns the wait before retry n, from 0.
func (c *Controller) Backoff(n int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return backoff(c.rng, n)
}

// ObserveResponse adds the duration of an answered attempt.
func (c *Controller) ObserveResponse(name string, d time.Duration, s release.Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	svc := c.stateFor(name)
	svc.latency.observe(d)
	svc.responses++
	if svc.responses%thresholdInterval == 0 {
		svc.hedgeDelay = svc.hedgeStats.updateDelay(svc.latency, s.HedgePercent)
	}
}

// ObserveProgress adds the time that an attempt took to its first token, or to its
// answer if it has no tokens.
func (c *Controller) ObserveProgress(name string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	svc := c.stateFor(name)
	svc.progressLatency.observe(d)
	svc.progressSamples++
	if svc.progressSamples%thresholdInterval != 0 {
		return
	}
	if q, ok := svc.progressLatency.quantiles(99); ok {
		svc.stallTimeout = max(stallFactor*q[0], minStallTimeout)
	}
}

// StallTimeout returns how long an attempt may go without progress before its
// endpoint counts as failed, or false if that is not known yet.
func (c *Controller) StallTimeout(name string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.stateFor(name).stallTimeout
	return d, d > 0
}

// HedgeDelay returns how long an attempt may run before a second one is sent
// beside it, or false if hedges are off, do not pay or are not measured yet.
func (c *Controller) HedgeDelay(name string, s release.Settings) (time.Duration, bool) {
	if s.HedgePercent <= 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.stateFor(name).hedgeDelay
	return d, d > 0
}

// RecordHedge takes in whether a hedge answered before the attempt beside it.
func (c *Controller) RecordHedge(name string, won bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateFor(name).hedgeStats.ended(won)
}

// service returns the state of a service, making room for a new one.
func (c *Controller) stateFor(name string) *serviceState {
	if s, ok := c.services[name]; ok {
		return s
	}
	if len(c.services) >= maxServices {
		for other := range c.services {
			delete(c.services, other)
			break
		}
	}
	s := &serviceState{latency: newLatencyWindow(), progressLatency: newLatencyWindow()}
	c.services[name] = s
	return s
}

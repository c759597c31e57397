package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/pimentorill/pimentorill/internal/port"
)

// The rates that all hosts together may take of the store, in calls a second.
// The store bears several hundred writes and about 2,000 reads; a fifth is left
// for operators' tools and for hosts that do not yet know of a larger fleet.
const (
	trafficReadsPerSecond  = 1200
	trafficWritesPerSecond = 180
	controlReadsPerSecond  = 400
	controlWritesPerSecond = 60
)

// minControlCallsPerSecond is what a host always has for leases and releases, in calls a
// second: a lease is renewed every 3 s, but by one host of a zone alone.
const minControlCallsPerSecond = 1

const (
	// failuresBeforeBackoff is the number of failures in a row that starts a pause.
	// The ones before let a write whose answer was lost be read back at once.
	failuresBeforeBackoff = 3
	initialBackoff        = 100 * time.Millisecond
	maxBackoff            = 10 * time.Second
	maxBackoffDoublings   = 10
)

// Limited is a port.Store that keeps one host's calls under a ceiling: an equal
// part of the fleet's rates. A call over the ceiling waits if its context leaves
// the time for it, else it returns ErrRateLimited. After failures in a row,
// calls fail at once with ErrUnavailable for a pause that doubles and has
// jitter; then one call tries. It is safe for concurrent use.
type Limited struct {
	inner   port.Store
	breaker *circuitBreaker
	reads   *rate.Limiter
	writes  *rate.Limiter
	control *Limited
}

// gate holds calls back after failures.
type circuitBreaker struct {
	mu       sync.Mutex
	rng      *rand.Rand
	failures int
	retryAt  time.Time
	probing  bool
}

// Limit puts ceilings before inner, at first those of the only host of a
// fleet. A nil rng draws a seed.
func Limit(inner port.Store, rng *rand.Rand) *Limited {
	if rng == nil {
		rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	l := newLimited(inner, &circuitBreaker{rng: rng})
	l.control = newLimited(inner, l.breaker)
	l.SetFleetSize(1)
	return l
}

func newLimited(inner port.Store, g *circuitBreaker) *Limited {
	return &Limited{inner: inner, breaker: g, reads: rate.NewLimiter(0, 1), writes: rate.NewLimiter(0, 1)}
}

// Control returns the same store with ceilings of its own, for leases and
// releases, so that traffic cannot hold them back.
func (l *Limited) Control() port.Store { return l.control }

// SetFleetSize divides the fleet's rates among hosts. A host may make one
// second's calls at once, at least one.
func (l *Limited) SetFleetSize(hosts int) {
	n := float64(max(hosts, 1))
	setRate(l.reads, trafficReadsPerSecond/n)
	setRate(l.writes, trafficWritesPerSecond/n)
	setRate(l.control.reads, max(controlReadsPerSecond/n, minControlCallsPerSecond))
	setRate(l.control.writes, max(controlWritesPerSecond/n, minControlCallsPerSecond))
}

func setRate(limit *rate.Limiter, perSecond float64) {
	limit.SetLimit(rate.Limit(perSecond))
	limit.SetBurst(max(1, int(perSecond)))
}

var errBackoff = errors.Wrap(port.ErrUnavailable, "store: waiting after failures")

// enter waits for the ceiling. It refuses during a pause after failures.
func (l *Limited) acquire(ctx context.Context, limit *rate.Limiter) error {
	if l.breaker.shouldReject() {
		return errBackoff
	}
	if err := limit.Wait(ctx); err != nil {
		l.breaker.endProbe()
		if ctx.Err() != nil {
			return errors.Wrap(port.ErrUnavailable, "store: call ended before it was sent")
		}
		return port.ErrRateLimited
	}
	return nil
}

// paused reports whether to refuse. After the pause it lets one call through.
func (g *circuitBreaker) shouldReject() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures < failuresBeforeBackoff {
		return false
	}
	if g.probing || time.Now().Before(g.retryAt) {
		return true
	}
	g.probing = true
	return false
}

func (g *circuitBreaker) endProbe() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
}

// note takes the outcome of a call that was sent.
func (g *circuitBreaker) recordResult(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.probing = false
	if !errors.Is(err, port.ErrUnavailable) {
		g.failures = 0
		return
	}
	g.failures++
	if g.failures < failuresBeforeBackoff {
		return
	}
	doublings := min(g.failures-failuresBeforeBackoff, maxBackoffDoublings)
	pause := min(initialBackoff<<doublings, maxBackoff)
	g.retryAt = time.Now().Add(pause/2 + time.Duration(g.rng.Int64N(int64(pause))))
}

// Get implements port.Store.
func (l *Limited) Get(ctx context.Context, key string) (port.Entry, error) {
	if err := l.acquire(ctx, l.reads); err != nil {
		return port.Entry{}, err
	}
	e, err := l.inner.Get(ctx, key)
	l.breaker.recordResult(err)
	return e, err
}

// List implements port.Store.
func (l *Limited) List(ctx context.Context, prefix string) ([]port.Entry, error) {
	if err := l.acquire(ctx, l.reads); err != nil {
		return nil, err
	}
	list, err := l.inner.List(ctx, prefix)
	l.breaker.recordResult(err)
	return list, err
}

// Swap implements port.Store.
func (l *Limited) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if err := l.acquire(ctx, l.writes); err != nil {
		return port.Entry{}, err
	}
	e, err := l.inner.CompareAndSwap(ctx, key, prev, value, ttl)
	l.breaker.recordResult(err)
	return e, err
}

// Delete implements port.Store.
func (l *Limited) Delete(ctx context.Context, key string, prev uint64) error {
	if err := l.acquire(ctx, l.writes); err != nil {
		return err
	}
	err := l.inner.Delete(ctx, key, prev)
	l.breaker.recordResult(err)
	return err
}

// Watch implements port.Store. The pause after failures holds for its start.
func (l *Limited) Watch(ctx context.Context, key string, after uint64) (port.Entry, error) {
	if err := l.acquire(ctx, l.reads); err != nil {
		return port.Entry{}, err
	}
	l.breaker.endProbe()
	e, err := l.inner.Watch(ctx, key, after)
	if ctx.Err() == nil {
		l.breaker.recordResult(err)
	}
	return e, err
}

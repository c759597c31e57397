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
	trafficReads  = 1200
	trafficWrites = 180
	controlReads  = 400
	controlWrites = 60
)

// minControlRate is what a host always has for leases and releases, in calls a
// second: a lease is renewed every 3 s, but by one host of a zone alone.
const minControlRate = 1

const (
	// backoffAfter is the number of failures in a row that starts a pause.
	// The ones before let a write whose answer was lost be read back at once.
	backoffAfter = 3
	backoffBase  = 100 * time.Millisecond
	backoffMax   = 10 * time.Second
	maxDoublings = 10
)

// Limited is a port.Store that keeps one host's calls under a ceiling: an equal
// part of the fleet's rates. A call over the ceiling waits if its context leaves
// the time for it, else it returns ErrRateLimited. After failures in a row,
// calls fail at once with ErrUnavailable for a pause that doubles and has
// jitter; then one call tries. It is safe for concurrent use.
type Limited struct {
	inner   port.Store
	gate    *gate
	reads   *rate.Limiter
	writes  *rate.Limiter
	control *Limited
}

// gate holds calls back after failures.
type gate struct {
	mu       sync.Mutex
	rng      *rand.Rand
	failures int
	retryAt  time.Time
	trying   bool
}

// Limit puts ceilings before inner, at first those of the only host of a
// fleet. A nil rng draws a seed.
func Limit(inner port.Store, rng *rand.Rand) *Limited {
	if rng == nil {
		rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	l := newLimited(inner, &gate{rng: rng})
	l.control = newLimited(inner, l.gate)
	l.SetFleetSize(1)
	return l
}

func newLimited(inner port.Store, g *gate) *Limited {
	return &Limited{inner: inner, gate: g, reads: rate.NewLimiter(0, 1), writes: rate.NewLimiter(0, 1)}
}

// Control returns the same store with ceilings of its own, for leases and
// releases, so that traffic cannot hold them back.
func (l *Limited) Control() port.Store { return l.control }

// SetFleetSize divides the fleet's rates among hosts. A host may make one
// second's calls at once, at least one.
func (l *Limited) SetFleetSize(hosts int) {
	n := float64(max(hosts, 1))
	set(l.reads, trafficReads/n)
	set(l.writes, trafficWrites/n)
	set(l.control.reads, max(controlReads/n, minControlRate))
	set(l.control.writes, max(controlWrites/n, minControlRate))
}

func set(limit *rate.Limiter, perSecond float64) {
	limit.SetLimit(rate.Limit(perSecond))
	limit.SetBurst(max(1, int(perSecond)))
}

var errBackoff = errors.Wrap(port.ErrUnavailable, "store: waiting after failures")

// enter waits for the ceiling. It refuses during a pause after failures.
func (l *Limited) enter(ctx context.Context, limit *rate.Limiter) error {
	if l.gate.paused() {
		return errBackoff
	}
	if err := limit.Wait(ctx); err != nil {
		l.gate.untry()
		if ctx.Err() != nil {
			return errors.Wrap(port.ErrUnavailable, "store: call ended before it was sent")
		}
		return port.ErrRateLimited
	}
	return nil
}

// paused reports whether to refuse. After the pause it lets one call through.
func (g *gate) paused() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failures < backoffAfter {
		return false
	}
	if g.trying || time.Now().Before(g.retryAt) {
		return true
	}
	g.trying = true
	return false
}

func (g *gate) untry() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trying = false
}

// note takes the outcome of a call that was sent.
func (g *gate) note(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.trying = false
	if !errors.Is(err, port.ErrUnavailable) {
		g.failures = 0
		return
	}
	g.failures++
	if g.failures < backoffAfter {
		return
	}
	doublings := min(g.failures-backoffAfter, maxDoublings)
	pause := min(backoffBase<<doublings, backoffMax)
	g.retryAt = time.Now().Add(pause/2 + time.Duration(g.rng.Int64N(int64(pause))))
}

// Get implements port.Store.
func (l *Limited) Get(ctx context.Context, key string) (port.Entry, error) {
	if err := l.enter(ctx, l.reads); err != nil {
		return port.Entry{}, err
	}
	e, err := l.inner.Get(ctx, key)
	l.gate.note(err)
	return e, err
}

// List implements port.Store.
func (l *Limited) List(ctx context.Context, prefix string) ([]port.Entry, error) {
	if err := l.enter(ctx, l.reads); err != nil {
		return nil, err
	}
	list, err := l.inner.List(ctx, prefix)
	l.gate.note(err)
	return list, err
}

// Swap implements port.Store.
func (l *Limited) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if err := l.enter(ctx, l.writes); err != nil {
		return port.Entry{}, err
	}
	e, err := l.inner.CompareAndSwap(ctx, key, prev, value, ttl)
	l.gate.note(err)
	return e, err
}

// Delete implements port.Store.
func (l *Limited) Delete(ctx context.Context, key string, prev uint64) error {
	if err := l.enter(ctx, l.writes); err != nil {
		return err
	}
	err := l.inner.Delete(ctx, key, prev)
	l.gate.note(err)
	return err
}

// Watch implements port.Store. The pause after failures holds for its start.
func (l *Limited) Watch(ctx context.Context, key string, after uint64) (port.Entry, error) {
	if err := l.enter(ctx, l.reads); err != nil {
		return port.Entry{}, err
	}
	l.gate.untry()
	e, err := l.inner.Watch(ctx, key, after)
	if ctx.Err() == nil {
		l.gate.note(err)
	}
	return e, err
}

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

// The rate limits of all hosts together, in calls per second. The traffic limits apply
// to Limited itself, the control limits to the store that Control returns. The store
// handles several hundred writes and about 2,000 reads per second; a fifth is reserved
// for operators' tools and for hosts that have not yet learned that the fleet grew.
const (
	trafficReadsPerSecond  = 1200
	trafficWritesPerSecond = 180
	controlReadsPerSecond  = 400
	controlWritesPerSecond = 60
)

// minControlCallsPerSecond is the least rate limit of one host for reads, and for
// writes, of leases and releases. It suffices because a lease is renewed every 3 s, by
// only one host of an availability zone.
const minControlCallsPerSecond = 1

const (
	// failuresBeforeBackoff is the number of consecutive failures that starts a
	// backoff. Fewer failures do not delay calls, so that a write whose response
	// was lost can be read back immediately.
	failuresBeforeBackoff = 3
	// initialBackoff and maxBackoff are the shortest and the longest backoff, before
	// jitter.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 10 * time.Second
	// maxBackoffDoublings keeps the shift of initialBackoff from overflowing.
	maxBackoffDoublings = 10
)

// Limited is a port.Store that limits one host's calls to an equal share of the
// fleet's rates. A call over the limit waits if its context's deadline allows it,
// otherwise it returns port.ErrRateLimited. After consecutive failures, calls fail
// immediately with port.ErrUnavailable during an exponential backoff with jitter;
// then one call is let through as a probe. It is safe for concurrent use.
type Limited struct {
	inner   port.Store
	breaker *circuitBreaker
	reads   *rate.Limiter
	writes  *rate.Limiter
	// control is the store that Control returns; it is nil in that store itself.
	control *Limited
}

// circuitBreaker rejects calls during a backoff after consecutive failures. Its
// methods are safe for concurrent use.
type circuitBreaker struct {
	// mu guards the fields below.
	mu  sync.Mutex
	rng *rand.Rand
	// failures is the number of failures since the last success.
	failures int
	// retryAt is the end of the backoff.
	retryAt time.Time
	// probing means that a probe was admitted and has not ended.
	probing bool
}

// Limit returns inner with the rate limits of a fleet of one host, until
// SetFleetSize is called. rng gives the jitter of the backoff and must not be used by
// the caller afterwards; if it is nil, a randomly seeded one is used.
func Limit(inner port.Store, rng *rand.Rand) *Limited {
	if rng == nil {
		rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	l := newLimited(inner, &circuitBreaker{rng: rng})
	l.control = newLimited(inner, l.breaker)
	l.SetFleetSize(1)
	return l
}

// newLimited returns a Limited without control whose limits admit nothing until they
// are set.
func newLimited(inner port.Store, b *circuitBreaker) *Limited {
	return &Limited{inner: inner, breaker: b, reads: rate.NewLimiter(0, 1), writes: rate.NewLimiter(0, 1)}
}

// Control returns the same store with separate rate limits, for leases and
// releases, so that traffic cannot delay them. Failures and backoffs are common to
// both.
func (l *Limited) Control() port.Store { return l.control }

// SetFleetSize divides the fleet's rates among the given number of hosts, at least
// one. The burst of each limit is one second's calls, at least one.
func (l *Limited) SetFleetSize(hosts int) {
	n := float64(max(hosts, 1))
	setRate(l.reads, trafficReadsPerSecond/n)
	setRate(l.writes, trafficWritesPerSecond/n)
	setRate(l.control.reads, max(controlReadsPerSecond/n, minControlCallsPerSecond))
	setRate(l.control.writes, max(controlWritesPerSecond/n, minControlCallsPerSecond))
}

// setRate sets the rate and the burst of a limiter.
func setRate(limiter *rate.Limiter, perSecond float64) {
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(max(1, int(perSecond)))
}

// errBackoff is the error of a call that is rejected during a backoff.
var errBackoff = errors.Wrap(port.ErrUnavailable, "store: backing off after failures")

// acquire waits until limiter admits a call. It returns port.ErrRateLimited if ctx
// would expire first, and an error that wraps port.ErrUnavailable during a backoff
// or if ctx has ended.
func (l *Limited) acquire(ctx context.Context, limiter *rate.Limiter) error {
	if l.breaker.shouldReject() {
		return errBackoff
	}
	if err := limiter.Wait(ctx); err != nil {
		l.breaker.endProbe()
		if ctx.Err() != nil {
			return errors.Wrap(port.ErrUnavailable, "store: context ended before the call was sent")
		}
		return port.ErrRateLimited
	}
	return nil
}

// shouldReject reports whether a call must be rejected. After the backoff it returns
// false once, which admits that call as a probe, and then true until endProbe or
// recordResult is called.
func (b *circuitBreaker) shouldReject() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < failuresBeforeBackoff {
		return false
	}
	if b.probing || time.Now().Before(b.retryAt) {
		return true
	}
	b.probing = true
	return false
}

// endProbe ends the probe, if there is one, without recording a result. The next call
// after the backoff becomes a probe.
func (b *circuitBreaker) endProbe() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// recordResult records the result of a call that was sent. Only errors that wrap
// port.ErrUnavailable, as port.ErrRateLimited and port.ErrUncertain do, count as
// failures. The jitter varies the backoff between 50% and 150%.
func (b *circuitBreaker) recordResult(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if !errors.Is(err, port.ErrUnavailable) {
		b.failures = 0
		return
	}
	b.failures++
	if b.failures < failuresBeforeBackoff {
		return
	}
	doublings := min(b.failures-failuresBeforeBackoff, maxBackoffDoublings)
	backoff := min(initialBackoff<<doublings, maxBackoff)
	b.retryAt = time.Now().Add(backoff/2 + time.Duration(b.rng.Int64N(int64(backoff))))
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

// CompareAndSwap implements port.Store.
func (l *Limited) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	return l.CompareAndSwapInEpoch(ctx, 0, key, prev, value, ttl)
}

// CompareAndSwapInEpoch implements port.Store.
func (l *Limited) CompareAndSwapInEpoch(ctx context.Context, epoch int64, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	if err := l.acquire(ctx, l.writes); err != nil {
		return port.Entry{}, err
	}
	e, err := l.inner.CompareAndSwapInEpoch(ctx, epoch, key, prev, value, ttl)
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

// Watch implements port.Store. The rate limit and the backoff apply only to its
// start. A watch that is admitted as a probe ends the probe at once, because it may
// wait for long. Its result is not recorded if ctx has ended.
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

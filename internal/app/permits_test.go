package app

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/coldstart"
	"github.com/pimentorill/pimentorill/internal/core/order"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// newTestPermits returns the permit service of a host that holds the zone's lease with a
// fencing token, and has written the marker.
func newTestPermits(t *testing.T, store port.Store, clock port.Clock, host string, fence uint64) *permitService {
	t.Helper()
	p := &permitService{
		app:    &App{cfg: Config{Host: host, AvailabilityZone: "kranj"}, deps: Deps{ControlStore: store, Clock: clock, Log: slog.New(slog.DiscardHandler)}},
		issuer: coldstart.NewPermitIssuer(func(string) coldstart.Status { return coldstart.Status{} }, func(coldstart.Status) {}),
		fence:  fence,
	}
	earlier, err := p.writeMarker(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	now := clock.Now()
	p.issuer.SetLease(coldstart.Lease{Fence: fence, Since: now, Until: now.Add(time.Hour), NoEarlierPermits: earlier.none, EarlierPermitsUntil: earlier.until})
	return p
}

// grantPermit asks for a permit with a lifetime of 10 s, and reports whether it was
// issued.
func (p *permitService) grantPermit(now time.Time) bool {
	reply, err := p.issuer.Grant(now, release.Endpoint{ID: "e", ColdLimit: 2, WarmAfter: 6}, coldstart.PermitRequest{Endpoint: "e", Count: 1, Lifetime: 10 * time.Second})
	return err == nil && len(reply.Permits) == 1
}

// Guards against more attempts at a cold endpoint than its limit: a stopping lease holder
// whose permits are still in use must leave the marker, so that the next one waits.
func TestMarkerStaysWhilePermitsAreInUse(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{time.Now()}
	store := standin.NewMemStore(port.SystemClock{})
	p := newTestPermits(t, store, clock, "h1", 7)
	is.True(p.grantPermit(clock.now))
	p.clearMarker()
	_, err := store.Get(t.Context(), markerPrefix+"kranj")
	is.NoErr(err)
}

// Guards against a successor that does not wait for the permits in use, or waits longer
// than they last; and against one that takes an older marker for that of its predecessor.
func TestSuccessorWaitsForThePermitsInUse(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{time.Now()}
	store := standin.NewMemStore(port.SystemClock{})
	first := newTestPermits(t, store, clock, "h1", 7)
	is.True(first.grantPermit(clock.now))
	first.clearMarker()
	second := newTestPermits(t, store, clock, "h2", 8)
	is.True(!second.grantPermit(clock.now))
	clock.now = clock.now.Add(10*time.Second + coldstart.CancelGrace - time.Second)
	is.True(!second.grantPermit(clock.now))
	clock.now = clock.now.Add(2 * time.Second)
	is.True(second.grantPermit(clock.now))

	// The second holder is killed: its permits may last longer than the first marker said.
	third := newTestPermits(t, store, clock, "h3", 9)
	clock.now = clock.now.Add(coldstart.TakeoverDelay - time.Second)
	is.True(!third.grantPermit(clock.now))
	clock.now = clock.now.Add(time.Second)
	is.True(third.grantPermit(clock.now))

	// Once no permit is in use, the marker goes and the next holder doesn't wait.
	clock.now = clock.now.Add(time.Minute)
	third.clearMarker()
	_, err := store.Get(t.Context(), markerPrefix+"kranj")
	is.True(errors.Is(err, port.ErrNotFound))
	is.True(newTestPermits(t, store, clock, "h4", 10).grantPermit(clock.now))
}

// stoppingStore ends a context as soon as a write begins.
type stoppingStore struct {
	port.Store
	stop func()
}

func (s stoppingStore) CompareAndSwap(ctx context.Context, key string, prev uint64, value []byte, ttl time.Duration) (port.Entry, error) {
	entry, err := s.Store.CompareAndSwap(context.WithoutCancel(ctx), key, prev, value, ttl)
	s.stop()
	if ctx.Err() != nil { // the response is lost
		return port.Entry{}, ctx.Err()
	}
	return entry, err
}

// Guards against a marker that nobody removes, for which the next lease holder waits 40 s:
// the host stops while it writes the marker.
func TestMarkerIsRemovedByAHostThatStopsWhileItWritesIt(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{time.Now()}
	store := standin.NewMemStore(port.SystemClock{})
	ctx, cancel := context.WithCancel(t.Context())
	p := newTestPermits(t, standin.NewMemStore(port.SystemClock{}), clock, "h1", 0)
	p.app.deps.ControlStore = stoppingStore{store, cancel}
	p.app.deps.ZoneLease = func(now time.Time) order.Lease {
		return order.Lease{Fence: 7, AcquiredAt: now, ValidUntil: now.Add(time.Minute)}
	}
	p.run(ctx)
	_, err := store.Get(t.Context(), markerPrefix+"kranj")
	is.True(errors.Is(err, port.ErrNotFound))
}

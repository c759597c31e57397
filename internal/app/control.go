package app

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Snapshot is the control state that the traffic path reads. It is immutable.
type Snapshot struct {
	// Release is the release in force on this host; nil before the first is known.
	Release *release.Release
	// InForceAt is when Release came in force on this host.
	InForceAt time.Time
	// History are the notes that led to Release, newest first.
	History []release.AcceptedNote
	// Leaving holds the ids that the platform's host list calls leaving.
	Leaving map[string]bool
	// StoreHeardAt is when the store last answered; zero if never.
	StoreHeardAt time.Time
	// StoreFailedAt is when the store last did not answer; zero if never.
	StoreFailedAt time.Time
}

// event changes the control state; it runs on the control goroutine only.
type event func(s *Snapshot, now time.Time)

// eventBacklog is how many events may wait for the control goroutine.
const eventBacklog = 256

// control owns the control state. Events come in by send and are applied by
// one goroutine, which publishes a new snapshot after each.
type control struct {
	events  chan event
	publish *atomic.Pointer[Snapshot]
	clock   port.Clock
	stopped chan struct{}
	// prepare is called on the control goroutine with each new snapshot before
	// it is published.
	prepare func(s *Snapshot)
}

func newControl(publish *atomic.Pointer[Snapshot], clock port.Clock) *control {
	return &control{
		events:  make(chan event, eventBacklog),
		publish: publish,
		clock:   clock,
		stopped: make(chan struct{}),
		prepare: func(*Snapshot) {},
	}
}

// run applies events until ctx ends.
func (c *control) run(ctx context.Context) {
	defer close(c.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			next := *c.publish.Load()
			e(&next, c.clock.Now())
			c.prepare(&next)
			c.publish.Store(&next)
		}
	}
}

// send hands an event to the control goroutine. It waits if the backlog is
// full and returns without effect once the goroutine has stopped.
func (c *control) send(e event) {
	select {
	case c.events <- e:
	case <-c.stopped:
	}
}

// flush waits until all events sent before are applied and published, or
// until ctx ends.
func (c *control) flush(ctx context.Context) {
	done := make(chan struct{})
	c.send(func(*Snapshot, time.Time) { close(done) })
	select {
	case <-done:
	case <-c.stopped:
	case <-ctx.Done():
	}
}

// adopt returns an event that brings a release in force if it is newer than
// the one known: versions never go back.
func adopt(stored release.StoredRelease) event {
	return func(s *Snapshot, now time.Time) {
		if !stored.Release.Newer(s.Release) {
			return
		}
		s.Release = &stored.Release
		s.History = stored.History
		s.InForceAt = now
	}
}

// storeFailed returns an event that notes that the store did not answer.
func storeFailed() event {
	return func(s *Snapshot, now time.Time) { s.StoreFailedAt = now }
}

// noteStore notes what the end of a call to the store tells of the store. A
// call that a ceiling of this host refused tells nothing.
func (c *control) noteStore(err error) {
	switch {
	case err == nil, errors.Is(err, port.ErrConflict), errors.Is(err, port.ErrNotFound):
		c.send(storeHeard())
	case !errors.Is(err, port.ErrRateLimited):
		c.send(storeFailed())
	}
}

// storeHeard returns an event that notes an answer of the store.
func storeHeard() event {
	return func(s *Snapshot, now time.Time) { s.StoreHeardAt = now }
}

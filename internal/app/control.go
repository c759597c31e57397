package app

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Snapshot is the control state that the data plane reads. It is immutable.
type Snapshot struct {
	// Release is the release in force on this host; nil until one is known.
	Release *release.Release
	// InForceAt is when Release came into force on this host.
	InForceAt time.Time
	// History lists the accepted notes that led to Release, newest first.
	History []release.AcceptedNote
	// Leaving holds the ids of the endpoints and hosts that the platform's host
	// list marks as leaving.
	Leaving map[string]bool
	// StoreRespondedAt is when a call to the store for the release or the zone's
	// lease last got a response; zero if none has.
	StoreRespondedAt time.Time
	// StoreFailedAt is when such a call last failed; zero if none has.
	StoreFailedAt time.Time
}

// event changes the control state s at the time now. It runs on the control
// goroutine only.
type event func(s *Snapshot, now time.Time)

// maxPendingEvents bounds the events that wait for the control goroutine.
const maxPendingEvents = 256

// controlLoop owns the control state. One goroutine applies the events passed to
// send and publishes a new snapshot after each.
type controlLoop struct {
	events   chan event
	snapshot *atomic.Pointer[Snapshot]
	clock    port.Clock
	// stopped is closed when run has returned.
	stopped chan struct{}
	// beforePublish is called on the control goroutine with each new snapshot
	// before it is published. Set it before run is called.
	beforePublish func(s *Snapshot)
}

func newControlLoop(snapshot *atomic.Pointer[Snapshot], clock port.Clock) *controlLoop {
	return &controlLoop{
		events:        make(chan event, maxPendingEvents),
		snapshot:      snapshot,
		clock:         clock,
		stopped:       make(chan struct{}),
		beforePublish: func(*Snapshot) {},
	}
}

// run applies events until ctx ends.
func (c *controlLoop) run(ctx context.Context) {
	defer close(c.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			next := *c.snapshot.Load()
			e(&next, c.clock.Now())
			c.beforePublish(&next)
			c.snapshot.Store(&next)
		}
	}
}

// send queues an event for the control goroutine. It blocks while the queue is
// full and drops the event once the goroutine has stopped.
func (c *controlLoop) send(e event) {
	select {
	case c.events <- e:
	case <-c.stopped:
	}
}

// flush waits until the snapshots of all events sent before it are published,
// until the control goroutine stops or until ctx ends.
func (c *controlLoop) flush(ctx context.Context) {
	done := make(chan struct{})
	c.send(func(*Snapshot, time.Time) { close(done) })
	select {
	case <-done:
	case <-c.stopped:
	case <-ctx.Done():
	}
}

// releaseEvent returns an event that brings a release into force if it is newer
// than the current one, so that the version in force never decreases.
func releaseEvent(stored release.StoredRelease) event {
	return func(s *Snapshot, now time.Time) {
		if !stored.Release.Newer(s.Release) {
			return
		}
		s.Release = &stored.Release
		s.History = stored.History
		s.InForceAt = now
	}
}

// storeFailedEvent returns an event that records a failed call to the store.
func storeFailedEvent() event {
	return func(s *Snapshot, now time.Time) { s.StoreFailedAt = now }
}

// recordStoreResult records whether the store responded to a call that returned
// err. A call refused by a rate limit says nothing about the store and is ignored.
func (c *controlLoop) recordStoreResult(err error) {
	switch {
	case err == nil, errors.Is(err, port.ErrConflict), errors.Is(err, port.ErrNotFound):
		c.send(storeRespondedEvent())
	case !errors.Is(err, port.ErrRateLimited):
		c.send(storeFailedEvent())
	}
}

// storeRespondedEvent returns an event that records a response of the store.
func storeRespondedEvent() event {
	return func(s *Snapshot, now time.Time) { s.StoreRespondedAt = now }
}

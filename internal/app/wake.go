package app

import (
	"context"
	"time"
)

// wake ends the pauses of one loop early. Signal is safe for concurrent use.
type wake chan struct{}

func newWake() wake { return make(wake, 1) }

// Signal ends the loop's pause, or the next one if there is none now. It does not block,
// and does nothing on a nil wake.
func (w wake) Signal() {
	select {
	case w <- struct{}{}:
	default:
	}
}

// sleep returns after d, after Signal or when ctx ends.
func (w wake) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-w:
	case <-timer.C:
	}
}

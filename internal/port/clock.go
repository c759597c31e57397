// Package port declares the interfaces through which the core and the
// application access external systems: key-value store, host list, endpoints,
// peers, audit trail and clock. Adapters implement them.
package port

import (
	"context"
	"time"
)

// Clock returns the current time. Implementations are safe for concurrent use.
type Clock interface {
	Now() time.Time
}

// SystemClock is a Clock that reads the system clock.
type SystemClock struct{}

// Now returns time.Now.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep blocks for d or until ctx is done, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

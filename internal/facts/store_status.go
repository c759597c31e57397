package facts

import (
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

func isCompacted(err error) bool { return errors.Is(err, port.ErrCompacted) }

// storeStatus records whether the store is available. It is safe for concurrent
// use.
type storeStatus struct {
	clock port.Clock
	log   *slog.Logger

	mu               sync.Mutex
	unavailableSince time.Time
}

func (c *storeStatus) recordFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailableSince.IsZero() {
		c.unavailableSince = c.clock.Now()
		c.log.Warn("store lost", slog.Any("error", err))
	}
}

// recordResponse records a response of the store. It reports whether the response
// ends an outage so long that entries may have expired in it.
func (c *storeStatus) recordResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailableSince.IsZero() {
		return false
	}
	outage := c.clock.Now().Sub(c.unavailableSince)
	c.log.Info("store regained", slog.Duration("away", outage))
	c.unavailableSince = time.Time{}
	return outage >= minExpiryOutage
}

func (c *storeStatus) unavailable() bool { return c.unavailableFor() > 0 }

// unavailableFor returns for how long the store has been unavailable, 0 if it is
// available.
func (c *storeStatus) unavailableFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unavailableSince.IsZero() {
		return 0
	}
	return max(1, c.clock.Now().Sub(c.unavailableSince))
}

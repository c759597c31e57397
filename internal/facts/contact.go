package facts

import (
	"log/slog"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

func isCompacted(err error) bool { return errors.Is(err, port.ErrCompacted) }

// contact knows whether the store answers. It is safe for concurrent use.
type contact struct {
	clock port.Clock
	log   *slog.Logger

	mu     sync.Mutex
	lostAt time.Time
}

func (c *contact) failed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostAt.IsZero() {
		c.lostAt = c.clock.Now()
		c.log.Warn("store lost", slog.Any("error", err))
	}
}

// answered notes an answer and reports whether the store has just been away for
// so long that entries may have lapsed with it.
func (c *contact) answered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostAt.IsZero() {
		return false
	}
	away := c.clock.Now().Sub(c.lostAt)
	c.log.Info("store regained", slog.Duration("away", away))
	c.lostAt = time.Time{}
	return away >= lapseTime
}

func (c *contact) away() bool { return c.awayFor() > 0 }

// awayFor returns for how long the store has not answered, 0 if it does.
func (c *contact) awayFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostAt.IsZero() {
		return 0
	}
	return max(1, c.clock.Now().Sub(c.lostAt))
}

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

	mu sync.Mutex
	// unavailableSince is when the first of the failed calls since the last response
	// ended; zero if the store is available.
	unavailableSince time.Time
}

// recordFailure records that a store call failed.
func (s *storeStatus) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailableSince.IsZero() {
		s.unavailableSince = s.clock.Now()
		s.log.Warn("store lost", slog.Any("error", err))
	}
}

// recordResponse records a response of the store. It reports whether the response
// ends an outage so long that entries may have expired in it.
func (s *storeStatus) recordResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailableSince.IsZero() {
		return false
	}
	outage := s.clock.Now().Sub(s.unavailableSince)
	s.log.Info("store regained", slog.Duration("away", outage))
	s.unavailableSince = time.Time{}
	return outage >= minExpiryOutage
}

func (s *storeStatus) unavailable() bool { return s.unavailableFor() > 0 }

// unavailableFor returns for how long the store has been unavailable, 0 if it is
// available. The result is above 0 from the moment of the failure.
func (s *storeStatus) unavailableFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailableSince.IsZero() {
		return 0
	}
	return max(1, s.clock.Now().Sub(s.unavailableSince))
}

package standin

import (
	"time"

	"golang.org/x/time/rate"
)

// SetOutage switches an outage on or off: each call fails at once.
func (m *MemStore) SetOutage(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.outage = on
	m.notifyLocked()
}

// SetHang makes new calls wait until their context ends. Writes take effect.
func (m *MemStore) SetHang(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.hangs = on
}

// SetDelay delays each call by d before it takes effect.
func (m *MemStore) SetDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.delay = d
}

// DropResponses makes the next n writes take effect and fail with ErrUncertain.
func (m *MemStore) DropResponses(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.responsesToDrop = n
}

// DropWrites makes the next n writes fail with ErrUncertain and no effect.
func (m *MemStore) DropWrites(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.writesToDrop = n
}

// SetRateLimits sets the store's rate limits, in calls per second; 0 means none.
func (m *MemStore) SetRateLimits(writesPerSecond, readsPerSecond int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.writeLimiter = newLimiter(writesPerSecond)
	m.faults.readLimiter = newLimiter(readsPerSecond)
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Calls returns the current counters.
func (m *MemStore) Calls() StoreCalls {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

package standin

import (
	"time"

	"golang.org/x/time/rate"
)

// SetOutage switches an outage on or off: each new call and each waiting watch
// fails at once with port.ErrUnavailable, and nothing is written.
func (m *MemStore) SetOutage(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.outage = on
	m.notifyLocked()
}

// SetHang makes new calls wait until their context ends. Writes take effect then
// and fail with port.ErrUncertain, reads fail with port.ErrUnavailable.
func (m *MemStore) SetHang(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.hangs = on
}

// SetDelay delays each call by d before it takes effect; 0 switches it off.
func (m *MemStore) SetDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.delay = d
}

// DropResponses drops the responses of the next n writes: each is carried out, and
// its caller gets port.ErrUncertain whatever its result.
func (m *MemStore) DropResponses(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.responsesToDrop = n
}

// DropWrites makes the next n writes fail with port.ErrUncertain and no effect.
func (m *MemStore) DropWrites(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.writesToDrop = n
}

// SetRateLimits sets the store's rate limits, in calls per second; 0 means none.
// Bursts of one second's calls are allowed.
func (m *MemStore) SetRateLimits(writesPerSecond, readsPerSecond int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults.writeLimiter = newLimiter(writesPerSecond)
	m.faults.readLimiter = newLimiter(readsPerSecond)
}

// newLimiter returns a limiter with bursts of perSecond calls, nil for no limit.
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

package order

import "time"

// DefaultWeightLoadsPerMinute is what the weight store bears from all zones
// together until the release says otherwise.
const DefaultWeightLoadsPerMinute = 60

const (
	// maxLoadBurst is the number of loads that a zone may start at once.
	maxLoadBurst = 2
	// rateIncreaseSteps is the number of good loads after which a zone alone has
	// grown from its share to the whole rate.
	rateIncreaseSteps = 16
)

// LoadLimiter is one zone's part of the weight store's rate. It starts at an equal
// part, grows while loads succeed, up to the whole rate, and halves with each
// load that fails, never below the equal part. So zones that load at the same
// time fall back to equal parts without a word between them, and a zone that
// loads alone is not held to its part.
type LoadLimiter struct {
	minRate    float64 // loads a second
	maxRate    float64 // loads a second
	rate       float64 // loads a second
	tokens     float64
	refilledAt time.Time
}

// SetLimit gives the whole rate, in loads a minute, and the number of zones in service.
func (s *LoadLimiter) SetLimit(perMinute, zones int) {
	if perMinute <= 0 {
		perMinute = DefaultWeightLoadsPerMinute
	}
	s.maxRate = float64(perMinute) / time.Minute.Seconds()
	s.minRate = s.maxRate / float64(max(zones, 1))
	s.rate = min(max(s.rate, s.minRate), s.maxRate)
}

// Take reports whether a load may start now, and counts it.
func (s *LoadLimiter) Take(now time.Time) bool {
	s.refill(now)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// Ready reports whether a load may start now, without counting one.
func (s *LoadLimiter) Ready(now time.Time) bool {
	s.refill(now)
	return s.tokens >= 1
}

// Refund gives back a load that did not reach the weight store.
func (s *LoadLimiter) Refund() { s.tokens = min(s.tokens+1, maxLoadBurst) }

// LoadSucceeded notes a load that succeeded.
func (s *LoadLimiter) LoadSucceeded() {
	s.rate = min(s.rate+(s.maxRate-s.minRate)/rateIncreaseSteps, s.maxRate)
}

// LoadFailed notes a load that failed at the engine.
func (s *LoadLimiter) LoadFailed() {
	s.rate = max(s.rate/2, s.minRate)
	s.tokens = min(s.tokens, 0)
}

// RatePerMinute returns the zone's rate now, in loads a minute.
func (s *LoadLimiter) RatePerMinute() float64 { return s.rate * time.Minute.Seconds() }

func (s *LoadLimiter) refill(now time.Time) {
	if s.refilledAt.IsZero() {
		s.tokens = maxLoadBurst
	} else if d := now.Sub(s.refilledAt); d > 0 {
		s.tokens = min(s.tokens+d.Seconds()*s.rate, maxLoadBurst)
	}
	s.refilledAt = now
}

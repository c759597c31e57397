package order

import "time"

// DefaultWeightLoadsPerMinute is the weight store's rate limit for all zones
// together, unless the release sets one.
const DefaultWeightLoadsPerMinute = 60

const (
	// maxLoadBurst is the number of loads that a zone may start at once after
	// a time without loads.
	maxLoadBurst = 2
	// rateIncreaseSteps is the number of successful loads after which a zone's
	// rate has grown from its equal share to the whole limit.
	rateIncreaseSteps = 16
)

// LoadLimiter limits the rate at which one zone loads from the weight store.
// It is a token bucket with additive increase and multiplicative decrease: the
// rate starts at the zone's equal share of the limit, grows with each
// successful load up to the whole limit, and halves with each failed load down
// to the equal share. Zones that load at the same time thus fall back to equal
// shares without coordination, and a zone that loads alone can use the whole
// limit. It counts loads of models and of adapters alike, and is not safe
// for concurrent use.
type LoadLimiter struct {
	minRate    float64 // loads per second
	maxRate    float64 // loads per second
	rate       float64 // loads per second
	tokens     float64 // loads that may start now, at most maxLoadBurst
	refilledAt time.Time
}

// SetLimit sets the limit for all zones together, in loads per minute, and the
// number of zones in service. A limit of 0 or less means
// DefaultWeightLoadsPerMinute.
func (l *LoadLimiter) SetLimit(perMinute, zones int) {
	if perMinute <= 0 {
		perMinute = DefaultWeightLoadsPerMinute
	}
	l.maxRate = float64(perMinute) / time.Minute.Seconds()
	l.minRate = l.maxRate / float64(max(zones, 1))
	l.rate = min(max(l.rate, l.minRate), l.maxRate)
}

// TryTake reports whether a load may start now, and takes a token for it.
func (l *LoadLimiter) TryTake(now time.Time) bool {
	l.refill(now)
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Ready reports whether a load may start now, without taking a token.
func (l *LoadLimiter) Ready(now time.Time) bool {
	l.refill(now)
	return l.tokens >= 1
}

// Refund returns the token of a load that did not reach the weight store.
func (l *LoadLimiter) Refund() { l.tokens = min(l.tokens+1, maxLoadBurst) }

// LoadSucceeded increases the rate after a successful load.
func (l *LoadLimiter) LoadSucceeded() {
	l.rate = min(l.rate+(l.maxRate-l.minRate)/rateIncreaseSteps, l.maxRate)
}

// LoadFailed decreases the rate after a load that failed at the engine, and
// discards the tokens, so that the next load waits for a new one.
func (l *LoadLimiter) LoadFailed() {
	l.rate = max(l.rate/2, l.minRate)
	l.tokens = min(l.tokens, 0)
}

// RatePerMinute returns the zone's current rate, in loads per minute.
func (l *LoadLimiter) RatePerMinute() float64 { return l.rate * time.Minute.Seconds() }

// refill adds the tokens earned since the last call. The first call fills the
// bucket.
func (l *LoadLimiter) refill(now time.Time) {
	if l.refilledAt.IsZero() {
		l.tokens = maxLoadBurst
	} else if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens = min(l.tokens+elapsed.Seconds()*l.rate, maxLoadBurst)
	}
	l.refilledAt = now
}

package advisory

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
)

const (
	// maxRest bounds the rest that an endpoint may ask for.
	maxRest = time.Hour
	// restSpread is the share of a rest by which it is extended at most, and maxRestSpread
	// bounds that time.
	restSpread    = 0.2
	maxRestSpread = 500 * time.Millisecond
	// leavingMemory is how long an endpoint that leaves is remembered after it is gone from
	// the store.
	leavingMemory = 5 * time.Minute
)

// observeRest begins a rest, or extends one. The caller holds r.mu.
func (r *Registry) observeRest(e *catalog.Endpoint, rest time.Duration) {
	s := r.stateOf(e.Incarnation())
	now := r.clock.Now()
	spread := time.Duration(rand.Float64() * min(restSpread*float64(rest), float64(maxRestSpread)))
	if !now.Before(s.restEnd) {
		r.log.Info("endpoint asks for rest", slog.String("endpoint", e.ID), slog.String("service", e.Service), slog.Duration("rest", rest))
	}
	if end := now.Add(rest + spread); end.After(s.restEnd) {
		s.restEnd = end
	}
}

// observeLeaving records that the endpoint leaves. The caller holds r.mu.
func (r *Registry) observeLeaving(e *catalog.Endpoint) {
	s := r.stateOf(e.Incarnation())
	if s.leavingAt.IsZero() {
		r.log.Info("endpoint says that it leaves", slog.String("endpoint", e.ID), slog.String("service", e.Service))
	}
	s.leavingAt = r.clock.Now()
}

// restsOrLeaves reports whether an endpoint has asked for rest or leaves. The caller holds
// r.mu.
func (r *Registry) restsOrLeaves(e *catalog.Endpoint, now time.Time) bool {
	s := r.states[e.Incarnation()]
	return s != nil && (now.Before(s.restEnd) || !s.leavingAt.IsZero())
}

// Rest returns how long an endpoint rests from now on; 0 if it does not.
func (r *Registry) Rest(e *catalog.Endpoint) time.Duration {
	if r.count.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.states[e.Incarnation()]; s != nil {
		return max(0, s.restEnd.Sub(r.clock.Now()))
	}
	return 0
}

// Leaves reports whether an endpoint has said that it leaves.
func (r *Registry) Leaves(e *catalog.Endpoint) bool {
	if r.count.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.states[e.Incarnation()]
	return s != nil && !s.leavingAt.IsZero()
}

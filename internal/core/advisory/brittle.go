package advisory

import (
	"log/slog"
	"math"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// freshFor is how long a statement counts before all others. Then the newest one of any
	// endpoint of the service does, if it is fresh: they turn brittle together. Without one,
	// an endpoint's own statement counts for staleFor: a host that may send it nothing hears
	// nothing either.
	freshFor = 5 * time.Second
	staleFor = 30 * time.Second
	// minRefusalPause and maxRefusalPause bound the time for which a host sends nothing to a
	// brittle endpoint that has refused a request.
	minRefusalPause = 1250 * time.Millisecond
	maxRefusalPause = 10 * time.Second
)

// brittleness is a statement of an endpoint. If it is brittle, it bears refusals requests
// in a second that it has to refuse.
type brittleness struct {
	brittle  bool
	refusals int
	at       time.Time
}

// within reports whether the statement is at most as old as age.
func (b brittleness) within(age time.Duration, now time.Time) bool {
	return !b.at.IsZero() && now.Sub(b.at) <= age
}

// observeBrittle applies what a response says about brittleness. A value that is negative
// or no number is ignored. The caller holds r.mu.
func (r *Registry) observeBrittle(e *catalog.Endpoint, b port.Brittleness) {
	s := r.stateOf(e.Incarnation())
	if b.Named && !(b.Refusals >= 0) {
		if !s.malformed {
			r.log.Warn("endpoint names a malformed number of refusals", slog.String("endpoint", e.ID), slog.String("service", e.Service), slog.Float64("refusals", b.Refusals))
		}
		s.malformed = true
		return
	}
	s.malformed = false
	said := brittleness{b.Named, int(min(b.Refusals, math.MaxInt32)), r.clock.Now()}
	if s.brittleness.brittle != said.brittle || s.brittleness.refusals != said.refusals {
		r.log.Info("brittleness of an endpoint changed", slog.String("endpoint", e.ID), slog.String("service", e.Service), slog.Bool("brittle", said.brittle), slog.Int("refusals_per_second", said.refusals))
	}
	s.brittleness, r.services[e.Service] = said, said
}

// brittlenessOf returns the statement that counts for an endpoint. The caller holds r.mu.
func (r *Registry) brittlenessOf(e *catalog.Endpoint, now time.Time) brittleness {
	var own brittleness
	if s := r.states[e.Incarnation()]; s != nil {
		own = s.brittleness
	}
	service := r.services[e.Service]
	switch {
	case own.within(freshFor, now):
		return own
	case service.within(freshFor, now):
		return service
	case own.within(staleFor, now):
		return own
	default:
		return brittleness{}
	}
}

// Brittle returns the number of refused requests that an endpoint bears in a second, and
// false if it is not known to be brittle.
func (r *Registry) Brittle(e *catalog.Endpoint) (int, bool) {
	if r.count.Load() == 0 {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.brittlenessOf(e, r.clock.Now())
	return b.refusals, b.brittle
}

// RecordRefusal records that an endpoint had no room for a request of this host.
func (r *Registry) RecordRefusal(e *catalog.Endpoint) {
	if r.count.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	b := r.brittlenessOf(e, now)
	if !b.brittle {
		return
	}
	pause := maxRefusalPause
	if b.refusals > 0 {
		pause = min(pause, time.Duration(float64(minRefusalPause)*float64(r.hostCount)/float64(b.refusals)))
	}
	s := r.stateOf(e.Incarnation())
	s.pausedUntil = now.Add(max(minRefusalPause, pause))
}

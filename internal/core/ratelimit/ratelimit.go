// Package ratelimit tracks the rate limits that endpoints name in their responses:
// how many requests a second an endpoint takes from all hosts together.
package ratelimit

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Limiter holds the rate limits of the endpoints by incarnation: an endpoint that
// starts anew isn't bound by the limit that it named before. It is safe for
// concurrent use.
type Limiter struct {
	clock port.Clock
	log   *slog.Logger

	mu     sync.Mutex
	states map[catalog.Incarnation]*state
}

// state is what is known of one incarnation's limit.
type state struct {
	// limited means that the newest response named a limit, rate, in requests a second.
	limited bool
	rate    float64
	// confirmedAt is the time of the newest response.
	confirmedAt time.Time
	// malformed is set while responses name a value that is no limit.
	malformed bool
}

// New returns a Limiter that knows of no limits.
func New(clock port.Clock, log *slog.Logger) *Limiter {
	return &Limiter{clock: clock, log: log, states: make(map[catalog.Incarnation]*state)}
}

// Observe applies what a response of an endpoint says about its rate limit. A
// negative limit or one that is no finite number is ignored: it neither sets nor ends
// a limit.
func (l *Limiter) Observe(e *catalog.Endpoint, limit port.RateLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[e.Incarnation()]
	if s == nil {
		if !limit.Named {
			return
		}
		s = &state{}
		l.states[e.Incarnation()] = s
	}
	if limit.Named && !valid(limit.PerSecond) {
		if !s.malformed {
			l.log.Warn("endpoint names a malformed rate limit", slog.String("endpoint", e.ID), slog.String("service", e.Service), slog.Float64("per_second", limit.PerSecond))
		}
		s.malformed = true
		return
	}
	s.malformed = false
	s.confirmedAt = l.clock.Now()
	if s.limited == limit.Named && s.rate == limit.PerSecond {
		return
	}
	l.log.LogAttrs(context.Background(), slog.LevelInfo, "rate limit of an endpoint changed", slog.String("endpoint", e.ID), slog.String("service", e.Service),
		slog.Bool("limited", limit.Named), slog.Float64("per_second", limit.PerSecond), slog.Bool("was_limited", s.limited), slog.Float64("former_per_second", s.rate))
	s.limited, s.rate = limit.Named, limit.PerSecond
}

func valid(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 1) }

// Limit returns the rate limit of an incarnation in requests a second; false if it
// names none.
func (l *Limiter) Limit(i catalog.Incarnation) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[i]
	if s == nil || !s.limited {
		return 0, false
	}
	return s.rate, true
}

// Prune removes the incarnations for which keep returns false. keep must not call the
// Limiter.
func (l *Limiter) Prune(keep func(catalog.Incarnation) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.states {
		if !keep(i) {
			delete(l.states, i)
		}
	}
}

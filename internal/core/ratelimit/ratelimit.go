// Package ratelimit keeps the requests of all hosts together to an endpoint within
// the rate limit that the endpoint names in its responses, in requests a second.
//
// Each host has a share of the limit in a sliding window, worked out from the hosts
// that it knows and without asking them: a whole number of requests, so that the shares
// of all hosts add up to the limit however many they are. If the limit allows fewer
// requests than there are hosts, rendezvous hashing selects as many hosts, and the
// others send the endpoint nothing. A host that is cut off, frozen or gone keeps others
// from nothing but its own share, and hosts that know different sets of hosts differ by
// the shares of the hosts in question.
//
// A limit holds as long as the endpoint's responses name it. A host without a share
// receives no responses, so hosts tell each other what the responses said and when
// (Reports). A limit that no host has confirmed for some time is not lifted, but its
// shares move to other hosts, in case those that have them receive no requests.
package ratelimit

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// limitWindow is the time to which a limit is applied: the platform counts
	// requests in any 4 s.
	limitWindow = 4 * time.Second
	// transitVariation is added to the window in which a host counts its sends. It
	// covers differences in the time from the choice of an endpoint to the arrival
	// of the request, such as that of connecting.
	transitVariation = 250 * time.Millisecond
	// maxSendInterval bounds the interval between requests to an endpoint whose limit
	// allows less than one in a limitWindow. Without any request no host would learn
	// that the limit has ended.
	maxSendInterval = 10 * time.Second
	// rotationWindows is the number of windows without a response after which the
	// shares move to other hosts.
	rotationWindows = 3
	// confirmInterval is the age of the newest response from which the first
	// confirmingHosts hosts with a share prefer the endpoint for their next request, to
	// learn whether the limit still holds.
	confirmInterval = 2 * time.Second
	confirmingHosts = 4
	// endedRetention is how long hosts tell each other that a limit has ended.
	endedRetention = 30 * time.Second
	// maxRequests bounds the requests in a window, so that huge limits don't overflow.
	maxRequests = 1 << 30
)

// Limiter holds the rate limits of the endpoints by incarnation: an endpoint that
// starts anew isn't bound by the limit that it named before. It is safe for
// concurrent use.
type Limiter struct {
	self  string
	clock port.Clock
	log   *slog.Logger
	// limitedCount is the number of states with limited set.
	limitedCount atomic.Int64

	mu     sync.Mutex
	states map[catalog.Incarnation]*state
	// hosts divides the limits; hostsVersion increases with each change.
	hosts        Division
	hostsVersion int
}

// state is what is known of one incarnation.
type state struct {
	// limited means that the newest response named a limit, rate, in requests a second.
	limited bool
	rate    float64
	// confirmedAt is the time of the newest response known, of this or another host;
	// zero if none is. changedAt is when this host learned of the last change.
	confirmedAt, changedAt time.Time
	// malformed is set while responses name a value that is no limit.
	malformed bool
	// sends holds the times of this host's sends within the longest window.
	sends []time.Time
	rank  cachedRank
}

// New returns a Limiter of the host self that knows of no limits. Until SetHosts is
// called, limits are divided among assumedHosts hosts.
func New(self string, assumedHosts int, clock port.Clock, log *slog.Logger) *Limiter {
	return &Limiter{self: self, clock: clock, log: log, states: make(map[catalog.Incarnation]*state), hosts: NewDivision(self, nil, assumedHosts), hostsVersion: 1}
}

// SetHosts sets the ids of the hosts among which the limits are divided, if there are
// any. This host is one of them whether ids holds it or not.
func (l *Limiter) SetHosts(ids []string) {
	hosts := NewDivision(l.self, ids, 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(ids) > 0 && !hosts.Equal(l.hosts) {
		l.hosts = hosts
		l.hostsVersion++
	}
}

// Observe applies what a response of an endpoint says about its rate limit. A
// negative limit or one that is no finite number is ignored: it neither sets nor ends
// a limit.
func (l *Limiter) Observe(e *catalog.Endpoint, limit port.RateLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[e.Incarnation()]
	if s == nil && !limit.Named {
		return
	}
	s = l.stateOf(e.Incarnation())
	if limit.Named && !valid(limit.PerSecond) {
		if !s.malformed {
			l.log.Warn("endpoint names a malformed rate limit", slog.String("endpoint", e.ID), slog.String("service", e.Service), slog.Float64("per_second", limit.PerSecond))
		}
		s.malformed = true
		return
	}
	s.malformed = false
	s.confirmedAt = l.clock.Now()
	l.apply(e.Incarnation(), s, limit, "response")
}

// apply sets the limit of a state. source says, for the log, how this host learned of
// it. The caller holds l.mu.
func (l *Limiter) apply(i catalog.Incarnation, s *state, limit port.RateLimit, source string) {
	if s.limited == limit.Named && s.rate == limit.PerSecond {
		return
	}
	l.log.LogAttrs(context.Background(), slog.LevelInfo, "rate limit of an endpoint changed", slog.String("endpoint", i.ID), slog.Int64("born", i.StartedUnixMs), slog.String("source", source),
		slog.Bool("limited", limit.Named), slog.Float64("per_second", limit.PerSecond), slog.Bool("was_limited", s.limited), slog.Float64("former_per_second", s.rate))
	if s.limited != limit.Named {
		l.limitedCount.Add(map[bool]int64{true: 1, false: -1}[limit.Named])
	}
	s.limited, s.rate = limit.Named, limit.PerSecond
	s.changedAt = l.clock.Now()
}

func valid(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 1) }

// stateOf returns the state of an incarnation and creates it if needed. The caller
// holds l.mu.
func (l *Limiter) stateOf(i catalog.Incarnation) *state {
	s := l.states[i]
	if s == nil {
		s = &state{}
		l.states[i] = s
	}
	return s
}

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

// limitedState returns the state of an incarnation, nil if it names no limit. The
// caller holds l.mu.
func (l *Limiter) limitedState(i catalog.Incarnation) *state {
	if s := l.states[i]; s != nil && s.limited {
		return s
	}
	return nil
}

// Allows reports whether this host may send the incarnation one more request now.
// sole says that no other host sends to it, so that this one has the whole limit.
func (l *Limiter) Allows(i catalog.Incarnation, sole bool) bool {
	if l.limitedCount.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limitedState(i)
	return s == nil || l.wait(i, s, sole) == 0
}

// never is the wait of a host without a share.
const never = time.Duration(math.MaxInt64)

// Wait returns how long this host has to wait until it may send the incarnation a
// request. It reports false if this host has no share of the limit at present.
func (l *Limiter) Wait(i catalog.Incarnation) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limitedState(i)
	if s == nil {
		return 0, true
	}
	d := l.wait(i, s, false)
	return d, d != never
}

// wait returns the time until this host may send a request, 0 if it may now. The
// caller holds l.mu.
func (l *Limiter) wait(i catalog.Incarnation, s *state, sole bool) time.Duration {
	now := l.clock.Now()
	requests, window := allowance(s.rate)
	share, pause := requests, time.Duration(0)
	if !sole {
		share, pause = l.share(i, s, now, requests, window)
	}
	if share == 0 {
		return never
	}
	s.forgetSends(now)
	if len(s.sends) < share {
		return pause
	}
	return max(pause, s.sends[len(s.sends)-share].Add(window).Sub(now), 0)
}

// allowance returns the number of requests that all hosts together may send in a
// window, and the window in which a host counts its sends.
func allowance(rate float64) (int, time.Duration) {
	requests := rate * limitWindow.Seconds()
	if requests >= 1 {
		return int(min(requests, maxRequests)), limitWindow + transitVariation
	}
	return 1, time.Duration(min(float64(limitWindow)/requests, float64(maxSendInterval))) + transitVariation
}

// share returns this host's share of the requests in a window, and how long it must
// wait before it uses it because the share was another host's until of late.
func (l *Limiter) share(i catalog.Incarnation, s *state, now time.Time, requests int, window time.Duration) (int, time.Duration) {
	rotation := rotationWindows * window
	age := s.age(now)
	round := age / rotation
	pause := time.Duration(0)
	if round > 0 {
		pause = max(0, window-(age-round*rotation))
	}
	return l.hosts.Share(requests, l.rankOf(i, s, int64(round))), pause
}

// cachedRank is the rank of this host for one version of the hosts and one round.
type cachedRank struct {
	hostsVersion int
	round        int64
	rank         int
}

// rankOf returns Division.Rank. The caller holds l.mu.
func (l *Limiter) rankOf(i catalog.Incarnation, s *state, round int64) int {
	if s.rank.hostsVersion != l.hostsVersion || s.rank.round != round {
		s.rank = cachedRank{l.hostsVersion, round, l.hosts.Rank(i, round)}
	}
	return s.rank.rank
}

// age returns the time since the newest response. While a host is suspended, only the
// time of day goes on.
func (s *state) age(now time.Time) time.Duration {
	return max(0, now.Sub(s.confirmedAt), now.Round(0).Sub(s.confirmedAt.Round(0)))
}

// forgetSends drops the sends that have left the longest window.
func (s *state) forgetSends(now time.Time) {
	s.sends = slices.DeleteFunc(s.sends, func(at time.Time) bool { return now.Sub(at) >= maxSendInterval+transitVariation })
}

// RecordSend counts a request that this host sends to the incarnation. Sends count also
// before the endpoint names a limit: those of the last seconds are still on their way
// or running when it does.
func (l *Limiter) RecordSend(i catalog.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stateOf(i)
	now := l.clock.Now()
	s.forgetSends(now)
	s.sends = append(s.sends, now)
}

// Unconfirmed reports whether this host should send the incarnation a request to learn
// whether its limit still holds, because no host has confirmed it for confirmInterval.
func (l *Limiter) Unconfirmed(i catalog.Incarnation) bool {
	if l.limitedCount.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limitedState(i)
	if s == nil {
		return false
	}
	age := s.age(l.clock.Now())
	_, window := allowance(s.rate)
	return age > confirmInterval && l.rankOf(i, s, int64(age/(rotationWindows*window))) < confirmingHosts
}

// Prune removes the incarnations for which keep returns false. keep must not call the
// Limiter.
func (l *Limiter) Prune(keep func(catalog.Incarnation) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, s := range l.states {
		if keep(i) {
			continue
		}
		if s.limited {
			l.limitedCount.Add(-1)
		}
		delete(l.states, i)
	}
}

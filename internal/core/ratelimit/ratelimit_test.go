package ratelimit

import (
	"bytes"
	"fmt"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func named(perSecond float64) port.RateLimit {
	return port.RateLimit{Named: true, PerSecond: perSecond}
}

// TestLimitHoldsAsLongAsResponsesNameIt guards against a limit that outlives the
// responses that name it, or that binds a new start of the endpoint.
func TestLimitHoldsAsLongAsResponsesNameIt(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	l := New("edge-1", 1, &manualClock{time.Unix(100, 0)}, slog.New(slog.NewTextHandler(&lines, nil)))
	e := &catalog.Endpoint{ID: "e1", StartedUnixMs: 1}
	limit := func(e *catalog.Endpoint) float64 {
		perSecond, ok := l.Limit(e.Incarnation())
		if !ok {
			return -1
		}
		return perSecond
	}
	l.Observe(e, port.RateLimit{})
	is.Equal(limit(e), -1.0)
	for _, perSecond := range []float64{2.5, 2.5, 7, 0, 1e300} {
		l.Observe(e, named(perSecond))
		is.Equal(limit(e), perSecond)
	}
	is.Equal(limit(&catalog.Endpoint{ID: "e1", StartedUnixMs: 2}), -1.0)
	l.Observe(e, port.RateLimit{})
	is.Equal(limit(e), -1.0)
	is.Equal(strings.Count(lines.String(), "rate limit of an endpoint changed"), 5) // 2.5, 7, 0, 1e300, none
	l.Prune(func(catalog.Incarnation) bool { return false })
	is.Equal(limit(e), -1.0)
}

// TestMalformedLimitIsIgnoredAndLoggedOnce guards against values that are no limit: they
// neither set nor end one.
func TestMalformedLimitIsIgnoredAndLoggedOnce(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	l := New("edge-1", 1, &manualClock{time.Unix(100, 0)}, slog.New(slog.NewTextHandler(&lines, nil)))
	e := &catalog.Endpoint{ID: "e1"}
	for _, perSecond := range []float64{math.NaN(), -1, math.Inf(1)} {
		l.Observe(e, named(perSecond))
	}
	_, limited := l.Limit(e.Incarnation())
	is.True(!limited)
	l.Observe(e, named(3))
	l.Observe(e, named(-2))
	perSecond, limited := l.Limit(e.Incarnation())
	is.True(limited)
	is.Equal(perSecond, 3.0)
	is.Equal(strings.Count(lines.String(), "malformed rate limit"), 2)
}

// newLimiters returns the limiters of n hosts that know each other.
func newLimiters(clock port.Clock, n int) []*Limiter {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("edge-", i))
	}
	limiters := make([]*Limiter, n)
	for i := range limiters {
		limiters[i] = New(ids[i], 12, clock, slog.New(slog.DiscardHandler))
		limiters[i].SetHosts(ids)
	}
	return limiters
}

// TestSharesAddUpToTheLimit guards against shares that are rounded up or down: each
// host sends as much as it may, at one moment.
func TestSharesAddUpToTheLimit(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{1, 3, 8, 82, 360} {
		for _, perSecond := range []float64{0, 0.1, 0.25, 1, 2.6, 50, 1e300} {
			clock := &manualClock{time.Unix(100, 0)}
			sent, most := 0, int(max(1, min(4*perSecond, 2000)))
			for _, l := range newLimiters(clock, hosts) {
				l.Observe(limitedEndpoint, named(perSecond))
				for sent < most+1 && l.Allows(limitedEndpoint.Incarnation(), false) {
					l.RecordSend(limitedEndpoint.Incarnation())
					sent++
				}
			}
			if perSecond > 1000 {
				is.True(sent > 2000) // no limit that matters
				continue
			}
			is.Equal(sent, most)
		}
	}
}

var limitedEndpoint = &catalog.Endpoint{ID: "e1", StartedUnixMs: 7}

// TestSendsBeforeTheLimitCount guards against a burst on top of the requests that were
// on their way when the endpoint named its limit.
func TestSendsBeforeTheLimitCount(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{time.Unix(100, 0)}
	l := newLimiters(clock, 1)[0]
	i := limitedEndpoint.Incarnation()
	for range 20 {
		is.True(l.Allows(i, false))
		l.RecordSend(i)
	}
	l.Observe(limitedEndpoint, named(2))
	is.True(!l.Allows(i, false))
	wait, hasShare := l.Wait(i)
	is.True(hasShare)
	is.Equal(wait, limitWindow+transitVariation)
	clock.now = clock.now.Add(wait)
	l.Observe(limitedEndpoint, named(2))
	is.True(l.Allows(i, false))
}

// TestHostsWithoutAShareLearnOfTheEnd guards against hosts that keep to a limit that has
// ended, since they send the endpoint nothing and get no response.
func TestHostsWithoutAShareLearnOfTheEnd(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{time.Unix(100, 0)}
	limiters := newLimiters(clock, 2)
	told, other := limiters[0], limiters[1]
	i := limitedEndpoint.Incarnation()
	told.Observe(limitedEndpoint, named(0.25))
	other.Merge(told.Reports())
	rate, limited := other.Limit(i)
	is.True(limited)
	is.Equal(rate, 0.25)
	clock.now = clock.now.Add(time.Second)
	stale := other.Reports()
	told.Observe(limitedEndpoint, port.RateLimit{})
	told.Merge(stale) // older than what the host knows itself
	_, limited = told.Limit(i)
	is.True(!limited)
	other.Merge(told.Reports())
	_, limited = other.Limit(i)
	is.True(!limited)
	clock.now = clock.now.Add(endedRetention + time.Second)
	is.Equal(len(told.Reports()), 0)
}

// TestUnconfirmedSharesMove guards against an endpoint that nobody tries because the
// hosts that have its shares receive no requests, and against shares that the hosts
// before and after a move use together.
func TestUnconfirmedSharesMove(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{time.Unix(100, 0)}
	limiters := newLimiters(clock, 40)
	i := limitedEndpoint.Incarnation()
	for _, l := range limiters {
		l.Observe(limitedEndpoint, named(0.25))
	}
	holders := make(map[int]bool)
	lastHolder, lastAt := -1, clock.now
	for range 600 {
		clock.now = clock.now.Add(100 * time.Millisecond)
		allowed := 0
		for n, l := range limiters {
			if !l.Allows(i, false) {
				continue
			}
			allowed++
			holders[n] = true
			if lastHolder >= 0 && lastHolder != n {
				is.True(clock.now.Sub(lastAt) >= limitWindow)
			}
			lastHolder, lastAt = n, clock.now
		}
		is.True(allowed <= 1)
	}
	is.True(len(holders) >= 4)
}

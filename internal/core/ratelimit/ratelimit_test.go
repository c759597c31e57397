package ratelimit

import (
	"bytes"
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
	l := New(&manualClock{time.Unix(100, 0)}, slog.New(slog.NewTextHandler(&lines, nil)))
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
	l := New(&manualClock{time.Unix(100, 0)}, slog.New(slog.NewTextHandler(&lines, nil)))
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

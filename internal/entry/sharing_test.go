package entry

import (
	"log/slog"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/ratelimit"
	"github.com/pimentorill/pimentorill/internal/port"
)

// TestPingsOfOlderBuildsCarryNoReports guards against hosts of different builds that
// misread each other's pings: an older one replies with a single byte.
func TestPingsOfOlderBuildsCarryNoReports(t *testing.T) {
	is := is.New(t)
	newGossip := func(host string) rateLimitGossip {
		return rateLimitGossip{ratelimit.New(host, 2, port.SystemClock{}, slog.New(slog.DiscardHandler)), slog.New(slog.DiscardHandler)}
	}
	told, other := newGossip("edge-1"), newGossip("edge-2")
	is.True(len(told.Outgoing()) > 0) // so that the other host replies with its reports
	told.Incoming([]byte{1})
	told.Incoming(nil)
	told.Incoming([]byte("no reports"))
	e := &catalog.Endpoint{ID: "e1", StartedUnixMs: 5}
	told.limits.Observe(e, port.RateLimit{Named: true, PerSecond: 3})
	other.Incoming(told.Outgoing())
	perSecond, limited := other.limits.Limit(e.Incarnation())
	is.True(limited)
	is.Equal(perSecond, 3.0)
}

package cost_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// hangingUsageReader responds for all endpoints but hangingEndpoint, whose queries
// hang until their context ends.
type hangingUsageReader struct{ hangingEndpoint string }

func (m hangingUsageReader) AttemptUsage(ctx context.Context, e release.Endpoint, _ string) (port.Usage, bool, error) {
	if e.ID == m.hangingEndpoint {
		<-ctx.Done()
		return port.Usage{}, false, errors.Wrap(ctx.Err(), "no response")
	}
	return port.Usage{Calls: 1}, true, nil
}

// TestHangingEndpointDoesNotDelayOtherSettlements defers far more attempts of a
// hanging endpoint than of another one. The hanging endpoint's must not delay the
// other's settlement, and are given up in the end.
func TestHangingEndpointDoesNotDelayOtherSettlements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := cost.NewLedger(port.SystemClock{})
		deferAttempt := func(id, endpoint string) {
			l.Begin(id, release.Endpoint{ID: endpoint}, cost.Key{Customer: "c"}, release.Price{PerCall: 7})
			l.Defer(id, cost.CauseFirst)
		}
		for i := range 500 { // several times the attempts that one SettleDue processes
			deferAttempt(fmt.Sprint("a", i), "hanging")
		}
		deferAttempt("b", "responsive")
		began := time.Now()
		for cost.Total(l.Rows()) == 0 {
			l.SettleDue(t.Context(), hangingUsageReader{hangingEndpoint: "hanging"})
			time.Sleep(250 * time.Millisecond)
			is.True(time.Since(began) < time.Minute)
		}
		is.Equal(cost.Total(l.Rows()), int64(7))
		time.Sleep(2 * time.Hour) // longer than an attempt is queried
		for range 20 {
			l.SettleDue(t.Context(), hangingUsageReader{hangingEndpoint: "hanging"})
			time.Sleep(2 * time.Minute)
		}
		deferred, unknown := l.PendingCounts()
		is.Equal(deferred, 0)
		is.Equal(unknown, int64(500))
		is.Equal(l.UnsettledCount(), 0)
	})
}

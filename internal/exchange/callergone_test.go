package exchange

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// goneCaller is a caller to which nothing can be written.
type goneCaller struct{ soakCaller }

func (c *goneCaller) Write([]byte) error { return errors.New("connection reset") }

// TestCallerThatHasGoneIsNoFailureOfTheEndpoint guards against more attempts for a caller to
// which nothing can be written, and sound endpoints that count as failed for it.
func TestCallerThatHasGoneIsNoFailureOfTheEndpoint(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		h := newScriptedHost(4, ample, rand.NewPCG(1, 2), func(r *catalog.Route) { r.Kind, r.Resumable = catalog.Stream, true })
		failed := 0
		h.forward = func(ctx context.Context, _ int, r *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
			return read(&port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: -1, Body: &soakBody{soak: h.soak, ctx: ctx, endpoint: r.Endpoint.ID, next: 1}})
		}
		h.exchange(&goneCaller{})
		for _, e := range h.usable() {
			if h.balancer.Unavailable(e) {
				failed++
			}
		}
		synctest.Wait()
		h.monitor.Close()
		t.Logf("%d attempts, %d endpoints in backoff, %d crash reports", h.calls, failed, h.crashReports())
		is.Equal(h.calls, 1)
		is.Equal(failed, 0)
		is.Equal(h.crashReports(), int64(0))
	})
}

package exchange

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// TestHostThatEndsRefusesRequestsInTheirStages guards against callers whose connections are
// closed without an answer because their stages took longer than the host's shutdown, though
// no endpoint had got the request.
func TestHostThatEndsRefusesRequestsInTheirStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newScriptedHost(2, ample, rand.NewPCG(1, 1), func(r *catalog.Route) {
			r.Kind, r.Stages = catalog.Stream, []catalog.Stage{{Service: "prep", ResultBytes: 1000}}
		})
		h.runPieces = func(pieces []port.Piece) []port.PieceResult {
			<-time.After(5 * time.Second)
			return made(pieces)
		}
		h.forward = func(context.Context, int, *port.EndpointRequest, func(*port.EndpointResponse) error) error {
			t.Error("an endpoint got the request")
			return nil
		}
		ctx, stop := context.WithCancel(context.Background())
		go h.dispatcher.Run(ctx)
		time.AfterFunc(time.Second, h.server.RefuseWaiting)
		c := &soakCaller{}
		took := h.exchange(c)
		is.Equal(verdict.Of(c.err), verdict.NotRun)
		is.True(verdict.From(c.err).RetryAfter > 0)
		is.True(took <= time.Second+10*time.Millisecond)
		<-time.After(10 * time.Second)
		stop()
		h.monitor.Close()
	})
}

// TestHostThatEndsAnswersRequestsThatWaitForAnEndpoint guards against callers whose
// connections are closed without an answer because the attempt was given up and no other
// endpoint took the request until the host's shutdown was over.
func TestHostThatEndsAnswersRequestsThatWaitForAnEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newScriptedHost(3, ample, rand.NewPCG(1, 1), func(r *catalog.Route) { r.Kind = catalog.Idempotent })
		h.forward = func(ctx context.Context, n int, _ *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
			if n == 1 {
				return silent(ctx)
			}
			return refusal(read)
		}
		ctx, stop := context.WithCancel(context.Background())
		go h.dispatcher.Run(ctx)
		const end = 2 * time.Second
		time.AfterFunc(end, h.server.RefuseWaiting)
		c := &soakCaller{}
		took := h.exchange(c)
		is.True(h.calls > 1) // the first attempt was given up
		is.Equal(verdict.Of(c.err), verdict.MayHaveRun)
		is.True(took <= end+10*time.Millisecond)
		stop()
		h.monitor.Close()
	})
}

package exchange

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/quota"
	"github.com/pimentorill/pimentorill/internal/port"
)

// TestFailingStagesAreNotRunAgainAndAgain guards against plans that an exchange which must go
// on sends ten times a second until its deadline, without a retry of any budget.
func TestFailingStagesAreNotRunAgainAndAgain(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		h := newScriptedHost(4, ample, rand.NewPCG(1, 2), func(r *catalog.Route) { r.Stages = []catalog.Stage{{Service: "prep", ResultBytes: 1000}} })
		first := true
		h.runPieces = func(pieces []port.Piece) []port.PieceResult {
			if first {
				first = false
				return made(pieces)
			}
			results := make([]port.PieceResult, len(pieces))
			for i := range results {
				results[i].Failure = port.PieceFailed
			}
			return results
		}
		h.forward = func(ctx context.Context, n int, _ *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
			if n == 1 {
				return silent(ctx)
			}
			return read(&port.EndpointResponse{Status: 409, NotRun: true, Body: strings.NewReader("")}) // an input is gone
		}
		ctx, stop := context.WithCancel(context.Background())
		go h.dispatcher.Run(ctx)
		c := &soakCaller{}
		took := h.exchange(c)
		stop()
		h.monitor.Close()
		t.Logf("took %v, %d stage calls, error %v", took, h.stageCalls, c.err)
		is.True(h.stageCalls <= 1+3*4) // three plans with four attempts at each piece
	})
}

// pausedBody is a stream of two events that is silent for a while between them.
type pausedBody struct {
	ctx    context.Context
	events []string
	pause  time.Duration
}

func (b *pausedBody) Read(p []byte) (int, error) {
	if len(b.events) == 0 {
		return 0, io.EOF
	}
	if len(b.events) == 1 {
		if port.Sleep(b.ctx, b.pause); b.ctx.Err() != nil {
			return 0, b.ctx.Err()
		}
	}
	n := copy(p, b.events[0])
	b.events = b.events[1:]
	return n, nil
}

// TestStagesRunAgainOnlyForARetryThatIsThere guards against stage work for a successor that
// the budget doesn't allow, and results that stay stored when the endpoint goes on.
func TestStagesRunAgainOnlyForARetryThatIsThere(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		h := newScriptedHost(3, quota.RetryLimit{Window: 10 * time.Second}, rand.NewPCG(1, 2), func(r *catalog.Route) {
			r.Kind, r.Resumable, r.Stages = catalog.Stream, true, []catalog.Stage{{Service: "prep", ResultBytes: 1000}}
		})
		h.runPieces = made
		freedWhenGoingOn, madeCalls := 0, 0
		h.forward = func(ctx context.Context, _ int, _ *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
			err := read(&port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: -1,
				Body: &pausedBody{ctx, []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, 3 * time.Second}})
			h.mu.Lock()
			freedWhenGoingOn, madeCalls = h.freed, h.stageCalls
			h.mu.Unlock()
			return err
		}
		ctx, stop := context.WithCancel(context.Background())
		go h.dispatcher.Run(ctx)
		c := &soakCaller{}
		h.exchange(c)
		stop()
		h.monitor.Close()
		t.Logf("stage calls %d, results freed when the stream went on %d", madeCalls, freedWhenGoingOn)
		is.True(c.finished)
		is.Equal(h.calls, 1)
		is.Equal(h.stageCalls, 1) // no retry is there, so nobody needs their results
	})
}

// TestSuccessorIsPickedFromTheNewestEndpoints guards against an attempt given up for an
// endpoint that left while the stages ran again: nobody goes on with the response then.
func TestSuccessorIsPickedFromTheNewestEndpoints(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		h := newScriptedHost(3, ample, rand.NewPCG(1, 2), func(r *catalog.Route) {
			r.Kind, r.Resumable, r.Stages = catalog.Stream, true, []catalog.Stage{{Service: "prep", ResultBytes: 1000}}
		})
		current := ""
		h.runPieces = func(pieces []port.Piece) []port.PieceResult {
			if current != "" { // the stages run again: a planned end of the other endpoints
				h.mu.Lock()
				for id, e := range h.endpoints {
					e.Draining = id != current
				}
				h.mu.Unlock()
				h.publish()
			}
			return made(pieces)
		}
		h.forward = func(ctx context.Context, _ int, r *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
			current = r.Endpoint.ID
			return read(&port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: -1,
				Body: &pausedBody{ctx, []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, 2 * time.Second}})
		}
		ctx, stop := context.WithCancel(context.Background())
		go h.dispatcher.Run(ctx)
		c := &soakCaller{}
		took := h.exchange(c)
		stop()
		h.monitor.Close()
		t.Logf("took %v, %d attempts, body %q, error %v", took, h.calls, c.body.String(), c.err)
		is.True(c.finished)
	})
}

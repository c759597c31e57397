package exchange

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/poison"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/crashing"
	"github.com/pimentorill/pimentorill/internal/port"
)

// TestOnlyBrokenConnectionsAreCrashes guards against requests that are refused because their
// responses are of a kind that this host does not pass on: no endpoint crashed.
func TestOnlyBrokenConnectionsAreCrashes(t *testing.T) {
	for _, row := range []struct {
		name    string
		respond func(read func(*port.EndpointResponse) error) error
		reports int64
	}{
		{"encoded", func(read func(*port.EndpointResponse) error) error {
			return read(&port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, ContentEncoded: true, Length: -1})
		}, 0},
		{"refused", refusal, 0},
		{"never reached", func(func(*port.EndpointResponse) error) error {
			return verdict.Wrap(io.EOF, verdict.CodeEndpointFailed, verdict.NotRun, "endpoint not reached")
		}, 0},
		{"broken off", func(func(*port.EndpointResponse) error) error { return brokenOff(io.ErrUnexpectedEOF) }, 1},
		{"broken off at the deadline", func(func(*port.EndpointResponse) error) error {
			time.Sleep(20*time.Second - deadlineMargin/2)
			return brokenOff(io.ErrUnexpectedEOF)
		}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			synctest.Test(t, func(*testing.T) {
				h := newScriptedHost(6, ample, rand.NewPCG(1, 2), func(r *catalog.Route) { r.Kind, r.MaxAttempts = catalog.AtMostOnce, 1 })
				h.forward = func(_ context.Context, n int, _ *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
					if n > 1 {
						return whole(read)
					}
					return row.respond(read)
				}
				h.exchange(&soakCaller{})
				h.monitor.Close()
				is.Equal(h.crashReports(), row.reports)
			})
		})
	}
}

// TestCrashCountsWheneverItComes guards against requests that go on being sent because endpoints
// end late in their responses (incident BUDGET).
func TestCrashCountsWheneverItComes(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Second, 2500 * time.Millisecond, 10 * time.Second} {
		is := is.New(t)
		synctest.Test(t, func(*testing.T) {
			h := newScriptedHost(6, ample, rand.NewPCG(1, 2), func(r *catalog.Route) { r.Kind = catalog.Stream })
			h.forward = func(_ context.Context, _ int, _ *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
				return read(&port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: -1, Body: &breakingBody{pause: pause}})
			}
			h.exchange(&soakCaller{})
			h.monitor.Close()
			is.Equal(h.crashReports(), int64(1))
		})
	}
}

// breakingBody is a stream that breaks off after its first event and a pause.
type breakingBody struct {
	pause time.Duration
	begun bool
}

func (b *breakingBody) Read(p []byte) (int, error) {
	if b.begun {
		time.Sleep(b.pause)
		return 0, io.ErrUnexpectedEOF
	}
	b.begun = true
	return copy(p, "id: 1\ndata: a\n\n"), nil
}

// TestBlameIsCheckedBeforeEachAttempt guards against requests that were let in before what
// they hold was blamed, and are sent, or sent again, after it.
func TestBlameIsCheckedBeforeEachAttempt(t *testing.T) {
	// blame has the host learn that the prompt part "bad" crashes endpoints.
	blame := func(h *scriptedHost) {
		for i, e := range h.usable() {
			own := fmt.Sprint("own-", i)
			r := poison.NewRequest("", &port.Exchange{Target: "/" + own, Prompt: []port.PromptPart{{ID: "bad"}, {ID: own}}})
			h.crashes.Begin(own, e, r.Traits).End(crashing.Broken)
		}
	}
	for _, row := range []struct {
		name     string
		stages   bool
		duringN  int // the attempt during which the part is blamed; 0 stands for the stages
		attempts int
	}{{"stages", true, 0, 0}, {"attempt", false, 1, 1}} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			synctest.Test(t, func(*testing.T) {
				h := newScriptedHost(6, ample, rand.NewPCG(1, 2), func(r *catalog.Route) {
					if row.stages {
						r.Stages = []catalog.Stage{{Service: "prep", ResultBytes: 1000}}
					}
				})
				h.runPieces = func(pieces []port.Piece) []port.PieceResult {
					blame(h)
					return made(pieces)
				}
				h.forward = func(_ context.Context, n int, _ *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
					if n == row.duringN {
						blame(h)
						return brokenOff(io.ErrUnexpectedEOF)
					}
					return whole(read)
				}
				ctx, stop := context.WithCancel(context.Background())
				go h.dispatcher.Run(ctx)
				c := &soakCaller{}
				h.prompt = []port.PromptPart{{ID: "first"}, {ID: "bad"}, {ID: "mine"}}
				h.exchange(c)
				stop()
				h.monitor.Close()
				is.Equal(h.calls, row.attempts)
				e := verdict.From(c.err)
				is.Equal(e.Code, verdict.CodeQuarantined)
				is.Equal(e.Verdict == verdict.NotRun, row.attempts == 0)
				is.True(e.RetryAfter >= 10*time.Second)
			})
		})
	}
}

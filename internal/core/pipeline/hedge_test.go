package pipeline

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// hedgeResult holds the latency quantiles and the attempts per request of one
// simulation.
type hedgeResult struct {
	p50, p99 time.Duration
	attempts float64
}

// TestHedgesReduceTailLatencyWithinBudget compares a stage with a fraction of
// slow responses with and without hedges. A stage with uniform latency must not
// be hedged at all.
func TestHedgesReduceTailLatencyWithinBudget(t *testing.T) {
	is := is.New(t)
	const hedgePercent = 10
	off := measureHedging(t, 0, 0.03)
	on := measureHedging(t, hedgePercent, 0.03)
	uniform := measureHedging(t, hedgePercent, 0)
	t.Logf("3%% slow, no hedges:  p50 %v, p99 %v, attempts per request %.3f", off.p50, off.p99, off.attempts)
	t.Logf("3%% slow, %d%% hedges: p50 %v, p99 %v, attempts per request %.3f", hedgePercent, on.p50, on.p99, on.attempts)
	t.Logf("none slow, %d%% hedges: p50 %v, p99 %v, attempts per request %.3f", hedgePercent, uniform.p50, uniform.p99, uniform.attempts)
	is.True(on.p99 < off.p99)
	is.True(on.attempts <= 1+hedgePercent/100.0)
	is.Equal(uniform.attempts, 1.0)
}

// measureHedging runs requests against a stage whose attempts take 20 to 29 ms,
// except for the fraction slowFraction that takes 1 s.
func measureHedging(t *testing.T, hedgePercent int, slowFraction float64) (out hedgeResult) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(testRelease(release.Stage{Name: "retrieve"}))
		h.release.Settings.HedgePercent = hedgePercent
		h.runner.deps.Retry = newRetryController(1)
		h.endpoints.respond = func(ctx context.Context, n int, a port.Attempt, charge func(port.Usage)) (port.AttemptResult, error) {
			rnd := rand.New(rand.NewPCG(3, uint64(n)))
			d := 20*time.Millisecond + time.Duration(rnd.IntN(10))*time.Millisecond
			if rnd.Float64() < slowFraction {
				d = time.Second
			}
			select {
			case <-time.After(d):
				return respondOK(a, charge)
			case <-ctx.Done():
				return port.AttemptResult{}, errCancelled
			}
		}
		const requests = 2000
		var durations []time.Duration
		for i := range requests {
			began := time.Now()
			_, err := h.runner.Run(t.Context(), h.request(fmt.Sprint(i)))
			is.New(t).NoErr(err)
			durations = append(durations, time.Since(began))
		}
		h.runner.Wait()
		slices.Sort(durations)
		out = hedgeResult{
			p50:      durations[len(durations)/2],
			p99:      durations[len(durations)*99/100],
			attempts: float64(len(h.endpoints.sent())) / requests,
		}
	})
	return out
}

func TestStalledStreamResumesOnAnotherEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(engineRelease())
		c := newRetryController(1)
		h.runner.deps.Retry = c
		// Without enough measured attempts the stall timeout is unknown and the
		// retry budget empty.
		for range 200 {
			c.RecordFirstAttempt("generate", release.DefaultSettings)
			c.ObserveTimeToFirstToken("generate", 20*time.Millisecond)
		}
		h.endpoints.respond = func(ctx context.Context, n int, a port.Attempt, charge func(port.Usage)) (port.AttemptResult, error) {
			if n > 0 {
				return streamTokens(a, streamLength, charge)
			}
			_, _ = streamTokens(a, 4, charge)
			<-ctx.Done()
			a.OnToken("t4 ") // in flight when the attempt was cancelled
			return port.AttemptResult{}, errCancelled
		}
		var got strings.Builder
		req := h.request("r")
		req.OnToken = func(s string) { got.WriteString(s) }
		res, err := h.runner.Run(t.Context(), req)
		is.NoErr(err)
		is.Equal(got.String(), "t0 t1 t2 t3 t4 t5 t6 t7 t8 t9 ")
		is.Equal(`"`+got.String()+`"`, string(res.Output))
		is.Equal(res.Stages[0].Endpoint, "generate-b")
		h.runner.Wait()
		is.NoErr(h.settleAndCheckLedger())
	})
}

// TestTokensOfCancelledHedgeAreDropped lets the first attempt stream three
// tokens and break. Its hedge, cancelled at the first token, ignores the
// cancellation and streams from the start. A third attempt, the retry,
// completes the stream.
func TestTokensOfCancelledHedgeAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(engineRelease())
		c := newRetryController(1)
		h.runner.deps.Retry = c
		primeHedging(c, h.release, "generate")
		h.endpoints.respond = func(_ context.Context, n int, a port.Attempt, charge func(port.Usage)) (port.AttemptResult, error) {
			switch n {
			case 0:
				time.Sleep(100 * time.Millisecond)
				return streamTokens(a, 3, charge)
			case 1:
				time.Sleep(200 * time.Millisecond)
			}
			return streamTokens(a, streamLength, charge)
		}
		var got strings.Builder
		req := h.request("r")
		req.OnToken = func(s string) { got.WriteString(s) }
		began := time.Now()
		res, err := h.runner.Run(t.Context(), req)
		is.NoErr(err)
		is.Equal(got.String(), "t0 t1 t2 t3 t4 t5 t6 t7 t8 t9 ")
		is.Equal(string(res.Output), `"`+got.String()+`"`)
		is.True(time.Since(began) < time.Second)
		is.Equal(len(h.endpoints.sent()), 3)
		h.runner.Wait()
		is.NoErr(h.settleAndCheckLedger())
	})
}

package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// newTestQueue returns a Queue with a static limit of concurrent runs.
func newTestQueue(limit, queueLimit int) *Queue {
	cfg := Config{QueueLimit: queueLimit, InitialLimit: limit, MinLimit: 1, MaxLimit: limit, StaticLimit: true}
	return New(cfg, port.SystemClock{}, rand.New(rand.NewPCG(1, 1)))
}

func requestFrom(customer string, timeout time.Duration) Request {
	return Request{Customer: customer, Share: 1, Pipeline: "p", Deadline: time.Now().Add(timeout)}
}

// warmUp completes runs of two stages, each stage taking d, so that the
// estimators have enough samples.
func warmUp(t *testing.T, q *Queue, d time.Duration) {
	for range minSamples {
		g, err := q.Admit(t.Context(), requestFrom("warmup", time.Hour))
		is.New(t).NoErr(err)
		g.StageStarted(0)
		time.Sleep(d)
		g.StageStarted(1)
		time.Sleep(d)
		g.Done(Completed)
	}
}

func TestRequestThatCannotMeetDeadlineIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newTestQueue(1, 8)
		warmUp(t, q, 500*time.Millisecond)
		before := time.Now()
		_, err := q.Admit(t.Context(), requestFrom("c", 900*time.Millisecond))
		is.Equal(verdict.From(err).Code, verdict.CodeDeadlineExceeded)
		is.Equal(verdict.Of(err), verdict.NotRun)
		is.True(verdict.From(err).RetryAfter > 0)
		is.Equal(time.Now(), before)
		is.True(q.MinRemainingTime("p", 0) > 900*time.Millisecond)
		is.True(q.MinRemainingTime("p", 1) > 400*time.Millisecond && q.MinRemainingTime("p", 1) < 900*time.Millisecond)
		is.Equal(q.MinRemainingTime("p", 2), time.Duration(0))
	})
}

func TestSlowPipelineAdmitsOneRunToRefreshEstimates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newTestQueue(2, 8)
		warmUp(t, q, 100*time.Millisecond)
		warmUp(t, q, time.Second) // half of the runs take too long
		probe, err := q.Admit(t.Context(), requestFrom("c", time.Second))
		is.NoErr(err)
		_, err = q.Admit(t.Context(), requestFrom("c", time.Second))
		is.Equal(verdict.From(err).Code, verdict.CodeDeadlineExceeded)
		probe.Done(Completed)
	})
}

func TestWaitingRequestIsRefusedOnceDeadlineIsInfeasible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newTestQueue(1, 8)
		warmUp(t, q, 100*time.Millisecond)
		blocker, err := q.Admit(t.Context(), requestFrom("c", time.Hour))
		is.NoErr(err)
		before := time.Now()
		_, err = q.Admit(t.Context(), requestFrom("c", 2*time.Second))
		is.Equal(verdict.From(err).Code, verdict.CodeNoCapacity)
		is.Equal(verdict.Of(err), verdict.NotRun)
		is.True(verdict.From(err).RetryAfter >= minRetryAfter)
		waited := time.Since(before)
		// The run duration is 200 ms, or up to bucketRatio times that as estimated.
		is.True(waited >= 1700*time.Millisecond && waited < 1850*time.Millisecond)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = q.Admit(ctx, requestFrom("c", time.Hour))
		is.Equal(verdict.From(err).Code, verdict.CodeCallerCancelled)
		is.Equal(q.waiting, 0)
		blocker.Done(Failed)
		_, err = q.Admit(t.Context(), requestFrom("c", time.Hour))
		is.NoErr(err)
	})
}

func TestFullQueueEvictsCustomerFurthestOverShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newTestQueue(1, 3)
		var results []string
		enqueue := func(customer string, timeout time.Duration, name string) {
			q.Enqueue(requestFrom(customer, timeout), func(g *Grant, err error) {
				if err != nil {
					name += " " + string(verdict.From(err).Code)
				}
				results = append(results, name)
				if err == nil && len(results) > 3 {
					g.Done(Completed)
				}
			})
		}
		running, err := q.Admit(t.Context(), requestFrom("large", time.Hour))
		is.NoErr(err)
		enqueue("large", 3*time.Minute, "large-3")
		enqueue("large", 1*time.Minute, "large-1")
		enqueue("large", 2*time.Minute, "large-2")
		enqueue("large", 4*time.Minute, "large-4")
		enqueue("small", 9*time.Minute, "small")
		is.Equal(results, []string{"large-4 over_share", "large-3 over_share"})
		results = append(results, "") // from here on, each granted run ends at once
		running.Done(Completed)
		is.Equal(results[3:], []string{"small", "large-1", "large-2"})
	})
}

func TestQuantilesStayWithinErrorBoundAndExpire(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var e quantileEstimator
		now := time.Unix(1000, 0)
		samples := rapid.SliceOfN(rapid.IntRange(2, 60_000), minSamples, 200).Draw(rt, "ms")
		for _, ms := range samples {
			e.add(now, time.Duration(ms)*time.Millisecond)
		}
		slices.Sort(samples)
		for _, q := range []float64{0.05, 0.5, 0.75, 1} {
			rank := max(0, int(q*float64(len(samples))+0.999999)-1)
			want := time.Duration(samples[rank]) * time.Millisecond
			got := e.quantile(now, q)
			if got < want-time.Microsecond || float64(got) > float64(want)*bucketRatio*1.001 {
				rt.Fatalf("quantile %v: got %v, want %v", q, got, want)
			}
		}
		if e.quantile(now.Add(2*estimatorWindow), 1) != 0 {
			rt.Fatal("old samples are still counted")
		}
	})
}

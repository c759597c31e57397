package app_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/invariant"
	"github.com/pimentorill/pimentorill/internal/standin"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

// settleTimeout bounds the wait until the cost of all of a host's attempts is settled.
const settleTimeout = 20 * time.Second

// TestBooksHoldWhatWasChargedUnderFaults checks that the cost books equal what the
// endpoints charged, while pools fail calls, pools and plain endpoints lose and
// misroute responses, engines break streams and crash, and requests time out or are
// cancelled.
func TestBooksHoldWhatWasChargedUnderFaults(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{})
	host := bed.Hosts[0].App()
	checks := invariant.New()
	for round := range 4 {
		injectFaults(bed.Fleet, round)
		runConcurrently(t.Context(), host, checks, round)
		cancelAtFirstToken(t.Context(), host)
	}
	waitSettled(t, host)
	report, err := host.Cost(t.Context())
	is.NoErr(err)
	is.Equal(report.Unknown, int64(0))
	checks.CheckBooks(bed.Fleet, cost.Total(report.Rows))
	is.Equal(checks.Violations(bed.Fleet), nil)
	causes := map[cost.Cause]int64{}
	for _, r := range report.Rows {
		causes[r.Cause] += r.Attempts
	}
	t.Logf("attempts by cause: %v", causes)
	is.True(causes[cost.CauseFirst] > 0)
	is.True(causes[cost.CauseRetry] > 0)
	is.True(causes[cost.CauseCancelled] > 0)
}

// TestReportIncludesStoppedHostsBook stops a host and checks that another host's
// report still equals what the endpoints charged for the requests through both.
func TestReportIncludesStoppedHostsBook(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{Hosts: 2})
	checks := invariant.New()
	injectFaults(bed.Fleet, 0)
	runConcurrently(t.Context(), bed.Hosts[0].App(), checks, 0)
	runConcurrently(t.Context(), bed.Hosts[1].App(), checks, 1)
	bed.Hosts[0].Stop()
	waitSettled(t, bed.Hosts[1].App())
	report, err := bed.Hosts[1].App().Cost(t.Context())
	is.NoErr(err)
	checks.CheckBooks(bed.Fleet, cost.Total(report.Rows))
	is.Equal(checks.Violations(bed.Fleet), nil)
}

// injectFaults makes the pools fail calls, the pools and plain endpoints lose and
// misroute responses and the engines break streams; in round 2 it also crashes the
// engines.
func injectFaults(f *standin.Fleet, round int) {
	for _, p := range f.Pools {
		p.SetFailureRate(0.1, uint64(round))
		p.DropResponses(2)
		p.MisrouteResponses(1)
	}
	for _, p := range f.Plains {
		p.DropResponses(2)
		p.MisrouteResponses(1)
	}
	for _, e := range f.Engines {
		e.BreakStreams(3, 2)
		if round == 2 {
			e.Crash()
		}
	}
}

// runConcurrently sends requests of both pipelines concurrently, some with a short
// deadline and some that their caller cancels.
func runConcurrently(ctx context.Context, host *app.App, checks *invariant.Recorder, round int) {
	var wg sync.WaitGroup
	for i := range 40 {
		in := app.RunRequest{
			Customer: testbed.Customer,
			Pipeline: standin.PipelineGuidebook,
			Input:    json.RawMessage(fmt.Sprintf(`{"round":%d,"request":%d}`, round, i)),
		}
		if i%4 == 0 {
			in.Pipeline = standin.PipelineBooking
			in.Key = fmt.Sprintf("key-%d-%d", round, i)
		}
		if i%5 == 1 {
			in.Timeout = 8 * time.Millisecond
		}
		wg.Go(func() {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			if i%5 == 3 {
				time.AfterFunc(8*time.Millisecond, cancel)
			}
			checks.Add(runStreamed(ctx, host, in))
		})
	}
	wg.Wait()
}

// cancelAtFirstToken sends requests that are cancelled at their first token.
func cancelAtFirstToken(ctx context.Context, host *app.App) {
	for range 4 {
		callerCtx, cancel := context.WithCancel(ctx)
		// The request may fail before its first token.
		_, _ = host.Run(callerCtx, app.RunRequest{
			Customer: testbed.Customer,
			Pipeline: standin.PipelineGuidebook,
			Input:    json.RawMessage(`1`),
			OnToken:  func(string) { cancel() },
		})
		cancel()
	}
}

// runStreamed sends one request, collects its tokens and returns its outcome. A
// request with a key is not streamed.
func runStreamed(ctx context.Context, host *app.App, in app.RunRequest) invariant.Outcome {
	var text strings.Builder
	if in.Key == "" {
		in.OnToken = func(token string) { text.WriteString(token) }
	}
	response, err := host.Run(ctx, in)
	outcome := invariant.Outcome{Key: in.Key, Input: in.Input, Verdict: verdict.Of(err)}
	if err != nil {
		return outcome
	}
	outcome.Response = &response
	if in.OnToken != nil {
		streamed := text.String()
		outcome.Streamed = &streamed
	}
	return outcome
}

// waitSettled waits until the cost of all of the host's attempts is settled.
func waitSettled(t *testing.T, host *app.App) {
	t.Helper()
	timeout := time.After(settleTimeout)
	for {
		report, err := host.Cost(t.Context())
		if err == nil && report.Deferred == 0 && host.CostsSettled() {
			return
		}
		select {
		case <-timeout:
			t.Fatalf("costs are not settled in time; the cost of %d attempts is deferred", report.Deferred)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

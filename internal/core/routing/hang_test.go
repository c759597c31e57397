package routing

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/retry"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// hangingClient is an AttemptClient whose endpoints all respond after 50 ms
// except one, which never responds.
type hangingClient struct{ hangingEndpoint string }

func (c hangingClient) Call(ctx context.Context, a port.Attempt) (port.AttemptResult, error) {
	if a.Endpoint.ID == c.hangingEndpoint {
		<-ctx.Done()
		code := verdict.CodeCallerCancelled
		if ctx.Err() == context.DeadlineExceeded {
			code = verdict.CodeDeadlineExceeded
		}
		return port.AttemptResult{}, verdict.New(code, verdict.MayHaveRun, "no answer")
	}
	time.Sleep(50 * time.Millisecond)
	return port.AttemptResult{AttemptID: a.ID, Output: json.RawMessage(`1`)}, nil
}

// allowAllGate is a Gate without limits.
type allowAllGate struct{}

func (allowAllGate) Acquire(context.Context, pipeline.AttemptInfo, release.Endpoint) (func(pipeline.Outcome), error) {
	return func(pipeline.Outcome) {}, nil
}

// minAttainment is the lowest fraction of requests that must succeed before
// their deadline while one of ten endpoints hangs.
const minAttainment = 0.99

// TestAFrozenEndpointCostsFewRequests lets one of ten endpoints hang. It checks
// the fraction of requests that succeed, and that retries of stalled attempts
// raise it.
func TestAFrozenEndpointCostsFewRequests(t *testing.T) {
	is := is.New(t)
	withoutRetries := attainment(t, nil)
	got := attainment(t, retry.New(rand.New(rand.NewPCG(5, 5))))
	t.Logf("answered in time: %.4f, without retries %.4f", got, withoutRetries)
	is.True(got >= minAttainment)
	is.True(got > withoutRetries)
}

// attainment returns the fraction of requests that succeed before their
// deadline. If c is nil, attempts are not retried.
func attainment(t *testing.T, c *retry.Controller) (fraction float64) {
	synctest.Test(t, func(t *testing.T) {
		r := testRelease(10, "a")
		r.Settings = release.DefaultSettings
		p := release.Pipeline{Name: "p", TimeoutMs: 4000, Stages: []release.Stage{testAttempt.Stage}}
		var ids int
		var mu sync.Mutex
		runner := pipeline.NewRunner(pipeline.Deps{
			Picker: newPicker(r, 1), Gate: allowAllGate{}, AttemptClient: hangingClient{hangingEndpoint: "a3"},
			Ledger: cost.NewLedger(port.SystemClock{}), Clock: port.SystemClock{}, Retry: c,
			NewID: func() string {
				mu.Lock()
				defer mu.Unlock()
				ids++
				return fmt.Sprint(ids)
			},
		})
		const total = 2000
		succeeded := 0
		var wg sync.WaitGroup
		for range total {
			time.Sleep(20 * time.Millisecond)
			wg.Go(func() {
				_, err := runner.Run(t.Context(), pipeline.Request{
					Pipeline: p, Release: r, Input: testAttempt.Input, Deadline: time.Now().Add(p.Timeout()),
				})
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					succeeded++
				}
			})
		}
		wg.Wait()
		runner.Wait()
		fraction = float64(succeeded) / total
	})
	return fraction
}

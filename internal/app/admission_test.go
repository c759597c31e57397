package app_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/standin"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

// A request whose deadline is shorter than the observed duration of runs is
// refused by admission, before it costs anything on an endpoint.
func TestUnattainableDeadlineIsRefusedBeforeAnyStageRuns(t *testing.T) {
	is := is.New(t)
	fleet := testbed.DefaultFleet
	fleet.Zones = fleet.Zones[:1]
	fleet.TokenTime = 10 * time.Millisecond
	bed := testbed.Start(t, testbed.Config{Fleet: fleet})
	host := bed.Hosts[0].App()
	in := app.RunRequest{Customer: testbed.Customer, Pipeline: standin.PipelineGuidebook, Input: json.RawMessage(`"x"`)}
	const observedRuns = 12 // more than the queue needs to estimate a run's duration
	for range observedRuns {
		_, err := host.Run(t.Context(), in)
		is.NoErr(err)
	}
	in.Timeout = 50 * time.Millisecond // a run produces eight tokens at 10 ms each
	_, err := host.Run(t.Context(), in)
	refusal := verdict.From(err)
	is.Equal(refusal.Code, verdict.CodeDeadlineExceeded)
	is.Equal(refusal.Verdict, verdict.NotRun)
	for _, pool := range bed.Fleet.Pools {
		is.True(pool.Stats().Started <= observedRuns) // the refused request reached no endpoint
	}
	is.True(refusal.RetryAfter > 0)
	queues := host.Status().Admission
	is.Equal(len(queues), 2)               // booking, guidebook
	is.True(queues[1].RunDurationMs >= 80) // eight tokens at 10 ms each
}

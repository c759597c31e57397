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

func TestADeadlineThatRunsNeverMakeIsRefusedBeforeItCosts(t *testing.T) {
	is := is.New(t)
	fleet := testbed.DefaultFleet
	fleet.Zones = fleet.Zones[:1]
	fleet.TokenTime = 10 * time.Millisecond
	bed := testbed.Start(t, testbed.Config{Fleet: fleet})
	host := bed.Hosts[0].App()
	in := app.RunRequest{Customer: testbed.Customer, Pipeline: standin.PipelineGuidebook, Input: json.RawMessage(`"x"`)}
	const lessons = 12 // more than the queue needs before it judges
	for range lessons {
		_, err := host.Run(t.Context(), in)
		is.NoErr(err)
	}
	in.Deadline = 50 * time.Millisecond // a run has eight tokens of 10 ms
	_, err := host.Run(t.Context(), in)
	refusal := verdict.From(err)
	is.Equal(refusal.Code, verdict.CodeDeadlineExceeded)
	is.Equal(refusal.Verdict, verdict.NotRun)
	for _, pool := range bed.Fleet.Pools {
		is.True(pool.Stats().Started <= lessons) // the refused one reached none
	}
	is.True(refusal.RetryAfter > 0)
	lanes := host.Status().Admission
	is.Equal(len(lanes), 2) // booking, guidebook
	is.True(lanes[1].RemainingMs >= 80)
}

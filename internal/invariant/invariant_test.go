package invariant_test

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/ulid/v2"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/invariant"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

// runBooking runs the booking pipeline on the first host and returns the outcome.
func runBooking(t *testing.T, cluster *testbed.Cluster, key, input string) invariant.Outcome {
	t.Helper()
	in := app.RunRequest{Customer: testbed.Customer, Pipeline: standin.PipelineBooking, Key: key, Input: json.RawMessage(input)}
	response, err := cluster.Hosts[0].App().Run(t.Context(), in)
	if err != nil {
		t.Fatal(err)
	}
	return invariant.Outcome{Key: key, Input: in.Input, Response: &response}
}

func TestCorrectRunHasNoViolations(t *testing.T) {
	is := is.New(t)
	cluster := testbed.Start(t, testbed.Config{})
	r := invariant.New()
	r.Add(runBooking(t, cluster, "k1", `{"yard":1}`))
	r.Add(runBooking(t, cluster, "k2", `{"yard":2}`))
	r.ObserveVersion("entry-1", 1)
	r.ObserveVersion("entry-1", 2)
	cluster.Hosts[0].Stop()
	var booked int64
	for _, row := range cluster.Hosts[0].App().CostRows() {
		booked += row.Amount
	}
	r.CheckBooks(cluster.Fleet, booked)
	is.Equal(r.Violations(cluster.Fleet), nil)
}

// TestEachCheckReportsItsViolation violates the invariants on purpose and checks
// that the violations contain the text of each. The cold limit has a test of its
// own.
func TestEachCheckReportsItsViolation(t *testing.T) {
	cluster := testbed.Start(t, testbed.Config{})
	valid := runBooking(t, cluster, "k", `{"yard":1}`)
	streamed := "half of it"
	otherInput := valid
	otherInput.Input = json.RawMessage(`{"yard":2}`)
	otherOutput := *valid.Response
	otherOutput.Output, otherOutput.Stages = json.RawMessage(`"other"`), []pipeline.StageResult{}
	plainID := standin.ServiceBookings + "-ljubljana-1"
	plain := cluster.Fleet.Plains[plainID]
	direct := standin.NewDirect()
	direct.Add(plainID, plain)
	for want, violate := range map[string]func(r *invariant.Recorder){
		"does not match its input": func(r *invariant.Recorder) { r.Add(otherInput) },
		"streamed": func(r *invariant.Recorder) {
			r.Add(invariant.Outcome{Key: "k", Input: valid.Input, Response: valid.Response, Streamed: &streamed})
		},
		"two different responses": func(r *invariant.Recorder) { r.Add(valid); r.Add(invariant.Outcome{Key: "k", Response: &otherOutput}) },
		"every response said":     func(r *invariant.Recorder) { r.Add(invariant.Outcome{Key: "k", Verdict: verdict.NotRun}) },
		"although it never ran":   func(r *invariant.Recorder) { r.Add(invariant.Outcome{Key: "never", Response: &otherOutput}) },
		"went back":               func(r *invariant.Recorder) { r.ObserveVersion("h", 3); r.ObserveVersion("h", 2) },
		"the cost books hold":     func(r *invariant.Recorder) { r.CheckBooks(cluster.Fleet, invariant.TotalCharged(cluster.Fleet)+1) },
		"calls although it was": func(r *invariant.Recorder) {
			r.ExpectNoNewWork(plainID, "out", plain.Stats)
			if _, err := direct.Call(t.Context(), bookingAttempt(plainID, "taken out")); err != nil {
				t.Fatal(err)
			}
		},
		"key twice ran 2 times": func(*invariant.Recorder) {
			for range 2 {
				if _, err := direct.Call(t.Context(), bookingAttempt(plainID, "twice")); err != nil {
					t.Fatal(err)
				}
			}
		},
	} {
		r := invariant.New()
		violate(r)
		if got := strings.Join(r.Violations(cluster.Fleet), "\n"); !strings.Contains(got, want) {
			t.Errorf("violation %q not reported, got %q", want, got)
		}
	}
}

// bookingAttempt returns an attempt of an at-most-once stage on the endpoint.
func bookingAttempt(endpoint, key string) port.Attempt {
	return port.Attempt{
		ID: ulid.Make().String(), IdempotencyKey: key, Endpoint: release.Endpoint{ID: endpoint},
		Service: release.Service{Kind: release.KindPlain}, Stage: release.Stage{AtMostOnce: true},
		Input: json.RawMessage(`1`), Deadline: time.Now().Add(time.Minute),
	}
}

func TestCallsAboveColdLimitAreReported(t *testing.T) {
	is := is.New(t)
	plain := standin.NewPlain(standin.BackendConfig{ID: "x", Slots: 4, ColdLimit: 1, WarmAfter: 9}, nil)
	fleet := &standin.Fleet{Endpoints: []release.Endpoint{{ID: "x"}}, Plains: map[string]*standin.Plain{"x": plain}, RunCounter: plain.RunCounter()}
	direct := standin.NewDirect()
	direct.Add("x", plain)
	_, err := direct.Call(t.Context(), bookingAttempt("x", "a")) // its response reports the cold start
	is.NoErr(err)
	plain.SetDelay(time.Hour) // the first call runs until the second one crashes the endpoint
	var wg sync.WaitGroup
	for _, key := range []string{"b", "c"} {
		wg.Go(func() { _, _ = direct.Call(t.Context(), bookingAttempt("x", key)) })
	}
	wg.Wait() // the second call exceeds the cold limit
	violations := invariant.New().Violations(fleet)
	is.Equal(len(violations), 1)
	is.True(strings.Contains(violations[0], "crashed 1 times"))
}

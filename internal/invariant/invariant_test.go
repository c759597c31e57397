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

// send runs the booking pipeline on a host and returns the reply.
func send(t *testing.T, bed *testbed.Bed, key, input string) invariant.Reply {
	t.Helper()
	in := app.RunRequest{Customer: testbed.Customer, Pipeline: standin.PipelineBooking, Key: key, Input: json.RawMessage(input)}
	answer, err := bed.Hosts[0].App().Run(t.Context(), in)
	if err != nil {
		t.Fatal(err)
	}
	return invariant.Reply{Key: key, Input: in.Input, Answer: &answer}
}

func TestNoViolationWhenAllIsWell(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{})
	r := invariant.New()
	r.Add(send(t, bed, "k1", `{"yard":1}`))
	r.Add(send(t, bed, "k2", `{"yard":2}`))
	r.SawVersion("entry-1", 1)
	r.SawVersion("entry-1", 2)
	bed.Hosts[0].Stop()
	var booked int64
	for _, row := range bed.Hosts[0].App().CostRows() {
		booked += row.Amount
	}
	r.CheckBooks(bed.Fleet, booked)
	is.Equal(r.Violations(bed.Fleet), nil)
}

// TestEachCheckCanFail breaks each rule on purpose.
func TestEachCheckCanFail(t *testing.T) {
	bed := testbed.Start(t, testbed.Config{})
	good := send(t, bed, "k", `{"yard":1}`)
	streamed := "half of it"
	swapped := good
	swapped.Input = json.RawMessage(`{"yard":2}`)
	other := *good.Answer
	other.Output, other.Stages = json.RawMessage(`"other"`), []pipeline.StageResult{}
	plainID := standin.ServiceBookings + "-ljubljana-1"
	plain := bed.Fleet.Plains[plainID]
	direct := standin.NewDirect()
	direct.Add(plainID, plain)
	for want, breakIt := range map[string]func(r *invariant.Recorder){
		"not its own": func(r *invariant.Recorder) { r.Add(swapped) },
		"streamed": func(r *invariant.Recorder) {
			r.Add(invariant.Reply{Key: "k", Input: good.Input, Answer: good.Answer, Streamed: &streamed})
		},
		"two answers":         func(r *invariant.Recorder) { r.Add(good); r.Add(invariant.Reply{Key: "k", Answer: &other}) },
		"every reply said":    func(r *invariant.Recorder) { r.Add(invariant.Reply{Key: "k", Verdict: verdict.NotRun}) },
		"though it never ran": func(r *invariant.Recorder) { r.Add(invariant.Reply{Key: "never", Answer: &other}) },
		"went back":           func(r *invariant.Recorder) { r.SawVersion("h", 3); r.SawVersion("h", 2) },
		"the books hold":      func(r *invariant.Recorder) { r.CheckBooks(bed.Fleet, invariant.Charged(bed.Fleet)+1) },
		"calls though it was": func(r *invariant.Recorder) {
			r.NoNewWork(plainID, "out", plain.Stats)
			if _, err := direct.Call(t.Context(), booking(plainID, "taken out")); err != nil {
				t.Fatal(err)
			}
		},
		"key twice ran 2 times": func(*invariant.Recorder) {
			for range 2 {
				if _, err := direct.Call(t.Context(), booking(plainID, "twice")); err != nil {
					t.Fatal(err)
				}
			}
		},
	} {
		r := invariant.New()
		breakIt(r)
		if got := strings.Join(r.Violations(bed.Fleet), "\n"); !strings.Contains(got, want) {
			t.Errorf("%q was not found in %q", want, got)
		}
	}
}

// booking is an attempt of the once stage.
func booking(endpoint, key string) port.Attempt {
	return port.Attempt{
		ID: ulid.Make().String(), IdempotencyKey: key, Endpoint: release.Endpoint{ID: endpoint},
		Service: release.Service{Kind: release.KindPlain}, Stage: release.Stage{AtMostOnce: true},
		Input: json.RawMessage(`1`), Deadline: time.Now().Add(time.Minute),
	}
}

func TestAnOverrunInAColdStartIsFound(t *testing.T) {
	is := is.New(t)
	plain := standin.NewPlain(standin.BackendConfig{ID: "x", Slots: 4, ColdLimit: 1, WarmAfter: 9}, nil)
	fleet := &standin.Fleet{Endpoints: []release.Endpoint{{ID: "x"}}, Plains: map[string]*standin.Plain{"x": plain}, Register: plain.Register()}
	direct := standin.NewDirect()
	direct.Add("x", plain)
	_, err := direct.Call(t.Context(), booking("x", "a")) // its answer says that it is cold
	is.NoErr(err)
	plain.Slow(time.Hour)
	var wg sync.WaitGroup
	for _, key := range []string{"b", "c"} {
		wg.Go(func() { _, _ = direct.Call(t.Context(), booking("x", key)) })
	}
	wg.Wait() // the second call makes it fall over
	found := invariant.New().Violations(fleet)
	is.Equal(len(found), 1)
	is.True(strings.Contains(found[0], "fell over 1 times"))
}

package pipeline

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

type respondFunc = func(ctx context.Context, n int, a port.Attempt, charge func(port.Usage)) (port.AttemptResult, error)

func TestEachStageReceivesPreviousOutput(t *testing.T) {
	is := is.New(t)
	h := newHarness(testRelease(release.Stage{Name: "encode"}, release.Stage{Name: "generate"}))
	h.endpoints.respond = func(_ context.Context, _ int, a port.Attempt, charge func(port.Usage)) (port.AttemptResult, error) {
		return respondOK(a, charge)
	}
	got, err := h.runner.Run(t.Context(), h.request("r"))
	is.NoErr(err)
	is.Equal(string(got.Output), `{"generate":{"encode":1}}`)
	is.Equal(len(got.Stages), 2)
	is.Equal(got.Stages[0].Endpoint, "encode-a")
	is.Equal(got.Cost, int64(14))
	is.Equal(cost.Total(h.ledger.Rows()), int64(14))
	is.Equal(h.gate.held, 0)
}

func TestRunVerdict(t *testing.T) {
	plain := release.Stage{Name: "encode"}
	atMostOnce := release.Stage{Name: "book", AtMostOnce: true}
	last := release.Stage{Name: "notify"}
	cases := map[string]struct {
		stages  []release.Stage
		started []verdict.Verdict // verdicts of the stages that were started
		want    verdict.Verdict
	}{
		"nothing ran":                           {[]release.Stage{plain, last}, []verdict.Verdict{verdict.NotRun}, verdict.NotRun},
		"a stage ran":                           {[]release.Stage{plain, last}, []verdict.Verdict{verdict.Ran, verdict.NotRun}, verdict.MayHaveRun},
		"ended before the at-most-once stage":   {[]release.Stage{plain, atMostOnce}, []verdict.Verdict{verdict.MayHaveRun}, verdict.NotRun},
		"at-most-once stage not run":            {[]release.Stage{plain, atMostOnce}, []verdict.Verdict{verdict.Ran, verdict.NotRun}, verdict.NotRun},
		"at-most-once stage may have run":       {[]release.Stage{plain, atMostOnce}, []verdict.Verdict{verdict.Ran, verdict.MayHaveRun}, verdict.MayHaveRun},
		"at-most-once stage ran, later did not": {[]release.Stage{atMostOnce, last}, []verdict.Verdict{verdict.Ran, verdict.NotRun}, verdict.Ran},
		"one of two at-most-once stages ran":    {[]release.Stage{atMostOnce, atMostOnce}, []verdict.Verdict{verdict.Ran, verdict.NotRun}, verdict.MayHaveRun},
		"two at-most-once stages, none started": {[]release.Stage{atMostOnce, atMostOnce}, nil, verdict.NotRun},
		"no at-most-once stage, none started":   {[]release.Stage{plain}, nil, verdict.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sv := stageVerdicts{pipeline: release.Pipeline{Stages: c.stages}, verdicts: c.started}
			is.New(t).Equal(sv.runVerdict(), c.want)
		})
	}
}

func TestResponseWithWrongAttemptIDIsDropped(t *testing.T) {
	is := is.New(t)
	h := newHarness(testRelease(release.Stage{Name: "book", AtMostOnce: true}))
	h.endpoints.respond = respondFunc(func(_ context.Context, _ int, a port.Attempt, charge func(port.Usage)) (port.AttemptResult, error) {
		a.ID = "another"
		return respondOK(a, charge)
	})
	_, err := h.runner.Run(t.Context(), h.request("r"))
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
	is.Equal(len(h.endpoints.sent()), 1)
}

// fakeStageCache holds the stages put so far, in the order of the calls, and
// returns them for any request.
type fakeStageCache struct{ stages []CachedStage }

func (c *fakeStageCache) Get(context.Context, *Request) []CachedStage { return c.stages }
func (c *fakeStageCache) Put(_ *Request, _ int, s CachedStage)        { c.stages = append(c.stages, s) }

func TestRepeatedRequestResumesFromCachedStages(t *testing.T) {
	is := is.New(t)
	h := newHarness(testRelease(release.Stage{Name: "encode"}, release.Stage{Name: "book", AtMostOnce: true}, release.Stage{Name: "generate"}))
	h.runner.deps.StageCache = &fakeStageCache{}
	h.endpoints.respond = func(_ context.Context, n int, a port.Attempt, charge func(port.Usage)) (port.AttemptResult, error) {
		if n == 1 {
			return port.AttemptResult{}, verdict.New(verdict.CodeEndpointFailed, verdict.NotRun, "refused")
		}
		return respondOK(a, charge)
	}
	_, err := h.runner.Run(t.Context(), h.request("r"))
	is.Equal(verdict.Of(err), verdict.NotRun)
	got, err := h.runner.Run(t.Context(), h.request("r"))
	is.NoErr(err)
	is.Equal(string(got.Output), `{"generate":{"book":{"encode":1}}}`)
	is.Equal(got.Stages[0].Attempts, 0)
	is.Equal(got.Cost, int64(14)) // encode is not charged again
	is.Equal(len(h.endpoints.sent()), 4)
}

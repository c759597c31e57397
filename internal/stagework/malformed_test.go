package stagework

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// TestMalformedPlansAreRefused guards against a process that ends because of one message of
// a host of another build, or of one that is broken.
func TestMalformedPlansAreRefused(t *testing.T) {
	for i, change := range []func(p *Plan){
		func(p *Plan) { p.Stages[0].Pieces = -1 },
		func(p *Plan) { p.Stages[1].Pieces = math.MinInt },
		func(p *Plan) { p.Stages[0].Pieces = math.MaxInt },
		func(p *Plan) { p.Stages[0].Pieces = 1 << 30 },
		func(p *Plan) { p.Stages[0].ResultBytes = -1 },
		func(p *Plan) { p.Stages[1].ResultBytes = math.MinInt64 },
		func(p *Plan) { p.Stages[1].DependsOn = []int{-1} },
		func(p *Plan) { p.Stages[1].DependsOn = []int{7} },
		func(p *Plan) { p.Stages = make([]Stage, 100_000) },
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				peers := newFakePeers("a", "b")
				newDispatchers(newFakeEndpoints(), peers)
				p := newPlan("r", 2*time.Second)
				change(p)
				payload, err := cbor.Marshal(runRequest{Plan: *p, SoftDeadlineIn: time.Second, HardDeadlineIn: 2 * time.Second})
				is.NoErr(err)
				encoded, err := peers["b"].Ask(t.Context(), "a", kindRun, payload)
				if err == nil {
					var response runResponse
					is.NoErr(cbor.Unmarshal(encoded, &response))
					is.True(response.Code != "")
				} else {
					is.Equal(verdict.Of(err), verdict.NotRun)
				}
			})
		})
	}
}

// TestAnyMessageIsSurvived guards against messages of any bytes and values.
func TestAnyMessageIsSurvived(t *testing.T) {
	number := rapid.SampledFrom([]int{math.MinInt, -1, 0, 1, 3, 1 << 20, math.MaxInt})
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom([]string{kindRun, kindFree, kindCancel}).Draw(rt, "kind")
		payload := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(rt, "bytes")
		if rapid.Bool().Draw(rt, "plan") {
			p := Plan{Request: "r", Priority: number.Draw(rt, "priority"), Zone: rapid.String().Draw(rt, "zone")}
			for range rapid.IntRange(0, 4).Draw(rt, "stages") {
				p.Stages = append(p.Stages, Stage{Service: rapid.SampledFrom([]string{"encode", "rank", "none"}).Draw(rt, "service"), Pieces: number.Draw(rt, "pieces"),
					ResultBytes: int64(number.Draw(rt, "bytes")), DependsOn: rapid.SliceOfN(number, 0, 2).Draw(rt, "depends")})
			}
			encoded, err := cbor.Marshal(runRequest{Plan: p, SoftDeadlineIn: time.Duration(number.Draw(rt, "soft")), HardDeadlineIn: time.Duration(number.Draw(rt, "hard")), Group: rapid.String().Draw(rt, "group")})
			if err != nil {
				rt.Fatal(err)
			}
			payload = encoded
		}
		synctest.Test(t, func(t *testing.T) {
			peers := newFakePeers("a", "b")
			newDispatchers(newFakeEndpoints(), peers)
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			_, _ = peers["b"].Ask(ctx, "a", kind, payload)
			<-time.After(40 * time.Second)
		})
	})
}

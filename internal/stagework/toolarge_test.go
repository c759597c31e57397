package stagework

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// TestPlanWhoseResultsFitNowhereIsRefusedAtOnce guards against requests that wait until their deadline
// for storage that the endpoints of a stage don't have.
func TestPlanWhoseResultsFitNowhereIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDispatchers(newFakeEndpoints(), newFakePeers("edge-1"))["edge-1"]
		start := time.Now()
		p := newPlan("r", 2*time.Second)
		p.Stages[1].Pieces, p.Stages[1].ResultBytes = 100, 1e6 // three endpoints hold 66 MB
		_, err := d.Execute(context.Background(), p)
		is.Equal(verdict.From(err).Code, verdict.CodeNoCapacity)
		is.Equal(verdict.Of(err), verdict.NotRun)
		is.True(verdict.From(err).RetryAfter > 0)
		is.Equal(time.Since(start), time.Duration(0))
		p.Stages[1].Pieces = 4
		_, err = d.Execute(context.Background(), p)
		is.NoErr(err)
	})
}

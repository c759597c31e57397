package app_test

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/invariant"
	"github.com/pimentorill/pimentorill/internal/standin"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

// Replaces all hosts of a fleet one after the other under load. No request is
// interrupted, and the verdict of every failure that a caller gets is not_run.
func TestRollingRestartUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const hosts, callers = 8, 6
	bed := testbed.Start(t, testbed.Config{Hosts: hosts})
	caller := testbed.NewCaller(bed.CallerAddresses, &invariant.Recorder{})
	var answered, notRun, otherFailures atomic.Int64
	var stopped atomic.Bool
	var callersDone sync.WaitGroup
	for range callers {
		callersDone.Go(func() {
			for !stopped.Load() {
				result := caller.SendWithRetries(t.Context(), standin.PipelineGuidebook, testbed.Customer, "", json.RawMessage(`"route"`))
				if result.Response != nil {
					answered.Add(1)
				}
				for _, r := range result.Failures {
					if r.Verdict == verdict.NotRun {
						notRun.Add(1)
						continue
					}
					otherFailures.Add(1)
					t.Logf("%v %v: %s", r.Code, r.Verdict, r.Message)
				}
			}
		})
	}
	interrupted := 0
	for i := range hosts {
		bed.StartHost(t, i+hosts+1) // in the zone of host i: the index modulo the 3 zones gives the zone
		interrupted += bed.Stop(i)
	}
	stopped.Store(true)
	callersDone.Wait()
	t.Logf("%d hosts replaced: %d answered, %d not_run, %d other", hosts, answered.Load(), notRun.Load(), otherFailures.Load())
	is.Equal(interrupted, 0)
	is.Equal(otherFailures.Load(), int64(0))
	is.True(answered.Load() > hosts)
}

package gather

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// TestEndpointWithoutStorageIsNotCalledOverAndOver guards against a job that sends its pieces to an
// endpoint without storage again and again until its
// deadline: each call takes the endpoint's time. It is dispatched every 10 ms, as by the scheduler, and
// the endpoint truthfully reports every 300 ms that nothing is free, or makes no reports.
func TestEndpointWithoutStorageIsNotCalledOverAndOver(t *testing.T) {
	for name, reports := range map[string]bool{"reports": true, "no reports": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := newQueue("kranj")
			j := newJob("a", 2, 8000)
			j.HardDeadline = epoch.Add(8 * time.Second)
			q.Add(epoch, j)
			calls, measure := 0, epoch
			var measured []*Call
			for now := epoch; len(q.Expire(now)) == 0 && q.Len() > 0; now = now.Add(10 * time.Millisecond) {
				if reports && !now.Before(measure) && len(measured) > 0 {
					q.StartMeasurements()
					q.ApplyMeasurement(now, measured[0].Endpoint, 0, true)
					measure = now.Add(300 * time.Millisecond)
				}
				for _, c := range q.NextCalls(now) {
					calls++
					measured = append(measured, c)
					results := successfulResults(c)
					for i := range results {
						results[i] = port.PieceResult{Failure: port.PieceNoSpace}
					}
					q.CompleteCall(now.Add(5*time.Millisecond), c, results, nil, false)
				}
			}
			t.Logf("%d calls in 8 s", calls)
			is.True(calls <= 40)
		})
	}
}

package stagework

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestPlansNotStartedMoveToANewCoordinator saturates the endpoints of the old
// coordinator, then a host that comes first among the candidates returns: plans
// that wait move to it, plans that have started stay.
func TestPlansNotStartedMoveToANewCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeEndpoints()
		hosts := newFakePeers("a", "b", "c")
		dispatchers := newDispatchers(s, hosts)
		hosts["c"].unlisted["a"] = true // "a" is gone: "b" is the coordinator
		ctx, end := context.WithCancel(context.Background())
		defer end()
		coordinators := make(chan string, 40)
		for i := range 40 {
			go func() {
				p := newPlan(string(rune('A'+i)), 20*time.Second)
				got, err := dispatchers["c"].Execute(ctx, p)
				if err != nil {
					coordinators <- err.Error()
					return
				}
				coordinators <- got.Coordinator
			}()
		}
		<-time.After(100 * time.Millisecond)
		hosts["c"].mu.Lock()
		delete(hosts["c"].unlisted, "a")
		hosts["c"].mu.Unlock()
		go dispatchers["b"].Run(ctx)
		count := make(map[string]int)
		for range 40 {
			count[<-coordinators]++
		}
		is.Equal(count["a"]+count["b"], 40)
		is.True(count["a"] >= 20) // 15 fit into the first calls
		is.True(count["b"] >= 10)
	})
}

func TestPlanIsHandedOverAtMostOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newTestScheduler(newFakeEndpoints(), "b", 1)
		started := newPlan("full", 5*time.Second)
		started.Stages[0].Pieces = 60
		handedOver := newPlan("moved", 5*time.Second)
		handedOver.HandedOver = true
		ended := make(chan error, 2)
		go func() { _, err := d.Execute(t.Context(), started); ended <- err }()
		synctest.Wait()
		go func() { _, err := d.Execute(t.Context(), handedOver); ended <- err }()
		synctest.Wait()
		is.Equal(d.handOver(), 0) // one has started, the other was handed over by another coordinator
		is.NoErr(<-ended)
		is.NoErr(<-ended)
	})
}

// A coordinator that shuts down while the store is unavailable can't announce
// it. It redirects the plans of other hosts until they learn of it.
func TestCoordinatorShuttingDownRedirectsPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeEndpoints()
		hosts := newFakePeers("a", "b", "c")
		dispatchers := newDispatchers(s, hosts)
		hosts["a"].shuttingDown = true
		got, err := dispatchers["c"].Execute(context.Background(), newPlan("r", 2*time.Second))
		is.NoErr(err)
		is.Equal(got.Coordinator, "b")
		hosts["b"].shuttingDown = true
		got, err = dispatchers["c"].Execute(context.Background(), newPlan("s", 2*time.Second))
		is.NoErr(err)
		is.Equal(got.Coordinator, "b") // a plan is redirected only once
	})
}

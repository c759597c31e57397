package stagework

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestPlansNotStartedMoveToANewCoordinator fills the old keeper's endpoints and
// has an older host come back: what waits goes there, what has begun stays.
func TestPlansNotStartedMoveToANewCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeEndpoints()
		hosts := newFakePeers("a", "b", "c")
		makers := newDispatchers(s, hosts)
		hosts["c"].unlisted["a"] = true // "a" is gone: "b" is the keeper
		ctx, end := context.WithCancel(context.Background())
		defer end()
		keepers := make(chan string, 40)
		for i := range 40 {
			go func() {
				p := newPlan(string(rune('A'+i)), 20*time.Second)
				got, err := makers["c"].Execute(ctx, p)
				if err != nil {
					keepers <- err.Error()
					return
				}
				keepers <- got.Coordinator
			}()
		}
		<-time.After(100 * time.Millisecond)
		hosts["c"].mu.Lock()
		delete(hosts["c"].unlisted, "a")
		hosts["c"].mu.Unlock()
		go makers["b"].Run(ctx)
		count := make(map[string]int)
		for range 40 {
			count[<-keepers]++
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
		full := newPlan("full", 5*time.Second)
		full.Stages[0].Pieces = 60
		moved := newPlan("moved", 5*time.Second)
		moved.HandedOver = true
		ended := make(chan error, 2)
		go func() { _, err := d.Execute(t.Context(), full); ended <- err }()
		synctest.Wait()
		go func() { _, err := d.Execute(t.Context(), moved); ended <- err }()
		synctest.Wait()
		is.Equal(d.handOver(), 0) // one has begun, the other has come from a keeper
		is.NoErr(<-ended)
		is.NoErr(<-ended)
	})
}

// A host that ends while the store is away can't tell the others; it passes their
// plans on until they find out.
func TestCoordinatorShuttingDownRedirectsPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeEndpoints()
		hosts := newFakePeers("a", "b", "c")
		makers := newDispatchers(s, hosts)
		hosts["a"].shuttingDown = true
		got, err := makers["c"].Execute(context.Background(), newPlan("r", 2*time.Second))
		is.NoErr(err)
		is.Equal(got.Coordinator, "b")
		hosts["b"].shuttingDown = true
		got, err = makers["c"].Execute(context.Background(), newPlan("s", 2*time.Second))
		is.NoErr(err)
		is.Equal(got.Coordinator, "b") // a plan is passed on once
	})
}

package stagework

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestANewKeeperBeginsWhatTheOldOneHasNot fills the old keeper's endpoints and
// has an older host come back: what waits goes there, what has begun stays.
func TestANewKeeperBeginsWhatTheOldOneHasNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newShop()
		hosts := newFleet("a", "b", "c")
		makers := newMakers(s, hosts)
		hosts["c"].absent["a"] = true // "a" is gone: "b" is the keeper
		ctx, end := context.WithCancel(context.Background())
		defer end()
		keepers := make(chan string, 40)
		for i := range 40 {
			go func() {
				p := plan(string(rune('A'+i)), 20*time.Second)
				got, err := makers["c"].Make(ctx, p)
				if err != nil {
					keepers <- err.Error()
					return
				}
				keepers <- got.Keeper
			}()
		}
		<-time.After(100 * time.Millisecond)
		hosts["c"].mu.Lock()
		delete(hosts["c"].absent, "a")
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

func TestAPlanIsHandedOverOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(newShop(), "b", 1)
		full := plan("full", 5*time.Second)
		full.Stages[0].Pieces = 60
		moved := plan("moved", 5*time.Second)
		moved.Moved = true
		ended := make(chan error, 2)
		go func() { _, err := d.Do(t.Context(), full); ended <- err }()
		synctest.Wait()
		go func() { _, err := d.Do(t.Context(), moved); ended <- err }()
		synctest.Wait()
		is.Equal(d.handOver(), 0) // one has begun, the other has come from a keeper
		is.NoErr(<-ended)
		is.NoErr(<-ended)
	})
}

// A host that ends while the store is away can't tell the others; it passes their
// plans on until they find out.
func TestAKeeperThatLeavesPassesPlansOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newShop()
		hosts := newFleet("a", "b", "c")
		makers := newMakers(s, hosts)
		hosts["a"].leaving = true
		got, err := makers["c"].Make(context.Background(), plan("r", 2*time.Second))
		is.NoErr(err)
		is.Equal(got.Keeper, "b")
		hosts["b"].leaving = true
		got, err = makers["c"].Make(context.Background(), plan("s", 2*time.Second))
		is.NoErr(err)
		is.Equal(got.Keeper, "b") // a plan is passed on once
	})
}

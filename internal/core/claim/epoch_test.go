package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// Guards against the use of a claim that was acknowledged in an epoch that has ended, or
// before other hosts had written their claims again.
func TestClaimIsUsedOnlyInTheEpochOfItsAcknowledgement(t *testing.T) {
	is := is.New(t)
	s := newEpochState()
	now := simulationStart
	held := 0
	confirm := func(epoch int64, requestedAt time.Time) bool {
		return s.confirm(epoch, requestedAt, func() { held++ })
	}
	is.True(confirm(0, now)) // a store that names no epoch
	is.True(s.learn(1, now, 0))
	is.True(!confirm(0, now))
	is.True(!confirm(1, now)) // claims may not be back
	s.setOpen(1, now)
	is.True(confirm(1, now))
	is.True(s.learn(2, now, 0))
	is.True(!s.learn(1, now, 0))
	s.setOpen(1, now) // of the epoch that has ended
	is.True(!confirm(2, now))
	s.setOpen(2, now.Add(time.Second))
	is.True(!confirm(1, now.Add(time.Second)))
	is.True(!confirm(2, now))
	is.True(confirm(2, now.Add(time.Second)))
	is.Equal(held, 3)
}

// Guards against a write on a revision of before a restore, which the store has given to
// another host's claim since.
func TestClaimOfTheNextEpochIsNotOverwritten(t *testing.T) {
	is := is.New(t)
	var errs, duplicateErrs []error
	synctest.Test(t, func(*testing.T) {
		sleep(time.Until(simulationStart))
		random := newRandomSource(1)
		store := newMemoryStore(random)
		begin := func(c *Claims, i int) (Decision, error) {
			return c.Begin(context.Background(), Request{Customer: testCustomer, Key: keyInFirstShard(i, keyUndated), Deadline: time.Now().Add(time.Second)})
		}
		newHost := func() *Claims {
			return New(Config{Store: store, Clock: port.SystemClock{}, Random: random, ClaimWindow: func() time.Duration { return testWindow }})
		}
		empty := store.copy()
		first, second, third := newHost(), newHost(), newHost()
		_, firstErr := begin(first, 0)
		store.restore(empty)
		_, secondErr := begin(second, 1) // gets the revision of the first claim
		_, thirdErr := begin(first, 2)
		errs = []error{firstErr, secondErr, thirdErr}
		for i := range 3 {
			_, err := begin(third, i)
			duplicateErrs = append(duplicateErrs, err)
		}
		sleep(time.Minute) // until the writers are idle
	})
	for i := range 3 {
		is.NoErr(errs[i])
		is.True(duplicateErrs[i] != nil) // claimed
	}
}

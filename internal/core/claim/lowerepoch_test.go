package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// TestKeysAreClaimedAfterTheStoreNamesALowerEpoch guards against callers' keys that are refused for
// good after the store names a lower epoch than before, or none: it was set up anew, or is of an
// earlier build again.
func TestKeysAreClaimedAfterTheStoreNamesALowerEpoch(t *testing.T) {
	for name, epoch := range map[string]int64{"set up anew": 1, "earlier build": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(scenario{seed: 1, keys: []keyKind{keyUndated, keyUndated}})
				defer func() {
					for _, h := range sim.hosts {
						h.Close()
					}
					sleep(time.Minute)
				}()
				// claimWithin submits a key once a second until it has run or the time is over.
				claimWithin := func(d time.Duration, key string) (err error) {
					for start := time.Now(); time.Since(start) < d; sleep(time.Second) {
						var decision Decision
						decision, err = sim.hosts[0].Begin(context.Background(), Request{Customer: testCustomer, Key: key, Digest: DigestOf("booking", []byte("x")), Deadline: time.Now().Add(4 * time.Second)})
						if err == nil && decision.Kind == Run {
							decision.Execution.Finish([]byte(`1`), nil)
						}
						if err == nil {
							return nil
						}
					}
					return err
				}
				restart := func(epoch int64) {
					sim.store.mu.Lock()
					defer sim.store.mu.Unlock()
					sim.store.epoch, sim.store.entries = epoch, map[string]port.Entry{}
				}
				restart(3)
				is.NoErr(claimWithin(30*time.Second, "before"))
				restart(epoch)
				is.NoErr(claimWithin(5*time.Minute, "after"))
			})
		})
	}
}

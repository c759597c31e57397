package claim

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// restoreOnce replaces the store's entries, after some time, by those of now, as if it
// came back from an older copy.
func (sim *simulation) restoreOnce(after time.Duration) {
	sim.store.mu.Lock()
	entries, expiresAt, revision := maps.Clone(sim.store.entries), maps.Clone(sim.store.expiresAt), sim.store.revision
	sim.store.mu.Unlock()
	sleep(after)
	sim.store.mu.Lock()
	defer sim.store.mu.Unlock()
	sim.store.entries, sim.store.expiresAt, sim.store.revision = entries, expiresAt, revision
}

// violationsAfterRestore submits a key to one host, restores the store from a copy of
// before, and submits the key to another host.
func violationsAfterRestore(t *testing.T, kind keyKind) (violations []string) {
	sc := scenario{seed: 1, keys: []keyKind{kind}, submissions: []submission{{at: 100 * time.Millisecond, host: 0}, {at: 6 * time.Second, host: 1}}}
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(sc)
		go sim.restoreOnce(3 * time.Second)
		violations = sim.runScenario(sc)
	})
	return violations
}

// An issued key is run by the host that issued it, which remembers it without the store.
func TestIssuedKeyRunsOnceAcrossARestore(t *testing.T) {
	is := is.New(t)
	is.Equal(len(violationsAfterRestore(t, keyIssued)), 0)
}

// Guards against a second run of a key whose claim was acknowledged and then lost with
// the store's last seconds.
func TestCallersKeyRunsOnceAcrossARestore(t *testing.T) {
	for _, kind := range []keyKind{keyUndated, keyDated} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			is := is.New(t)
			violations := violationsAfterRestore(t, kind)
			t.Log(violations)
			is.Equal(len(violations), 0)
		})
	}
}

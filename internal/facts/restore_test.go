package facts

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// usableIDs returns the IDs of the usable endpoints.
func usableIDs(r *Replica) []string {
	ids := []string{}
	for _, e := range r.Current().Usable["pool"] {
		ids = append(ids, e.ID)
	}
	return ids
}

// Guards against a host that ignores the store after a restore, because revisions are
// given out again.
func TestChangesAfterARestoreAreApplied(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "7")
	store.put("end/a", "kranj ready 1")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, observer *recordingObserver) {
		items, revision := store.backup()
		for i := range 20 {
			store.put("end/a", fmt.Sprint("kranj ready 1 ", i))
			advance(100 * time.Millisecond)
		}
		store.restore(items, revision)
		advance(time.Second)
		is.Equal(observer.restores, 1)
		is.Equal(replica.Current().Position, port.StorePosition{Epoch: 1, Revision: revision})
		store.put("config/", "8")
		store.put("end/b", "celje ready 2")
		advance(minWatchInterval)
		is.Equal(replica.Current().Config.Version, int64(8))
		is.Equal(usableIDs(replica), []string{"a", "b"})
		store.remove("end/a")
		advance(minWatchInterval)
		is.Equal(usableIDs(replica), []string{"b"})
	})
}

// Guards against an older configuration, and with it a key that was taken away, coming
// into force again, on this host or on one that gets its state.
func TestConfigurationDoesNotGoBackInARestore(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "7")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		items, revision := store.backup()
		store.put("config/", "9")
		advance(time.Second)
		store.restore(items, revision)
		for range 20 {
			advance(500 * time.Millisecond)
			is.Equal(replica.Current().Config.Version, int64(9))
		}
		d := replica.Dump(context.Background())
		is.Equal(string(d.Items[0].Value), "9")
		is.Equal(d.Epoch, int64(1))
		store.put("config/", "9") // written again, with a revision given out before
		advance(time.Second)
		is.Equal(replica.Current().Config.Version, int64(9))
		store.put("config/", "12")
		advance(time.Second)
		is.Equal(replica.Current().Config.Version, int64(12))
	})
}

// Guards against requests to endpoints that leave or have left: the copy holds their
// entries as ready.
func TestLeavingEndpointDoesNotReturnInARestore(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	for _, id := range []string{"draining", "gone", "restarted", "stays"} {
		store.put("end/"+id, "kranj ready 1")
	}
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		items, revision := store.backup()
		store.put("end/draining", "kranj draining 1")
		store.remove("end/gone")
		store.put("end/restarted", "kranj ready 5")
		advance(2 * time.Second)
		store.restore(items, revision)
		advance(time.Second)
		is.Equal(usableIDs(replica), []string{"restarted", "stays"})
		is.Equal(replica.Current().Usable["pool"][0].StartedUnixMs, int64(5)) // not the incarnation before
		store.put("end/draining", "kranj draining 1")
		store.remove("end/gone")
		store.put("end/restarted", "kranj ready 5")
		advance(10 * time.Second)
		is.Equal(usableIDs(replica), []string{"restarted", "stays"})
		store.put("end/gone", "kranj ready 9") // a new incarnation
		advance(time.Second)
		is.Equal(usableIDs(replica), []string{"gone", "restarted", "stays"})
	})
}

// An entry that the copy holds is the truth if its writer doesn't say otherwise in time.
func TestEntryOfARestoredStoreIsUsedAfterTheGrace(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	store.put("end/a", "kranj ready 1")
	store.put("end/b", "kranj ready 1")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		items, revision := store.backup()
		store.remove("end/a") // it did not reach the store for a while, and lives
		advance(time.Second)
		store.restore(items, revision)
		advance(restoreGrace - time.Second)
		is.Equal(usableIDs(replica), []string{"b"})
		advance(2 * time.Second)
		is.Equal(usableIDs(replica), []string{"a", "b"})
	})
}

// Guards against endpoints that are used for long after the store has lost them, and
// against a gap in service until they have registered again.
func TestEndpointLostInARestoreIsKeptUntilItShouldHaveRegistered(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		items, revision := store.backup()
		store.put("end/a", "kranj ready 1")
		store.put("end/b", "kranj ready 1")
		advance(time.Second)
		store.restore(items, revision)
		advance(time.Second)
		is.Equal(usableIDs(replica), []string{"a", "b"})
		store.put("end/a", "kranj ready 1")
		advance(reregistrationTime + 500*time.Millisecond)
		is.Equal(usableIDs(replica), []string{"a"})
	})
}

// Guards against work in a zone that the operator has evacuated.
func TestEvacuatedZoneStaysOutInARestore(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	store.put("end/a", "kranj ready 1")
	store.put("end/b", "celje ready 1")
	store.put("out/celje", "")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		items, revision := store.backup()
		store.put("out/kranj", "")
		store.remove("out/celje")
		advance(time.Second)
		is.Equal(usableIDs(replica), []string{"b"})
		store.restore(items, revision) // kranj is in, celje out
		advance(time.Second)
		is.Equal(usableIDs(replica), []string{"b"})
		store.put("out/kranj", "")
		store.remove("out/celje")
		advance(2 * restoreGrace)
		is.Equal(usableIDs(replica), []string{"b"})
		store.put("out/celje", "") // a new evacuation applies at once
		advance(minWatchInterval)
		is.Equal(usableIDs(replica), []string{})
	})
}

// A host that is paused or cut off across the restore finds revisions beyond its own,
// which belong to other changes.
func TestHostWithoutTheStoreAcrossARestoreStartsAnew(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "7")
	store.put("end/a", "kranj ready 1")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		items, revision := store.backup()
		store.put("config/", "8")
		store.put("end/a", "kranj draining 1")
		advance(time.Second)
		store.update(func() { store.unavailable = true })
		advance(time.Second)
		store.restore(items, revision)
		for i := range 10 { // more changes than were lost
			store.put("end/b", fmt.Sprint("celje ready ", i+1))
		}
		advance(4 * time.Second)
		store.update(func() { store.unavailable = false })
		advance(2 * time.Second)
		is.Equal(replica.Current().Config.Version, int64(8))
		is.Equal(usableIDs(replica), []string{"b"})
		is.Equal(replica.Current().Usable["pool"][0].StartedUnixMs, int64(10))
	})
}

// Guards against the state of a host that has not noticed the restore.
func TestStateOfAnEarlierEpochIsIgnored(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "4")
	fetch := func(context.Context) (*Dump, error) {
		return &Dump{Revision: 9000, Items: []port.KeyValue{{Key: "end/old", Value: []byte("kranj ready 1"), Revision: 8999}, {Key: "config/", Value: []byte("4"), Revision: 1}}}, nil
	}
	runReplica(t, store, fetch, func(is *is.I, replica *Replica, _ *recordingObserver) {
		items, revision := store.backup()
		store.restore(items, revision)
		advance(time.Second)
		store.update(func() { store.unavailable = true })
		advance(2 * time.Second)
		is.Equal(usableIDs(replica), []string{})
		is.Equal(replica.Current().Position.Epoch, int64(1))
	})
}

// A host that is cut off from the store learns of a restore from another one.
func TestRestoreIsLearnedFromAnotherHost(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "4")
	store.put("end/a", "kranj ready 1")
	fetch := func(context.Context) (*Dump, error) {
		return &Dump{Epoch: 1, Revision: 3, Items: []port.KeyValue{
			{Key: "config/", Value: []byte("5"), Revision: 2, Epoch: 1}, {Key: "end/a", Value: []byte("kranj draining 1"), Revision: 3, Epoch: 1}}}, nil
	}
	runReplica(t, store, fetch, func(is *is.I, replica *Replica, observer *recordingObserver) {
		store.update(func() { store.unavailable = true })
		advance(2 * time.Second)
		is.Equal(observer.restores, 1)
		is.Equal(replica.Current().Config.Version, int64(5))
		is.Equal(usableIDs(replica), []string{})
	})
}

// Guards against a request that crashes endpoints getting through because its refusal
// was lost.
func TestRefusalIsKeptInARestore(t *testing.T) {
	s := newState()
	cfg := testConfig()
	apply := func(at time.Time, position port.StorePosition, items ...port.KeyValue) {
		s.apply(cfg, update{items: items, position: position, complete: true}, at)
	}
	is := is.New(t)
	now := time.Unix(1000, 0)
	apply(now, port.StorePosition{Revision: 5}, port.KeyValue{Key: "refuse/x", Revision: 5})
	holdsEntry := func() bool { _, ok := s.crashEntries["x"]; return ok }
	is.True(holdsEntry())
	apply(now, port.StorePosition{Epoch: 1, Revision: 4})
	s.applyExpired(cfg, now.Add(refusalRetention-time.Second))
	is.True(holdsEntry())
	s.applyExpired(cfg, now.Add(refusalRetention))
	is.True(!holdsEntry())
}

// Guards against hosts that forget each other until all have registered again.
func TestHostsAreKeptInARestore(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		items, revision := store.backup()
		value, err := json.Marshal(Host{ID: "edge-1", Address: "10.0.0.1:1", StartedUnixMs: 7})
		is.NoErr(err)
		store.put("own/hosts/edge-1", string(value))
		advance(time.Second)
		store.restore(items, revision)
		advance(time.Second)
		is.Equal(len(replica.Current().Hosts), 1)
		advance(reregistrationTime)
		is.Equal(len(replica.Current().Hosts), 0)
	})
}

// TestRandomRestoresLoseNothingForLong draws changes, restores and the order and delay in
// which what was lost is written again, for each of 200 seeds. Whenever the writers have
// been done for a while, the replica holds what they wrote last; in between, its
// configuration never goes back and it uses no endpoint that it has known to leave.
func TestRandomRestoresLoseNothingForLong(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			w := newRandomWriter(t, seed)
			for range 1 + w.rng.IntN(3) {
				w.changeAndRestore()
			}
			advance(10 * time.Second)
			w.checkFinal()
		})
	}
}

// randomWriter is the operator and the endpoints, which write to a store that a replica
// follows.
type randomWriter struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	store   *fakeStore
	replica *Replica
	// written holds what was written last, by key; removed keys are absent.
	written       map[string]string
	version, born int
}

func newRandomWriter(t *testing.T, seed uint64) *randomWriter {
	w := &randomWriter{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), store: newFakeStore(), written: make(map[string]string), version: 1}
	w.write("config/", "1")
	w.replica = New(testConfigWith(w.store))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); synctest.Wait() })
	go w.replica.Run(ctx)
	advance(minWatchInterval)
	return w
}

// write writes a value, or removes the key if the value is empty.
func (w *randomWriter) write(key, value string) {
	if value == "" {
		w.store.remove(key)
		delete(w.written, key)
		return
	}
	w.store.put(key, value)
	w.written[key] = value
}

func (w *randomWriter) pause(atMost time.Duration) {
	advance(time.Duration(w.rng.Int64N(int64(atMost))))
}

// changeAndRestore makes up to eight changes, restores the store from a copy of before,
// and writes what was changed again in any order.
func (w *randomWriter) changeAndRestore() {
	items, revision := w.store.backup()
	lost := make(map[string]bool)
	for range w.rng.IntN(9) {
		lost[w.change()] = true
		w.pause(900 * time.Millisecond)
	}
	advance(watchBurst * minWatchInterval)
	before := w.replica.Current().Config.Version
	w.store.restore(items, revision)
	keys := keysOf(lost)
	w.rng.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	for _, key := range keys {
		w.pause(300 * time.Millisecond)
		w.checkMeanwhile(before)
		w.write(key, w.written[key])
	}
}

// change makes a random change and returns its key.
func (w *randomWriter) change() string {
	key := "end/" + string(rune('a'+w.rng.IntN(3)))
	switch w.rng.IntN(5) {
	case 0:
		w.version++
		key = "config/"
		w.write(key, fmt.Sprint(w.version))
	case 1:
		w.born++
		w.write(key, fmt.Sprint("kranj ready ", w.born))
	case 2:
		if old, ok := w.written[key]; ok {
			w.write(key, strings.Replace(old, "ready", "draining", 1))
		}
	case 3:
		w.write(key, "")
	case 4:
		key = "out/kranj"
		w.write(key, []string{"", "out"}[w.rng.IntN(2)])
	}
	return key
}

// checkMeanwhile checks what must hold before all is written again.
func (w *randomWriter) checkMeanwhile(lowestVersion int64) {
	if v := w.replica.Current().Config.Version; v < lowestVersion {
		w.t.Errorf("seed %d: configuration %d after %d", w.seed, v, lowestVersion)
	}
	for _, id := range usableIDs(w.replica) {
		if !strings.HasPrefix(w.written["end/"+id], "kranj ready") {
			w.t.Errorf("seed %d: endpoint %s is used, its entry was %q", w.seed, id, w.written["end/"+id])
		}
	}
}

// checkFinal checks that the replica holds what was written last.
func (w *randomWriter) checkFinal() {
	if v := w.replica.Current().Config.Version; fmt.Sprint(v) != w.written["config/"] {
		w.t.Errorf("seed %d: configuration %d, want %s", w.seed, v, w.written["config/"])
	}
	want := []string{}
	for _, id := range []string{"a", "b", "c"} {
		if strings.HasPrefix(w.written["end/"+id], "kranj ready") && w.written["out/kranj"] == "" {
			want = append(want, id)
		}
	}
	if got := usableIDs(w.replica); !slices.Equal(got, want) {
		w.t.Errorf("seed %d: usable endpoints %v, want %v", w.seed, got, want)
	}
}

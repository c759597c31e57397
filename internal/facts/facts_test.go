package facts

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// runReplica calls fn inside a synctest bubble with a running Replica that has read
// the store.
func runReplica(t *testing.T, store *fakeStore, fetch PeerFetcher, fn func(is *is.I, replica *Replica, observer *recordingObserver)) {
	synctest.Test(t, func(t *testing.T) {
		observer := &recordingObserver{}
		replica := New(Config{Store: store, Decoder: testDecoder{}, Observer: observer, Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler), FetchFromPeer: fetch})
		ctx, cancel := context.WithCancel(t.Context())
		go replica.Run(ctx)
		synctest.Wait()
		fn(is.New(t), replica, observer)
		cancel()
		synctest.Wait()
	})
}

// countUsable returns the number of usable endpoints of testDecoder's service.
func countUsable(s *Snapshot) int { return len(s.Usable["pool"]) }

// advance lets the bubble's time pass by d and waits until all goroutines block.
func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func TestChangesAreAppliedWhenTheWatchReportsThem(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "7")
	store.put("end/a", "kranj ready")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, observer *recordingObserver) {
		is.Equal(replica.Current().Config.Version, int64(7))
		is.Equal(countUsable(replica.Current()), 1)
		is.Equal(len(observer.endpointsAfterFirstRead), 0)
		store.put("config/", "9")
		store.put("end/b", "celje ready")
		synctest.Wait()
		is.Equal(replica.Current().Config.Version, int64(9))
		is.Equal(countUsable(replica.Current()), 2)
		is.Equal(observer.endpointsAfterFirstRead, []string{"b"})
		store.put("end/a", "kranj draining")
		synctest.Wait()
		is.Equal(countUsable(replica.Current()), 1)
		store.remove("end/b")
		synctest.Wait()
		is.Equal(countUsable(replica.Current()), 0)
	})
}

// Guards against a store load of hosts times changes: when 82 hosts started, each
// made a call for nearly every one of 227 entries.
func TestManyChangesTakeFewWatches(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		before := store.watchCount()
		for i := range 250 { // over 5 s
			store.put(fmt.Sprint("end/", i), "kranj ready")
			advance(20 * time.Millisecond)
		}
		is.True(store.watchCount()-before <= watchBurst+int(5*time.Second/minWatchInterval)+1)
		advance(minWatchInterval)
		is.Equal(countUsable(replica.Current()), 250)
	})
}

func TestWatchesOfAllHostsTogetherAreBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(watchInterval(0), minWatchInterval)
	is.Equal(watchInterval(8), minWatchInterval)
	is.Equal(watchInterval(62), 620*time.Millisecond)
	is.Equal(watchInterval(360), maxWatchInterval)
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "7")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		store.put("config/", "5")
		synctest.Wait()
		is.Equal(replica.Current().Config.Version, int64(7))
		store.put("config/", "no number")
		synctest.Wait()
		is.Equal(replica.Current().Config.Version, int64(7))
	})
}

func TestEndpointsAreReportedPossiblyColdWhenTheirZonesEvacuationEnds(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	store.put("end/a", "kranj ready")
	store.put("end/b", "celje ready")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, observer *recordingObserver) {
		store.put("out/kranj", "")
		synctest.Wait()
		is.Equal(countUsable(replica.Current()), 1)
		is.Equal(replica.Current().Usable["pool"][0].ID, "b")
		store.remove("out/kranj")
		synctest.Wait()
		is.Equal(countUsable(replica.Current()), 2)
		is.Equal(observer.coldEndpoints, []string{"a"})
	})
}

func TestCompactionTriggersACompleteRead(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		store.update(func() {
			store.revision += 50 // beyond the revision that the replica watches from
			store.oldestRevision = store.revision
			store.history = nil
			store.items["config/"] = port.KeyValue{Key: "config/", Value: []byte("3"), Revision: store.revision}
		})
		advance(100 * time.Millisecond)
		is.Equal(replica.Current().Config.Version, int64(3))
	})
}

func TestEntriesThatExpiredInAnOutageAreKeptForReregistrationTime(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	store.put("end/a", "kranj ready")
	store.put("end/b", "celje ready")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		store.update(func() { store.unavailable = true })
		advance(3 * time.Second) // more than minExpiryOutage
		is.True(!replica.StoreAvailable())
		is.Equal(countUsable(replica.Current()), 2)
		store.remove("end/a")
		store.remove("end/b")
		store.update(func() { store.unavailable = false })
		advance(time.Second)
		is.True(replica.StoreAvailable())
		is.Equal(countUsable(replica.Current()), 2)
		store.put("end/a", "kranj ready")
		advance(reregistrationTime + 500*time.Millisecond)
		is.Equal(countUsable(replica.Current()), 1)
		is.Equal(replica.Current().Usable["pool"][0].ID, "a")
	})
}

func TestSnapshotIsStaleWithoutTheStore(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		advance(10 * time.Second)
		is.True(!replica.Current().Stale(time.Now()))
		store.update(func() { store.unavailable = true })
		advance(staleAfter + time.Second)
		is.True(replica.Current().Stale(time.Now()))
	})
}

func TestStateIsFetchedFromPeersWhileTheStoreIsUnavailable(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	store.put("end/a", "kranj ready")
	peerDump := &Dump{Revision: 99, Items: []port.KeyValue{
		{Key: "config/", Value: []byte("4"), Revision: 98},
		{Key: "end/a", Value: []byte("kranj draining"), Revision: 99},
	}}
	fetches := 0
	fetch := func(context.Context) (*Dump, error) { fetches++; return peerDump, nil }
	runReplica(t, store, fetch, func(is *is.I, replica *Replica, _ *recordingObserver) {
		advance(5 * time.Second)
		is.Equal(fetches, 0)
		store.update(func() { store.unavailable = true })
		advance(2 * time.Second)
		is.True(fetches > 0)
		is.Equal(replica.Current().Config.Version, int64(4))
		is.Equal(countUsable(replica.Current()), 0)
		is.True(!replica.Current().Stale(time.Now()))
	})
}

func TestOlderStateOfPeersIsIgnored(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "4")
	fetch := func(context.Context) (*Dump, error) {
		return &Dump{Revision: 2, Items: []port.KeyValue{{Key: "config/", Value: []byte("1"), Revision: 1}}}, nil
	}
	runReplica(t, store, fetch, func(is *is.I, replica *Replica, _ *recordingObserver) {
		store.update(func() { store.unavailable = true })
		advance(2 * time.Second)
		is.Equal(replica.Current().Config.Version, int64(4))
	})
}

func TestUndecodableEntriesYieldNoEndpoint(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	store.put("end/a", "garbage")
	store.put("end/b", "celje ready")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		is.Equal(countUsable(replica.Current()), 1)
		store.put("end/b", "garbage")
		synctest.Wait()
		is.Equal(countUsable(replica.Current()), 0)
	})
}

func TestDumpContainsAllItems(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	value, err := json.Marshal(Host{ID: "edge-1", Address: "10.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	store.put("own/hosts/edge-1", string(value))
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		is.Equal(replica.Current().Hosts["edge-1"].Address, "10.0.0.1:1")
		d := replica.Dump(context.Background())
		is.Equal(len(d.Items), 2)
		is.Equal(d.Revision, store.revision)
	})
}

func TestUnchangedStoreIsReadOnlyOnce(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	runReplica(t, store, nil, func(is *is.I, _ *Replica, _ *recordingObserver) {
		advance(time.Minute)
		is.Equal(store.ranges, 1)
	})
}

func TestEntryRemovedAfterAnOutageIsRemovedAtOnce(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	store.put("end/a", "kranj ready")
	store.put("end/b", "kranj ready")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		store.update(func() { store.unavailable = true })
		advance(4 * time.Second) // more than minExpiryOutage
		store.update(func() { store.unavailable = false })
		advance(time.Second)
		store.remove("end/a")
		synctest.Wait()
		is.Equal(countUsable(replica.Current()), 1)
	})
}

func TestEntryRemovedInAShortOutageIsNotKept(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "1")
	store.put("end/a", "kranj ready")
	store.put("end/b", "kranj ready")
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		store.update(func() { store.unavailable = true })
		advance(500 * time.Millisecond) // less than minExpiryOutage
		store.remove("end/a")
		store.update(func() { store.unavailable = false })
		advance(time.Second)
		is.Equal(countUsable(replica.Current()), 1)
	})
}

// TestRecordsArePassedOnAndNotKept guards against records of single streams that each host
// keeps and sends to others with all else that it knows.
func TestRecordsArePassedOnAndNotKept(t *testing.T) {
	is := is.New(t)
	var passed []string
	cfg := testConfig()
	cfg.IsRecord = func(key string) bool { return strings.HasPrefix(key, "record/") }
	cfg.OnRecords = func(items []port.KeyValue) {
		for _, item := range items {
			passed = append(passed, item.Key)
		}
	}
	s := newState()
	now := time.Unix(1000, 0)
	item := func(key string, revision int64) port.KeyValue {
		return port.KeyValue{Key: key, Value: []byte("1"), Revision: revision}
	}
	s.apply(cfg, update{items: []port.KeyValue{item("record/a", 4), item("refuse/x", 5)}, position: port.StorePosition{Revision: 5}, complete: true}, now)
	changes, _ := s.apply(cfg, update{items: []port.KeyValue{item("record/b", 6), item("refuse/y", 7)}, position: port.StorePosition{Revision: 7}}, now)
	is.Equal(passed, []string{"record/a", "record/b"})
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Key, "refuse/y")
	is.Equal(len(s.dump(now).Items), 2)
	is.Equal(s.snapshot().Position.Revision, int64(7))
}

// TestCompleteReadLeavesRecordsOut guards against hosts that read the records of all streams
// when they start, or after a gap, so that at hundreds of hosts no read ends in time.
func TestCompleteReadLeavesRecordsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.put("config/", "7")
		store.put("end/a", "kranj ready")
		store.put("record/before", "1")
		var passed []string
		cfg := testConfigWith(store)
		cfg.StatePrefixes = []string{"config/", "end/"}
		cfg.IsRecord = func(key string) bool { return strings.HasPrefix(key, "record/") }
		cfg.OnRecords = func(items []port.KeyValue) {
			for _, item := range items {
				passed = append(passed, item.Key)
			}
		}
		replica := New(cfg)
		is.Equal(replica.Watch(), int64(0))
		ctx, cancel := context.WithCancel(t.Context())
		go replica.Run(ctx)
		synctest.Wait()
		is.Equal(replica.Current().Config.Version, int64(7))
		is.Equal(countUsable(replica.Current()), 1)
		is.Equal(len(passed), 0)
		// What is written during a watch is passed on, and what a gap hides has another watch.
		first := replica.Watch()
		is.True(first != 0)
		store.put("record/during", "1")
		synctest.Wait()
		is.Equal(passed, []string{"record/during"})
		is.Equal(replica.Watch(), first)
		store.update(func() { store.oldestRevision = store.revision + 1 })
		store.put("record/gap", "1")
		advance(3 * time.Second)
		is.Equal(passed, []string{"record/during"})
		is.True(replica.Watch() != first)
		is.Equal(countUsable(replica.Current()), 1)
		cancel()
		synctest.Wait()
	})
}

// TestCompleteReadThatTakesLongEnds guards against hosts that never get to know the state, and
// keep the store busy for good, because what they read takes longer than a call's time bound.
func TestCompleteReadThatTakesLongEnds(t *testing.T) {
	store := newFakeStore()
	store.put("config/", "7")
	store.rangeTime = 2500 * time.Millisecond
	runReplica(t, store, nil, func(is *is.I, replica *Replica, _ *recordingObserver) {
		advance(7 * time.Second)
		is.True(replica.Current().Config != nil)
	})
}

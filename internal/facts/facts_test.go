package facts

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

// follow runs facts on a feed inside a bubble with virtual time.
func runReplica(t *testing.T, f *fakeStore, ask PeerFetcher, fn func(is *is.I, facts *Replica, w *recordingObserver)) {
	synctest.Test(t, func(t *testing.T) {
		w := &recordingObserver{}
		facts := New(Config{Store: f, Decoder: testDecoder{}, Observer: w, Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler), FetchFromPeer: ask})
		ctx, cancel := context.WithCancel(t.Context())
		go facts.Run(ctx)
		synctest.Wait()
		fn(is.New(t), facts, w)
		cancel()
		synctest.Wait()
	})
}

func usable(s *Snapshot) int { return len(s.Usable["pool"]) }

func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func TestChangesAreAppliedWhenTheWatchReportsThem(t *testing.T) {
	f := newFakeStore()
	f.put("config/", "7")
	f.put("end/a", "kranj ready")
	runReplica(t, f, nil, func(is *is.I, facts *Replica, w *recordingObserver) {
		is.Equal(facts.Current().Config.Version, int64(7))
		is.Equal(usable(facts.Current()), 1)
		is.Equal(len(w.freshEndpoints), 0)
		f.put("config/", "9")
		f.put("end/b", "celje ready")
		synctest.Wait()
		is.Equal(facts.Current().Config.Version, int64(9))
		is.Equal(usable(facts.Current()), 2)
		is.Equal(w.freshEndpoints, []string{"b"})
		f.put("end/a", "kranj draining")
		synctest.Wait()
		is.Equal(usable(facts.Current()), 1)
		f.remove("end/b")
		synctest.Wait()
		is.Equal(usable(facts.Current()), 0)
	})
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	f := newFakeStore()
	f.put("config/", "7")
	runReplica(t, f, nil, func(is *is.I, facts *Replica, _ *recordingObserver) {
		f.put("config/", "5")
		synctest.Wait()
		is.Equal(facts.Current().Config.Version, int64(7))
		f.put("config/", "no number")
		synctest.Wait()
		is.Equal(facts.Current().Config.Version, int64(7))
	})
}

func TestEndpointsOfARestoredZoneAreCold(t *testing.T) {
	f := newFakeStore()
	f.put("config/", "1")
	f.put("end/a", "kranj ready")
	f.put("end/b", "celje ready")
	runReplica(t, f, nil, func(is *is.I, facts *Replica, w *recordingObserver) {
		f.put("out/kranj", "")
		synctest.Wait()
		is.Equal(usable(facts.Current()), 1)
		is.Equal(facts.Current().Usable["pool"][0].ID, "b")
		f.remove("out/kranj")
		synctest.Wait()
		is.Equal(usable(facts.Current()), 2)
		is.Equal(w.coldEndpoints, []string{"a"})
	})
}

func TestCompactionTriggersACompleteRead(t *testing.T) {
	f := newFakeStore()
	f.put("config/", "1")
	runReplica(t, f, nil, func(is *is.I, facts *Replica, _ *recordingObserver) {
		f.update(func() {
			f.revision += 50
			f.oldestRevision = f.revision
			f.history = nil
			f.items["config/"] = port.KeyValue{Key: "config/", Value: []byte("3"), Revision: f.revision}
		})
		advance(100 * time.Millisecond)
		is.Equal(facts.Current().Config.Version, int64(3))
	})
}

func TestEntriesThatExpiredInAnOutageAreKeptForReregistrationTime(t *testing.T) {
	f := newFakeStore()
	f.put("config/", "1")
	f.put("end/a", "kranj ready")
	f.put("end/b", "celje ready")
	runReplica(t, f, nil, func(is *is.I, facts *Replica, _ *recordingObserver) {
		f.update(func() { f.unavailable = true })
		advance(3 * time.Second)
		is.True(!facts.StoreAvailable())
		is.Equal(usable(facts.Current()), 2)
		f.remove("end/a")
		f.remove("end/b")
		f.update(func() { f.unavailable = false })
		advance(time.Second)
		is.True(facts.StoreAvailable())
		is.Equal(usable(facts.Current()), 2)
		f.put("end/a", "kranj ready")
		advance(reregistrationTime + 500*time.Millisecond)
		is.Equal(usable(facts.Current()), 1)
		is.Equal(facts.Current().Usable["pool"][0].ID, "a")
	})
}

func TestSnapshotIsStaleWithoutTheStore(t *testing.T) {
	f := newFakeStore()
	f.put("config/", "1")
	runReplica(t, f, nil, func(is *is.I, facts *Replica, _ *recordingObserver) {
		advance(10 * time.Second)
		is.True(!facts.Current().Stale(time.Now()))
		f.update(func() { f.unavailable = true })
		advance(staleAfter + time.Second)
		is.True(facts.Current().Stale(time.Now()))
	})
}

func TestStateIsFetchedFromPeersWhileTheStoreIsUnavailable(t *testing.T) {
	f := newFakeStore()
	f.put("config/", "1")
	f.put("end/a", "kranj ready")
	told := &Dump{Revision: 99, Items: []port.KeyValue{
		{Key: "config/", Value: []byte("4"), Revision: 98},
		{Key: "end/a", Value: []byte("kranj draining"), Revision: 99},
	}}
	asked := 0
	ask := func(context.Context) (*Dump, error) { asked++; return told, nil }
	runReplica(t, f, ask, func(is *is.I, facts *Replica, _ *recordingObserver) {
		advance(5 * time.Second)
		is.Equal(asked, 0)
		f.update(func() { f.unavailable = true })
		advance(2 * time.Second)
		is.True(asked > 0)
		is.Equal(facts.Current().Config.Version, int64(4))
		is.Equal(usable(facts.Current()), 0)
		is.True(!facts.Current().Stale(time.Now()))
	})
}

func TestOlderStateOfPeersIsIgnored(t *testing.T) {
	f := newFakeStore()
	f.put("config/", "4")
	ask := func(context.Context) (*Dump, error) {
		return &Dump{Revision: 2, Items: []port.KeyValue{{Key: "config/", Value: []byte("1"), Revision: 1}}}, nil
	}
	runReplica(t, f, ask, func(is *is.I, facts *Replica, _ *recordingObserver) {
		f.update(func() { f.unavailable = true })
		advance(2 * time.Second)
		is.Equal(facts.Current().Config.Version, int64(4))
	})
}

func TestUndecodableEntriesYieldNoEndpoint(t *testing.T) {
	f := newFakeStore()
	f.put("config/", "1")
	f.put("end/a", "garbage")
	f.put("end/b", "celje ready")
	runReplica(t, f, nil, func(is *is.I, facts *Replica, _ *recordingObserver) {
		is.Equal(usable(facts.Current()), 1)
		f.put("end/b", "garbage")
		synctest.Wait()
		is.Equal(usable(facts.Current()), 0)
	})
}

func TestDumpContainsAllItems(t *testing.T) {
	f := newFakeStore()
	f.put("config/", "1")
	value, err := json.Marshal(Host{ID: "edge-1", Address: "10.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	f.put("own/hosts/edge-1", string(value))
	runReplica(t, f, nil, func(is *is.I, facts *Replica, _ *recordingObserver) {
		is.Equal(facts.Current().Hosts["edge-1"].Address, "10.0.0.1:1")
		d := facts.Dump(context.Background())
		is.Equal(len(d.Items), 2)
		is.Equal(d.Revision, f.revision)
	})
}

func TestUnchangedStoreIsReadOnlyOnce(t *testing.T) {
	f := newFakeStore()
	f.put("config/", "1")
	runReplica(t, f, nil, func(is *is.I, _ *Replica, _ *recordingObserver) {
		advance(time.Minute)
		is.Equal(f.ranges, 1)
	})
}

func TestEntryRemovedAfterAnOutageIsRemovedAtOnce(t *testing.T) {
	f := newFakeStore()
	f.put("config/", "1")
	f.put("end/a", "kranj ready")
	f.put("end/b", "kranj ready")
	runReplica(t, f, nil, func(is *is.I, facts *Replica, _ *recordingObserver) {
		f.update(func() { f.unavailable = true })
		advance(4 * time.Second)
		f.update(func() { f.unavailable = false })
		advance(time.Second)
		f.remove("end/a")
		synctest.Wait()
		is.Equal(usable(facts.Current()), 1)
	})
}

func TestEntryRemovedInAShortOutageIsNotKept(t *testing.T) {
	f := newFakeStore()
	f.put("config/", "1")
	f.put("end/a", "kranj ready")
	f.put("end/b", "kranj ready")
	runReplica(t, f, nil, func(is *is.I, facts *Replica, _ *recordingObserver) {
		f.update(func() { f.unavailable = true })
		advance(500 * time.Millisecond)
		f.remove("end/a")
		f.update(func() { f.unavailable = false })
		advance(time.Second)
		is.Equal(usable(facts.Current()), 1)
	})
}

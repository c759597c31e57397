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
func follow(t *testing.T, f *feed, ask Asker, fn func(is *is.I, facts *Facts, w *watcher)) {
	synctest.Test(t, func(t *testing.T) {
		w := &watcher{}
		facts := New(Config{Feed: f, Decoder: words{}, Observer: w, Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler), Ask: ask})
		ctx, cancel := context.WithCancel(t.Context())
		go facts.Run(ctx)
		synctest.Wait()
		fn(is.New(t), facts, w)
		cancel()
		synctest.Wait()
	})
}

func usable(s *Snapshot) int { return len(s.Usable["pool"]) }

func pause(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func TestChangesAreInForceAsSoonAsTheStoreTells(t *testing.T) {
	f := newFeed()
	f.put("config/", "7")
	f.put("end/a", "kranj ready")
	follow(t, f, nil, func(is *is.I, facts *Facts, w *watcher) {
		is.Equal(facts.Current().Config.Version, int64(7))
		is.Equal(usable(facts.Current()), 1)
		is.Equal(len(w.fresh), 0)
		f.put("config/", "9")
		f.put("end/b", "celje ready")
		synctest.Wait()
		is.Equal(facts.Current().Config.Version, int64(9))
		is.Equal(usable(facts.Current()), 2)
		is.Equal(w.fresh, []string{"b"})
		f.put("end/a", "kranj draining")
		synctest.Wait()
		is.Equal(usable(facts.Current()), 1)
		f.remove("end/b")
		synctest.Wait()
		is.Equal(usable(facts.Current()), 0)
	})
}

func TestAConfigurationNeverGoesBack(t *testing.T) {
	f := newFeed()
	f.put("config/", "7")
	follow(t, f, nil, func(is *is.I, facts *Facts, _ *watcher) {
		f.put("config/", "5")
		synctest.Wait()
		is.Equal(facts.Current().Config.Version, int64(7))
		f.put("config/", "no number")
		synctest.Wait()
		is.Equal(facts.Current().Config.Version, int64(7))
	})
}

func TestAZoneIsTakenOutAndItsEndpointsComeBackCold(t *testing.T) {
	f := newFeed()
	f.put("config/", "1")
	f.put("end/a", "kranj ready")
	f.put("end/b", "celje ready")
	follow(t, f, nil, func(is *is.I, facts *Facts, w *watcher) {
		f.put("out/kranj", "")
		synctest.Wait()
		is.Equal(usable(facts.Current()), 1)
		is.Equal(facts.Current().Usable["pool"][0].ID, "b")
		f.remove("out/kranj")
		synctest.Wait()
		is.Equal(usable(facts.Current()), 2)
		is.Equal(w.cooled, []string{"a"})
	})
}

func TestLostHistoryIsReadAnew(t *testing.T) {
	f := newFeed()
	f.put("config/", "1")
	follow(t, f, nil, func(is *is.I, facts *Facts, _ *watcher) {
		f.set(func() {
			f.revision += 50
			f.oldest = f.revision
			f.history = nil
			f.items["config/"] = port.KeyValue{Key: "config/", Value: []byte("3"), Revision: f.revision}
		})
		pause(100 * time.Millisecond)
		is.Equal(facts.Current().Config.Version, int64(3))
	})
}

func TestEntriesThatLapsedWithTheStoreHaveTimeToComeBack(t *testing.T) {
	f := newFeed()
	f.put("config/", "1")
	f.put("end/a", "kranj ready")
	f.put("end/b", "celje ready")
	follow(t, f, nil, func(is *is.I, facts *Facts, _ *watcher) {
		f.set(func() { f.away = true })
		pause(3 * time.Second)
		is.True(!facts.StoreAnswers())
		is.Equal(usable(facts.Current()), 2)
		f.remove("end/a")
		f.remove("end/b")
		f.set(func() { f.away = false })
		pause(time.Second)
		is.True(facts.StoreAnswers())
		is.Equal(usable(facts.Current()), 2)
		f.put("end/a", "kranj ready")
		pause(returnTime + 500*time.Millisecond)
		is.Equal(usable(facts.Current()), 1)
		is.Equal(facts.Current().Usable["pool"][0].ID, "a")
	})
}

func TestFactsGrowStaleWithoutTheStore(t *testing.T) {
	f := newFeed()
	f.put("config/", "1")
	follow(t, f, nil, func(is *is.I, facts *Facts, _ *watcher) {
		pause(10 * time.Second)
		is.True(!facts.Current().Stale(time.Now()))
		f.set(func() { f.away = true })
		pause(staleAfter + time.Second)
		is.True(facts.Current().Stale(time.Now()))
	})
}

func TestOtherHostsAreAskedWhileTheStoreIsAway(t *testing.T) {
	f := newFeed()
	f.put("config/", "1")
	f.put("end/a", "kranj ready")
	told := &Dump{AsOf: 99, Items: []port.KeyValue{
		{Key: "config/", Value: []byte("4"), Revision: 98},
		{Key: "end/a", Value: []byte("kranj draining"), Revision: 99},
	}}
	asked := 0
	ask := func(context.Context) (*Dump, error) { asked++; return told, nil }
	follow(t, f, ask, func(is *is.I, facts *Facts, _ *watcher) {
		pause(5 * time.Second)
		is.Equal(asked, 0)
		f.set(func() { f.away = true })
		pause(2 * time.Second)
		is.True(asked > 0)
		is.Equal(facts.Current().Config.Version, int64(4))
		is.Equal(usable(facts.Current()), 0)
		is.True(!facts.Current().Stale(time.Now()))
	})
}

func TestOlderWordOfOtherHostsIsNotTaken(t *testing.T) {
	f := newFeed()
	f.put("config/", "4")
	ask := func(context.Context) (*Dump, error) {
		return &Dump{AsOf: 2, Items: []port.KeyValue{{Key: "config/", Value: []byte("1"), Revision: 1}}}, nil
	}
	follow(t, f, ask, func(is *is.I, facts *Facts, _ *watcher) {
		f.set(func() { f.away = true })
		pause(2 * time.Second)
		is.Equal(facts.Current().Config.Version, int64(4))
	})
}

func TestEntriesThatCannotBeReadNameNoEndpoint(t *testing.T) {
	f := newFeed()
	f.put("config/", "1")
	f.put("end/a", "garbage")
	f.put("end/b", "celje ready")
	follow(t, f, nil, func(is *is.I, facts *Facts, _ *watcher) {
		is.Equal(usable(facts.Current()), 1)
		f.put("end/b", "garbage")
		synctest.Wait()
		is.Equal(usable(facts.Current()), 0)
	})
}

func TestADumpCarriesWhatIsKnown(t *testing.T) {
	f := newFeed()
	f.put("config/", "1")
	value, err := json.Marshal(Host{ID: "edge-1", Address: "10.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	f.put("own/hosts/edge-1", string(value))
	follow(t, f, nil, func(is *is.I, facts *Facts, _ *watcher) {
		is.Equal(facts.Current().Hosts["edge-1"].Address, "10.0.0.1:1")
		d := facts.Dump(context.Background())
		is.Equal(len(d.Items), 2)
		is.Equal(d.AsOf, f.revision)
	})
}

func TestAWatchIsNotAPoll(t *testing.T) {
	f := newFeed()
	f.put("config/", "1")
	follow(t, f, nil, func(is *is.I, _ *Facts, _ *watcher) {
		pause(time.Minute)
		is.Equal(f.reads, 1)
	})
}

func TestAnEntryRemovedAfterTheStoresReturnIsGoneAtOnce(t *testing.T) {
	f := newFeed()
	f.put("config/", "1")
	f.put("end/a", "kranj ready")
	f.put("end/b", "kranj ready")
	follow(t, f, nil, func(is *is.I, facts *Facts, _ *watcher) {
		f.set(func() { f.away = true })
		pause(4 * time.Second)
		f.set(func() { f.away = false })
		pause(time.Second)
		f.remove("end/a")
		synctest.Wait()
		is.Equal(usable(facts.Current()), 1)
	})
}

func TestAMomentWithoutTheStoreKeepsNoEntryThatIsGone(t *testing.T) {
	f := newFeed()
	f.put("config/", "1")
	f.put("end/a", "kranj ready")
	f.put("end/b", "kranj ready")
	follow(t, f, nil, func(is *is.I, facts *Facts, _ *watcher) {
		f.set(func() { f.away = true })
		pause(500 * time.Millisecond)
		f.remove("end/a")
		f.set(func() { f.away = false })
		pause(time.Second)
		is.Equal(usable(facts.Current()), 1)
	})
}

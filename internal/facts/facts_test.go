package facts

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// feed is a store in memory that can be away or forget its history.
type feed struct {
	mu       sync.Mutex
	items    map[string]port.FeedItem
	history  []port.FeedItem
	revision int64
	oldest   int64
	away     bool
	reads    int
	changed  chan struct{}
}

func newFeed() *feed {
	return &feed{items: make(map[string]port.FeedItem), revision: 10}
}

func (f *feed) put(key, value string) {
	f.change(port.FeedItem{Key: key, Value: []byte(value)})
}

func (f *feed) remove(key string) { f.change(port.FeedItem{Key: key, Deleted: true}) }

func (f *feed) change(item port.FeedItem) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	item.Revision = f.revision
	f.items[item.Key] = item
	if item.Deleted {
		delete(f.items, item.Key)
	}
	f.history = append(f.history, item)
	f.wake()
}

// wake lets the watches look again. The channel is made by the first of them,
// inside the test's bubble.
func (f *feed) wake() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

func (f *feed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.wake()
}

func (f *feed) Read(context.Context, string) ([]port.FeedItem, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.away {
		return nil, 0, port.ErrUnavailable
	}
	var list []port.FeedItem
	for _, i := range f.items {
		list = append(list, i)
	}
	return list, f.revision, nil
}

func (f *feed) Follow(ctx context.Context, _ string, after int64, wait time.Duration) ([]port.FeedItem, int64, error) {
	end := time.After(wait)
	for {
		f.mu.Lock()
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		changed := f.changed
		if f.away {
			f.mu.Unlock()
			return nil, 0, port.ErrUnavailable
		}
		if after < f.oldest {
			f.mu.Unlock()
			return nil, 0, port.ErrCompacted
		}
		var list []port.FeedItem
		for _, i := range f.history {
			if i.Revision > after {
				list = append(list, i)
			}
		}
		revision := f.revision
		f.mu.Unlock()
		if len(list) > 0 {
			return list, revision, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (f *feed) Write(context.Context, string, []byte, int64, int64) (int64, error) { return 0, nil }
func (f *feed) Grant(context.Context, time.Duration) (int64, error)                { return 0, nil }
func (f *feed) Keep(context.Context, int64) error                                  { return nil }
func (f *feed) Revoke(context.Context, int64) error                                { return nil }

// words decodes values of a form of its own: a version, or zone and state.
type words struct{}

func (words) Classify(key string) (port.FactKind, string) {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case "config":
		return port.FactConfig, ""
	case "out":
		return port.FactEvacuated, name
	case "end":
		return port.FactEndpoint, name
	}
	return port.FactOther, name
}

func (words) Config(raw []byte) (*catalog.Config, error) {
	c := &catalog.Config{Services: map[string]*catalog.Service{"pool": {Name: "pool", WarmUp: time.Second}}}
	_, err := fmt.Sscan(string(raw), &c.Version)
	c.Index()
	return c, err
}

func (words) Endpoint(item port.FeedItem) (*catalog.Endpoint, error) {
	zone, state, ok := strings.Cut(string(item.Value), " ")
	if !ok {
		return nil, errors.New("unreadable")
	}
	return &catalog.Endpoint{ID: strings.TrimPrefix(item.Key, "end/"), Service: "pool", Zone: zone, Draining: state == "draining"}, nil
}

// watcher notes what it is told.
type watcher struct {
	mu            sync.Mutex
	fresh, cooled []string
}

func (w *watcher) EndpointKnown(e *catalog.Endpoint, _ *catalog.Service, fresh bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fresh {
		w.fresh = append(w.fresh, e.ID)
	}
}

func (w *watcher) EndpointCooled(e *catalog.Endpoint, _ *catalog.Service) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cooled = append(w.cooled, e.ID)
}

func (w *watcher) Published(*Snapshot) {}

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
			f.items["config/"] = port.FeedItem{Key: "config/", Value: []byte("3"), Revision: f.revision}
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
	told := &Dump{AsOf: 99, Items: []port.FeedItem{
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
		return &Dump{AsOf: 2, Items: []port.FeedItem{{Key: "config/", Value: []byte("1"), Revision: 1}}}, nil
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

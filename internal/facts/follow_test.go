package facts

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
)

var followSeeds = flag.Int("follow-seeds", 3, "number of seeds for each fault of the hosts that watch the store")

const (
	fleetWatchers = 3
	// noticeTime is how long the hosts of a fleet take to suspect one that does not answer.
	noticeTime = time.Second
	// applyTime is the platform's config_apply_ms at the least size at which hosts follow
	// others, and touchTime its contact_ms.
	applyTime = 3 * time.Second
	touchTime = 4 * time.Second
)

// followFleet is a number of hosts of one zone in virtual time.
type followFleet struct {
	t     *testing.T
	store *fakeStore
	hosts []*followHost
	rng   *rand.Rand
	// versions holds when the store got each version of the configuration.
	versions []time.Time
}

// followHost is a host: its connection to the store, the others as it sees them, and its
// Replica.
type followHost struct {
	*fakeStore
	fleet   *followFleet
	id      int
	replica *Replica
	mu      sync.Mutex
	// frozen hosts do not respond, and storeCut ones get no response from the store;
	// peersCut ones reach no other host. noticedAt is when the others suspect it.
	frozen, storeCut, peersCut bool
	noticedAt                  time.Time
	// connectedAt is from when on the host can send requests to others.
	connectedAt    time.Time
	calls          int
	disturbedUntil time.Time
	version        int64
}

func newFollowFleet(t *testing.T, ctx context.Context, hosts int, seed uint64) *followFleet {
	f := &followFleet{t: t, store: newFakeStore(), rng: rand.New(rand.NewPCG(seed, 1))}
	f.store.put("config/", "0")
	f.versions = append(f.versions, time.Now())
	for i := range hosts {
		h := &followHost{fakeStore: f.store, fleet: f, id: i}
		h.connectedAt = time.Now().Add(500 * time.Millisecond)
		h.replica = New(Config{Store: h, Decoder: testDecoder{}, Observer: &recordingObserver{}, Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler), Peers: h})
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		go h.replica.Run(ctx)
	}
	return f
}

func (h *followHost) set(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// callable reports whether a call of the store gets through.
func (h *followHost) callable(ctx context.Context) bool {
	h.mu.Lock()
	cut := h.storeCut || h.frozen
	h.calls++
	h.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	return !cut
}

func (h *followHost) Range(ctx context.Context, prefix string) ([]port.KeyValue, port.StorePosition, error) {
	if !h.callable(ctx) {
		return nil, port.StorePosition{}, port.ErrUnavailable
	}
	port.Sleep(ctx, 4*time.Millisecond)
	return h.fakeStore.Range(ctx, prefix)
}

func (h *followHost) Watch(ctx context.Context, prefix string, after port.StorePosition, wait time.Duration) ([]port.KeyValue, port.StorePosition, error) {
	if !h.callable(ctx) {
		return nil, port.StorePosition{}, port.ErrUnavailable
	}
	port.Sleep(ctx, 4*time.Millisecond)
	return h.fakeStore.Watch(ctx, prefix, after, wait)
}

// Followed implements Peers: the first hosts that are not suspected watch the store.
func (h *followHost) Followed() []string {
	var ids []string
	for _, o := range h.fleet.hosts {
		o.mu.Lock()
		suspected := !o.noticedAt.IsZero() && time.Now().After(o.noticedAt)
		o.mu.Unlock()
		if suspected {
			continue
		}
		if o == h {
			return nil
		}
		if ids = append(ids, strconv.Itoa(o.id)); len(ids) == fleetWatchers {
			break
		}
	}
	if len(ids) < fleetWatchers || len(h.fleet.hosts) < 2*fleetWatchers {
		return nil
	}
	first := h.id % fleetWatchers
	return append(ids[first:], ids[:first]...)
}

// Changes implements Peers.
func (h *followHost) Changes(ctx context.Context, host string, after port.StorePosition, wait time.Duration) (*Changes, error) {
	n, err := strconv.Atoi(host)
	if err != nil {
		return nil, err
	}
	if time.Now().Before(h.connectedAt) {
		return nil, ErrNotConnected
	}
	o := h.fleet.hosts[n]
	port.Sleep(ctx, 3*time.Millisecond)
	c := o.replica.Changes(ctx, after, wait)
	port.Sleep(ctx, 3*time.Millisecond)
	o.mu.Lock()
	silent := o.frozen || o.peersCut
	o.mu.Unlock()
	h.mu.Lock()
	silent = silent || h.peersCut
	h.mu.Unlock()
	if silent || c == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	raw, err := cbor.Marshal(c)
	if err != nil {
		return nil, err
	}
	received := &Changes{}
	return received, cbor.Unmarshal(raw, received)
}

// disturb has a fault begin or end at a host.
func (h *followHost) disturb(change func(), noticed time.Time, until time.Time) {
	h.set(func() {
		change()
		h.noticedAt, h.disturbedUntil = noticed, until
	})
}

// publish gives the store the next version of the configuration.
func (f *followFleet) publish() {
	f.store.put("config/", strconv.Itoa(len(f.versions)))
	f.versions = append(f.versions, time.Now())
}

// check fails if a version goes back, if a snapshot claims to be newer than it is, or if a
// host that was not disturbed of late lacks a version for longer than applyTime.
func (f *followFleet) check(storeCalm bool) {
	now := time.Now()
	for _, h := range f.hosts {
		s := h.replica.Current()
		if s.Config == nil {
			continue
		}
		h.mu.Lock()
		if s.Config.Version < h.version {
			f.t.Errorf("host %d went back from version %d to %d", h.id, h.version, s.Config.Version)
		}
		h.version = s.Config.Version
		inTouch := now.After(h.disturbedUntil.Add(touchTime)) && !h.frozen && !h.storeCut && !h.peersCut
		h.mu.Unlock()
		next := int(s.Config.Version) + 1
		if next >= len(f.versions) {
			continue
		}
		if s.ConfirmedAt.After(f.versions[next]) {
			f.t.Errorf("host %d has version %d and takes it as confirmed %v after the next one", h.id, s.Config.Version, s.ConfirmedAt.Sub(f.versions[next]))
		}
		if late := now.Sub(f.versions[next]); inTouch && storeCalm && late > applyTime {
			f.t.Errorf("host %d lacks version %d for %v", h.id, next, late)
		}
	}
}

// calls returns the calls of the store by all hosts.
func (f *followFleet) calls() int {
	n := 0
	for _, h := range f.hosts {
		h.mu.Lock()
		n += h.calls
		h.mu.Unlock()
	}
	return n
}

// TestFewHostsWatchTheStore guards against calls of the store that grow with hosts x
// changes.
func TestFewHostsWatchTheStore(t *testing.T) {
	for _, hosts := range []int{20, 39, 65} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := newFollowFleet(t, ctx, hosts, 1)
			advance(5 * time.Second)
			before := f.calls()
			changes := 0
			for i := range 600 { // a minute
				if i%7 == 0 {
					f.publish()
					changes++
				}
				advance(100 * time.Millisecond)
				f.check(true)
			}
			calls := f.calls() - before
			if calls > fleetWatchers*(changes+int(time.Minute/watchWait)) {
				t.Errorf("%d hosts: %d calls of the store in a minute with %d changes", hosts, calls, changes)
			}
			t.Logf("%d hosts: %d calls of the store in a minute", hosts, calls)
			cancel()
			synctest.Wait()
		})
	}
}

// TestChangesReachAllHostsUnderFaults guards against hosts that learn of nothing because
// those that they follow are gone, silent or without the store, against versions that go
// back, and against snapshots that claim to be newer than they are.
func TestChangesReachAllHostsUnderFaults(t *testing.T) {
	faults := map[string]func(f *followFleet, on bool){
		"watcher frozen": func(f *followFleet, on bool) { f.disturbWatcher(on, true, func(h *followHost) { h.frozen = on }) },
		"watcher cut from the store": func(f *followFleet, on bool) {
			f.disturbWatcher(on, false, func(h *followHost) { h.storeCut = on })
		},
		"watcher cut from the hosts": func(f *followFleet, on bool) {
			f.disturbWatcher(on, true, func(h *followHost) { h.peersCut = on })
		},
		"watchers cut from the store": func(f *followFleet, on bool) {
			for _, h := range f.hosts[:fleetWatchers] {
				h.disturb(func() { h.storeCut = on }, time.Time{}, time.Now())
			}
		},
		"host cut from all": func(f *followFleet, on bool) {
			h := f.hosts[len(f.hosts)-1]
			h.disturb(func() { h.peersCut, h.storeCut = on, on }, time.Time{}, time.Now())
		},
		"host cut from the hosts": func(f *followFleet, on bool) {
			h := f.hosts[len(f.hosts)-1]
			h.set(func() { h.peersCut = on })
		},
		"store away": func(f *followFleet, on bool) { f.store.update(func() { f.store.unavailable = on }) },
		"history dropped": func(f *followFleet, _ bool) {
			f.store.update(func() { f.store.history, f.store.oldestRevision = nil, f.store.revision })
		},
		"store restored": func(f *followFleet, on bool) {
			if !on {
				items, revision := f.store.backup()
				f.store.restore(items, revision)
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*followSeeds) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := newFollowFleet(t, ctx, 24, seed)
					advance(5 * time.Second)
					calls := f.calls()
					from := f.rng.IntN(30)
					until := from + 10 + f.rng.IntN(80)
					ended := time.Now()
					for i := range 220 { // 22 s
						if f.rng.IntN(6) == 0 {
							f.publish()
						}
						switch i {
						case from:
							fault(f, true)
						case until:
							fault(f, false)
							ended = time.Now()
						}
						calm := i < from || i > until && time.Since(ended) > touchTime
						advance(100 * time.Millisecond)
						f.check(calm || name != "store away" && name != "history dropped" && name != "store restored")
					}
					t.Logf("seed %d: %d calls", seed, f.calls()-calls)
					cancel()
					synctest.Wait()
				})
			}
		})
	}
}

// disturbWatcher has a fault begin or end at the first host, which the others notice after
// a time if it is silent.
func (f *followFleet) disturbWatcher(on, silent bool, change func(h *followHost)) {
	h, noticed := f.hosts[0], time.Time{}
	if on && silent {
		noticed = time.Now().Add(noticeTime)
	}
	h.disturb(func() { change(h) }, noticed, time.Now())
}

// TestHostsAskFewTimesForAStoreThatIsAway guards against the calls of all hosts to a store
// that is away, and all at once when it is back.
func TestHostsAskFewTimesForAStoreThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFollowFleet(t, ctx, 39, 1)
		advance(5 * time.Second)
		before := f.calls()
		f.store.update(func() { f.store.unavailable = true })
		advance(8 * time.Second)
		away := f.calls() - before
		f.store.update(func() { f.store.unavailable = false })
		f.publish()
		advance(touchTime)
		for _, h := range f.hosts {
			is.Equal(h.replica.Current().Config.Version, int64(1))
			is.True(h.replica.StoreAvailable())
		}
		t.Logf("39 hosts: %d calls in an outage of 8 s, %d within %v after it", away, f.calls()-before-away, touchTime)
		// Each of 39 hosts made 13 before.
		is.True(away <= 39*13/3)
		cancel()
		synctest.Wait()
	})
}

// TestHostsThatStartMakeFewCalls guards against watches of the store by all hosts while they
// start and are not connected to each other yet.
func TestHostsThatStartMakeFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, start = 39, 3 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		f := newFollowFleet(t, ctx, hosts, 1)
		for range int(start / (50 * time.Millisecond)) {
			f.publish()
			advance(50 * time.Millisecond)
			f.check(true)
		}
		if calls, most := f.calls(), hosts+fleetWatchers*(watchBurst+int(start/minWatchInterval)+1); calls > most {
			t.Errorf("%d calls of the store in the first %v, want at most %d", calls, start, most)
		}
		cancel()
		synctest.Wait()
	})
}

// TestHostsOfOlderBuildsAreNotFollowed guards against hosts that wait for one that does not
// know the request.
func TestHostsOfOlderBuildsAreNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newFakeStore()
		store.put("config/", "1")
		r := New(Config{Store: store, Decoder: testDecoder{}, Observer: &recordingObserver{}, Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler), Peers: olderPeers{}})
		ctx, cancel := context.WithCancel(t.Context())
		go r.Run(ctx)
		advance(time.Second)
		store.put("config/", "2")
		advance(200 * time.Millisecond)
		is.Equal(r.Current().Config.Version, int64(2))
		cancel()
		synctest.Wait()
	})
}

type olderPeers struct{}

func (olderPeers) Followed() []string { return []string{"a", "b", "c"} }
func (olderPeers) Changes(_ context.Context, host string, _ port.StorePosition, _ time.Duration) (*Changes, error) {
	return nil, errors.New(fmt.Sprint("no handler at ", host))
}

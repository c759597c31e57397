package origins

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/membership"
	"github.com/pimentorill/pimentorill/internal/core/origin"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// ownKeyPrefix is the prefix of the keys that all hosts read when they start.
	ownKeyPrefix = "own/"
	// storedOverhead is the size of an item of the store without its key and value.
	storedOverhead = 70
)

// fleet is hosts whose registries ask each other in memory. It is used in a synctest
// bubble, whose clock is virtual.
type fleet struct {
	tasks sync.WaitGroup // of the hosts
	mu    sync.Mutex
	rng   *rand.Rand
	hosts map[string]*fakeHost
	// versions holds the software version of each registered endpoint.
	versions map[string]string
	// draining holds those of them that get no new work.
	draining map[string]bool
	// storeDown means that no host reaches the store.
	storeDown bool
	asks      int
	// entries holds the hosts' own entries of the store, by key, revision is the newest one,
	// and storeCalls counts the hosts' calls for them.
	entries    map[string]fakeEntry
	revision   int64
	epoch      int64
	leases     map[int64]time.Time
	storeCalls int
	// watchers holds the hosts that watch the store, all if it is empty.
	watchers []string
	// link is the bytes a second that the store sends, 0 for no bound; linkFreeAt is when
	// it has sent what it is asked for, and linkBytes counts that.
	link       int
	linkFreeAt time.Time
	linkBytes  int
}

// fakeEntry is an entry of the store. It expires with its lease, if that isn't 0.
type fakeEntry struct {
	value    []byte
	revision int64
	lease    int64
}

// fakeHost is a host and its Peers.
type fakeHost struct {
	*fleet
	id       string
	registry *Registry
	handlers map[string]port.RequestHandler
	snapshot *facts.Snapshot
	stop     context.CancelFunc
	// learned is the revision up to which it has learned records.
	learned int64
	// down, cutOff and storeCut mean that it does not run, reaches no other host and
	// not the store, or not the store.
	down, cutOff, storeCut bool
	// partitioned means that it reaches no other host, and lateFacts that what it gets from
	// the store is as it was before, as after it stood still.
	partitioned, lateFacts bool
	// disturbedAt is the time of its last trouble, or of the store's.
	disturbedAt time.Time
}

func newFleet(seed uint64, hosts int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), hosts: make(map[string]*fakeHost), versions: make(map[string]string), draining: make(map[string]bool), entries: make(map[string]fakeEntry), leases: make(map[int64]time.Time), revision: 1}
	for i := range hosts {
		id := fmt.Sprint("edge-", i)
		f.hosts[id] = &fakeHost{fleet: f, id: id}
	}
	return f
}

// stop stops a host and waits until the others suspect it.
func (f *fleet) stop(id string) {
	f.mu.Lock()
	f.hosts[id].down = true
	f.mu.Unlock()
	time.Sleep(time.Second)
}

// change makes a change while hosts run.
func (f *fleet) change(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

// calls returns the number of calls of the store.
func (f *fleet) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeCalls
}

// end stops what the hosts do by themselves and waits until they have.
func (f *fleet) end() {
	for _, h := range f.hosts {
		if h.stop != nil {
			h.stop()
		}
	}
	f.tasks.Wait()
}

// followStore has all hosts read the store.
func (f *fleet) followStore() {
	for _, h := range f.hosts {
		h.followStore()
	}
}

// start starts all hosts for the first time.
func (f *fleet) start() {
	for _, h := range f.hosts {
		h.start(true)
	}
}

// start starts a host, which reads the store.
func (h *fakeHost) start(first bool) {
	h.startEmpty(first)
	h.followStore()
}

// startEmpty starts a host that knows nothing yet.
func (h *fakeHost) startEmpty(first bool) {
	h.mu.Lock()
	if h.stop != nil {
		h.stop()
	}
	h.handlers = make(map[string]port.RequestHandler)
	h.snapshot, h.learned = &facts.Snapshot{}, 0
	h.down = false
	h.mu.Unlock()
	registry := New(Config{Peers: h, HostID: h.id, Store: h, KeyPrefix: ownKeyPrefix, RecordPrefix: "records/", Watch: h.watch, StoreAvailable: func() bool { return true }, Snapshot: h.currentSnapshot, StartedFirst: func(*facts.Snapshot) bool { return first },
		Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	h.registry, h.stop = registry, cancel
	h.mu.Unlock()
	h.tasks.Go(func() { registry.Run(ctx) })
}

// followStore reads the store, if the host reaches it.
func (h *fakeHost) followStore() {
	h.mu.Lock()
	if h.down || h.cutOff || h.storeCut || h.storeDown {
		h.mu.Unlock()
		return
	}
	if h.lateFacts {
		late := *h.snapshot
		late.ConfirmedAt = time.Now()
		h.snapshot = &late
		h.mu.Unlock()
		return
	}
	s := &facts.Snapshot{Config: fleetConfig, Usable: make(map[string][]*catalog.Endpoint), Registrations: make(catalog.Registrations), Hosts: make(map[string]facts.Host), ConfirmedAt: time.Now(),
		VersionEntries: make(map[string]string), Position: port.StorePosition{Epoch: h.epoch, Revision: h.revision}}
	var records []port.KeyValue
	for key, e := range h.entries {
		if IsSegmentKey(key) && e.revision > h.learned && h.holds(e) && (strings.HasPrefix(key, ownKeyPrefix) || h.learned > 0 && h.watches()) {
			records = append(records, port.KeyValue{Key: key, Value: e.value, Revision: e.revision, Epoch: h.epoch})
		}
		if name, ok := VersionEntryName(key); ok && h.holds(e) {
			s.VersionEntries[name] = string(e.value)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.versions)) {
		e := &catalog.Endpoint{ID: id, Service: "pool", SoftwareVersion: h.versions[id], StartedUnixMs: 1}
		s.Registrations[id] = []catalog.Registration{catalog.RegistrationOf(e)}
		if !h.draining[id] {
			s.Usable["pool"] = append(s.Usable["pool"], e)
		}
	}
	for id := range h.hosts {
		s.Hosts[id] = facts.Host{ID: id}
	}
	h.snapshot, h.learned = s, h.revision
	registry := h.registry
	h.mu.Unlock()
	registry.LearnSegments(records)
	registry.Observe(s)
}

var fleetConfig = &catalog.Config{Routes: []*catalog.Route{{Name: "r", Kind: catalog.Stream, Resumable: true, Timeout: 20 * time.Second,
	TrafficSplit: []catalog.WeightedService{{Service: "pool", Weight: 1}}}}}

func (h *fakeHost) currentSnapshot() *facts.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot
}

// watches reports whether the host watches the store, and watch the number of its watch.
func (h *fakeHost) watches() bool {
	return len(h.watchers) == 0 || slices.Contains(h.watchers, h.id)
}

func (h *fakeHost) watch() int64 {
	if !h.watches() || h.currentSnapshot().Config == nil {
		return 0
	}
	return 1
}

// join has a host read all that it has to know, as often as it fails, and then follow the store.
func (h *fakeHost) join() {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, _, err := h.Range(ctx, ownKeyPrefix)
		cancel()
		if err == nil {
			h.followStore()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Others, Followed, Ask and Handle implement Peers.
func (h *fakeHost) Others() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for id, o := range h.hosts {
		unreachable := o.down || o.cutOff || h.cutOff || o.partitioned || h.partitioned
		suspected := unreachable && time.Since(o.disturbedAt) > 400*time.Millisecond
		if id != h.id && !suspected {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (h *fakeHost) Followed() []string {
	if h.watches() {
		return nil
	}
	return membership.SelectByRendezvous(h.watchers, h.id, 3)
}

func (h *fakeHost) Handle(kind string, fn port.RequestHandler) { h.handlers[kind] = fn }

func (h *fakeHost) Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error) {
	h.mu.Lock()
	h.asks++
	o := h.hosts[host]
	fn := o.handlers[kind]
	broken := h.down || h.cutOff || o.down || o.cutOff || o.partitioned || h.partitioned || fn == nil
	delay := time.Duration(1+h.rng.IntN(8)) * time.Millisecond
	h.mu.Unlock()
	if broken {
		<-ctx.Done()
		return nil, verdict.Wrap(ctx.Err(), verdict.CodeEndpointFailed, verdict.MayHaveRun, "no response")
	}
	time.Sleep(delay)
	return fn(ctx, port.Member{}, payload)
}

// holds reports whether the store still holds an entry.
func (f *fleet) holds(e fakeEntry) bool { return e.lease == 0 || time.Now().Before(f.leases[e.lease]) }

// call makes a call of the store, which takes some milliseconds. It returns an error if the
// host doesn't reach the store, with h.mu held otherwise.
func (h *fakeHost) call(ctx context.Context) error {
	h.mu.Lock()
	h.storeCalls++
	away := h.down || h.cutOff || h.storeCut || h.storeDown
	delay := time.Duration(1+h.rng.IntN(8)) * time.Millisecond
	h.mu.Unlock()
	if away {
		<-ctx.Done()
		return port.ErrUncertain
	}
	time.Sleep(delay)
	h.mu.Lock()
	return nil
}

// Range, Watch, CompareAndSwap, GrantLease, RenewLease and RevokeLease implement
// port.WatchableStore, for the entries that a Registry writes.
func (h *fakeHost) Range(ctx context.Context, prefix string) ([]port.KeyValue, port.StorePosition, error) {
	if err := h.call(ctx); err != nil {
		return nil, port.StorePosition{}, err
	}
	var items []port.KeyValue
	bytes := 0
	for _, key := range slices.Sorted(maps.Keys(h.entries)) {
		if e := h.entries[key]; strings.HasPrefix(key, prefix) && h.holds(e) {
			items = append(items, port.KeyValue{Key: key, Value: e.value, Revision: e.revision, Epoch: h.epoch, Lease: e.lease})
			bytes += 4*len(e.value)/3 + len(key) + storedOverhead
		}
	}
	position := port.StorePosition{Epoch: h.epoch, Revision: h.revision}
	h.linkBytes += bytes
	var sent <-chan time.Time
	if h.link > 0 {
		if now := time.Now(); h.linkFreeAt.Before(now) {
			h.linkFreeAt = now
		}
		h.linkFreeAt = h.linkFreeAt.Add(time.Duration(bytes) * time.Second / time.Duration(h.link))
		sent = time.After(time.Until(h.linkFreeAt))
	}
	h.mu.Unlock()
	if sent != nil {
		select {
		case <-sent:
		case <-ctx.Done():
			return nil, port.StorePosition{}, port.ErrUncertain
		}
	}
	return items, position, nil
}

func (h *fakeHost) Watch(context.Context, string, port.StorePosition, time.Duration) ([]port.KeyValue, port.StorePosition, error) {
	panic("not used")
}

func (h *fakeHost) CompareAndSwap(ctx context.Context, key string, value []byte, prev int64, lease port.Lease) (int64, error) {
	if err := h.call(ctx); err != nil {
		return 0, err
	}
	defer h.mu.Unlock()
	stored, ok := h.entries[key]
	if exists := ok && h.holds(stored); exists && stored.revision != prev || !exists && prev != 0 {
		return 0, port.ErrConflict
	}
	if lease.ID != 0 && !time.Now().Before(h.leases[lease.ID]) {
		return 0, port.ErrNotFound
	}
	maps.DeleteFunc(h.entries, func(_ string, e fakeEntry) bool { return !h.holds(e) })
	h.revision++
	h.entries[key] = fakeEntry{value, h.revision, lease.ID}
	return h.revision, nil
}

func (h *fakeHost) GrantLease(ctx context.Context, ttl time.Duration) (port.Lease, error) {
	if err := h.call(ctx); err != nil {
		return port.Lease{}, err
	}
	defer h.mu.Unlock()
	id := int64(len(h.leases) + 1)
	h.leases[id] = time.Now().Add(ttl)
	return port.Lease{ID: id, Epoch: h.epoch}, nil
}

func (h *fakeHost) RenewLease(ctx context.Context, lease port.Lease) error {
	panic("not used")
}

func (h *fakeHost) RevokeLease(context.Context, port.Lease) error { panic("not used") }

// begin has a host begin a stream at an endpoint, with its first event.
func (h *fakeHost) begin(attempt, endpoint string) bool {
	h.mu.Lock()
	registry := h.registry
	var e *catalog.Endpoint
	for _, known := range registry.MayBegin(h.snapshot.Usable["pool"]) {
		if known.ID == endpoint || endpoint == "" && (e == nil || h.rng.IntN(3) == 0) {
			e = known
		}
	}
	h.mu.Unlock()
	if e == nil {
		return false
	}
	o := origin.Of(e, time.Now())
	a := registry.Announce("r", attempt, 1, o, 20*time.Second)
	time.Sleep(100 * time.Millisecond) // until the first event
	registry.Begun("r", origin.Record{Attempt: attempt, Origin: o, Sequence: 1}, 20*time.Second)
	a.Wait(context.Background())
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.down && h.registry == registry
}

// find returns the version at which a host resumes a stream; empty if it doesn't.
func (h *fakeHost) find(attempt string) string {
	h.mu.Lock()
	registry := h.registry
	h.mu.Unlock()
	o, ok := registry.Find(context.Background(), "r", attempt)
	if !ok {
		return ""
	}
	return o.SoftwareVersion
}

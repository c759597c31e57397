package origins

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/origin"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

var originSeeds = flag.Int("origin-seeds", 3, "number of seeds of the fleet simulation")

// fleet is hosts whose registries ask each other in memory. It is used in a synctest
// bubble, whose clock is virtual.
type fleet struct {
	mu    sync.Mutex
	rng   *rand.Rand
	hosts map[string]*fakeHost
	// versions holds the software version of each registered endpoint.
	versions map[string]string
	// storeDown means that no host reaches the store.
	storeDown bool
	asks      int
}

// fakeHost is a host and its Peers.
type fakeHost struct {
	*fleet
	id       string
	registry *Registry
	handlers map[string]port.RequestHandler
	snapshot *facts.Snapshot
	// down, cutOff and storeCut mean that it does not run, reaches no other host and
	// not the store, or not the store.
	down, cutOff, storeCut bool
	// disturbedAt is the time of its last trouble, or of the store's.
	disturbedAt time.Time
}

func newFleet(seed uint64, hosts int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), hosts: make(map[string]*fakeHost), versions: make(map[string]string)}
	for i := range hosts {
		id := fmt.Sprint("edge-", i)
		f.hosts[id] = &fakeHost{fleet: f, id: id}
	}
	return f
}

// start starts all hosts for the first time.
func (f *fleet) start() {
	for _, h := range f.hosts {
		h.start(true)
	}
}

// start starts a host, which reads the store.
func (h *fakeHost) start(first bool) {
	h.mu.Lock()
	h.handlers = make(map[string]port.RequestHandler)
	h.snapshot = &facts.Snapshot{}
	h.down = false
	h.mu.Unlock()
	registry := New(Config{Peers: h, Snapshot: h.currentSnapshot, StartedFirst: func(*facts.Snapshot) bool { return first }, Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler)})
	h.mu.Lock()
	h.registry = registry
	h.mu.Unlock()
	h.followStore()
}

// followStore reads the store, if the host reaches it.
func (h *fakeHost) followStore() {
	h.mu.Lock()
	if h.down || h.cutOff || h.storeCut || h.storeDown {
		h.mu.Unlock()
		return
	}
	s := &facts.Snapshot{Config: fleetConfig, Usable: make(map[string][]*catalog.Endpoint), Hosts: make(map[string]facts.Host), ConfirmedAt: time.Now()}
	for _, id := range slices.Sorted(maps.Keys(h.versions)) {
		s.Usable["pool"] = append(s.Usable["pool"], &catalog.Endpoint{ID: id, Service: "pool", SoftwareVersion: h.versions[id], StartedUnixMs: 1})
	}
	for id := range h.hosts {
		s.Hosts[id] = facts.Host{ID: id}
	}
	h.snapshot = s
	registry := h.registry
	h.mu.Unlock()
	registry.Observe(s)
}

var fleetConfig = &catalog.Config{Routes: []*catalog.Route{{Name: "r", Kind: catalog.Stream, Resumable: true, Timeout: 20 * time.Second,
	TrafficSplit: []catalog.WeightedService{{Service: "pool", Weight: 1}}}}}

func (h *fakeHost) currentSnapshot() *facts.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot
}

// Self, Others, Ask and Handle implement Peers.
func (h *fakeHost) Self() string { return h.id }

func (h *fakeHost) Others() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for id, o := range h.hosts {
		unreachable := o.down || o.cutOff || h.cutOff
		suspected := unreachable && time.Since(o.disturbedAt) > 400*time.Millisecond
		if id != h.id && !suspected {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (h *fakeHost) Handle(kind string, fn port.RequestHandler) { h.handlers[kind] = fn }

func (h *fakeHost) Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error) {
	h.mu.Lock()
	h.asks++
	o := h.hosts[host]
	fn := o.handlers[kind]
	broken := h.down || h.cutOff || o.down || o.cutOff || fn == nil
	delay := time.Duration(1+h.rng.IntN(8)) * time.Millisecond
	h.mu.Unlock()
	if broken {
		<-ctx.Done()
		return nil, verdict.Wrap(ctx.Err(), verdict.CodeEndpointFailed, verdict.MayHaveRun, "no response")
	}
	time.Sleep(delay)
	return fn(ctx, port.Member{}, payload)
}

// begin has a host begin a stream at an endpoint, with its first event.
func (h *fakeHost) begin(attempt, endpoint string) bool {
	h.mu.Lock()
	registry := h.registry
	var e *catalog.Endpoint
	for _, known := range h.snapshot.Usable["pool"] {
		if known.ID == endpoint || endpoint == "" && (e == nil || h.rng.IntN(3) == 0) {
			e = known
		}
	}
	h.mu.Unlock()
	if e == nil {
		return false
	}
	a := registry.Announce("r", attempt, 1, origin.Of(e, time.Now()), 20*time.Second)
	time.Sleep(100 * time.Millisecond) // until the first event
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

// TestSingleVersionNeedsNoMessages guards against a cost for each stream while no version
// is being replaced.
func TestSingleVersionNeedsNoMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 4)
		f.versions["e1"] = "v1"
		f.start()
		for i := range 50 {
			f.hosts["edge-0"].followStore()
			is.True(f.hosts["edge-0"].begin(fmt.Sprint("s", i), "e1"))
		}
		is.Equal(f.asks, 0)
		// A host that was cut off after that resumes them, and so does one that has just
		// started.
		for _, h := range f.hosts {
			h.followStore()
		}
		f.hosts["edge-1"].cutOff = true
		f.hosts["edge-2"].start(false)
		time.Sleep(time.Second)
		is.Equal(f.hosts["edge-1"].find("s1"), "v1")
		is.Equal(f.hosts["edge-2"].find("s2"), "v1")
	})
}

// TestOriginOutlivesTheHostThatBeganTheStream guards against a record that is gone with its
// host.
func TestOriginOutlivesTheHostThatBeganTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 8)
		f.versions["e1"], f.versions["e2"] = "v1", "v2"
		f.start()
		is.True(f.hosts["edge-0"].begin("s1", "e1"))
		is.True(f.hosts["edge-0"].begin("s2", "e2"))
		f.hosts["edge-0"].down = true
		time.Sleep(time.Second)
		for id, h := range f.hosts {
			if id != "edge-0" {
				is.Equal(h.find("s1"), "v1")
				is.Equal(h.find("s2"), "v2")
			}
		}
	})
}

// TestUnknownOriginIsNotGuessed guards against hosts that resume a stream though they can't
// know where it began.
func TestUnknownOriginIsNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 4)
		f.versions["e1"], f.versions["e2"] = "v1", "v2"
		f.start()
		is.Equal(f.hosts["edge-0"].find("nobody began it"), "")
		is.Equal(f.hosts["edge-0"].find(""), "")

		// A host knows a single version, but was cut off before another one came.
		f = newFleet(1, 4)
		f.versions["e1"] = "v1"
		f.start()
		f.hosts["edge-3"].cutOff = true
		time.Sleep(10 * time.Second)
		f.versions["e2"] = "v2"
		for _, h := range f.hosts {
			h.followStore()
		}
		is.True(f.hosts["edge-0"].begin("s2", "e2"))
		is.Equal(f.hosts["edge-3"].find("s2"), "")
		is.Equal(f.hosts["edge-1"].find("s2"), "v2")
	})
}

// TestStreamIsResumedWhileTheStoreIsAway guards against refusing all streams that began
// before the store was lost.
func TestStreamIsResumedWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 8)
		f.versions["e1"] = "v1"
		f.start()
		is.True(f.hosts["edge-0"].begin("s1", "e1"))
		f.storeDown = true
		time.Sleep(10 * time.Second)
		is.Equal(f.hosts["edge-1"].find("s1"), "v1")
		is.True(f.hosts["edge-0"].begin("s2", "e1")) // now recorded
		is.Equal(f.hosts["edge-2"].find("s2"), "v1")
	})
}

// TestNoStreamMixesVersions plays rollouts while hosts are killed and started, are cut off
// from each other or the store, and the store is away. It guards against a stream that is
// resumed at another version than the one that began it, and against hosts in touch that
// resume less than half of the streams.
func TestNoStreamMixesVersions(t *testing.T) {
	for seed := range uint64(*originSeeds) {
		for _, hosts := range []int{8, 24} {
			t.Run(fmt.Sprintf("%d hosts, seed %d", hosts, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playRollouts(t, newFleet(seed, hosts)) })
			})
		}
	}
}

func playRollouts(t *testing.T, f *fleet) {
	const duration = 2 * time.Minute
	version := 1
	for i := range 9 {
		f.versions[fmt.Sprint("e", i)] = "v1"
	}
	f.start()
	var tasks sync.WaitGroup
	every := func(lo, hi time.Duration, run func()) {
		tasks.Go(func() {
			for end := time.Now().Add(duration); time.Now().Before(end); {
				f.mu.Lock()
				pause := lo + time.Duration(f.rng.Int64N(int64(hi-lo)))
				f.mu.Unlock()
				time.Sleep(pause)
				run()
			}
		})
	}
	for _, h := range f.hosts {
		every(20*time.Millisecond, 800*time.Millisecond, h.followStore)
	}
	replaced := 0
	every(time.Second, 3*time.Second, func() { // rollouts, with pauses
		f.mu.Lock()
		defer f.mu.Unlock()
		if replaced%9 == 0 && f.rng.IntN(8) > 0 {
			return
		}
		if replaced%9 == 0 {
			version++
		}
		delete(f.versions, fmt.Sprint("e", replaced))
		f.versions[fmt.Sprint("e", replaced+9)] = fmt.Sprint("v", version)
		replaced++
	})
	every(2*time.Second, 8*time.Second, func() { // troubles
		f.mu.Lock()
		ids := slices.Sorted(maps.Keys(f.hosts))
		h := f.hosts[ids[f.rng.IntN(len(ids))]]
		kind, length := f.rng.IntN(5), time.Duration(500+f.rng.IntN(12000))*time.Millisecond
		if h.down || h.cutOff || h.storeCut || f.storeDown {
			f.mu.Unlock()
			return
		}
		h.disturbedAt = time.Now()
		set := func(on bool) {
			switch kind {
			case 0, 1:
				h.down = on
			case 2:
				h.cutOff = on
			case 3:
				h.storeCut = on
			case 4:
				f.storeDown = on
				for _, o := range f.hosts {
					o.disturbedAt = time.Now()
				}
			}
		}
		set(true)
		f.mu.Unlock()
		tasks.Go(func() {
			time.Sleep(length)
			f.mu.Lock()
			h.disturbedAt = time.Now()
			set(false)
			f.mu.Unlock()
			if kind <= 1 {
				h.start(false)
			}
		})
	})
	begun, resumed, refused, inTouch, inTouchResumed := 0, 0, 0, 0, 0
	stream := 0
	every(10*time.Millisecond, 60*time.Millisecond, func() { // callers
		f.mu.Lock()
		stream++
		attempt := fmt.Sprint("stream-", stream)
		ids := slices.Sorted(maps.Keys(f.hosts))
		first, second := f.hosts[ids[f.rng.IntN(len(ids))]], f.hosts[ids[f.rng.IntN(len(ids))]]
		length := time.Duration(f.rng.IntN(6000)) * time.Millisecond
		up := !first.down
		f.mu.Unlock()
		if !up {
			return
		}
		tasks.Go(func() {
			endpoint, actual := first.pick()
			if endpoint == "" || !first.begin(attempt, endpoint) {
				return
			}
			time.Sleep(length)
			f.mu.Lock()
			up := !second.down
			ofVersion := 0
			for _, v := range f.versions {
				if v == actual {
					ofVersion++
				}
			}
			touch := time.Since(second.disturbedAt) > 3*time.Second && !second.cutOff && !second.storeCut && !f.storeDown
			f.mu.Unlock()
			if !up {
				return
			}
			found := second.find(attempt)
			f.mu.Lock()
			defer f.mu.Unlock()
			begun++
			switch found {
			case "":
				refused++
			case actual:
				resumed++
			default:
				t.Errorf("%s began at %s, and goes on at %s", attempt, actual, found)
			}
			if touch && ofVersion >= 2 {
				inTouch++
				if found != "" {
					inTouchResumed++
				}
			}
		})
	})
	tasks.Wait()
	t.Logf("%d streams taken up: %d resumed, %d refused; at hosts in touch %d of %d; %.1f requests between hosts for each stream",
		begun, resumed, refused, inTouchResumed, inTouch, float64(f.asks)/float64(stream))
	if inTouch >= 12 && 2*inTouchResumed < inTouch {
		t.Errorf("hosts in touch resumed %d of %d streams", inTouchResumed, inTouch)
	}
}

// pick returns an endpoint that the host knows and its version; empty if it knows none.
func (h *fakeHost) pick() (id, version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	usable := h.snapshot.Usable["pool"]
	if len(usable) == 0 {
		return "", ""
	}
	e := usable[h.rng.IntN(len(usable))]
	return e.ID, e.SoftwareVersion
}

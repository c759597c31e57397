package origins

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/origin"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

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

// stop stops a host and waits until the others suspect it.
func (f *fleet) stop(id string) {
	f.mu.Lock()
	f.hosts[id].down = true
	f.mu.Unlock()
	time.Sleep(time.Second)
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

// Others, Ask and Handle implement Peers.
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

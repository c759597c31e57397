package crashing

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/poison"
	"github.com/pimentorill/pimentorill/internal/core/suspect"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/facts"
	"github.com/pimentorill/pimentorill/internal/port"
)

// fleet is a number of hosts with a store, in memory and in virtual time.
type fleet struct {
	mu        sync.Mutex
	hosts     map[string]*fakeHost
	endpoints []*catalog.Endpoint
	// items holds the entries by key, and leases the key of each lease.
	items    map[string]string
	leases   map[int64]string
	storeOut bool
	// silent holds the endpoints that respond to nobody. With unreachable none responds.
	silent      map[catalog.Incarnation]bool
	unreachable bool
}

// fakeHost implements Peers.
type fakeHost struct {
	*fleet
	id       string
	guard    *Guard
	handlers map[string]port.RequestHandler
	// away is set while the host sends and receives nothing.
	away bool
	ctx  context.Context
	stop context.CancelFunc
}

func newFleet(hosts int) *fleet {
	f := &fleet{hosts: make(map[string]*fakeHost), items: make(map[string]string), leases: make(map[int64]string), silent: make(map[catalog.Incarnation]bool)}
	for i := range 6 {
		f.endpoints = append(f.endpoints, &catalog.Endpoint{ID: fmt.Sprint("e", i), Service: "pool", StartedUnixMs: 1})
	}
	for i := range hosts {
		f.start(fmt.Sprint("edge-", i))
	}
	return f
}

// start starts a host, or starts it anew without what it knew.
func (f *fleet) start(id string) *fakeHost {
	h := &fakeHost{fleet: f, id: id, handlers: make(map[string]port.RequestHandler)}
	h.guard = New(Config{Peers: h, Store: f, KeyPrefix: "own/", Snapshot: f.snapshot, ProbeSilent: h.probe, Reaches: f.reaches, Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler)})
	ctx, stop := context.WithCancel(context.Background())
	h.ctx, h.stop = ctx, stop
	f.mu.Lock()
	if former := f.hosts[id]; former != nil {
		former.stop()
	}
	f.hosts[id] = h
	f.mu.Unlock()
	go h.guard.Run(ctx)
	go func() { // as snapshots arrive
		for ctx.Err() == nil {
			h.guard.Observe(f.snapshot())
			port.Sleep(ctx, 100*time.Millisecond)
		}
	}()
	return h
}

func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		h.stop()
	}
}

func (f *fleet) snapshot() *facts.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &facts.Snapshot{Usable: make(map[string][]*catalog.Endpoint), Registrations: make(catalog.Registrations), CrashEntries: make(map[string]string),
		Incarnations: make(map[catalog.Incarnation]bool), ConfirmedAt: time.Now()}
	for _, e := range f.endpoints {
		s.Incarnations[e.Incarnation()] = true
		s.Registrations[e.ID] = append(s.Registrations[e.ID], catalog.RegistrationOf(e))
		if !e.Draining {
			s.Usable[e.Service] = append(s.Usable[e.Service], e)
		}
	}
	for key, value := range f.items {
		if name, ok := EntryName(key); ok {
			s.CrashEntries[name] = value
		}
	}
	return s
}

// refusing returns the ids of the hosts that refuse a request, sorted.
func (f *fleet) refusing(x *poison.Request) []string {
	f.mu.Lock()
	hosts := make([]*fakeHost, 0, len(f.hosts))
	for _, h := range f.hosts {
		hosts = append(hosts, h)
	}
	f.mu.Unlock()
	var ids []string
	for _, h := range hosts {
		if h.guard.Check(x) != nil {
			ids = append(ids, h.id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (h *fakeHost) Self() string { return h.id }

func (h *fakeHost) Others() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for id, o := range h.hosts {
		if id != h.id && !o.away && !h.away {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (h *fakeHost) Candidates() []string {
	ids := append(h.Others(), h.id)
	slices.Sort(ids)
	return ids
}

func (h *fakeHost) Handle(kind string, fn port.RequestHandler) { h.handlers[kind] = fn }

func (h *fakeHost) Ask(ctx context.Context, id, kind string, payload []byte) ([]byte, error) {
	h.mu.Lock()
	o := h.hosts[id]
	reachable := o != nil && !o.away && !h.away
	h.mu.Unlock()
	port.Sleep(ctx, 5*time.Millisecond)
	if !reachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return o.handlers[kind](ctx, port.Member{ID: h.id}, payload)
}

// GrantLease implements port.WatchableStore.
func (f *fleet) GrantLease(context.Context, time.Duration) (port.Lease, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeOut {
		return port.Lease{}, port.ErrUnavailable
	}
	f.leases[int64(len(f.leases)+1)] = ""
	return port.Lease{ID: int64(len(f.leases))}, nil
}

// CompareAndSwap implements port.WatchableStore.
func (f *fleet) CompareAndSwap(_ context.Context, key string, value []byte, prev int64, lease port.Lease) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, exists := f.items[key]; exists || prev != 0 {
		return 0, port.ErrConflict
	}
	f.items[key], f.leases[lease.ID] = string(value), key
	return 1, nil
}

// RevokeLease implements port.WatchableStore.
func (f *fleet) RevokeLease(_ context.Context, lease port.Lease) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.items, f.leases[lease.ID])
	return nil
}

// Range, Watch and RenewLease implement port.WatchableStore and are not used.
func (f *fleet) Range(context.Context, string) ([]port.KeyValue, port.StorePosition, error) {
	panic("not used")
}

func (f *fleet) Watch(context.Context, string, port.StorePosition, time.Duration) ([]port.KeyValue, port.StorePosition, error) {
	panic("not used")
}

func (f *fleet) RenewLease(context.Context, port.Lease) error { panic("not used") }

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// enough is the number of crashes from which a part is blamed.
const enough = 4

// badRequest returns a request with a part that crashes endpoints. No two are alike.
func badRequest(n int) *poison.Request {
	own := fmt.Sprint("own-", n)
	return poison.NewRequest("", &port.Exchange{ID: own, Target: "/" + own, Prompt: []port.PromptPart{{ID: "first"}, {ID: "bad"}, {ID: own}}})
}

// bad is a request with that part, sound one without it.
var (
	bad   = badRequest(100)
	sound = poison.NewRequest("", &port.Exchange{ID: "s", Target: "/s", Prompt: []port.PromptPart{{ID: "first"}, {ID: "fine"}, {ID: "own-s"}}})
)

// breakOff has an endpoint break the connection of a request.
func (h *fakeHost) breakOff(r *poison.Request, e *catalog.Endpoint) {
	h.guard.Begin(r.ID(), e, r.Traits).End(Broken)
}

// crash has an endpoint crash under a bad request at one host, and a sound response
// arrive at another.
func (f *fleet) crash(n int, host string) {
	f.hosts[host].breakOff(badRequest(n), f.endpoints[n])
	time.Sleep(200 * time.Millisecond)
	f.hosts["edge-1"].guard.ReportResponse(sound, "pool")
	time.Sleep(200 * time.Millisecond)
}

// TestAllHostsRefuseWhatTheyTogetherSawCrash guards against a fleet of which no host sees
// enough crashes to refuse anything: also without the store, with a host that is away and
// another that was the first to know.
func TestAllHostsRefuseWhatTheyTogetherSawCrash(t *testing.T) {
	for _, hosts := range []int{3, 8, 40} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			is := is.New(t)
			synctest.Test(t, func(*testing.T) {
				f := newFleet(hosts)
				defer f.stopAll()
				f.set(func() { f.storeOut = true })
				time.Sleep(2 * time.Second)
				f.crash(0, "edge-0")
				f.set(func() { f.hosts["edge-0"].away = true })
				for i := 1; i < enough-1; i++ {
					f.crash(i, "edge-1")
				}
				is.Equal(f.refusing(bad), nil)
				f.crash(enough-1, "edge-2")
				time.Sleep(600 * time.Millisecond)
				is.Equal(len(f.refusing(bad)), hosts-1)
				is.Equal(f.refusing(sound), nil)
				f.set(func() { f.hosts["edge-0"].away = false })
				time.Sleep(5 * time.Second)
				is.Equal(len(f.refusing(bad)), hosts)
				e := verdict.From(f.hosts["edge-0"].guard.Check(bad))
				is.Equal(e.Verdict, verdict.NotRun)
				is.True(e.RetryAfter > 0)
			})
		})
	}
}

// TestRestartedHostsRefuseWhatWasBlamed guards against blames that are lost with all hosts.
func TestRestartedHostsRefuseWhatWasBlamed(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		f := newFleet(3)
		defer f.stopAll()
		for i := range enough {
			f.crash(i, "edge-2")
		}
		time.Sleep(5 * time.Second)
		is.Equal(len(f.items), 1)
		is.True(f.items["own/crashing/part/bad"] != "")
		f.stopAll()
		for i := range 3 {
			f.start(fmt.Sprint("edge-", i))
		}
		time.Sleep(time.Second)
		is.Equal(len(f.refusing(bad)), 3)
		is.Equal(f.refusing(sound), nil)
	})
}

// TestOperatorLiftsABlame guards against a sound part that is refused until its blame lapses
// although an operator knows better.
func TestOperatorLiftsABlame(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		f := newFleet(3)
		defer f.stopAll()
		for i := range enough {
			f.crash(i, "edge-0")
		}
		time.Sleep(5 * time.Second)
		is.Equal(len(f.refusing(bad)), 3)
		f.set(func() {
			for key := range f.items {
				f.items[key] = `{"lifted":true}`
			}
		})
		time.Sleep(2 * time.Second)
		is.Equal(f.refusing(bad), nil)
		f.start("edge-0")
		time.Sleep(5 * time.Second)
		is.Equal(f.refusing(bad), nil)
	})
}

// TestEntryEndsWithItsBlame guards against entries from which hosts that start later learn
// of a blame that a response has disproved.
func TestEntryEndsWithItsBlame(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		f := newFleet(3)
		defer f.stopAll()
		for i := range enough {
			f.crash(i, "edge-0")
		}
		time.Sleep(5 * time.Second)
		is.Equal(len(f.items), 1)
		f.hosts["edge-1"].guard.ReportResponse(bad, "pool")
		time.Sleep(3 * time.Second)
		is.Equal(f.refusing(bad), nil)
		is.Equal(len(f.items), 0)
	})
}

// TestPlannedEndIsNoCrash guards against evidence from endpoints that were drained or have
// left the store before they broke their connections.
func TestPlannedEndIsNoCrash(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		f := newFleet(1)
		defer f.stopAll()
		left := f.endpoints
		f.set(func() { f.endpoints = nil })
		for _, e := range left {
			f.hosts["edge-0"].breakOff(bad, e)
		}
		is.True(f.hosts["edge-0"].guard.ledger.Idle())
	})
}

// TestEntriesOfOlderBuildsAreKnown guards against requests that crash endpoints getting
// through while builds of two kinds run side by side: older ones name a fingerprint only.
func TestEntriesOfOlderBuildsAreKnown(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		f := newFleet(1)
		defer f.stopAll()
		fingerprint := suspect.NewFingerprint("key", "api.example/x", []byte("poison")).String()
		f.set(func() { f.items["own/crashing/"+fingerprint] = "{}" })
		time.Sleep(time.Second)
		is.Equal(f.refusing(poison.NewRequest("triglav", &port.Exchange{APIKey: "key", Host: "api.example", Target: "/x", Body: []byte("poison")})), []string{"edge-0"})
		is.Equal(f.refusing(sound), nil)
		is.Equal(entryName(poison.Trait("request/"+fingerprint)), fingerprint) // as older builds look for it
	})
}

// TestMalformedEntriesAndMessagesAreIgnored guards against hosts that stop over what they
// can't read.
func TestMalformedEntriesAndMessagesAreIgnored(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		f := newFleet(1)
		defer f.stopAll()
		long, err := json.Marshal(strings.Repeat("x", 1<<16))
		is.NoErr(err)
		f.set(func() {
			f.items["own/crashing/"] = "{}"
			f.items["own/crashing/part/"] = "{}"
			f.items["own/crashing/part/"+strings.Repeat("x", 200)] = string(long)
			f.items["own/crashing/other/thing"] = `{"since_unix_ms":"x"}`
		})
		time.Sleep(time.Second)
		h := f.hosts["edge-0"]
		is.True(h.guard.ledger.Idle())
		_, err = h.handlers[kindEvidence](context.Background(), port.Member{}, []byte("\xff\x00"))
		is.True(err != nil)
	})
}

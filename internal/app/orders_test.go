package app

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/order"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// orderBench is a zone's engines with the hosts that may give them orders.
type orderBench struct {
	t       *testing.T
	engines []*standin.Engine
	direct  *standin.Direct
	mu      sync.Mutex
	release *release.Release
	audit   []port.AuditRecord
	fence   uint64
}

// orderHost is one host with its idea of the lease, which may be wrong.
type orderHost struct {
	mu    sync.Mutex
	lease order.Lease
	stop  context.CancelFunc
}

const (
	leaseTime = time.Hour
	// settleTime is enough to read back the last orders.
	settleTime = 20 * time.Second
)

func newOrderBench(t *testing.T, n int, checksFence bool, cfg standin.EngineConfig) *orderBench {
	b := &orderBench{t: t, direct: standin.NewDirect()}
	r := &release.Release{
		Version:  1,
		Zones:    []release.Zone{{Name: "kranj"}},
		Models:   []release.Model{{Name: "topo", Version: "2", Adapters: []string{"alpine"}}},
		Services: []release.Service{{Name: "engines", Kind: release.KindEngine, Model: "topo"}},
		Settings: release.Settings{WeightLoadsPerMinute: 600},
	}
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		cfg.ID, cfg.StartsWarm, cfg.ChecksFence = id, true, checksFence
		cfg.Model, cfg.Version = "topo", "1"
		e := standin.NewEngine(cfg)
		b.engines = append(b.engines, e)
		b.direct.Add(id, e)
		r.Endpoints = append(r.Endpoints, release.Endpoint{
			ID: id, Service: "engines", AvailabilityZone: "kranj", Role: "decode", ChecksFence: checksFence,
		})
	}
	b.release = r
	return b
}

// Record implements port.Audit.
func (b *orderBench) Record(r port.AuditRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.audit = append(b.audit, r)
}

func (b *orderBench) outcomes(prefix string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, r := range b.audit {
		if len(r.Outcome) >= len(prefix) && r.Outcome[:len(prefix)] == prefix {
			n++
		}
	}
	return n
}

func (b *orderBench) setVersion(version uint64, model string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := *b.release
	next.Version = version
	next.Models = []release.Model{{Name: "topo", Version: model, Adapters: []string{"alpine"}}}
	b.release = &next
}

// host starts a host that holds the lease from now on. The host before it is
// not told.
func (b *orderBench) host(name string, orders port.OrderClient) *orderHost {
	b.fence++
	now := time.Now()
	h := &orderHost{lease: order.Lease{Fence: b.fence, AcquiredAt: now, ValidUntil: now.Add(leaseTime)}}
	h.stop = b.hostWith(name, orders, func(time.Time) order.Lease {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.lease
	})
	return h
}

// hostWith starts a host that goes by the given lease, and returns what stops it.
func (b *orderBench) hostWith(name string, orders port.OrderClient, lease func(time.Time) order.Lease) context.CancelFunc {
	ctx, cancel := context.WithCancel(b.t.Context())
	l := NewOrderLoop(OrderDeps{
		Host: name, Zone: "kranj", Orders: orders, Lease: lease,
		Release: func() *release.Release {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.release
		},
		Audit: b, Clock: port.SystemClock{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		NewID: func() string { return "id" }, Rand: rand.New(rand.NewPCG(1, uint64(len(name)))),
	})
	go l.Run(ctx)
	return cancel
}

// good reports whether each engine holds what the release asks for.
func (b *orderBench) good() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, w := range order.DesiredStates(b.release, "kranj") {
		s := b.engines[i].State()
		if _, wanting := order.Next(w, s, true); wanting || s.Busy {
			return false
		}
	}
	return true
}

// waitGood returns how long it takes until all engines are good.
func (b *orderBench) waitGood(limit time.Duration) time.Duration {
	b.t.Helper()
	start := time.Now()
	for !b.good() {
		if time.Since(start) > limit {
			b.t.Fatalf("engines do not hold what they should after %v: %+v", limit, b.engines[0].State())
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

func (b *orderBench) taken() (n int) {
	for _, e := range b.engines {
		n += e.OrderStats().Taken
	}
	return n
}

func TestOrdersBringEnginesToTheReleaseOnceEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newOrderBench(t, 8, true, standin.EngineConfig{LoadTime: 20 * time.Second})
		for _, e := range b.engines {
			e.LoseOrderAnswers(1) // the first answer is lost; the order is taken
		}
		h := b.host("h1", b.direct)
		b.waitGood(10 * time.Minute)
		time.Sleep(settleTime)
		is.Equal(b.taken(), 8*3) // version, role and adapter, none repeated
		is.Equal(b.outcomes("done"), 8*3)
		for _, e := range b.engines {
			is.Equal(e.OrderStats().Busy, 0) // one at a time
		}
		b.engines[3].Crash() // holds its first version again
		b.waitGood(5 * time.Minute)
		h.stop()
		synctest.Wait()
	})
}

func TestEngineThatDiesUnderAnOrderHoldsNoOtherBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newOrderBench(t, 4, true, standin.EngineConfig{LoadTime: 20 * time.Second})
		h := b.host("h1", b.direct)
		for b.taken() == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		var dead string
		for i, e := range b.engines {
			if e.State().Busy {
				dead = fmt.Sprintf("e%d", i)
			}
		}
		b.direct.SetDown(dead, true)
		time.Sleep(5 * time.Minute)
		good := 0
		for i, w := range order.DesiredStates(b.release, "kranj") {
			if _, wanting := order.Next(w, b.engines[i].State(), true); !wanting {
				good++
			}
		}
		is.Equal(good, 3)
		is.Equal(b.outcomes("engine away"), 1)
		b.direct.SetDown(dead, false)
		b.waitGood(5 * time.Minute)
		h.stop()
		synctest.Wait()
	})
}

// pausedOrders holds one order back, past all checks, until it is let go: what
// a host does that is paused between its last check and its write.
type pausedOrders struct {
	port.OrderClient
	held chan struct{}
	once sync.Once
	done chan struct{}
}

func (p *pausedOrders) Send(_ context.Context, e release.Endpoint, fence uint64, o port.Order) error {
	paused := false
	p.once.Do(func() { paused = true })
	if paused {
		<-p.held
		defer close(p.done)
	}
	return p.OrderClient.Send(context.Background(), e, fence, o)
}

// pausedHolder has an old holder paused past its last check while a new one
// brings the engine to a newer version, then lets the old one's order go. With
// believes set, the old one still takes its lease for good afterwards.
func pausedHolder(t *testing.T, checks, believes bool) (*orderBench, *standin.Engine) {
	is := is.New(t)
	b := newOrderBench(t, 1, checks, standin.EngineConfig{LoadTime: time.Second})
	e := b.engines[0]
	slow := &pausedOrders{OrderClient: b.direct, held: make(chan struct{}), done: make(chan struct{})}
	old := b.host("old", slow)
	time.Sleep(10 * time.Second) // its first order, for version 2, is held
	if !believes {
		old.mu.Lock()
		old.lease.ValidUntil = time.Now()
		old.mu.Unlock()
	}
	b.setVersion(2, "3")
	next := b.host("next", b.direct)
	b.waitGood(time.Minute)
	time.Sleep(settleTime)
	is.Equal(e.OrderStats().Stale, 0)
	close(slow.held)
	<-slow.done
	synctest.Wait()
	repaired := b.waitGood(30 * time.Second)
	t.Logf("good again after %v", repaired)
	time.Sleep(time.Minute)
	settled := e.OrderStats().Taken
	time.Sleep(10 * time.Minute)
	is.True(b.good())
	is.Equal(e.OrderStats().Taken, settled) // nobody goes on giving orders
	old.stop()
	next.stop()
	synctest.Wait()
	return b, e
}

func TestPausedHolderThatWakesDoesNoHarm(t *testing.T) {
	for _, believes := range []bool{false, true} {
		t.Run(fmt.Sprintf("checks fence, believes %v", believes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b, e := pausedHolder(t, true, believes)
				is.Equal(e.OrderStats().Refused, 1)
				is.Equal(b.outcomes("superseded") > 0, believes)
			})
		})
	}
	t.Run("ignores fence", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b, e := pausedHolder(t, false, false)
			is.Equal(e.OrderStats().Stale, 1) // the order in flight, and no other
			is.Equal(b.outcomes("foreign order"), 1)
		})
	})
	t.Run("ignores fence, believes true", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { pausedHolder(t, false, true) })
	})
}

func TestNoOrdersWithoutTheLeaseOrInItsFirstSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newOrderBench(t, 2, false, standin.EngineConfig{})
		h := b.host("h1", b.direct)
		time.Sleep(order.SendTimeout)
		synctest.Wait()
		is.Equal(b.taken(), 0) // orders of the holder before may still be under way
		h.mu.Lock()
		h.lease.ValidUntil = time.Now().Add(order.SendTimeout) // too short for an order's flight
		h.mu.Unlock()
		time.Sleep(time.Minute)
		is.Equal(b.taken(), 0)
		h.stop()
		synctest.Wait()
	})
}

func TestZonesShareTheWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const perMinute, engines = 30, 24
		weights := standin.NewWeightStore(perMinute/60.0, 4)
		start := func(zones int) (*orderBench, *orderHost) {
			b := newOrderBench(t, engines, true, standin.EngineConfig{Weights: weights, LoadTime: time.Second})
			b.release.Settings.WeightLoadsPerMinute = perMinute
			b.release.Models[0].Adapters = nil
			for i := 1; i < zones; i++ {
				b.release.Zones = append(b.release.Zones, release.Zone{Name: fmt.Sprint("other", i)})
			}
			return b, b.host("h", b.direct)
		}
		a, ha := start(3)
		alone := a.waitGood(time.Hour)
		b, hb := start(3)
		c, hc := start(3)
		first := b.waitGood(time.Hour)
		both := first + c.waitGood(time.Hour)
		refused := weights.Refused()
		t.Logf("%d loads a zone at %d/min for three zones: alone %v, two at once %v and %v, refused fetches %d",
			engines, perMinute, alone, first, both, refused)
		is.True(alone < engines*3*time.Minute/perMinute) // faster than its third alone
		for _, h := range []*orderHost{ha, hb, hc} {
			h.stop()
		}
		synctest.Wait()
	})
}

// countedOrders counts the readings and orders that go out.
type countedOrders struct {
	port.OrderClient
	calls atomic.Int64
}

func (c *countedOrders) State(ctx context.Context, e release.Endpoint) (port.EngineState, error) {
	c.calls.Add(1)
	return c.OrderClient.State(ctx, e)
}

func (c *countedOrders) Send(ctx context.Context, e release.Endpoint, fence uint64, o port.Order) error {
	c.calls.Add(1)
	return c.OrderClient.Send(ctx, e, fence, o)
}

// TestOrdersStayWithinTheControlBudget counts the calls of one holder for the
// 85 engines of a zone of the design size, at rest and while all change.
func TestOrdersStayWithinTheControlBudget(t *testing.T) {
	const (
		engines        = 85
		bytesPerCall   = 600  // BenchmarkStateRead's wire bytes, rounded up
		bytesPerSecond = 9000 // what a host may spend for control in all
		window         = 10 * time.Second
	)
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newOrderBench(t, engines, checks, standin.EngineConfig{LoadTime: time.Minute})
			counted := &countedOrders{OrderClient: b.direct}
			h := b.host("h", counted)
			rate := func(windows int) (most, mean float64) {
				for range windows {
					before := counted.calls.Load()
					time.Sleep(window)
					r := float64(counted.calls.Load()-before) / window.Seconds()
					most, mean = max(most, r), mean+r/float64(windows)
				}
				return most, mean
			}
			changeMost, changeMean := rate(60)
			b.waitGood(time.Hour)
			time.Sleep(2 * time.Minute)
			restMost, restMean := rate(30)
			t.Logf("checks fence %v: calls/s while all change: mean %.1f, most %.1f; at rest: mean %.1f, most %.1f",
				checks, changeMean, changeMost, restMean, restMost)
			is.True(changeMost*bytesPerCall <= bytesPerSecond)
			is.True(restMost*bytesPerCall <= bytesPerSecond)
			h.stop()
			synctest.Wait()
		})
	}
}

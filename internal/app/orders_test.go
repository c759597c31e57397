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

// orderTestBed holds the engines of a zone and starts hosts that send them orders.
// It records the audit trail of these hosts.
type orderTestBed struct {
	// hostLeaving is Deps.HostLeaving of the candidates; may be nil.
	hostLeaving func(host string) bool
	// peers returns the Deps.Peers of a candidate; nil means none.
	peers   func(host string) port.Peers
	t       *testing.T
	engines []*standin.Engine
	direct  *standin.Direct
	mu      sync.Mutex
	release *release.Release
	audit   []port.AuditRecord
	fence   uint64 // fencing token of the latest lease
}

// orderHost is a host with its own view of the lease, which may be outdated. stop
// stops it.
type orderHost struct {
	mu    sync.Mutex
	lease order.Lease
	stop  context.CancelFunc
}

const (
	leaseDuration = time.Hour
	// readBackTime is enough for the reads of the engines' states that confirm the
	// last orders.
	readBackTime = 20 * time.Second
)

// newOrderTestBed returns a test bed with n engines that have version 1 of a model;
// the release specifies version 2, the role decode and an adapter. checksFence says
// whether engines refuse orders with a stale fencing token.
func newOrderTestBed(t *testing.T, n int, checksFence bool, cfg standin.EngineConfig) *orderTestBed {
	b := &orderTestBed{t: t, direct: standin.NewDirect()}
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
func (b *orderTestBed) Record(r port.AuditRecord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.audit = append(b.audit, r)
}

// countOutcomes counts the audit records whose outcome starts with prefix.
func (b *orderTestBed) countOutcomes(prefix string) int {
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

// setVersion replaces the release by one with another version of the model.
func (b *orderTestBed) setVersion(releaseVersion uint64, modelVersion string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := *b.release
	next.Version = releaseVersion
	next.Models = []release.Model{{Name: "topo", Version: modelVersion, Adapters: []string{"alpine"}}}
	b.release = &next
}

// startHost starts a host that holds the lease from now on, with the next fencing
// token. The previous holder is not notified.
func (b *orderTestBed) startHost(name string, client port.OrderClient) *orderHost {
	b.fence++
	now := time.Now()
	h := &orderHost{lease: order.Lease{Fence: b.fence, AcquiredAt: now, ValidUntil: now.Add(leaseDuration)}}
	h.stop = b.startHostWithLease(name, client, func(time.Time) order.Lease {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.lease
	})
	return h
}

// startHostWithLease starts a host with the given lease and returns the function
// that stops it.
func (b *orderTestBed) startHostWithLease(name string, client port.OrderClient, lease func(time.Time) order.Lease) context.CancelFunc {
	ctx, cancel := context.WithCancel(b.t.Context())
	l := NewOrderLoop(OrderDeps{
		Host: name, Zone: "kranj", OrderClient: client, Lease: lease,
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

// converged reports whether all engines are idle and in the state that the release
// specifies.
func (b *orderTestBed) converged() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, desired := range order.DesiredStates(b.release, "kranj") {
		s := b.engines[i].State()
		if _, needsOrder := order.Next(desired, s, true); needsOrder || s.Busy {
			return false
		}
	}
	return true
}

// waitConverged waits until all engines have converged and returns how long that
// took.
func (b *orderTestBed) waitConverged(timeout time.Duration) time.Duration {
	b.t.Helper()
	start := time.Now()
	for !b.converged() {
		if time.Since(start) > timeout {
			b.t.Fatalf("engines are not in the desired state after %v: %+v", timeout, b.engines[0].State())
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

// startedOrders returns the number of orders that the engines have begun.
func (b *orderTestBed) startedOrders() (n int) {
	for _, e := range b.engines {
		n += e.OrderStats().Accepted
	}
	return n
}

func TestEnginesReachReleaseWithoutRepeatedOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newOrderTestBed(t, 8, true, standin.EngineConfig{LoadTime: 20 * time.Second})
		for _, e := range b.engines {
			e.DropOrderResponses(1) // the engine executes the order, but its response is lost
		}
		h := b.startHost("h1", b.direct)
		b.waitConverged(10 * time.Minute)
		time.Sleep(readBackTime)
		is.Equal(b.startedOrders(), 8*3) // version, role and adapter; none repeated
		is.Equal(b.countOutcomes("done"), 8*3)
		for _, e := range b.engines {
			is.Equal(e.OrderStats().RefusedBusy, 0) // no order while another one ran
		}
		b.engines[3].Crash() // it restarts with version 1
		b.waitConverged(5 * time.Minute)
		h.stop()
		synctest.Wait()
	})
}

func TestEngineLostDuringOrderDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newOrderTestBed(t, 4, true, standin.EngineConfig{LoadTime: 20 * time.Second})
		h := b.startHost("h1", b.direct)
		for b.startedOrders() == 0 {
			time.Sleep(100 * time.Millisecond)
		}
		var failedID string
		for i, e := range b.engines {
			if e.State().Busy {
				failedID = fmt.Sprintf("e%d", i)
			}
		}
		b.direct.SetUnreachable(failedID, true)
		time.Sleep(5 * time.Minute)
		converged := 0
		for i, desired := range order.DesiredStates(b.release, "kranj") {
			if _, needsOrder := order.Next(desired, b.engines[i].State(), true); !needsOrder {
				converged++
			}
		}
		is.Equal(converged, 3)
		is.Equal(b.countOutcomes("engine away"), 1)
		b.direct.SetUnreachable(failedID, false)
		b.waitConverged(5 * time.Minute)
		h.stop()
		synctest.Wait()
	})
}

// pausedOrderClient holds back the first order until resume is closed and ignores
// the order's deadline, like a host that is paused between its last check and its
// write. It closes sent when that order has been sent.
type pausedOrderClient struct {
	port.OrderClient
	resume chan struct{}
	once   sync.Once
	sent   chan struct{}
}

func (p *pausedOrderClient) Send(_ context.Context, e release.Endpoint, fence uint64, o port.Order) error {
	paused := false
	p.once.Do(func() { paused = true })
	if paused {
		<-p.resume
		defer close(p.sent)
	}
	return p.OrderClient.Send(context.Background(), e, fence, o)
}

// runPausedHolder pauses a lease holder after its last check, lets a new holder
// bring the engine to a newer version, and then resumes the old holder, which sends
// its outdated order. With keepsLease the old holder still believes afterwards that
// its lease is valid. The engine must return to the newer version, and both holders
// must stop sending orders.
func runPausedHolder(t *testing.T, checksFence, keepsLease bool) (*orderTestBed, *standin.Engine) {
	is := is.New(t)
	b := newOrderTestBed(t, 1, checksFence, standin.EngineConfig{LoadTime: time.Second})
	e := b.engines[0]
	paused := &pausedOrderClient{OrderClient: b.direct, resume: make(chan struct{}), sent: make(chan struct{})}
	old := b.startHost("old", paused)
	time.Sleep(10 * time.Second) // its first order, for version 2, is held back
	if !keepsLease {
		old.mu.Lock()
		old.lease.ValidUntil = time.Now()
		old.mu.Unlock()
	}
	b.setVersion(2, "3")
	next := b.startHost("next", b.direct)
	b.waitConverged(time.Minute)
	time.Sleep(readBackTime)
	is.Equal(e.OrderStats().AcceptedStale, 0)
	close(paused.resume)
	<-paused.sent
	synctest.Wait()
	convergedAfter := b.waitConverged(30 * time.Second)
	t.Logf("converged again after %v", convergedAfter)
	time.Sleep(time.Minute)
	ordersBefore := e.OrderStats().Accepted
	time.Sleep(10 * time.Minute)
	is.True(b.converged())
	is.Equal(e.OrderStats().Accepted, ordersBefore) // no host keeps sending orders
	old.stop()
	next.stop()
	synctest.Wait()
	return b, e
}

func TestPausedHolderThatWakesDoesNoHarm(t *testing.T) {
	for _, keepsLease := range []bool{false, true} {
		t.Run(fmt.Sprintf("checks fence, keeps lease %v", keepsLease), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b, e := runPausedHolder(t, true, keepsLease)
				is.Equal(e.OrderStats().RefusedStale, 1)
				is.Equal(b.countOutcomes("superseded") > 0, keepsLease)
			})
		})
	}
	t.Run("ignores fence", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b, e := runPausedHolder(t, false, false)
			is.Equal(e.OrderStats().AcceptedStale, 1) // only the order in flight
			is.Equal(b.countOutcomes("foreign order"), 1)
		})
	})
	t.Run("ignores fence, keeps lease", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { runPausedHolder(t, false, true) })
	})
}

func TestNoOrdersOutsideSafeLeasePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newOrderTestBed(t, 2, false, standin.EngineConfig{})
		h := b.startHost("h1", b.direct)
		time.Sleep(order.SendTimeout)
		synctest.Wait()
		is.Equal(b.startedOrders(), 0) // orders of the previous holder may still be in flight
		h.mu.Lock()
		h.lease.ValidUntil = time.Now().Add(order.SendTimeout) // too short to send an order
		h.mu.Unlock()
		time.Sleep(time.Minute)
		is.Equal(b.startedOrders(), 0)
		h.stop()
		synctest.Wait()
	})
}

// TestZonesShareTheWeightStore checks that a zone that loads weights while the two
// other zones are idle gets more than a third of the weight store's rate. It logs
// how long two zones take that load at the same time.
func TestZonesShareTheWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const perMinute, engines = 30, 24
		weights := standin.NewWeightStore(perMinute/60.0, 4)
		start := func(zones int) (*orderTestBed, *orderHost) {
			b := newOrderTestBed(t, engines, true, standin.EngineConfig{Weights: weights, LoadTime: time.Second})
			b.release.Settings.WeightLoadsPerMinute = perMinute
			b.release.Models[0].Adapters = nil
			for i := 1; i < zones; i++ {
				b.release.Zones = append(b.release.Zones, release.Zone{Name: fmt.Sprint("other", i)})
			}
			return b, b.startHost("h", b.direct)
		}
		a, ha := start(3)
		alone := a.waitConverged(time.Hour)
		b, hb := start(3)
		c, hc := start(3)
		first := b.waitConverged(time.Hour)
		both := first + c.waitConverged(time.Hour)
		refused := weights.Refused()
		t.Logf("%d weight loads per zone, %d/min for three zones: time until all engines converged: one zone alone %v, two zones at once %v and %v; refused fetches %d",
			engines, perMinute, alone, first, both, refused)
		is.True(alone < engines*3*time.Minute/perMinute) // faster than at a third of the rate
		for _, h := range []*orderHost{ha, hb, hc} {
			h.stop()
		}
		synctest.Wait()
	})
}

// countingOrderClient counts the reads and orders that are sent.
type countingOrderClient struct {
	port.OrderClient
	calls atomic.Int64
}

func (c *countingOrderClient) State(ctx context.Context, e release.Endpoint) (port.EngineState, error) {
	c.calls.Add(1)
	return c.OrderClient.State(ctx, e)
}

func (c *countingOrderClient) Send(ctx context.Context, e release.Endpoint, fence uint64, o port.Order) error {
	c.calls.Add(1)
	return c.OrderClient.Send(ctx, e, fence, o)
}

// TestOrdersStayWithinTheControlBudget counts the calls of one lease holder for the
// 85 engines of a zone of the design size, while all engines change and while they
// are idle.
func TestOrdersStayWithinTheControlBudget(t *testing.T) {
	const (
		engines        = 85
		bytesPerCall   = 600  // BenchmarkStateRead's wire bytes, rounded up
		bytesPerSecond = 9000 // a host's budget for all control traffic
		window         = 10 * time.Second
	)
	for _, checksFence := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newOrderTestBed(t, engines, checksFence, standin.EngineConfig{LoadTime: time.Minute})
			client := &countingOrderClient{OrderClient: b.direct}
			h := b.startHost("h", client)
			rate := func(windows int) (highest, mean float64) {
				for range windows {
					before := client.calls.Load()
					time.Sleep(window)
					callsPerSecond := float64(client.calls.Load()-before) / window.Seconds()
					highest, mean = max(highest, callsPerSecond), mean+callsPerSecond/float64(windows)
				}
				return highest, mean
			}
			changingMax, changingMean := rate(60)
			b.waitConverged(time.Hour)
			time.Sleep(2 * time.Minute)
			idleMax, idleMean := rate(30)
			t.Logf("checks fence %v: calls/s while all change: mean %.1f, max %.1f; idle: mean %.1f, max %.1f",
				checksFence, changingMean, changingMax, idleMean, idleMax)
			is.True(changingMax*bytesPerCall <= bytesPerSecond)
			is.True(idleMax*bytesPerCall <= bytesPerSecond)
			h.stop()
			synctest.Wait()
		})
	}
}

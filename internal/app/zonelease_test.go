package app

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// leaseHost is a candidate for the zone's lease with its order loop. stop stops
// both without releasing the lease.
type leaseHost struct {
	app  *App
	stop context.CancelFunc
}

// startCandidate starts a host that acquires the lease from the store when it can
// and sends orders while it holds it.
func (b *orderTestBed) startCandidate(name string, rank int, store port.Store, ids *atomic.Int64) *leaseHost {
	ctx, cancel := context.WithCancel(b.t.Context())
	a := &App{cfg: Config{Host: name, AvailabilityZone: "kranj"}, deps: Deps{
		ControlStore: store, Clock: port.SystemClock{}, Audit: b, OrderClient: b.direct,
		Log:       slog.New(slog.NewTextHandler(io.Discard, nil)),
		NewID:     func() string { return fmt.Sprint("id-", ids.Add(1)) },
		LeaseRank: func() int { return rank }, HostLeaving: b.hostLeaving,
	}}
	if b.peers != nil {
		a.deps.Peers = b.peers(name)
	}
	a.initZoneLease()
	go a.lease.run(ctx)
	stopLoop := b.startHostWithLease(name, b.direct, a.lease.held)
	return &leaseHost{app: a, stop: func() { cancel(); stopLoop() }}
}

// Guards against a zone without a lease holder, and so without permits for its cold
// endpoints, for up to a poll interval of five seconds after each graceful shutdown:
// while all hosts were replaced in turn, requests found no permit until their deadline.
func TestReleasedLeaseIsTakenOverSoon(t *testing.T) {
	for phase := range 10 { // of the candidate's polls
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var ids atomic.Int64
			var leaving atomic.Bool
			store := standin.NewMemStore(nil)
			b := newOrderTestBed(t, 4, false, standin.EngineConfig{LoadTime: time.Second})
			b.hostLeaving = func(host string) bool { return host == "h1" && leaving.Load() }
			h1 := b.startCandidate("h1", 0, store, &ids)
			<-time.After(time.Second)
			h2 := b.startCandidate("h2", 0, store, &ids)
			<-time.After(20*time.Second + time.Duration(phase)*500*time.Millisecond)
			is.True(h1.holdsLease())
			leaving.Store(true)
			<-time.After(time.Second) // h1 completes its requests
			h1.stop()
			synctest.Wait()
			h1.app.lease.release()
			<-time.After(1600 * time.Millisecond)
			is.True(h2.holdsLease())
			h2.stop()
			synctest.Wait()
		})
	}
}

// holdsLease reports whether the host may act on the lease now.
func (h *leaseHost) holdsLease() bool { return h.app.lease.held(time.Now()).Fence > 0 }

// staleOrders returns the number of orders with a stale fencing token that the
// engines have begun.
func (b *orderTestBed) staleOrders() (n int) {
	for _, e := range b.engines {
		n += e.OrderStats().AcceptedStale
	}
	return n
}

// Orders stop while no host holds the lease and continue under the next holder:
// after the holder's crash, after its graceful shutdown and after a store outage.
// No engine gets an order with a stale fencing token.
func TestOrdersContinueUnderTheNextLeaseHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var ids atomic.Int64
		store := standin.NewMemStore(nil)
		b := newOrderTestBed(t, 4, false, standin.EngineConfig{LoadTime: time.Second})
		h1 := b.startCandidate("h1", 0, store, &ids)
		h2 := b.startCandidate("h2", 1, store, &ids)
		b.waitConverged(time.Minute)
		is.True(h1.holdsLease())
		is.True(!h2.holdsLease())

		h1.stop() // the next holder has to wait until its lease expires
		b.setVersion(2, "3")
		afterKill := b.waitConverged(2 * time.Minute)
		is.True(h2.holdsLease())

		h2.stop()
		synctest.Wait()
		h2.app.lease.release() // as a graceful shutdown does
		_, err := store.Get(t.Context(), "lease/kranj/control")
		is.True(err == port.ErrNotFound)
		h3 := b.startCandidate("h3", 0, store, &ids)
		b.setVersion(3, "4")
		afterRelease := b.waitConverged(2 * time.Minute)
		is.True(h3.holdsLease())

		store.SetOutage(true)
		time.Sleep(time.Minute)
		before := b.startedOrders()
		b.setVersion(4, "5")
		time.Sleep(time.Hour)
		is.True(!h3.holdsLease())
		is.Equal(b.startedOrders(), before) // no host sends orders without the lease
		store.SetOutage(false)
		afterOutage := b.waitConverged(2 * time.Minute)
		is.Equal(b.staleOrders(), 0)
		t.Logf("engines run the next release after: holder killed %v, lease released %v, store restored %v", afterKill, afterRelease, afterOutage)
		h3.stop()
		synctest.Wait()
	})
}

// zonePeers connects the hosts of one zone. Each is a live member of it.
type zonePeers struct{ fakePeers }

func (p *zonePeers) Self() port.Member { return port.Member{ID: p.id, AvailabilityZone: "kranj"} }

func (p *zonePeers) Members() []port.Member {
	members := p.fakePeers.Members()
	for i := range members {
		members[i].AvailabilityZone = "kranj"
	}
	return members
}

func (p *zonePeers) Ask(ctx context.Context, host, kind string, payload []byte) ([]byte, error) {
	return p.handlers[host][kind](ctx, p.Self(), payload)
}

// Guards against a zone without a lease holder, and so without permits for its cold
// endpoints, until the next read of a candidate after a graceful release: a second and
// more for each replaced host, in which requests waited at each of their stages.
func TestStoppingHostHandsItsLeaseOver(t *testing.T) {
	for phase := range 10 { // of the candidate's reads
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var ids atomic.Int64
			store := standin.NewMemStore(nil)
			b := newOrderTestBed(t, 4, false, standin.EngineConfig{LoadTime: time.Second})
			b.hostLeaving = func(string) bool { return false } // the gossip is late
			handlers := map[string]map[string]handler{"h1": {}, "h2": {}}
			b.peers = func(name string) port.Peers { return &zonePeers{fakePeers{id: name, handlers: handlers}} }
			h1 := b.startCandidate("h1", 0, store, &ids)
			<-time.After(time.Second)
			h2 := b.startCandidate("h2", 0, store, &ids)
			<-time.After(20*time.Second + time.Duration(phase)*500*time.Millisecond)
			is.True(h1.holdsLease())
			h1.stop()
			synctest.Wait()
			h1.app.lease.release()
			<-time.After(10 * time.Millisecond)
			is.True(h2.holdsLease())
			<-time.After(5 * time.Second) // its orders end
			h2.stop()
			synctest.Wait()
		})
	}
}

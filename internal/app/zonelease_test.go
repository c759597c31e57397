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

// leaseHost is one candidate with its order loop.
type leaseHost struct {
	app  *App
	stop context.CancelFunc
}

// candidate starts a host that takes the lease from the store when it can.
func (b *orderTestBed) candidate(name string, rank int, store port.Store, ids *atomic.Int64) *leaseHost {
	ctx, cancel := context.WithCancel(b.t.Context())
	a := &App{cfg: Config{Host: name, AvailabilityZone: "kranj"}, deps: Deps{
		ControlStore: store, Clock: port.SystemClock{}, Audit: b, OrderClient: b.direct,
		Log:       slog.New(slog.NewTextHandler(io.Discard, nil)),
		NewID:     func() string { return fmt.Sprint("id-", ids.Add(1)) },
		LeaseRank: func() int { return rank },
	}}
	a.initZoneLease()
	go a.lease.run(ctx)
	loop := b.startHostWithLease(name, b.direct, a.lease.held)
	return &leaseHost{app: a, stop: func() { cancel(); loop() }}
}

func (h *leaseHost) holdsLease() bool { return h.app.lease.held(time.Now()).Fence > 0 }

func (b *orderTestBed) stale() (n int) {
	for _, e := range b.engines {
		n += e.OrderStats().Stale
	}
	return n
}

func TestOrdersContinueUnderTheNextLeaseHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var ids atomic.Int64
		store := standin.NewMemStore(nil)
		b := newOrderTestBed(t, 4, false, standin.EngineConfig{LoadTime: time.Second})
		h1 := b.candidate("h1", 0, store, &ids)
		h2 := b.candidate("h2", 1, store, &ids)
		b.waitConverged(time.Minute)
		is.True(h1.holdsLease())
		is.True(!h2.holdsLease())

		h1.stop() // its lease has to lapse
		b.setVersion(2, "3")
		dead := b.waitConverged(2 * time.Minute)
		is.True(h2.holdsLease())

		h2.stop()
		synctest.Wait()
		h2.app.lease.release() // as a graceful stop does
		_, err := store.Get(t.Context(), "lease/kranj/control")
		is.True(err == port.ErrNotFound)
		h3 := b.candidate("h3", 0, store, &ids)
		b.setVersion(3, "4")
		graceful := b.waitConverged(2 * time.Minute)
		is.True(h3.holdsLease())

		store.Outage(true)
		time.Sleep(time.Minute)
		before := b.startedOrders()
		b.setVersion(4, "5")
		time.Sleep(time.Hour)
		is.True(!h3.holdsLease())
		is.Equal(b.startedOrders(), before) // nobody gives orders without the lease
		store.Outage(false)
		away := b.waitConverged(2 * time.Minute)
		is.Equal(b.stale(), 0)
		t.Logf("engines hold the next release after: holder dead %v, holder stopped %v, store back %v", dead, graceful, away)
		h3.stop()
		synctest.Wait()
	})
}

package app

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/coldstart"
	"github.com/pimentorill/pimentorill/internal/core/order"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// changingHolder is a permitRequester whose lease holder is gone until the given time.
// Requests to it fail after delay.
type changingHolder struct {
	goneUntil time.Time
	delay     time.Duration
}

func (h *changingHolder) requestPermits(_ context.Context, e release.Endpoint, _ coldstart.PermitRequest) (coldstart.PermitReply, error) {
	if time.Now().Before(h.goneUntil) {
		time.Sleep(h.delay)
		return coldstart.PermitReply{}, errNoLeaseHolder
	}
	return coldstart.PermitReply{Status: coldstart.Status{Endpoint: e.ID, Epoch: 1}, Fence: 1, Permits: []uint64{1}, Lifetime: 10 * time.Second}, nil
}

// Guards against requests that wait for a permit until their deadline although the zone
// has a lease holder again: after a request to the one before had failed, hosts asked no
// other one for a second, of each stage's endpoints in turn.
func TestWaitingAttemptAsksANewLeaseHolderAtOnce(t *testing.T) {
	for _, delay := range []time.Duration{0, 400 * time.Millisecond} { // the last request to the old holder ends after the change
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			const change = 300 * time.Millisecond
			requester := &changingHolder{goneUntil: start.Add(change), delay: delay}
			limiter := coldstart.NewLimiter(func(coldstart.Suspicion) {})
			gate := newColdStartGate(limiter, requester, port.SystemClock{}, func(fn func()) { go fn() })
			time.AfterFunc(change, func() {
				gate.leaseHolderChanged("celje")
				gate.leaseHolderChanged("kranj")
			})
			e := release.Endpoint{ID: "e", AvailabilityZone: "kranj", ColdLimit: 2, Slots: 4}
			_, err := gate.Acquire(t.Context(), pipeline.AttemptInfo{Deadline: start.Add(4 * time.Second)}, e)
			is.NoErr(err)
			is.True(time.Since(start) <= max(change, delay)+slotPollInterval)
		})
	}
}

// Guards against a lease holder that is asked for permits before it may issue any: the
// hosts that asked then asked no more for a second.
func TestLeaseHolderIsAnnouncedOnceItIssuesPermits(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{time.Now()}
	store := standin.NewMemStore(port.SystemClock{})
	p := newTestPermits(t, standin.NewMemStore(port.SystemClock{}), clock, "h1", 0)
	p.app.deps.ControlStore = store
	p.app.deps.ZoneLease = func(now time.Time) order.Lease {
		return order.Lease{Fence: 7, AcquiredAt: now, ValidUntil: now.Add(time.Minute)}
	}
	var announced []uint64
	gossip := &fakeGossip{subscribers: map[string][]func(port.GossipRecord){}}
	gossip.Subscribe(topicLeaseHolder, func(r port.GossipRecord) {
		announced = append(announced, r.Version)
		is.True(p.grantPermit(clock.now))
	})
	p.app.deps.Gossip = gossip
	store.SetOutage(true)
	p.updateLease(t.Context())
	is.Equal(len(announced), 0)
	store.SetOutage(false)
	p.updateLease(t.Context())
	p.updateLease(t.Context())
	is.Equal(announced, []uint64{7})
}

// Guards against a stage that pauses for a second after it has waited for a slot, while
// slots get free, and gives up where the rest of the time does not allow the pause.
func TestAttemptThatWaitedForASlotIsRetriedWithoutAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limiter := coldstart.NewLimiter(func(coldstart.Suspicion) {})
		gate := newColdStartGate(limiter, &changingHolder{goneUntil: time.Now().Add(time.Hour)}, port.SystemClock{}, func(fn func()) { go fn() })
		start := time.Now()
		_, err := gate.Acquire(t.Context(), pipeline.AttemptInfo{Deadline: start.Add(4 * time.Second)}, release.Endpoint{ID: "e"})
		is.Equal(time.Since(start), maxSlotWait)
		is.Equal(verdict.From(err).Code, verdict.CodeNoCapacity)
		is.Equal(verdict.From(err).RetryAfter, time.Duration(0)) // the caller's is set by the run
	})
}

package app

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/coldstart"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
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

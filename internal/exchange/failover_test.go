package exchange

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/quota"
	"github.com/pimentorill/pimentorill/internal/port"
)

// TestExchangeThatMustGoOnReturnsToSoundEndpoints guards against exchanges held to their
// deadline because every endpoint was tried once, although all of them are sound.
func TestExchangeThatMustGoOnReturnsToSoundEndpoints(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		h := newScriptedHost(2, ample, rand.NewPCG(1, 2), func(*catalog.Route) {})
		h.forward = func(ctx context.Context, n int, _ *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
			switch n {
			case 1: // silent for a while
				return silent(ctx)
			case 2: // full at this moment
				return refusal(read)
			default:
				return whole(read)
			}
		}
		c := &soakCaller{}
		took := h.exchange(c)
		h.monitor.Close()
		t.Logf("took %v, %d attempts, error %v", took, h.calls, c.err)
		is.True(c.finished)
		is.True(took < 10*time.Second)
	})
}

// TestUnreachableEndpointThatLeavesTheStoreStaysDoubted guards against exchanges that wait
// to their deadline at an endpoint that is dead: once its entry has expired nobody probes
// it, which is no sign of life.
func TestUnreachableEndpointThatLeavesTheStoreStaysDoubted(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		h := newScriptedHost(3, quota.RetryLimit{Slack: 1, Window: 3 * time.Second}, rand.NewPCG(1, 2), func(r *catalog.Route) {
			r.Kind, r.Resumable = catalog.Stream, true
		})
		is.True(h.budgets.TryTake("pool", 1)) // the next retry is there in about 3 s
		h.forward = func(ctx context.Context, n int, r *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
			if n > 1 {
				return read(&port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: -1, Body: &soakBody{soak: h.soak, ctx: ctx, endpoint: r.Endpoint.ID, next: 1}})
			}
			h.mu.Lock()
			h.endpoints[r.Endpoint.ID].silentUntil = time.Now().Add(time.Hour)
			h.mu.Unlock()
			h.monitor.RecordFailure(r.Endpoint) // as another exchange does
			time.AfterFunc(2*time.Second, func() {
				h.mu.Lock()
				h.endpoints[r.Endpoint.ID].Draining = true // its entry expires
				h.mu.Unlock()
				h.publish()
			})
			return silent(ctx)
		}
		c := &soakCaller{}
		took := h.exchange(c)
		h.monitor.Close()
		t.Logf("took %v, %d attempts, error %v", took, h.calls, c.err)
		is.True(took < 12*time.Second)
		is.True(c.finished)
	})
}

// TestLastAttemptAtADeadEndpointEnds guards against exchanges held to their deadline at an
// endpoint that has been unreachable for long: only attempts that may be followed by
// another one are watched.
func TestLastAttemptAtADeadEndpointEnds(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		h := newScriptedHost(3, ample, rand.NewPCG(1, 2), func(r *catalog.Route) { r.MaxAttempts = 1 })
		h.forward = func(ctx context.Context, _ int, r *port.EndpointRequest, _ func(*port.EndpointResponse) error) error {
			h.mu.Lock()
			h.endpoints[r.Endpoint.ID].silentUntil = time.Now().Add(time.Hour)
			h.mu.Unlock()
			h.monitor.RecordFailure(r.Endpoint)
			return silent(ctx)
		}
		c := &soakCaller{}
		took := h.exchange(c)
		h.monitor.Close()
		t.Logf("took %v, error %v", took, c.err)
		is.True(took < 2*maxSilence)
	})
}

// slowSource is a random source that has a pick take long, once slow is set.
type slowSource struct {
	rand.Source
	slow atomic.Bool
	// picking is closed when the slow pick begins.
	picking chan struct{}
}

func (s *slowSource) Uint64() uint64 {
	if s.slow.CompareAndSwap(true, false) {
		close(s.picking)
		time.Sleep(50 * time.Millisecond)
	}
	return s.Source.Uint64()
}

// TestAttemptThatBreaksOffDuringASearchIsRaceFree guards against the search for a successor
// that writes it while the attempt, which has just ended by itself, reads it.
func TestAttemptThatBreaksOffDuringASearchIsRaceFree(t *testing.T) {
	is := is.New(t)
	source := &slowSource{Source: rand.NewPCG(1, 2), picking: make(chan struct{})}
	h := newScriptedHost(4, ample, source, func(*catalog.Route) {})
	h.forward = func(_ context.Context, n int, _ *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
		if n > 1 {
			return whole(read)
		}
		source.slow.Store(true)
		<-source.picking // the search picks the successor
		return brokenOff(context.Canceled)
	}
	c := &soakCaller{}
	h.exchange(c)
	h.monitor.Close()
	is.True(c.finished)
}

// slowCaller is a caller that reads nothing for two seconds after the first event.
type slowCaller struct {
	soakCaller
	paused bool
}

func (c *slowCaller) Write(p []byte) error {
	if !c.paused {
		c.paused = true
		time.Sleep(2 * time.Second)
	}
	return c.soakCaller.Write(p)
}

// TestSlowCallerIsNoStall guards against sound endpoints that are given up, each with a
// retry of the budget, because the caller takes its time.
func TestSlowCallerIsNoStall(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		h := newScriptedHost(3, ample, rand.NewPCG(1, 2), func(r *catalog.Route) { r.Kind, r.Resumable = catalog.Stream, true })
		h.forward = func(ctx context.Context, n int, r *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
			next := 1
			if r.ResumeFrom != "" {
				next = 2
			}
			return read(&port.EndpointResponse{Status: 200, Signed: true, HasAttemptID: true, Length: -1, Body: &soakBody{soak: h.soak, ctx: ctx, endpoint: r.Endpoint.ID, next: next}})
		}
		c := &slowCaller{}
		h.exchange(c)
		h.monitor.Close()
		is.True(c.finished)
		is.Equal(h.calls, 1)
	})
}

// TestGivenUpEndpointHasNotRestarted guards against sound endpoints that count as cold for
// their whole warm-up time because this host gave up a slow attempt at them.
func TestGivenUpEndpointHasNotRestarted(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		h := newScriptedHost(2, ample, rand.NewPCG(1, 2), func(*catalog.Route) {})
		service := &catalog.Service{Name: "pool", WarmUpRate: 1, WarmUpTime: 10 * time.Second}
		for _, e := range h.usable() {
			h.balancer.UpdateEndpoint(e, service, false)
		}
		var slow *catalog.Endpoint
		h.forward = func(ctx context.Context, n int, r *port.EndpointRequest, read func(*port.EndpointResponse) error) error {
			if n == 1 {
				slow = r.Endpoint
				return silent(ctx)
			}
			return whole(read)
		}
		c := &soakCaller{}
		h.exchange(c)
		is.True(c.finished)
		time.Sleep(time.Second) // the backoff is over
		picked := 0
		for range 5 {
			if h.balancer.Pick([]*catalog.Endpoint{slow}, balance.Criteria{Service: service}) != nil {
				picked++
			}
		}
		h.monitor.Close()
		is.Equal(picked, 5)
	})
}

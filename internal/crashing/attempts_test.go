package crashing

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// probe implements Config.ProbeSilent: it probes until the endpoint responds.
func (h *fakeHost) probe(e *catalog.Endpoint) {
	go func() {
		for h.ctx.Err() == nil {
			port.Sleep(h.ctx, 300*time.Millisecond)
			h.mu.Lock()
			silent := h.silent[e.Incarnation()]
			h.mu.Unlock()
			if !silent {
				h.guard.EndpointResponded(e)
				return
			}
			h.guard.EndpointUnreachable(e)
		}
	}()
}

// reaches implements Config.Reaches.
func (f *fleet) reaches(context.Context, *catalog.Endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unreachable
}

// silence has a number of endpoints fall silent under a bad request at one host each, which gets no
// response within its second.
func (f *fleet) silence(n int) {
	for i, host := range []string{"edge-0", "edge-1", "edge-2", "edge-0", "edge-1"}[:n] {
		e := f.endpoints[i]
		f.set(func() { f.silent[e.Incarnation()] = true })
		g := f.hosts[host].guard
		a := g.Begin(bad.ID(), e, bad.Traits)
		time.AfterFunc(time.Second, func() { a.End(Unanswered) })
	}
}

// TestRequestThatSilencesEndpointsIsRefused guards against requests that go on being sent because
// endpoints end under them without closing their connections (incident BUDGET), and against the
// refusal of requests whose endpoints were only paused.
func TestRequestThatSilencesEndpointsIsRefused(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		f := newFleet(8)
		defer f.stopAll()
		time.Sleep(2 * time.Second)
		f.silence(3)
		time.Sleep(700 * time.Millisecond)
		is.Equal(f.refusing(bad), nil)
		time.Sleep(1800 * time.Millisecond)
		is.Equal(len(f.refusing(bad)), 8)
		is.Equal(f.refusing(sound), nil) // its parts don't count, and it is another request
		f.set(func() { clear(f.silent) })
		time.Sleep(10 * time.Second)
		is.Equal(f.refusing(bad), nil)
		f.start("edge-7") // which reads the entry in the store
		time.Sleep(5 * time.Second)
		is.Equal(f.refusing(bad), nil)
	})
}

// TestPartsCountOnceSilentEndpointsAreGone guards against parts of prompts that are refused because
// many endpoints are silent for a while, and against parts that go on to be sent to endpoints that
// end in silence.
func TestPartsCountOnceSilentEndpointsAreGone(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		f := newFleet(3)
		defer f.stopAll()
		other := badRequest(7)
		f.silence(5)
		time.Sleep(4 * time.Second)
		is.Equal(f.refusing(other), nil)
		f.set(func() { f.endpoints = f.endpoints[5:] })
		time.Sleep(time.Second)
		is.Equal(len(f.refusing(other)), 3)
	})
}

// TestHostThatReachesNothingBlamesNothing guards against a host that has lost its paths and takes
// the silence of all endpoints for crashes.
func TestHostThatReachesNothingBlamesNothing(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		f := newFleet(3)
		defer f.stopAll()
		f.unreachable = true
		f.silence(5)
		time.Sleep(5 * time.Second)
		is.Equal(f.refusing(bad), nil)
	})
}

// TestSlowEndpointsAreNotSuspected guards against sound requests that are refused because they take
// long, or because their callers leave.
func TestSlowEndpointsAreNotSuspected(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(*testing.T) {
		f := newFleet(3)
		defer f.stopAll()
		f.silence(5)
		f.set(func() { clear(f.silent) })
		time.Sleep(20 * time.Second)
		is.Equal(f.refusing(bad), nil)
		is.Equal(len(f.hosts["edge-0"].guard.open.endpoints), 0) // nothing is remembered for ever
	})
}

// TestEndpointThatStartsAnewUnderItsIDHasCrashed guards against crashes that nobody counts because
// the endpoint is back, under the same id, before it is probed, also if it drains by then.
func TestEndpointThatStartsAnewUnderItsIDHasCrashed(t *testing.T) {
	for _, draining := range []bool{false, true} {
		t.Run(fmt.Sprint("draining ", draining), func(t *testing.T) {
			is := is.New(t)
			synctest.Test(t, func(*testing.T) {
				f := newFleet(3)
				defer f.stopAll()
				f.silence(3)
				f.set(func() {
					for i := range 3 {
						next := *f.endpoints[i]
						next.StartedUnixMs++
						next.Draining = draining
						delete(f.silent, f.endpoints[i].Incarnation())
						f.endpoints[i] = &next
					}
				})
				time.Sleep(time.Second)
				is.Equal(len(f.refusing(bad)), 3)
			})
		})
	}
}

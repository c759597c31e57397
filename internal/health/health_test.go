package health

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/port"
)

// fakeEndpoints is a client of endpoints of which some are unresponsive. Probes on
// existing connections fail.
type fakeEndpoints struct {
	port.EndpointClient
	all []*catalog.Endpoint

	mu           sync.Mutex
	unresponsive map[string]bool // by endpoint id
	probesToLose int             // number of next probes that fail
	probes       int             // probes so far
	changes      int             // calls of OnChange
}

func newFakeEndpoints() *fakeEndpoints {
	return &fakeEndpoints{unresponsive: make(map[string]bool), all: []*catalog.Endpoint{
		{ID: "k1", Zone: "kranj"}, {ID: "k2", Zone: "kranj"}, {ID: "c1", Zone: "celje"}}}
}

func (f *fakeEndpoints) Connect(ctx context.Context, e *catalog.Endpoint) error {
	_, err := f.Probe(ctx, e, true)
	return err
}

func (f *fakeEndpoints) Probe(ctx context.Context, e *catalog.Endpoint, fresh bool) (port.EndpointReport, error) {
	f.mu.Lock()
	f.probes++
	unresponsive := f.unresponsive[e.ID] || f.probesToLose > 0 || !fresh
	f.probesToLose = max(0, f.probesToLose-1)
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return port.EndpointReport{}, errors.New("no answer")
	}
	<-time.After(time.Millisecond)
	return port.EndpointReport{}, nil
}

func (f *fakeEndpoints) setUnresponsive(unresponsive bool, ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.unresponsive[id] = unresponsive
	}
}

func (f *fakeEndpoints) probeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probes
}

func (f *fakeEndpoints) newMonitor() *Monitor {
	usable := func() []*catalog.Endpoint {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.all
	}
	return New(Config{Client: f, UsableEndpoints: usable,
		OnChange: func() { f.mu.Lock(); f.changes++; f.mu.Unlock() }, Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler)})
}

func ids(list []*catalog.Endpoint) []string {
	out := []string{}
	for _, e := range list {
		out = append(out, e.ID)
	}
	return out
}

func TestFailedEndpointIsAvoidedUntilItResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEndpoints()
		m := f.newMonitor()
		defer m.Close()
		f.setUnresponsive(true, "k1")
		m.RecordFailure(f.all[0])
		is.Equal(ids(m.Available(f.all)), []string{"k2", "c1"})
		<-time.After(time.Minute)
		is.Equal(ids(m.Available(f.all)), []string{"k2", "c1"})
		f.setUnresponsive(false, "k1")
		<-time.After(maxProbeInterval + probeTimeout)
		synctest.Wait()
		is.Equal(ids(m.Available(f.all)), []string{"k1", "k2", "c1"})
		is.Equal(len(m.states), 0)
		is.True(f.changes >= 2) // unreachable, then available
	})
}

func TestAllEndpointsOfAPartitionedZoneAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEndpoints()
		m := f.newMonitor()
		defer m.Close()
		f.setUnresponsive(true, "k1", "k2")
		work, release := m.WhileReachable(context.Background(), f.all[1], PathDirect)
		defer release()
		otherZone, releaseOtherZone := m.WhileReachable(context.Background(), f.all[2], PathDirect)
		defer releaseOtherZone()
		m.RecordFailure(f.all[0])
		<-time.After(unreachableThreshold*probeTimeout + time.Millisecond)
		synctest.Wait()
		is.Equal(ids(m.Available(f.all)), []string{"c1"})
		is.True(errors.Is(context.Cause(work), errUnreachable))
		is.NoErr(otherZone.Err())
	})
}

func TestCrashOfOneEndpointLeavesItsZoneAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEndpoints()
		m := f.newMonitor()
		defer m.Close()
		work, release := m.WhileReachable(context.Background(), f.all[1], PathDirect)
		defer release()
		f.setUnresponsive(true, "k1")
		for range 20 {
			m.RecordFailure(f.all[0])
			<-time.After(50 * time.Millisecond)
			is.Equal(ids(m.Available(f.all)), []string{"k2", "c1"})
		}
		is.NoErr(work.Err())
	})
}

func TestOneLostProbeCancelsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEndpoints()
		m := f.newMonitor()
		defer m.Close()
		work, release := m.WhileReachable(context.Background(), f.all[0], PathDirect)
		defer release()
		f.probesToLose = 1
		m.Sweep("kranj")
		<-time.After(3 * probeTimeout)
		synctest.Wait()
		is.NoErr(work.Err())
		is.Equal(len(m.Available(f.all)), 3)
	})
}

func TestZoneIsSweptOnceWithinMinSweepInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEndpoints()
		m := f.newMonitor()
		defer m.Close()
		for range 100 {
			m.Sweep("kranj")
			<-time.After(10 * time.Millisecond)
		}
		synctest.Wait()
		is.Equal(f.probes, 2) // one of each endpoint of the zone
	})
}

func TestSweepOfALargeZoneProbesFewEndpointsAndThoseInUseFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEndpoints()
		for i := range 500 {
			f.all = append(f.all, &catalog.Endpoint{ID: fmt.Sprint("k", i+3), Zone: "kranj"})
		}
		m := f.newMonitor()
		defer m.Close()
		used := f.all[400]
		work, release := m.WhileReachable(context.Background(), used, PathDirect)
		defer release()
		f.setUnresponsive(true, used.ID)
		m.Sweep("kranj")
		<-time.After(unreachableThreshold*probeTimeout + time.Millisecond)
		synctest.Wait()
		is.Equal(f.probes, maxEndpointsPerSweep-1+unreachableThreshold)
		is.True(errors.Is(context.Cause(work), errUnreachable))
		is.True(m.Avoided(used))
	})
}

func TestStateOfAnEndpointNoLongerUsableIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEndpoints()
		m := f.newMonitor()
		defer m.Close()
		f.setUnresponsive(true, "k1")
		m.RecordFailure(f.all[0])
		f.mu.Lock()
		f.all = f.all[1:]
		f.mu.Unlock()
		<-time.After(minProbeInterval + 2*probeTimeout)
		synctest.Wait()
		is.Equal(len(m.states), 0)
	})
}

// overPeers returns a monitor of a host that reaches no endpoint itself, and whose peers
// reach those for which reached is true.
func (f *fakeEndpoints) overPeers(reached func(e *catalog.Endpoint) bool, found func(e *catalog.Endpoint)) *Monitor {
	m := f.newMonitor()
	m.cfg.ProbeOverPeers = func(_ context.Context, e *catalog.Endpoint) error {
		if reached(e) {
			return nil
		}
		return errors.New("no host reaches it")
	}
	m.cfg.OnPathFound = found
	return m
}

// TestEndpointsThatOtherHostsReachStayAvailable guards against a host that has lost its
// own path and refuses its callers, and against one that stays on the others once it is
// back.
func TestEndpointsThatOtherHostsReachStayAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEndpoints()
		var found sync.Map
		m := f.overPeers(func(*catalog.Endpoint) bool { return true }, func(e *catalog.Endpoint) { found.Store(e.ID, true) })
		defer m.Close()
		f.setUnresponsive(true, "k1", "k2", "c1")
		direct, release := m.WhileReachable(context.Background(), f.all[2], PathDirect)
		defer release()
		over, releaseOver := m.WhileReachable(context.Background(), f.all[0], PathOverPeers)
		defer releaseOver()
		m.RecordFailure(f.all[0])
		m.RecordFailure(f.all[1])
		m.RecordFailure(f.all[2])
		is.Equal(len(m.Available(f.all)), 0)
		<-time.After(unreachableThreshold*probeTimeout + time.Millisecond)
		is.Equal(ids(m.Available(f.all)), []string{"k1", "k2", "c1"})
		is.Equal(m.PathTo(f.all[0]), PathOverPeers)
		_, ok := found.Load("k1")
		is.True(ok)
		is.True(direct.Err() != nil)
		is.NoErr(over.Err())
		<-time.After(probeTimeout)
		is.True(m.PathLost())
		probes := f.probeCount()
		<-time.After(10 * time.Second)
		is.True(f.probeCount()-probes <= 3*20) // a sample each half second
		f.setUnresponsive(false, "k1", "k2", "c1")
		<-time.After(pathSampleInterval + probeTimeout + 10*time.Millisecond)
		synctest.Wait()
		is.True(!m.PathLost())
		is.Equal(m.PathTo(f.all[0]), PathDirect)
	})
}

// TestPathToSomeEndpointsOnlyIsNoLossOfThePath checks that a host goes on calling by
// itself the endpoints that it reaches.
func TestPathToSomeEndpointsOnlyIsNoLossOfThePath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEndpoints()
		f.all = nil
		for i := range 12 {
			f.all = append(f.all, &catalog.Endpoint{ID: fmt.Sprint("k", i), Zone: "kranj"})
		}
		m := f.overPeers(func(*catalog.Endpoint) bool { return true }, func(*catalog.Endpoint) {})
		defer m.Close()
		f.setUnresponsive(true, "k0", "k1", "k2", "k3", "k4")
		for _, e := range f.all[:5] {
			m.RecordFailure(e)
		}
		for range 20 {
			<-time.After(500 * time.Millisecond)
			is.True(!m.PathLost())
		}
		is.Equal(m.PathTo(f.all[0]), PathOverPeers)
		is.Equal(m.PathTo(f.all[7]), PathDirect)
	})
}

// TestEndpointThatNoHostReachesIsAvoided checks that endpoints which end together are not
// taken for a lost path.
func TestEndpointThatNoHostReachesIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeEndpoints()
		m := f.overPeers(func(*catalog.Endpoint) bool { return false }, func(*catalog.Endpoint) { t.Error("path found") })
		defer m.Close()
		f.setUnresponsive(true, "k1", "k2", "c1")
		for _, e := range f.all {
			m.RecordFailure(e)
		}
		<-time.After(10 * time.Second)
		is.True(!m.PathLost())
		is.Equal(len(m.Available(f.all)), 0)
	})
}

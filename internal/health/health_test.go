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

// field is some endpoints of which some are silent.
type field struct {
	port.EndpointClient
	all []*catalog.Endpoint

	mu      sync.Mutex
	silent  map[string]bool
	skip    int
	probes  int
	changes int
}

func newField() *field {
	return &field{silent: make(map[string]bool), all: []*catalog.Endpoint{
		{ID: "k1", Zone: "kranj"}, {ID: "k2", Zone: "kranj"}, {ID: "c1", Zone: "celje"}}}
}

func (f *field) Probe(ctx context.Context, e *catalog.Endpoint, fresh bool) (port.EndpointReport, error) {
	f.mu.Lock()
	f.probes++
	silent := f.silent[e.ID] || f.skip > 0 || !fresh
	f.skip = max(0, f.skip-1)
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return port.EndpointReport{}, errors.New("no answer")
	}
	<-time.After(time.Millisecond)
	return port.EndpointReport{}, nil
}

func (f *field) set(silent bool, ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.silent[id] = silent
	}
}

func (f *field) watch() *Watch {
	known := func() []*catalog.Endpoint {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.all
	}
	return New(Config{Endpoints: f, Known: known,
		Changed: func() { f.mu.Lock(); f.changes++; f.mu.Unlock() }, Clock: port.SystemClock{}, Log: slog.New(slog.DiscardHandler)})
}

func ids(list []*catalog.Endpoint) []string {
	out := []string{}
	for _, e := range list {
		out = append(out, e.ID)
	}
	return out
}

func TestAnEndpointThatFailsIsAvoidedUntilItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newField()
		w := f.watch()
		defer w.Close()
		f.set(true, "k1")
		w.Failed(f.all[0])
		is.Equal(ids(w.Up(f.all)), []string{"k2", "c1"})
		<-time.After(time.Minute)
		is.Equal(ids(w.Up(f.all)), []string{"k2", "c1"})
		f.set(false, "k1")
		<-time.After(maxProbePause + probeTimeout)
		synctest.Wait()
		is.Equal(ids(w.Up(f.all)), []string{"k1", "k2", "c1"})
		is.Equal(len(w.states), 0)
		is.True(f.changes >= 2)
	})
}

func TestAZoneThatIsCutOffIsLeftAsAWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newField()
		w := f.watch()
		defer w.Close()
		f.set(true, "k1", "k2")
		work, release := w.While(context.Background(), f.all[1])
		defer release()
		far, releaseFar := w.While(context.Background(), f.all[2])
		defer releaseFar()
		w.Failed(f.all[0])
		<-time.After(probesToDown*probeTimeout + time.Millisecond)
		synctest.Wait()
		is.Equal(ids(w.Up(f.all)), []string{"c1"})
		is.True(errors.Is(context.Cause(work), errDown))
		is.NoErr(far.Err())
	})
}

func TestOneCrashLeavesTheRestOfTheZoneInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newField()
		w := f.watch()
		defer w.Close()
		work, release := w.While(context.Background(), f.all[1])
		defer release()
		f.set(true, "k1")
		for range 20 {
			w.Failed(f.all[0])
			<-time.After(50 * time.Millisecond)
			is.Equal(ids(w.Up(f.all)), []string{"k2", "c1"})
		}
		is.NoErr(work.Err())
	})
}

func TestALostProbeEndsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newField()
		w := f.watch()
		defer w.Close()
		work, release := w.While(context.Background(), f.all[0])
		defer release()
		f.skip = 1
		w.Sweep("kranj")
		<-time.After(3 * probeTimeout)
		synctest.Wait()
		is.NoErr(work.Err())
		is.Equal(len(w.Up(f.all)), 3)
	})
}

func TestSweepsOfAZoneAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newField()
		w := f.watch()
		defer w.Close()
		for range 100 {
			w.Sweep("kranj")
			<-time.After(10 * time.Millisecond)
		}
		synctest.Wait()
		is.Equal(f.probes, 2)
	})
}

func TestASweepOfALargeZoneLooksAtFewEndpointsThoseInUseFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newField()
		for i := range 500 {
			f.all = append(f.all, &catalog.Endpoint{ID: fmt.Sprint("k", i+3), Zone: "kranj"})
		}
		w := f.watch()
		defer w.Close()
		used := f.all[400]
		work, release := w.While(context.Background(), used)
		defer release()
		f.set(true, used.ID)
		w.Sweep("kranj")
		<-time.After(probesToDown*probeTimeout + time.Millisecond)
		synctest.Wait()
		is.Equal(f.probes, sweepSize-1+probesToDown)
		is.True(errors.Is(context.Cause(work), errDown))
		is.True(w.Avoided(used))
	})
}

func TestAnEndpointThatIsNotInUseAnyMoreIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newField()
		w := f.watch()
		defer w.Close()
		f.set(true, "k1")
		w.Failed(f.all[0])
		f.mu.Lock()
		f.all = f.all[1:]
		f.mu.Unlock()
		<-time.After(probePause + 2*probeTimeout)
		synctest.Wait()
		is.Equal(len(w.states), 0)
	})
}

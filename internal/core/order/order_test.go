package order

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// applyOrder returns the state of an engine after it has executed an order.
func applyOrder(s port.EngineState, o port.Order) port.EngineState {
	i := slices.IndexFunc(s.Loaded, func(l port.LoadedModel) bool { return l.Model == o.Model })
	switch o.Kind {
	case port.OrderRole:
		s.Role = o.Role
	case port.OrderLoad, port.OrderUnload:
		if i >= 0 {
			s.Loaded = slices.Delete(s.Loaded, i, i+1)
		}
		if o.Kind == port.OrderLoad {
			s.Loaded = append(s.Loaded, port.LoadedModel{Model: o.Model, Version: o.Version})
		}
	case port.OrderLoadAdapter:
		s.Loaded[i].Adapters = append(s.Loaded[i].Adapters, o.Adapter)
	case port.OrderUnloadAdapter:
		a := s.Loaded[i].Adapters
		s.Loaded[i].Adapters = slices.DeleteFunc(a, func(x string) bool { return x == o.Adapter })
	}
	return s
}

// TestOrdersConverge checks that the sequence of orders ends from any state,
// that the desired model is never unloaded, and that nothing is unloaded
// before unloads are allowed.
func TestOrdersConverge(t *testing.T) {
	names := rapid.SampledFrom([]string{"a", "b", "c"})
	sets := rapid.SliceOfNDistinct(names, 0, 3, rapid.ID[string])
	rapid.Check(t, func(t *rapid.T) {
		desired := DesiredState{Model: names.Draw(t, "model"), Version: names.Draw(t, "version"), Adapters: sets.Draw(t, "adapters")}
		desired.Endpoint.Role = names.Draw(t, "role")
		state := port.EngineState{Role: names.Draw(t, "oldRole")}
		for _, m := range sets.Draw(t, "loaded") {
			l := port.LoadedModel{Model: m, Version: names.Draw(t, "oldVersion"), Adapters: sets.Draw(t, "oldAdapters")}
			state.Loaded = append(state.Loaded, l)
		}
		for range 20 {
			o, ok := Next(desired, state, false)
			if !ok {
				break
			}
			if o.Kind == port.OrderUnload || o.Kind == port.OrderUnloadAdapter {
				t.Fatalf("order %+v before unloads are allowed", o)
			}
			state = applyOrder(state, o)
		}
		for range 20 {
			o, ok := Next(desired, state, true)
			if !ok {
				return
			}
			if o.Kind == port.OrderUnload && o.Model == desired.Model {
				t.Fatalf("order %+v unloads the desired model", o)
			}
			state = applyOrder(state, o)
		}
		t.Fatalf("orders do not converge; last state: %+v", state)
	})
}

// TestLoadRateStaysWithinLimits checks that the rate stays between the zone's
// equal share and the whole limit, and that no more loads start than the whole
// limit and one burst allow.
func TestLoadRateStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var limiter LoadLimiter
		now := time.Unix(0, 0)
		perMinute := rapid.IntRange(1, 600).Draw(t, "perMinute")
		zones := rapid.IntRange(1, 7).Draw(t, "zones")
		limiter.SetLimit(perMinute, zones)
		started := 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			switch {
			case !limiter.TryTake(now):
			case rapid.Bool().Draw(t, "good"):
				started++
				limiter.LoadSucceeded()
			default:
				started++
				limiter.LoadFailed()
			}
			if r := limiter.RatePerMinute(); r < float64(perMinute)/float64(zones)-1e-6 || r > float64(perMinute)+1e-6 {
				t.Fatalf("rate of %v loads per minute is outside the limits", r)
			}
		}
		if maxLoads := now.Sub(time.Unix(0, 0)).Minutes()*float64(perMinute) + maxLoadBurst; float64(started) > maxLoads+1e-6 {
			t.Fatalf("%d loads started, want at most %v", started, maxLoads)
		}
	})
}

func TestDesiredStatesOmitLeavingEnginesAndZonesOutOfService(t *testing.T) {
	is := is.New(t)
	r := &release.Release{
		Zones:    []release.Zone{{Name: "kranj"}, {Name: "celje", OutOfService: true}},
		Models:   []release.Model{{Name: "m", Version: "1"}},
		Services: []release.Service{{Name: "s", Kind: release.KindEngine, Model: "m"}, {Name: "p", Kind: release.KindPool}},
		Endpoints: []release.Endpoint{
			{ID: "1", Service: "s", AvailabilityZone: "kranj"},
			{ID: "2", Service: "s", AvailabilityZone: "kranj", Leaving: true},
			{ID: "3", Service: "p", AvailabilityZone: "kranj"},
			{ID: "4", Service: "s", AvailabilityZone: "celje"},
		},
	}
	is.Equal(len(DesiredStates(r, "kranj")), 1)
	is.Equal(len(DesiredStates(r, "celje")), 0)
	is.Equal(len(DesiredStates(nil, "kranj")), 0)
}

// FuzzOrderID checks that an id with a fencing token parsed from any id yields
// the same token.
func FuzzOrderID(f *testing.F) {
	f.Add("7/host-1/3")
	f.Add("99999999999999999999/h/1")
	f.Add("x/y/z")
	f.Fuzz(func(t *testing.T, id string) {
		if fence, ok := fenceOf(id); ok {
			if again, ok := fenceOf(newOrderID(fence, "h", 1)); !ok || again != fence {
				t.Fatalf("id %q has fence %d, but a new id with it has %d", id, fence, again)
			}
		}
	})
}

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

// apply does an order as an engine does.
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

// TestOrdersConverge checks that from any state the orders end, that the
// wanted model is never unloaded, and that nothing goes before unload is set.
func TestOrdersConverge(t *testing.T) {
	names := rapid.SampledFrom([]string{"a", "b", "c"})
	sets := rapid.SliceOfNDistinct(names, 0, 3, rapid.ID[string])
	rapid.Check(t, func(t *rapid.T) {
		want := DesiredState{Model: names.Draw(t, "model"), Version: names.Draw(t, "version"), Adapters: sets.Draw(t, "adapters")}
		want.Endpoint.Role = names.Draw(t, "role")
		state := port.EngineState{Role: names.Draw(t, "oldRole")}
		for _, m := range sets.Draw(t, "loaded") {
			l := port.LoadedModel{Model: m, Version: names.Draw(t, "oldVersion"), Adapters: sets.Draw(t, "oldAdapters")}
			state.Loaded = append(state.Loaded, l)
		}
		for range 20 {
			o, ok := Next(want, state, false)
			if !ok {
				break
			}
			if o.Kind == port.OrderUnload || o.Kind == port.OrderUnloadAdapter {
				t.Fatalf("order %+v before unloads may begin", o)
			}
			state = applyOrder(state, o)
		}
		for range 20 {
			o, ok := Next(want, state, true)
			if !ok {
				return
			}
			if o.Kind == port.OrderUnload && o.Model == want.Model {
				t.Fatalf("order %+v for the wanted model", o)
			}
			state = applyOrder(state, o)
		}
		t.Fatalf("no end: %+v", state)
	})
}

func TestLoadRateStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s LoadLimiter
		now := time.Unix(0, 0)
		perMinute := rapid.IntRange(1, 600).Draw(t, "perMinute")
		zones := rapid.IntRange(1, 7).Draw(t, "zones")
		s.SetLimit(perMinute, zones)
		taken := 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			switch {
			case !s.Take(now):
			case rapid.Bool().Draw(t, "good"):
				taken++
				s.LoadSucceeded()
			default:
				taken++
				s.LoadFailed()
			}
			if r := s.RatePerMinute(); r < float64(perMinute)/float64(zones)-1e-6 || r > float64(perMinute)+1e-6 {
				t.Fatalf("rate %v", r)
			}
		}
		if most := now.Sub(time.Unix(0, 0)).Minutes()*float64(perMinute) + maxLoadBurst; float64(taken) > most+1e-6 {
			t.Fatalf("%d loads, at most %v", taken, most)
		}
	})
}

func TestLeavingEnginesAndZonesOutOfServiceGetNoOrders(t *testing.T) {
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

func FuzzOrderID(f *testing.F) {
	f.Add("7/host-1/3")
	f.Add("99999999999999999999/h/1")
	f.Add("x/y/z")
	f.Fuzz(func(t *testing.T, id string) {
		if fence, ok := fenceOf(id); ok {
			if again, ok := fenceOf(newOrderID(fence, "h", 1)); !ok || again != fence {
				t.Fatalf("%q gives %d, read back as %d", id, fence, again)
			}
		}
	})
}

// Package order decides which orders an availability zone's engines get, so
// that they hold the models, versions, adapters and roles of the release.
//
// One host of a zone, the holder of the zone's lease, runs a Controller. The
// Controller reads an engine's state, derives the one next order from the
// state and the release, hands it out for sending, and reads the state again.
// Orders are never queued: what an engine should hold is derived anew each
// time, so a lost, late or repeated order is put right by the next reading.
//
// The package opens no socket and reads no clock. A Controller belongs to one
// goroutine.
package order

import (
	"slices"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// DesiredState is what an engine should hold.
type DesiredState struct {
	Endpoint release.Endpoint
	Model    string
	Version  string
	Adapters []string
}

// DesiredStates returns what the engines of a zone should hold under r, in the
// release's order. An engine that is leaving gets no orders, and no engine
// does while the zone is out of service.
func DesiredStates(r *release.Release, zone string) []DesiredState {
	if r == nil || r.ZoneOutOfService(zone) {
		return nil
	}
	models := make(map[string]release.Model, len(r.Models))
	for _, m := range r.Models {
		models[m.Name] = m
	}
	var out []DesiredState
	for _, e := range r.Endpoints {
		s, ok := r.Service(e.Service)
		if !ok || s.Kind != release.KindEngine || e.AvailabilityZone != zone || e.Leaving {
			continue
		}
		m := models[s.Model]
		out = append(out, DesiredState{Endpoint: e, Model: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	return out
}

// Next returns the one order that brings an engine closer to want, without an
// id. It returns false if the engine holds what it should or is busy. Unloads
// come last, and only if unload is set, because hosts that have not yet heard
// of the release still send work for the old model.
func Next(want DesiredState, have port.EngineState, unload bool) (port.Order, bool) {
	if have.Busy {
		return port.Order{}, false
	}
	i := slices.IndexFunc(have.Loaded, func(l port.LoadedModel) bool { return l.Model == want.Model })
	if i < 0 || have.Loaded[i].Version != want.Version {
		return port.Order{Kind: port.OrderLoad, Model: want.Model, Version: want.Version}, true
	}
	if want.Endpoint.Role != "" && have.Role != want.Endpoint.Role {
		return port.Order{Kind: port.OrderRole, Role: want.Endpoint.Role}, true
	}
	loaded := have.Loaded[i].Adapters
	if a, ok := firstMissing(want.Adapters, loaded); ok {
		return port.Order{Kind: port.OrderLoadAdapter, Model: want.Model, Adapter: a}, true
	}
	if !unload {
		return port.Order{}, false
	}
	if a, ok := firstMissing(loaded, want.Adapters); ok {
		return port.Order{Kind: port.OrderUnloadAdapter, Model: want.Model, Adapter: a}, true
	}
	for _, l := range have.Loaded {
		if l.Model != want.Model {
			return port.Order{Kind: port.OrderUnload, Model: l.Model}, true
		}
	}
	return port.Order{}, false
}

// missing returns the first of wanted that is not in have.
func firstMissing(wanted, have []string) (string, bool) {
	for _, w := range wanted {
		if !slices.Contains(have, w) {
			return w, true
		}
	}
	return "", false
}

// fetchesWeights reports whether an order makes the engine fetch weights.
func fetchesWeights(k port.OrderKind) bool {
	return k == port.OrderLoad || k == port.OrderLoadAdapter
}

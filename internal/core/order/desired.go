// Package order reconciles the engines of an availability zone with the
// release: it decides which orders they get, so that they hold the models,
// versions, adapters and roles of the release. An order is a command to one
// engine to load or unload a model or an adapter, or to change its role.
//
// In each zone, the host that holds the zone's lease runs a Controller. The
// Controller reads an engine's state, derives a single order from the state
// and the release, returns it for sending, and reads the state again. Orders
// are never queued: each order is derived from a fresh read, so that the order
// derived from the next read makes up for a lost, late or repeated one.
//
// The package does no I/O and reads no clock. A Controller is owned by one
// goroutine.
package order

import (
	"slices"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/port"
)

// DesiredState is the state that the release prescribes for an engine.
type DesiredState struct {
	// Endpoint is the engine in the release. Its Role is the desired role; if
	// that is empty, any role is right.
	Endpoint release.Endpoint
	// Model and Version are those of the one model that the engine is to hold.
	Model   string
	Version string
	// Adapters holds the names of the adapters that are to be loaded for that
	// model.
	Adapters []string
}

// DesiredStates returns the desired states of a zone's engines under r, in the
// order of the release. It leaves out engines that are leaving, and returns
// none for a zone that is out of service.
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

// Next returns the next order that brings an engine closer to the desired
// state, without an id. It returns false if the engine needs no order, is busy,
// or needs only unloads that are not allowed. Unloads come last and only if allowUnload is set, because hosts that
// have not yet received the release still send requests for the old model.
func Next(desired DesiredState, state port.EngineState, allowUnload bool) (port.Order, bool) {
	if state.Busy {
		return port.Order{}, false
	}
	i := slices.IndexFunc(state.Loaded, func(l port.LoadedModel) bool { return l.Model == desired.Model })
	if i < 0 || state.Loaded[i].Version != desired.Version {
		return port.Order{Kind: port.OrderLoad, Model: desired.Model, Version: desired.Version}, true
	}
	if desired.Endpoint.Role != "" && state.Role != desired.Endpoint.Role {
		return port.Order{Kind: port.OrderRole, Role: desired.Endpoint.Role}, true
	}
	loaded := state.Loaded[i].Adapters
	if a, ok := firstMissing(desired.Adapters, loaded); ok {
		return port.Order{Kind: port.OrderLoadAdapter, Model: desired.Model, Adapter: a}, true
	}
	if !allowUnload {
		return port.Order{}, false
	}
	if a, ok := firstMissing(loaded, desired.Adapters); ok {
		return port.Order{Kind: port.OrderUnloadAdapter, Model: desired.Model, Adapter: a}, true
	}
	for _, l := range state.Loaded {
		if l.Model != desired.Model {
			return port.Order{Kind: port.OrderUnload, Model: l.Model}, true
		}
	}
	return port.Order{}, false
}

// firstMissing returns the first element of wanted that is not in have.
func firstMissing(wanted, have []string) (string, bool) {
	for _, w := range wanted {
		if !slices.Contains(have, w) {
			return w, true
		}
	}
	return "", false
}

// fetchesWeights reports whether orders of this kind make the engine fetch
// weights from the weight store.
func fetchesWeights(k port.OrderKind) bool {
	return k == port.OrderLoad || k == port.OrderLoadAdapter
}

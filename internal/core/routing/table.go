// Package routing chooses the endpoint of an attempt. It prefers the host's own
// availability zone, then the zone's region, then the rest. Among endpoints
// with a similar load it uses round-robin. A prompt goes to the endpoint that
// is likely to have its prefix cached, as long as that endpoint is not loaded
// far above the others.
package routing

import (
	"sync/atomic"

	"github.com/pimentorill/pimentorill/internal/core/release"
)

// Tiers of an endpoint by the distance of its availability zone.
const (
	tierSameZone = iota
	tierSameRegion
	tierOtherRegion
	tierCount
)

// endpointEntry is an endpoint of the release with its state.
type endpointEntry struct {
	endpoint release.Endpoint
	state    *endpointState
}

// serviceEndpoints holds the endpoints of one service by tier.
type serviceEndpoints struct {
	tiers    [tierCount][]endpointEntry
	isEngine bool
	// roundRobin is the position in the round-robin. pickRoundRobin advances it
	// past the endpoint that it chooses. It starts at random, so that hosts do
	// not choose in step.
	roundRobin atomic.Uint64
}

// size returns the number of endpoints.
func (se *serviceEndpoints) size() int {
	n := 0
	for _, entries := range se.tiers {
		n += len(entries)
	}
	return n
}

// routingTable is the data that Pick reads. It is immutable except for the
// endpoint states and the round-robin positions.
type routingTable struct {
	// services holds the endpoints by service name, states the endpoint states by
	// endpoint id.
	services map[string]*serviceEndpoints
	states   map[string]*endpointState
}

// buildTable returns the table of a release for a host in the zone. Its services
// omit endpoints that are marked as leaving in the release, whose id is in
// excluded, or whose zone is unknown or out of service. Endpoint states are carried
// over from previous, the table in force so far, which must not be nil.
// initialPosition is called once for each service.
func buildTable(r *release.Release, zone string, excluded map[string]bool, previous *routingTable, initialPosition func() uint64) *routingTable {
	t := &routingTable{services: map[string]*serviceEndpoints{}, states: map[string]*endpointState{}}
	ownZone, _ := r.Zone(zone)
	for _, s := range r.Services {
		se := &serviceEndpoints{isEngine: s.Kind == release.KindEngine}
		se.roundRobin.Store(initialPosition())
		t.services[s.Name] = se
	}
	for _, e := range r.Endpoints {
		state := previous.states[e.ID]
		if state == nil {
			state = &endpointState{}
		}
		t.states[e.ID] = state
		se := t.services[e.Service]
		if se == nil || e.Leaving || excluded[e.ID] || r.ZoneOutOfService(e.AvailabilityZone) {
			continue
		}
		tier := tierOf(r, ownZone, e.AvailabilityZone)
		se.tiers[tier] = append(se.tiers[tier], endpointEntry{endpoint: e, state: state})
	}
	return t
}

// tierOf returns the tier of an endpoint's zone relative to the host's own zone.
// ownZone is the zero Zone if the release does not have the host's zone; then no
// endpoint is in tierSameZone.
func tierOf(r *release.Release, ownZone release.Zone, zone string) int {
	if zone == ownZone.Name {
		return tierSameZone
	}
	z, ok := r.Zone(zone)
	if ok && z.Region == ownZone.Region {
		return tierSameRegion
	}
	return tierOtherRegion
}

// isEngine reports whether the service's endpoints are engines.
func (t *routingTable) isEngine(service string) bool {
	se := t.services[service]
	return se != nil && se.isEngine
}

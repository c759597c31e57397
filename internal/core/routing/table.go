// Package routing chooses the endpoint of an attempt: the own availability
// zone first, then the region, then the rest; of those loaded about alike the
// next in turn; and for prompts the endpoint that is likely to have the prefix in
// its cache, as long as that one is not loaded beyond the others.
package routing

import (
	"sync/atomic"

	"github.com/pimentorill/pimentorill/internal/core/release"
)

// The distances of an endpoint's availability zone.
const (
	tierOwn = iota
	tierRegion
	tierFar
	tiers
)

// candidate is an endpoint with its state.
type candidate struct {
	endpoint release.Endpoint
	state    *endpointState
}

// group holds the candidates of one service by the distance of their zone.
type group struct {
	tiers  [tiers][]candidate
	engine bool
	// turn goes on by one with each choice; it starts at random, so that hosts
	// do not choose in step.
	turn atomic.Uint64
}

// size returns the number of candidates.
func (g *group) size() int {
	n := 0
	for _, all := range g.tiers {
		n += len(all)
	}
	return n
}

// table is what Pick reads. It is immutable; the states it points to are not.
type table struct {
	groups map[string]*group
	states map[string]*endpointState
}

// buildTable returns the table of a release for a host in the zone. Endpoints
// that are leaving, that are excluded or whose zone is out are left out.
// States are taken over from old.
func buildTable(r *release.Release, zone string, excluded map[string]bool, old *table, turn func() uint64) *table {
	t := &table{groups: map[string]*group{}, states: map[string]*endpointState{}}
	own, _ := r.Zone(zone)
	for _, s := range r.Services {
		g := &group{engine: s.Kind == release.KindEngine}
		g.turn.Store(turn())
		t.groups[s.Name] = g
	}
	for _, e := range r.Endpoints {
		state := old.states[e.ID]
		if state == nil {
			state = &endpointState{}
		}
		t.states[e.ID] = state
		g := t.groups[e.Service]
		if g == nil || e.Leaving || excluded[e.ID] || r.ZoneOutOfService(e.AvailabilityZone) {
			continue
		}
		at := tierOf(r, own, e.AvailabilityZone)
		g.tiers[at] = append(g.tiers[at], candidate{endpoint: e, state: state})
	}
	return t
}

// tierOf returns the distance of a zone from the own one.
func tierOf(r *release.Release, own release.Zone, zone string) int {
	if zone == own.Name {
		return tierOwn
	}
	z, ok := r.Zone(zone)
	if ok && z.Region == own.Region {
		return tierRegion
	}
	return tierFar
}

// isEngine reports whether the service's endpoints are engines.
func (t *table) isEngine(service string) bool {
	g := t.groups[service]
	return g != nil && g.engine
}

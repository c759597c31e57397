package stagework

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/membership"
)

const (
	// minGroupEndpoints is the number of endpoints from which a zone has a group of
	// its own. With fewer, too few endpoints of each service would become available
	// in the time that a piece can wait.
	minGroupEndpoints = 8
	// maxGroupEndpoints bounds the endpoints of a group, and with them the work of
	// its coordinator.
	maxGroupEndpoints = 24
)

// group is a part of the stage endpoints. One host, the coordinator of the group,
// makes all calls to them.
type group struct {
	name string
	// zones are the zones of the endpoints, sorted. The coordinator is a host of one
	// of them if there are any.
	zones []string
	// members holds the ids of the endpoints.
	members map[string]bool
}

// division is the division of all stage endpoints into groups, in the order of their
// names. Hosts that know the same endpoints divide them in the same way.
type division []*group

// divide divides endpoints by zone. The zones with few endpoints share a group, and
// those with many have several.
func divide(endpoints []*catalog.Endpoint) division {
	byZone := make(map[string][]*catalog.Endpoint)
	for _, e := range endpoints {
		byZone[e.Zone] = append(byZone[e.Zone], e)
	}
	var out division
	var shared *group // nil while no group takes another zone with few endpoints
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		list := byZone[zone]
		if len(list) >= minGroupEndpoints {
			out = append(out, divideZone(zone, list)...)
			continue
		}
		if shared == nil || len(shared.members)+len(list) > maxGroupEndpoints {
			shared = &group{members: make(map[string]bool)}
			out = append(out, shared)
		}
		shared.addZone(zone, list)
	}
	slices.SortFunc(out, func(a, b *group) int { return strings.Compare(a.name, b.name) })
	return out
}

// divideZone divides the endpoints of a zone into as few groups as maxGroupEndpoints
// allows. Each service is spread evenly over the groups.
func divideZone(zone string, endpoints []*catalog.Endpoint) []*group {
	n := (len(endpoints) + maxGroupEndpoints - 1) / maxGroupEndpoints
	groups := make([]*group, n)
	for i := range groups {
		groups[i] = &group{name: zone, zones: []string{zone}, members: make(map[string]bool)}
		if i > 0 {
			groups[i].name = fmt.Sprint(zone, "/", i)
		}
	}
	byService := make(map[string][]string)
	for _, e := range endpoints {
		byService[e.Service] = append(byService[e.Service], e.ID)
	}
	next := 0
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		ids := byService[service]
		// The groups choose in turn, so that a new or lost endpoint moves few others.
		for ; len(ids) > 0; next++ {
			g := groups[next%n]
			chosen := membership.SelectByRendezvous(ids, g.name, 1)[0]
			g.members[chosen] = true
			ids = slices.DeleteFunc(ids, func(id string) bool { return id == chosen })
		}
	}
	return groups
}

// addZone adds a zone with all its endpoints.
func (g *group) addZone(zone string, endpoints []*catalog.Endpoint) {
	g.zones = append(g.zones, zone)
	g.name = strings.Join(g.zones, "+")
	for _, e := range endpoints {
		g.members[e.ID] = true
	}
}

// endpointsOf returns the group's endpoints of a service, given all of the service. A
// service without endpoints in the group is shared by all groups.
func (g *group) endpointsOf(service []*catalog.Endpoint) []*catalog.Endpoint {
	var own []*catalog.Endpoint
	for _, e := range service {
		if g.members[e.ID] {
			own = append(own, e)
		}
	}
	if len(own) == 0 {
		return service
	}
	return own
}

// names returns the names of the groups.
func (d division) names() []string {
	out := make([]string, len(d))
	for i, g := range d {
		out[i] = g.name
	}
	return out
}

// named returns the group with the name, nil if there is none.
func (d division) named(name string) *group {
	for _, g := range d {
		if g.name == name {
			return g
		}
	}
	return nil
}

// ofZone returns a group with endpoints in the zone, or any if there is none; nil
// if there are no groups.
func (d division) ofZone(zone string) *group {
	for _, g := range d {
		if slices.Contains(g.zones, zone) {
			return g
		}
	}
	if len(d) > 0 {
		return d[0]
	}
	return nil
}

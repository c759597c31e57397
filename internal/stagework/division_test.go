package stagework

import (
	"context"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
)

// busiestShare has every host of a fleet send the same number of plans, and returns
// the largest share of them that one host coordinated. Each zone has three hosts and
// ten endpoints of either stage service.
func busiestShare(t *testing.T, zones int) float64 {
	is := is.New(t)
	fleet := newZonedFleet(zones)
	var mu sync.Mutex
	byCoordinator := make(map[string]int)
	total := 0
	var requests sync.WaitGroup
	for round := range 20 {
		for id, d := range fleet.dispatchers {
			requests.Go(func() {
				p := newPlan(fmt.Sprint(id, "/", round), 3*time.Second)
				p.Zone = fleet.zoneOf[id]
				got, err := d.Execute(context.Background(), p)
				is.NoErr(err)
				d.Free(got)
				mu.Lock()
				defer mu.Unlock()
				byCoordinator[got.Coordinator]++
				total++
			})
		}
		<-time.After(50 * time.Millisecond)
	}
	requests.Wait()
	<-time.After(time.Second)
	busiest := 0
	for _, n := range byCoordinator {
		busiest = max(busiest, n)
	}
	return float64(busiest) / float64(total)
}

// Guards against a coordinator whose work grows with the fleet: on hosts of a fifth
// of a core, one that coordinated the stages of 62 hosts could not keep up.
func TestStageWorkIsDividedAmongHosts(t *testing.T) {
	for _, zones := range []int{2, 4, 8} {
		t.Run(fmt.Sprint(zones, " zones"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				// An even division gives each zone's coordinator 1/zones.
				is.True(busiestShare(t, zones) <= 1.5/float64(zones))
			})
		})
	}
}

// zonedFleet is a fleet with endpoints of both stage services in each zone.
type zonedFleet struct {
	endpoints   *fakeEndpoints
	peers       map[string]*fakePeers
	dispatchers map[string]*Dispatcher
	zoneOf      map[string]string // by host
}

const (
	zonedHosts     = 3  // per zone
	zonedEndpoints = 10 // per zone and service
)

func newZonedFleet(zones int) *zonedFleet {
	f := &zonedFleet{endpoints: newFakeEndpoints(), dispatchers: make(map[string]*Dispatcher), zoneOf: make(map[string]string)}
	byService := make(map[string][]*catalog.Endpoint)
	var all []*catalog.Endpoint
	var ids []string
	for z := range zones {
		zone := fmt.Sprint("zone-", z)
		for h := range zonedHosts {
			id := fmt.Sprint("host-", z, "-", h)
			ids = append(ids, id)
			f.zoneOf[id] = zone
		}
		for _, service := range []string{"encode", "rank"} {
			for i := range zonedEndpoints {
				e := &catalog.Endpoint{ID: fmt.Sprint(service, "-", z, "-", i), Service: service, Zone: zone}
				byService[service], all = append(byService[service], e), append(all, e)
			}
		}
	}
	lookup := func(name string) (*catalog.Service, []*catalog.Endpoint) {
		service, _ := stageService(name)
		return service, byService[name]
	}
	f.peers = newFakePeers(ids...)
	for id, p := range f.peers {
		p.zones = f.zoneOf
		f.dispatchers[id] = newTestDispatcher(f.endpoints, p, f.zoneOf[id], lookup, func() []*catalog.Endpoint { return all })
	}
	return f
}

// manyEndpoints returns n endpoints of each service in a zone.
func manyEndpoints(zone string, n int, services ...string) []*catalog.Endpoint {
	var out []*catalog.Endpoint
	for _, service := range services {
		for i := range n {
			out = append(out, &catalog.Endpoint{ID: fmt.Sprint(zone, "-", service, "-", i), Service: service, Zone: zone})
		}
	}
	return out
}

func TestZonesWithFewEndpointsShareAGroup(t *testing.T) {
	is := is.New(t)
	endpoints := slices.Concat(manyEndpoints("kranj", 2, "encode", "rank"), manyEndpoints("celje", 3, "encode"), manyEndpoints("ljubljana", 5, "encode", "rank"))
	got := divide(endpoints)
	is.Equal(got.names(), []string{"celje+kranj", "ljubljana"})
	is.Equal(got[0].zones, []string{"celje", "kranj"})
	is.Equal(len(got[0].members), 7)
	is.Equal(len(got[1].members), 10)
	is.Equal(got.ofZone("kranj").name, "celje+kranj")
	is.Equal(got.ofZone("maribor").name, "celje+kranj") // a zone without endpoints
	is.Equal(divide(nil).ofZone("kranj"), nil)
}

// Guards against groups that grow with the endpoints of a zone, or with the number of
// small zones, and against groups that lack a service.
func TestGroupsAreBoundedAndHaveAllServices(t *testing.T) {
	is := is.New(t)
	endpoints := manyEndpoints("kranj", 50, "encode", "rank", "print")
	for i := range 20 {
		endpoints = append(endpoints, manyEndpoints(fmt.Sprint("small-", i), 2, "encode", "rank")...)
	}
	seen := make(map[string]int)
	for _, g := range divide(endpoints) {
		is.True(len(g.members) <= maxGroupEndpoints)
		services := make(map[string]bool)
		for id := range g.members {
			seen[id]++
			services[regexp.MustCompile("encode|rank|print").FindString(id)] = true
		}
		is.True(services["encode"] && services["rank"])
	}
	is.Equal(len(seen), len(endpoints)) // each endpoint is in one group
	for _, n := range seen {
		is.Equal(n, 1)
	}
}

func TestLostEndpointMovesFewOthersToAnotherGroup(t *testing.T) {
	is := is.New(t)
	endpoints := manyEndpoints("kranj", 20, "encode", "rank")
	before := divide(endpoints)
	after := divide(endpoints[1:])
	is.Equal(len(before), 2)
	moved := 0
	for _, e := range endpoints[1:] {
		if before.groupOf(e.ID) != after.groupOf(e.ID) {
			moved++
		}
	}
	is.True(moved <= len(endpoints)/4)
}

// groupOf returns the name of the group with an endpoint.
func (d division) groupOf(id string) string {
	for _, g := range d {
		if g.members[id] {
			return g.name
		}
	}
	return ""
}

// A service without endpoints in a zone must not make the zone's group useless.
func TestServiceMissingInAGroupIsShared(t *testing.T) {
	is := is.New(t)
	encode := manyEndpoints("kranj", 10, "encode")
	rank := manyEndpoints("celje", 10, "rank")
	g := divide(slices.Concat(encode, rank)).named("kranj")
	is.Equal(g.endpointsOf(encode), encode)
	is.Equal(g.endpointsOf(rank), rank)
	is.Equal(len(g.endpointsOf(nil)), 0)
}

// Guards against an overloaded coordinator that accepts plans until its peers take it
// for dead: it refuses them at once, and another group runs them.
func TestOverloadedCoordinatorPassesPlansOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newZonedFleet(2)
		fleet.peers["host-0-0"].overloaded.Store(true)
		p := newPlan("r", 2*time.Second)
		p.Zone = "zone-0"
		startedAt := time.Now()
		got, err := fleet.dispatchers["host-0-1"].Execute(context.Background(), p)
		is.NoErr(err)
		is.Equal(got.Coordinator, "host-1-0")
		is.True(time.Since(startedAt) < time.Second)
		fleet.peers["host-1-0"].overloaded.Store(true)
		_, err = fleet.dispatchers["host-0-1"].Execute(context.Background(), newPlan("s", 2*time.Second))
		is.Equal(verdict.From(err).Code, verdict.CodeNoCapacity) // no host runs it by itself
		is.True(verdict.From(err).RetryAfter > 0)
	})
}

// Guards against a second coordinator of a group's endpoints in another zone: while a
// zone's coordinator does not respond, plans go to the other zones' groups.
func TestUnresponsiveGroupIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newZonedFleet(2)
		fleet.peers["host-1-1"].unreachable["host-0-0"] = true // for all hosts
		for i := range 5 {
			p := newPlan(fmt.Sprint("r", i), 2*time.Second)
			p.Zone = "zone-0"
			got, err := fleet.dispatchers["host-1-1"].Execute(context.Background(), p)
			is.NoErr(err)
			is.Equal(got.Coordinator, "host-1-0")
		}
	})
}

// Guards against several coordinators of a group when a zone returns: each other host
// got the first response from another of its hosts.
func TestHostThatDoesNotCoordinateRefusesPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newZonedFleet(2)
		// This host does not know that host-0-0, the coordinator, responds again.
		fleet.peers["host-1-1"].suspected = map[string]bool{"host-0-0": true}
		p := newPlan("r", 2*time.Second)
		p.Zone = "zone-0"
		got, err := fleet.dispatchers["host-1-1"].Execute(context.Background(), p)
		is.NoErr(err)
		is.Equal(got.Coordinator, "host-1-0")
		// A host that does not reach the coordinator either is the group's coordinator.
		fleet.peers["host-0-1"].suspected = map[string]bool{"host-0-0": true}
		<-time.After(noResponseBackoff)
		p = newPlan("s", 2*time.Second)
		p.Zone = "zone-0"
		got, err = fleet.dispatchers["host-1-1"].Execute(context.Background(), p)
		is.NoErr(err)
		is.Equal(got.Coordinator, "host-0-1")
	})
}

// Guards against waste at a group that is full while another has room.
func TestPlanIsPassedOnToAGroupWithRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newZonedFleet(2)
		for i := range 400 { // fills the group of zone 0, whose coordinator alone knows of it
			go func() {
				p := newPlan(fmt.Sprint("full", i), 1500*time.Millisecond)
				fleet.dispatchers["host-0-0"].scheduler("zone-0").Execute(t.Context(), p)
			}()
		}
		synctest.Wait()
		p := newPlan("r", 1500*time.Millisecond)
		p.Zone = "zone-0"
		got, err := fleet.dispatchers["host-1-1"].Execute(context.Background(), p)
		is.NoErr(err)
		is.Equal(got.Coordinator, "host-1-0")
		<-time.After(10 * time.Second)
	})
}

// Guards against hosts of a build without groups, during an upgrade: their plans and
// notices name no group, and the coordinator uses that of its own zone.
func TestPlanWithoutAGroupRunsInTheOwnZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newZonedFleet(2)
		p := newPlan("r", 2*time.Second)
		payload, err := cbor.Marshal(runRequest{Plan: *p, SoftDeadlineIn: 2 * time.Second, HardDeadlineIn: 4 * time.Second})
		is.NoErr(err)
		encoded, err := fleet.peers["host-0-1"].Ask(t.Context(), "host-1-0", kindRun, payload)
		is.NoErr(err)
		var response runResponse
		is.NoErr(cbor.Unmarshal(encoded, &response))
		is.Equal(len(response.Results.Handles), 4)
		for _, handle := range response.Results.Handles {
			is.True(strings.HasPrefix(handle, "rank-1-")) // an endpoint of zone 1
		}
		payload, err = cbor.Marshal(freeRequest{Handles: response.Results.Handles})
		is.NoErr(err)
		_, err = fleet.peers["host-0-1"].Ask(t.Context(), "host-1-0", kindFree, payload)
		is.NoErr(err)
		synctest.Wait()
		is.Equal(len(fleet.endpoints.freed), 6)
	})
}

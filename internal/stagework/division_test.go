package stagework

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/health"
	"github.com/pimentorill/pimentorill/internal/port"
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
	log := slog.New(slog.DiscardHandler)
	for id, p := range f.peers {
		monitor := health.New(health.Config{Client: f.endpoints, UsableEndpoints: func() []*catalog.Endpoint { return all }, OnChange: func() {}, Clock: port.SystemClock{}, Log: log})
		f.dispatchers[id] = NewDispatcher(p, NewScheduler(id, f.zoneOf[id], func() float64 { return 1 }, f.endpoints, monitor, port.SystemClock{}, log, lookup), port.SystemClock{}, log)
	}
	return f
}

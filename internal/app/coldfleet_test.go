package app_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/daemon"
	"github.com/pimentorill/pimentorill/internal/standin"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

// sendRoundRobin sends requests concurrently, distributed over the hosts, and
// counts the results by verdict code, successes as "ok".
func sendRoundRobin(t *testing.T, hosts []*daemon.Daemon, requests int) map[verdict.Code]int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	codes := map[verdict.Code]int{}
	for i := range requests {
		in := app.RunRequest{
			Customer: testbed.Customer, Pipeline: standin.PipelineGuidebook, Input: json.RawMessage(fmt.Sprint(i)),
		}
		wg.Go(func() {
			_, err := hosts[i%len(hosts)].App().Run(t.Context(), in)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				codes["ok"]++
				return
			}
			codes[verdict.From(err).Code]++
		})
	}
	wg.Wait()
	return codes
}

// TestAColdFleetWarmsUpWithinItsLimits starts six hosts in three zones with only
// cold endpoints, sends load, and kills the hosts that hold the zones' leases. No
// cold endpoint may get more attempts than its limit, and all requests succeed.
func TestAColdFleetWarmsUpWithinItsLimits(t *testing.T) {
	is := is.New(t)
	const requests = 90
	fleet := testbed.DefaultFleet
	fleet.StartsWarm = false
	fleet.Slots, fleet.ColdLimit, fleet.WarmAfter = 16, 2, 6
	bed := testbed.Start(t, testbed.Config{Fleet: fleet, Hosts: 6})
	for range 3 {
		is.Equal(sendRoundRobin(t, bed.Live(), requests)["ok"], requests)
	}
	holders := bed.Hosts[0].App().Status().LeaseHolders
	for i := range bed.Hosts {
		status := bed.Hosts[i].App().Status()
		if holders[status.AvailabilityZone] == status.Host {
			bed.Kill(i)
		}
	}
	codes := sendRoundRobin(t, bed.Live(), requests)
	t.Logf("holders %v killed, %d hosts left: %v", holders, len(bed.Live()), codes)
	is.Equal(codes["ok"], requests)
	check := func(s standin.Stats) {
		is.True(s.MaxColdCalls <= fleet.ColdLimit)
		is.Equal(s.ColdOverruns, 0)
	}
	for _, e := range bed.Fleet.Engines {
		check(e.Stats())
	}
	for _, p := range bed.Fleet.Pools {
		check(p.Stats())
	}
}

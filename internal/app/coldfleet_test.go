package app_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

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

// Guards against a warm endpoint that the hosts take for cold, and send no request without
// a permit, because the lease holder that found it warm stopped before it had told them.
func TestStoppingLeaseHolderPassesItsLastStatusesOn(t *testing.T) {
	fleet := testbed.DefaultFleet
	fleet.Zones = fleet.Zones[:1]
	fleet.StartsWarm = false
	fleet.WorkTime = 300 * time.Millisecond
	bed := testbed.Start(t, testbed.Config{Fleet: fleet, Hosts: 3})
	holder := bed.Hosts[0].App().Status().LeaseHolders[fleet.Zones[0]]
	i := slices.IndexFunc(bed.Hosts, func(d *daemon.Daemon) bool { return d.App().Status().Host == holder })
	other, third := bed.Hosts[(i+1)%3].App(), bed.Hosts[(i+2)%3].App()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		_, _ = other.Run(ctx, app.RunRequest{Customer: testbed.Customer, Pipeline: standin.PipelineGuidebook, Input: json.RawMessage(`1`)})
	}()
	endpoint := ""
	testbed.Until(t, "the first stage's endpoint has a call", func() bool {
		for id, p := range bed.Fleet.Pools {
			if p.Stats().MaxColdCalls > 0 {
				endpoint = id
			}
		}
		return endpoint != ""
	})
	bed.Stop(i) // takes the permit back and finds the endpoint warm
	testbed.Until(t, "the third host knows that the endpoint is warm", func() bool {
		return !slices.Contains(third.Status().ColdEndpoints, endpoint)
	})
}

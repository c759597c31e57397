package app_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/adapter/settings"
	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/port"
	"github.com/pimentorill/pimentorill/internal/standin"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

// returnTimeout bounds the wait for work to come back to an endpoint.
const returnTimeout = 10 * time.Second

// TestLeavingEndpointGetsNoWorkUntilItReturns lets an endpoint say that it
// leaves, and later that it does not.
func TestLeavingEndpointGetsNoWorkUntilItReturns(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{})
	run := func() {
		_, err := bed.Hosts[0].App().Run(t.Context(), app.RunRequest{
			Customer: testbed.Customer, Pipeline: standin.PipelineGuidebook, Input: json.RawMessage(`1`),
		})
		is.NoErr(err)
	}
	near := bed.Fleet.Pools[endpointID(bed, standin.ServiceEncoders, "ljubljana")]
	run()
	before := near.Stats().Started
	is.True(before > 0)
	near.Leave(true)
	run() // its answer says that it leaves
	told := near.Stats().Started
	for range 20 {
		run()
	}
	is.Equal(near.Stats().Started, told)
	near.Leave(false)
	limit := time.After(returnTimeout)
	for near.Stats().Started == told {
		select {
		case <-limit:
			t.Fatal("no work came back to the endpoint")
		case <-time.After(50 * time.Millisecond):
			run()
		}
	}
}

// TestEndpointListedAsLeavingGetsNoWork changes the platform's
// list, which every host reads.
func TestEndpointListedAsLeavingGetsNoWork(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{Adjust: func(s *settings.Settings) { s.HostList.IntervalSeconds = 1 }})
	host := bed.Hosts[0].App()
	near := endpointID(bed, standin.ServiceEncoders, "ljubljana")
	bed.HostList.Set([]port.ListedHost{{ID: near, AvailabilityZone: "ljubljana", Leaving: true}})
	limit := time.After(returnTimeout)
	for !host.Snapshot().Leaving[near] {
		select {
		case <-limit:
			t.Fatal("the host list was not taken over")
		case <-time.After(10 * time.Millisecond):
		}
	}
	told := bed.Fleet.Pools[near].Stats().Started
	for range 20 {
		answer, err := host.Run(t.Context(), app.RunRequest{
			Customer: testbed.Customer, Pipeline: standin.PipelineGuidebook, Input: json.RawMessage(`1`),
		})
		is.NoErr(err)
		is.True(answer.Stages[0].Endpoint != near)
	}
	is.Equal(bed.Fleet.Pools[near].Stats().Started, told)
}

func endpointID(bed *testbed.Bed, service, zone string) string {
	for _, e := range bed.Fleet.Endpoints {
		if e.Service == service && e.AvailabilityZone == zone {
			return e.ID
		}
	}
	return ""
}

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

// returnTimeout bounds the wait until an endpoint gets work again, and until a
// host has read the host list.
const returnTimeout = 10 * time.Second

// An endpoint reports in a response that it is leaving, and later, when probed, that
// it is not. It gets no work in between.
func TestLeavingEndpointGetsNoWorkUntilItReturns(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{})
	run := func() {
		_, err := bed.Hosts[0].App().Run(t.Context(), app.RunRequest{
			Customer: testbed.Customer, Pipeline: standin.PipelineGuidebook, Input: json.RawMessage(`1`),
		})
		is.NoErr(err)
	}
	pool := bed.Fleet.Pools[endpointID(bed, standin.ServiceEncoders, "ljubljana")]
	run()
	before := pool.Stats().Started
	is.True(before > 0)
	pool.SetDraining(true)
	run() // the response reports that the endpoint is leaving
	startedBefore := pool.Stats().Started
	for range 20 {
		run()
	}
	is.Equal(pool.Stats().Started, startedBefore)
	pool.SetDraining(false)
	timeout := time.After(returnTimeout)
	for pool.Stats().Started == startedBefore {
		select {
		case <-timeout:
			t.Fatal("the endpoint got no work after it returned")
		case <-time.After(50 * time.Millisecond):
			run()
		}
	}
}

// The platform's host list marks an endpoint as leaving, and the host stops
// sending it work.
func TestEndpointListedAsLeavingGetsNoWork(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{AdjustSettings: func(s *settings.Settings) { s.HostList.PollIntervalSeconds = 1 }})
	host := bed.Hosts[0].App()
	endpoint := endpointID(bed, standin.ServiceEncoders, "ljubljana")
	bed.HostList.Set([]port.ListedHost{{ID: endpoint, AvailabilityZone: "ljubljana", Leaving: true}})
	timeout := time.After(returnTimeout)
	for !host.Snapshot().Leaving[endpoint] {
		select {
		case <-timeout:
			t.Fatal("the host did not apply the host list")
		case <-time.After(10 * time.Millisecond):
		}
	}
	startedBefore := bed.Fleet.Pools[endpoint].Stats().Started
	for range 20 {
		response, err := host.Run(t.Context(), app.RunRequest{
			Customer: testbed.Customer, Pipeline: standin.PipelineGuidebook, Input: json.RawMessage(`1`),
		})
		is.NoErr(err)
		is.True(response.Stages[0].Endpoint != endpoint)
	}
	is.Equal(bed.Fleet.Pools[endpoint].Stats().Started, startedBefore)
}

func endpointID(bed *testbed.Cluster, service, zone string) string {
	for _, e := range bed.Fleet.Endpoints {
		if e.Service == service && e.AvailabilityZone == zone {
			return e.ID
		}
	}
	return ""
}

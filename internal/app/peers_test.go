package app_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/standin"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

// propagationTimeout bounds the wait for a gossip record to reach another host.
const propagationTimeout = 10 * time.Second

func guidebookRequest(customer, key string) app.RunRequest {
	return app.RunRequest{Customer: customer, Pipeline: standin.PipelineGuidebook, Key: key, Input: json.RawMessage(`"the same question"`)}
}

// The last stage of a request fails. Resubmitted with the same key through another
// host, the request reuses the cached results of the first three stages and costs
// only what the last one costs.
func TestResubmissionThroughAnotherHostRunsOnlyMissingStages(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{Hosts: 3})
	waitForPeers(t, bed)
	for _, e := range bed.Fleet.Engines {
		e.SetFailureRate(1, 1)
	}
	_, err := bed.Hosts[0].App().Run(t.Context(), guidebookRequest(testbed.Customer, "k"))
	is.True(err != nil)
	for _, e := range bed.Fleet.Engines {
		e.SetFailureRate(0, 1)
	}
	otherCustomer, err := bed.Hosts[2].App().Run(t.Context(), guidebookRequest("tazalyk", "k"))
	is.NoErr(err)
	is.True(otherCustomer.Stages[0].Attempts > 0) // another customer's request with the same key gets no cached results
	unkeyed, err := bed.Hosts[2].App().Run(t.Context(), guidebookRequest(testbed.Customer, ""))
	is.NoErr(err)
	is.True(unkeyed.Stages[0].Attempts > 0) // nor does a request with the same input and no key
	resubmitted, err := bed.Hosts[1].App().Run(t.Context(), guidebookRequest(testbed.Customer, "k"))
	is.NoErr(err)
	is.Equal(len(resubmitted.Stages), 4)
	for _, s := range resubmitted.Stages[:3] {
		is.Equal(s.Attempts, 0)
		is.Equal(s.Cost, int64(0))
	}
	is.Equal(resubmitted.Cost, resubmitted.Stages[3].Cost)
}

// One host learns from a response that an endpoint is leaving and broadcasts it.
func TestLeavingEndpointIsReportedToOtherHosts(t *testing.T) {
	is := is.New(t)
	bed := testbed.Start(t, testbed.Config{Hosts: 2})
	waitForPeers(t, bed)
	endpoint := endpointID(bed, standin.ServiceEncoders, "ljubljana")
	bed.Fleet.Pools[endpoint].SetDraining(true)
	timeout := time.After(propagationTimeout)
	for endpointState(bed.Hosts[1].App(), endpoint) != "leaving" {
		select {
		case <-timeout:
			t.Fatal("the other host does not know that the endpoint is leaving")
		case <-time.After(10 * time.Millisecond):
			_, err := bed.Hosts[0].App().Run(t.Context(), guidebookRequest(testbed.Customer, ""))
			is.NoErr(err)
		}
	}
	is.Equal(endpointState(bed.Hosts[0].App(), endpoint), "leaving")
}

func endpointState(host *app.App, endpoint string) string {
	for _, e := range host.Endpoints() {
		if e.ID == endpoint {
			return e.State
		}
	}
	return ""
}

// waitForPeers waits until all hosts know each other.
func waitForPeers(t *testing.T, bed *testbed.Cluster) {
	t.Helper()
	timeout := time.After(propagationTimeout)
	for _, h := range bed.Hosts {
		for len(h.App().Status().Hosts) < len(bed.Hosts) {
			select {
			case <-timeout:
				t.Fatal("the hosts do not know each other")
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
}

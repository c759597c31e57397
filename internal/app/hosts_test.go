package app

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/standin"
)

// startWarmFleet starts endpoints in one availability zone, with four engines.
func startWarmFleet(t *testing.T) *standin.Fleet {
	fleet, err := standin.StartFleet(standin.FleetConfig{
		Zones: []string{"ljubljana"}, Region: "si-central", EnginesPerZone: 4, Slots: 16, ColdLimit: 16, WarmAfter: 1,
		WorkTime: time.Millisecond, TokenTime: time.Millisecond, MaxTokens: 8, StartsWarm: true,
	})
	is.New(t).NoErr(err)
	t.Cleanup(fleet.Close)
	return fleet
}

// Nine concurrent requests with an issued key, sent through its issuer and two other
// hosts, run once and all get the same output. Another input with the key conflicts.
func TestIssuedKeyRunsOnceAcrossHosts(t *testing.T) {
	is := is.New(t)
	fleet := startWarmFleet(t)
	hosts := startHosts(t, fleet, 3)
	issued, err := hosts[0].IssueKey("c")
	is.NoErr(err)
	in := RunRequest{Customer: "c", Pipeline: standin.PipelineBooking, Key: issued.Key, Input: json.RawMessage(`"yard 7"`)}
	var wg sync.WaitGroup
	responses := make([]RunResponse, 9)
	errs := make([]error, len(responses))
	for i := range responses {
		wg.Go(func() { responses[i], errs[i] = hosts[i%len(hosts)].Run(context.Background(), in) })
	}
	wg.Wait()
	for i := range responses {
		is.NoErr(errs[i])
		is.Equal(string(responses[i].Output), string(responses[0].Output))
	}
	is.Equal(fleet.RunCounter.KeyCount(), 1)
	is.Equal(len(fleet.RunCounter.RepeatedKeys()), 0)
	in.Input = json.RawMessage(`"yard 8"`)
	_, err = hosts[1].Run(context.Background(), in)
	is.Equal(verdict.From(err).Code, verdict.CodeConflict)
	is.Equal(verdict.Of(err), verdict.NotRun)
}

// A request that crashes every engine it runs on is sent through all hosts until each
// refuses it. It crashes two engines in all: one makes it a suspect, one its trial.
func TestPoisonRequestCrashesTwoEnginesInTheFleet(t *testing.T) {
	is := is.New(t)
	fleet := startWarmFleet(t)
	hosts := startHosts(t, fleet, 3)
	for _, e := range fleet.Engines {
		e.CrashOnInput("deadly")
	}
	in := RunRequest{Customer: "c", Pipeline: standin.PipelineGuidebook, Input: json.RawMessage(`"deadly"`)}
	quarantined := map[int]bool{}
	for i := 0; len(quarantined) < len(hosts); i++ {
		_, err := hosts[i%len(hosts)].Run(context.Background(), in)
		if verdict.From(err).Code == verdict.CodeQuarantined {
			quarantined[i%len(hosts)] = true
		}
	}
	crashes := 0
	for _, e := range fleet.Engines {
		crashes += e.Stats().Crashes
	}
	is.Equal(crashes, 2)
	for _, h := range hosts {
		is.Equal(len(h.Quarantines().Quarantined), 1)
	}
}

package testbed_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/invariant"
	"github.com/pimentorill/pimentorill/internal/standin"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

const (
	fleetHosts  = 8
	loadWorkers = 6
	// requestsPerStep is the number of requests of the load to wait for after a step.
	requestsPerStep = 60
	affectedZone    = "kranj"
	poisonInput     = "crashes the endpoint"
	poisonRounds    = 10 // each sends the poison request to three hosts
	// maxPoisonCrashes bounds the endpoints that one poison request may crash.
	maxPoisonCrashes = 2
)

// fleetTest is a cluster of eight hosts under load, with the recorder that checks
// the invariants.
type fleetTest struct {
	*testing.T
	cluster  *testbed.Cluster
	recorder *invariant.Recorder
	caller   *testbed.Caller
	load     *testbed.Load
}

// TestEightHostsKeepInvariantsUnderFaults runs eight hosts in three zones, with
// their real adapters, under load through a release change, a zone taken out of
// service and back, a store outage, a host crash, a rolling restart, resent
// bookings and a poison request.
func TestEightHostsKeepInvariantsUnderFaults(t *testing.T) {
	f := &fleetTest{T: t, recorder: invariant.New()}
	f.cluster = testbed.Start(t, testbed.Config{Hosts: fleetHosts})
	f.caller = testbed.NewCaller(f.cluster.CallerAddresses, f.recorder)
	f.load = f.caller.StartLoad(loadWorkers)
	for _, step := range []struct {
		name string
		run  func()
	}{
		{"a release change", f.releaseChange},
		{"a zone out of service and back", f.zoneOutAndIn},
		{"a store outage", f.storeOutage},
		{"bookings resent concurrently", f.resentBookings},
		{"a host crash", f.hostCrash},
		{"a rolling restart", f.rollingRestart},
		{"a poison request", f.poisonRequest},
	} {
		f.Logf("%s", step.name)
		step.run()
		f.waitForRequests(requestsPerStep)
	}
	f.finish()
}

// waitForRequests waits until n more requests of the load have ended.
func (f *fleetTest) waitForRequests(n int) {
	f.Helper()
	want := f.load.Completed() + n
	testbed.Until(f, "more requests complete", func() bool { return f.load.Completed() >= want })
}

// waitForRelease waits until the version or a later one is active on every live
// host. It records the versions that it observes.
func (f *fleetTest) waitForRelease(version uint64) {
	f.Helper()
	testbed.Until(f, fmt.Sprintf("release %d is active on all live hosts", version), func() bool {
		all := true
		for _, d := range f.cluster.Live() {
			s := d.App().Status()
			f.recorder.ObserveVersion(d.Address("callers"), s.ReleaseVersion)
			all = all && s.ReleaseVersion >= version
		}
		return all
	})
}

// releaseChange applies a note, and checks that a note with the same, now outdated
// base is refused as a conflict.
func (f *fleetTest) releaseChange() {
	r := f.cluster.Hosts[0].App().Snapshot().Release
	note := release.Note{ID: "more-customers", Author: "ana", Base: r.Version}
	note.Added.Customers = []release.Customer{{Name: "guest", Share: 1, Pipelines: []string{standin.PipelineGuidebook}}}
	accepted, err := f.cluster.Hosts[0].App().ApplyNote(f.Context(), note)
	if err != nil {
		f.Fatal(err)
	}
	f.waitForRelease(accepted.Version)
	stale := note
	stale.ID = "too-late"
	if _, err := f.cluster.Hosts[1].App().ApplyNote(f.Context(), stale); verdict.From(err).Code != verdict.CodeConflict {
		f.Errorf("a note with an outdated base: got %v, want a conflict", err)
	}
}

// zoneOutAndIn checks that a zone out of service gets no new work, and takes it
// back into service.
func (f *fleetTest) zoneOutAndIn() {
	accepted, err := f.cluster.Hosts[0].App().SetZoneService(f.Context(), "ana", affectedZone, true)
	if err != nil {
		f.Fatal(err)
	}
	f.waitForRelease(accepted.Version)
	// Attempts whose endpoint was picked under the previous release may still begin.
	f.waitForRequests(2 * loadWorkers)
	for _, e := range f.cluster.Fleet.Endpoints {
		if e.AvailabilityZone == affectedZone {
			f.recorder.ExpectNoNewWork(e.ID, "in a zone out of service", f.cluster.Fleet.StatsFunc(e.ID))
		}
	}
	f.waitForRequests(requestsPerStep)
	f.recorder.AllowNewWork()
	back, err := f.cluster.Hosts[2].App().SetZoneService(f.Context(), "ana", affectedZone, false)
	if err != nil {
		f.Fatal(err)
	}
	f.waitForRelease(back.Version)
}

// storeOutage checks that during a store outage pipelines without an at-most-once
// stage run, a request with a caller's own key is refused with not_run, and a
// request with an issued key runs.
func (f *fleetTest) storeOutage() {
	issued, err := f.cluster.Hosts[0].App().IssueKey(testbed.Customer)
	if err != nil {
		f.Fatal(err)
	}
	f.cluster.Store.SetOutage(true)
	if got := f.caller.SendWithRetries(f.Context(), standin.PipelineGuidebook, testbed.Customer, "", json.RawMessage(`"during the outage"`)); got.Response == nil {
		f.Errorf("the guidebook pipeline fails during a store outage: %+v", got.Failures)
	}
	host := f.cluster.CallerAddresses()[0]
	response, failure := f.caller.Send(f.Context(), host, standin.PipelineBooking, testbed.Customer, "own-key-in-outage", json.RawMessage(`1`))
	if response != nil || failure.Verdict != verdict.NotRun || failure.Code != verdict.CodeStoreUnavailable {
		f.Errorf("a request with a caller's own key during a store outage: got %+v, %+v", response, failure)
	}
	if got := f.caller.SendWithRetries(f.Context(), standin.PipelineBooking, testbed.Customer, issued.Key, json.RawMessage(`{"issued":1}`)); got.Response == nil {
		f.Errorf("a request with an issued key fails during a store outage: %+v", got.Failures)
	}
	f.cluster.Store.SetOutage(false)
}

// resentBookings sends each of eight bookings through three hosts concurrently.
func (f *fleetTest) resentBookings() {
	hosts := f.cluster.CallerAddresses()
	done := make(chan struct{})
	for n := range 3 * len(hosts) {
		go func() {
			defer func() { done <- struct{}{} }()
			key := fmt.Sprintf("resent-%d", n%len(hosts))
			f.caller.Send(f.Context(), hosts[n/3], standin.PipelineBooking, testbed.Customer, key, json.RawMessage(fmt.Sprint(n%len(hosts))))
		}()
	}
	for range 3 * len(hosts) {
		<-done
	}
}

// hostCrash crashes a host under load and starts it again.
func (f *fleetTest) hostCrash() {
	const victim = 3
	f.cluster.Kill(victim)
	f.waitForRequests(requestsPerStep)
	f.cluster.StartHost(f, victim)
	f.waitForRelease(f.cluster.Hosts[0].App().Status().ReleaseVersion)
}

// rollingRestart stops and starts the live hosts one by one and checks that no
// request is interrupted.
func (f *fleetTest) rollingRestart() {
	for i, d := range f.cluster.Hosts {
		if !slices.Contains(f.cluster.Live(), d) {
			continue
		}
		if interrupted := f.cluster.Stop(i); interrupted > 0 {
			f.Errorf("stopping host %d interrupted %d requests", i, interrupted)
		}
		f.cluster.StartHost(f, i)
	}
	f.waitForRelease(f.cluster.Hosts[len(f.cluster.Hosts)-1].App().Status().ReleaseVersion)
}

// poisonRequest checks that a request which crashes its endpoint is quarantined
// before it has crashed more than maxPoisonCrashes of them.
func (f *fleetTest) poisonRequest() {
	before := f.crashes()
	for _, e := range f.cluster.Fleet.Engines {
		e.CrashOnInput(poisonInput)
	}
	poison, _ := json.Marshal(poisonInput)
	for range poisonRounds {
		hosts := f.cluster.CallerAddresses()
		for _, host := range hosts[:3] {
			f.caller.Send(f.Context(), host, standin.PipelineGuidebook, testbed.Customer, "", poison)
		}
	}
	if n := f.crashes() - before; n > maxPoisonCrashes {
		f.Errorf("a poison request crashed %d endpoints, at most %d are allowed", n, maxPoisonCrashes)
	}
}

// crashes returns the number of crashes of all engines so far.
func (f *fleetTest) crashes() int {
	sum := 0
	for _, e := range f.cluster.Fleet.Engines {
		sum += e.Stats().Crashes
	}
	return sum
}

// finish stops the load and checks all invariants.
func (f *fleetTest) finish() {
	failed := 0
	results := f.load.Stop()
	for _, r := range results {
		if r.Response == nil {
			failed++
			f.Logf("a request of the load failed: %+v", r.Failures)
		}
	}
	f.Logf("%d requests sent, %d failed, %d outcomes recorded", len(results), failed, f.recorder.OutcomeCount())
	// Only the crash of a host may leave requests without a response, at most one
	// per worker: a guidebook request that may have run is not sent again.
	if failed > loadWorkers {
		f.Errorf("%d requests failed, at most %d may", failed, loadWorkers)
	}
	for _, line := range f.recorder.Violations(f.cluster.Fleet) {
		f.Error(line)
	}
}

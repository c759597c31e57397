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
	fleetHosts      = 8
	loadWorkers     = 6
	requestsPerStep = 60
	affectedZone    = "kranj"
	poisonInput     = "crashes the endpoint"
	poisonRounds    = 10
	// maxPoisonCrashes is how many endpoints one guilty request may take down.
	maxPoisonCrashes = 2
)

// fleetTest is eight hosts under load, and what has been seen of them.
type fleetTest struct {
	*testing.T
	cluster  *testbed.Cluster
	recorder *invariant.Recorder
	caller   *testbed.Caller
	load     *testbed.Load
}

// TestEightHostsKeepInvariantsUnderFaults takes eight hosts in three zones, with their
// real adapters, through a change, a zone out and in, a store outage, a death,
// a rolling restart, resent bookings and a crashing request, under load.
func TestEightHostsKeepInvariantsUnderFaults(t *testing.T) {
	f := &fleetTest{T: t, recorder: invariant.New()}
	f.cluster = testbed.Start(t, testbed.Config{Hosts: fleetHosts})
	f.caller = testbed.NewCaller(f.cluster.CallerAddresses, f.recorder)
	f.load = f.caller.StartLoad(loadWorkers)
	for _, step := range []struct {
		name string
		run  func()
	}{
		{"a note in force everywhere", f.releaseChange},
		{"a zone out and in", f.zoneOutAndIn},
		{"a store outage", f.storeOutage},
		{"bookings sent twice at once", f.resentBookings},
		{"a host dies", f.hostCrash},
		{"a rolling restart", f.rollingRestart},
		{"a crashing request", f.poisonRequest},
	} {
		f.Logf("%s", step.name)
		step.run()
		f.waitForRequests(requestsPerStep)
	}
	f.finish()
}

// served waits until the load has had n more requests answered or refused.
func (f *fleetTest) waitForRequests(n int) {
	f.Helper()
	want := f.load.Completed() + n
	testbed.Until(f, "the load goes on", func() bool { return f.load.Completed() >= want })
}

// waitForRelease waits until every live host has the version in force.
func (f *fleetTest) waitForRelease(version uint64) {
	f.Helper()
	testbed.Until(f, fmt.Sprintf("release %d is in force everywhere", version), func() bool {
		all := true
		for _, d := range f.cluster.Live() {
			s := d.App().Status()
			f.recorder.ObserveVersion(d.Address("callers"), s.ReleaseVersion)
			all = all && s.ReleaseVersion >= version
		}
		return all
	})
}

func (f *fleetTest) releaseChange() {
	r := f.cluster.Hosts[0].App().Snapshot().Release
	note := release.Note{ID: "more-customers", Author: "ana", Base: r.Version}
	note.Added.Customers = []release.Customer{{Name: "guest", Share: 1, Pipelines: []string{standin.PipelineGuidebook}}}
	accepted, err := f.cluster.Hosts[0].App().ApplyNote(f.Context(), note)
	if err != nil {
		f.Fatal(err)
	}
	f.waitForRelease(accepted.Version)
	late := note
	late.ID = "too-late"
	if _, err := f.cluster.Hosts[1].App().ApplyNote(f.Context(), late); verdict.From(err).Code != verdict.CodeConflict {
		f.Errorf("a note against an old base got %v", err)
	}
}

func (f *fleetTest) zoneOutAndIn() {
	accepted, err := f.cluster.Hosts[0].App().SetZone(f.Context(), "ana", affectedZone, true)
	if err != nil {
		f.Fatal(err)
	}
	f.waitForRelease(accepted.Version)
	// Attempts picked before the release came in force may still begin.
	f.waitForRequests(2 * loadWorkers)
	for _, e := range f.cluster.Fleet.Endpoints {
		if e.AvailabilityZone == affectedZone {
			f.recorder.ExpectNoNewWork(e.ID, "in a zone taken out", f.cluster.Fleet.Stats(e.ID))
		}
	}
	f.waitForRequests(requestsPerStep)
	f.recorder.AllowNewWork()
	back, err := f.cluster.Hosts[2].App().SetZone(f.Context(), "ana", affectedZone, false)
	if err != nil {
		f.Fatal(err)
	}
	f.waitForRelease(back.Version)
}

// storeOutage checks that pipelines without a once stage go on, that a
// caller's own key gets a true not_run, and that an issued key goes on.
func (f *fleetTest) storeOutage() {
	issued, err := f.cluster.Hosts[0].App().IssueKey(testbed.Customer)
	if err != nil {
		f.Fatal(err)
	}
	f.cluster.Store.SetOutage(true)
	if got := f.caller.SendWithRetries(f.Context(), standin.PipelineGuidebook, testbed.Customer, "", json.RawMessage(`"during the outage"`)); got.Response == nil {
		f.Errorf("the guidebook is not served during a store outage: %+v", got.Failures)
	}
	host := f.cluster.CallerAddresses()[0]
	answer, refusal := f.caller.Send(f.Context(), host, standin.PipelineBooking, testbed.Customer, "own-key-in-outage", json.RawMessage(`1`))
	if answer != nil || refusal.Verdict != verdict.NotRun || refusal.Code != verdict.CodeStoreUnavailable {
		f.Errorf("a caller's own key during a store outage got %+v, %+v", answer, refusal)
	}
	if got := f.caller.SendWithRetries(f.Context(), standin.PipelineBooking, testbed.Customer, issued.Key, json.RawMessage(`{"issued":1}`)); got.Response == nil {
		f.Errorf("an issued key is not served during a store outage: %+v", got.Failures)
	}
	f.cluster.Store.SetOutage(false)
}

// resentBookings sends each booking through several hosts at once.
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

func (f *fleetTest) hostCrash() {
	const victim = 3
	f.cluster.Kill(victim)
	f.waitForRequests(requestsPerStep)
	f.cluster.StartHost(f, victim)
	f.waitForRelease(f.cluster.Hosts[0].App().Status().ReleaseVersion)
}

func (f *fleetTest) rollingRestart() {
	for i, d := range f.cluster.Hosts {
		if !slices.Contains(f.cluster.Live(), d) {
			continue
		}
		if cut := f.cluster.Stop(i); cut > 0 {
			f.Errorf("the stop of host %d cut off %d requests", i, cut)
		}
		f.cluster.StartHost(f, i)
	}
	f.waitForRelease(f.cluster.Hosts[len(f.cluster.Hosts)-1].App().Status().ReleaseVersion)
}

func (f *fleetTest) poisonRequest() {
	before := f.crashes()
	for _, e := range f.cluster.Fleet.Engines {
		e.CrashOnInput(poisonInput)
	}
	guilty, _ := json.Marshal(poisonInput)
	for range poisonRounds {
		hosts := f.cluster.CallerAddresses()
		for _, host := range hosts[:3] {
			f.caller.Send(f.Context(), host, standin.PipelineGuidebook, testbed.Customer, "", guilty)
		}
	}
	if n := f.crashes() - before; n > maxPoisonCrashes {
		f.Errorf("a crashing request took down %d endpoints, at most %d are allowed", n, maxPoisonCrashes)
	}
}

func (f *fleetTest) crashes() int {
	sum := 0
	for _, e := range f.cluster.Fleet.Engines {
		sum += e.Stats().Crashes
	}
	return sum
}

// finish ends the load and checks what must hold.
func (f *fleetTest) finish() {
	unanswered := 0
	results := f.load.Stop()
	for _, r := range results {
		if r.Response == nil {
			unanswered++
			f.Logf("a request of the load was not answered: %+v", r.Failures)
		}
	}
	f.Logf("%d requests of the load, %d not answered, %d replies in all", len(results), unanswered, f.recorder.OutcomeCount())
	// Only the host that dies may leave requests without an answer, each
	// worker's one.
	if unanswered > loadWorkers {
		f.Errorf("%d requests were not answered, at most %d may be", unanswered, loadWorkers)
	}
	for _, line := range f.recorder.Violations(f.cluster.Fleet) {
		f.Error(line)
	}
}

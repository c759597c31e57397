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
	fleetLoad   = 6
	perStep     = 60
	outZone     = "kranj"
	guiltyText  = "crashes the endpoint"
	guiltySends = 10
	// maxCrashes is how many endpoints one guilty request may take down.
	maxCrashes = 2
)

// fleetTest is eight hosts under load, and what has been seen of them.
type fleetTest struct {
	*testing.T
	bed      *testbed.Bed
	recorder *invariant.Recorder
	caller   *testbed.Caller
	load     *testbed.Load
}

// TestEightHostsKeepEveryPromise takes eight hosts in three zones, with their
// real adapters, through a change, a zone out and in, a store outage, a death,
// a rolling restart, resent bookings and a crashing request, under load.
func TestEightHostsKeepEveryPromise(t *testing.T) {
	f := &fleetTest{T: t, recorder: invariant.New()}
	f.bed = testbed.Start(t, testbed.Config{Hosts: fleetHosts})
	f.caller = testbed.NewCaller(f.bed.CallerAddresses, f.recorder)
	f.load = f.caller.StartLoad(fleetLoad)
	for _, step := range []struct {
		name string
		run  func()
	}{
		{"a note in force everywhere", f.noteInForce},
		{"a zone out and in", f.zoneOutAndIn},
		{"a store outage", f.storeOutage},
		{"bookings sent twice at once", f.resentBookings},
		{"a host dies", f.hostDies},
		{"a rolling restart", f.rollingRestart},
		{"a crashing request", f.crashingRequest},
	} {
		f.Logf("%s", step.name)
		step.run()
		f.served(perStep)
	}
	f.finish()
}

// served waits until the load has had n more requests answered or refused.
func (f *fleetTest) served(n int) {
	f.Helper()
	want := f.load.Count() + n
	testbed.Until(f, "the load goes on", func() bool { return f.load.Count() >= want })
}

// inForce waits until every live host has the version in force.
func (f *fleetTest) inForce(version uint64) {
	f.Helper()
	testbed.Until(f, fmt.Sprintf("release %d is in force everywhere", version), func() bool {
		all := true
		for _, d := range f.bed.Live() {
			s := d.App().Status()
			f.recorder.SawVersion(d.Address("callers"), s.ReleaseVersion)
			all = all && s.ReleaseVersion >= version
		}
		return all
	})
}

func (f *fleetTest) noteInForce() {
	r := f.bed.Hosts[0].App().Snapshot().Release
	note := release.Note{ID: "more-customers", Author: "ana", Base: r.Version}
	note.Added.Customers = []release.Customer{{Name: "guest", Share: 1, Pipelines: []string{standin.PipelineGuidebook}}}
	accepted, err := f.bed.Hosts[0].App().ApplyNote(f.Context(), note)
	if err != nil {
		f.Fatal(err)
	}
	f.inForce(accepted.Version)
	late := note
	late.ID = "too-late"
	if _, err := f.bed.Hosts[1].App().ApplyNote(f.Context(), late); verdict.From(err).Code != verdict.CodeConflict {
		f.Errorf("a note against an old base got %v", err)
	}
}

func (f *fleetTest) zoneOutAndIn() {
	accepted, err := f.bed.Hosts[0].App().SetZoneService(f.Context(), "ana", outZone, true)
	if err != nil {
		f.Fatal(err)
	}
	f.inForce(accepted.Version)
	// Attempts picked before the release came in force may still begin.
	f.served(2 * fleetLoad)
	for _, e := range f.bed.Fleet.Endpoints {
		if e.AvailabilityZone == outZone {
			f.recorder.NoNewWork(e.ID, "in a zone taken out", f.bed.Fleet.Stats(e.ID))
		}
	}
	f.served(perStep)
	f.recorder.NewWorkAllowed()
	back, err := f.bed.Hosts[2].App().SetZoneService(f.Context(), "ana", outZone, false)
	if err != nil {
		f.Fatal(err)
	}
	f.inForce(back.Version)
}

// storeOutage checks that pipelines without a once stage go on, that a
// caller's own key gets a true not_run, and that an issued key goes on.
func (f *fleetTest) storeOutage() {
	issued, err := f.bed.Hosts[0].App().IssueKey(testbed.Customer)
	if err != nil {
		f.Fatal(err)
	}
	f.bed.Store.Outage(true)
	if got := f.caller.Do(f.Context(), standin.PipelineGuidebook, testbed.Customer, "", json.RawMessage(`"during the outage"`)); got.Answer == nil {
		f.Errorf("the guidebook is not served during a store outage: %+v", got.Refusals)
	}
	host := f.bed.CallerAddresses()[0]
	answer, refusal := f.caller.Send(f.Context(), host, standin.PipelineBooking, testbed.Customer, "own-key-in-outage", json.RawMessage(`1`))
	if answer != nil || refusal.Verdict != verdict.NotRun || refusal.Code != verdict.CodeStoreUnavailable {
		f.Errorf("a caller's own key during a store outage got %+v, %+v", answer, refusal)
	}
	if got := f.caller.Do(f.Context(), standin.PipelineBooking, testbed.Customer, issued.Key, json.RawMessage(`{"issued":1}`)); got.Answer == nil {
		f.Errorf("an issued key is not served during a store outage: %+v", got.Refusals)
	}
	f.bed.Store.Outage(false)
}

// resentBookings sends each booking through several hosts at once.
func (f *fleetTest) resentBookings() {
	hosts := f.bed.CallerAddresses()
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

func (f *fleetTest) hostDies() {
	const victim = 3
	f.bed.Kill(victim)
	f.served(perStep)
	f.bed.StartHost(f, victim)
	f.inForce(f.bed.Hosts[0].App().Status().ReleaseVersion)
}

func (f *fleetTest) rollingRestart() {
	for i, d := range f.bed.Hosts {
		if !slices.Contains(f.bed.Live(), d) {
			continue
		}
		if cut := f.bed.Stop(i); cut > 0 {
			f.Errorf("the stop of host %d cut off %d requests", i, cut)
		}
		f.bed.StartHost(f, i)
	}
	f.inForce(f.bed.Hosts[len(f.bed.Hosts)-1].App().Status().ReleaseVersion)
}

func (f *fleetTest) crashingRequest() {
	before := f.crashes()
	for _, e := range f.bed.Fleet.Engines {
		e.CrashOn(guiltyText)
	}
	guilty, _ := json.Marshal(guiltyText)
	for range guiltySends {
		hosts := f.bed.CallerAddresses()
		for _, host := range hosts[:3] {
			f.caller.Send(f.Context(), host, standin.PipelineGuidebook, testbed.Customer, "", guilty)
		}
	}
	if n := f.crashes() - before; n > maxCrashes {
		f.Errorf("a crashing request took down %d endpoints, at most %d are allowed", n, maxCrashes)
	}
}

func (f *fleetTest) crashes() int {
	sum := 0
	for _, e := range f.bed.Fleet.Engines {
		sum += e.Stats().Crashes
	}
	return sum
}

// finish ends the load and checks what must hold.
func (f *fleetTest) finish() {
	unanswered := 0
	results := f.load.Stop()
	for _, r := range results {
		if r.Answer == nil {
			unanswered++
			f.Logf("a request of the load was not answered: %+v", r.Refusals)
		}
	}
	f.Logf("%d requests of the load, %d not answered, %d replies in all", len(results), unanswered, f.recorder.Replies())
	// Only the host that dies may leave requests without an answer, each
	// worker's one.
	if unanswered > fleetLoad {
		f.Errorf("%d requests were not answered, at most %d may be", unanswered, fleetLoad)
	}
	for _, line := range f.recorder.Violations(f.bed.Fleet) {
		f.Error(line)
	}
}

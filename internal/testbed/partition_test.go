package testbed_test

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/pimentorill/pimentorill/internal/app"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/daemon"
	"github.com/pimentorill/pimentorill/internal/invariant"
	"github.com/pimentorill/pimentorill/internal/standin"
	"github.com/pimentorill/pimentorill/internal/testbed"
)

// partitionTest runs six hosts in three zones, one of which is partitioned. The
// hosts inside are in that zone, those outside in the others.
type partitionTest struct {
	*testing.T
	cluster  *testbed.Cluster
	recorder *invariant.Recorder
	inside   []*daemon.Daemon
	outside  []*daemon.Daemon
}

// observeAllAtVersion records the active release version of every host and reports
// whether exactly the given version is active on the given hosts.
func (p *partitionTest) observeAllAtVersion(hosts []*daemon.Daemon, version uint64) bool {
	for _, d := range p.cluster.Hosts {
		p.recorder.ObserveVersion(d.Address("callers"), d.App().Status().ReleaseVersion)
	}
	for _, d := range hosts {
		if d.App().Status().ReleaseVersion != version {
			return false
		}
	}
	return true
}

// waitForAll waits until the status of all given hosts satisfies the condition.
func (p *partitionTest) waitForAll(description string, hosts []*daemon.Daemon, ok func(s app.Status) bool) {
	p.Helper()
	testbed.Until(p, description, func() bool {
		for _, d := range hosts {
			if !ok(d.App().Status()) {
				return false
			}
		}
		return true
	})
}

// TestPartitionedZoneServesAndConvergesAfterHealing partitions a zone from the
// platform, from the other zones, and from both, changes the release during the
// partition and heals it. A partitioned zone must go on serving, must learn of the
// release as long as the platform or other hosts are reachable, and must
// converge after the partition.
func TestPartitionedZoneServesAndConvergesAfterHealing(t *testing.T) {
	for _, test := range []struct {
		name string
		kind testbed.Partition
	}{
		{"from the platform", testbed.FromPlatform},
		{"from the other zones", testbed.FromZones},
		{"from both", testbed.FromPlatform | testbed.FromZones},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			startPartitionTest(t).run(test.kind)
		})
	}
}

func startPartitionTest(t *testing.T) *partitionTest {
	p := &partitionTest{T: t, cluster: testbed.Start(t, testbed.Config{Hosts: 6}), recorder: invariant.New()}
	for _, d := range p.cluster.Hosts {
		if d.App().Status().AvailabilityZone == affectedZone {
			p.inside = append(p.inside, d)
		} else {
			p.outside = append(p.outside, d)
		}
	}
	return p
}

func (p *partitionTest) run(kind testbed.Partition) {
	fullyPartitioned := kind == testbed.FromPlatform|testbed.FromZones
	caller := testbed.NewCaller(p.cluster.CallerAddresses, p.recorder)
	load := caller.StartLoad(loadWorkers)
	testbed.Until(p, "requests complete", func() bool { return load.Completed() > requestsPerStep })

	p.cluster.PartitionZone(affectedZone, kind)
	if fullyPartitioned {
		p.waitForAll("the hosts inside report stale data", p.inside, func(s app.Status) bool { return s.Stale })
	}
	for _, d := range p.inside {
		response, failure := caller.Send(p.Context(), d.Address("callers"), standin.PipelineGuidebook, testbed.Customer, "", json.RawMessage(`"inside the cut"`))
		if response == nil {
			p.Errorf("a partitioned host does not serve: %+v", failure)
		}
	}
	version := p.applyNote()
	if fullyPartitioned {
		testbed.Until(p, "the release is active outside the partition", func() bool { return p.observeAllAtVersion(p.outside, version) })
		if !p.observeAllAtVersion(p.inside, version-1) {
			p.Error("the release reached hosts inside the partition")
		}
	} else {
		testbed.Until(p, "the release is active everywhere despite the partition", func() bool { return p.observeAllAtVersion(p.cluster.Hosts, version) })
	}
	before := load.Completed()
	testbed.Until(p, "more requests complete", func() bool { return load.Completed() > before+requestsPerStep })

	p.cluster.Heal()
	testbed.Until(p, "the release is active everywhere", func() bool { return p.observeAllAtVersion(p.cluster.Hosts, version) })
	p.waitForAll("no host has stale data", p.cluster.Hosts, func(s app.Status) bool { return !s.Stale })
	p.finish(load)
}

// applyNote applies a release note outside the partition and returns its version.
func (p *partitionTest) applyNote() uint64 {
	note := release.Note{ID: "during-the-cut", Author: "ana", Base: 1}
	note.Added.Customers = []release.Customer{{Name: "guest", Share: 1, Pipelines: []string{standin.PipelineGuidebook}}}
	accepted, err := p.outside[0].App().ApplyNote(p.Context(), note)
	if err != nil {
		p.Fatal(err)
	}
	return accepted.Version
}

// finish stops the load, checks that each request that failed has the one allowed
// reason, and checks all invariants.
func (p *partitionTest) finish(load *testbed.Load) {
	failed := 0
	results := load.Stop()
	for _, r := range results {
		if r.Response != nil {
			continue
		}
		failed++
		p.Logf("request failed: %+v", r.Failures)
		claimResponseLost := func(failure testbed.Failure) bool {
			return failure.Code == verdict.CodeStoreUnavailable && failure.Verdict == verdict.MayHaveRun
		}
		if !slices.ContainsFunc(r.Failures, claimResponseLost) {
			p.Errorf("a request failed although its claim was not in progress when the partition began: %+v", r.Failures)
		}
	}
	// The response to a claim that is in progress when the partition begins may be
	// lost. Its key stays claimed until the host inside can release it, so retries
	// outside cannot run: at most one request per worker fails that way.
	if failed > loadWorkers {
		p.Errorf("%d requests failed, at most %d may", failed, loadWorkers)
	}
	p.Logf("%d requests sent, %d failed", len(results), failed)
	for _, line := range p.recorder.Violations(p.cluster.Fleet) {
		p.Error(line)
	}
}

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

// partitionTest runs six hosts in three zones, one of which is partitioned.
type partitionTest struct {
	*testing.T
	cluster  *testbed.Cluster
	recorder *invariant.Recorder
	inside   []*daemon.Daemon
	outside  []*daemon.Daemon
}

// allAtVersion records the release version of every host and reports whether
// the given hosts have that version active.
func (c *partitionTest) allAtVersion(hosts []*daemon.Daemon, version uint64) bool {
	for _, d := range c.cluster.Hosts {
		c.recorder.ObserveVersion(d.Address("callers"), d.App().Status().ReleaseVersion)
	}
	for _, d := range hosts {
		if d.App().Status().ReleaseVersion != version {
			return false
		}
	}
	return true
}

// waitForAll waits until the status of all given hosts satisfies the condition.
func (c *partitionTest) waitForAll(description string, hosts []*daemon.Daemon, ok func(s app.Status) bool) {
	c.Helper()
	testbed.Until(c, description, func() bool {
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
	c := &partitionTest{T: t, cluster: testbed.Start(t, testbed.Config{Hosts: 6}), recorder: invariant.New()}
	for _, d := range c.cluster.Hosts {
		if d.App().Status().AvailabilityZone == affectedZone {
			c.inside = append(c.inside, d)
		} else {
			c.outside = append(c.outside, d)
		}
	}
	return c
}

func (c *partitionTest) run(kind testbed.Partition) {
	isolated := kind == testbed.FromPlatform|testbed.FromZones
	caller := testbed.NewCaller(c.cluster.CallerAddresses, c.recorder)
	load := caller.StartLoad(loadWorkers)
	testbed.Until(c, "requests complete", func() bool { return load.Completed() > requestsPerStep })

	c.cluster.PartitionZone(affectedZone, kind)
	if isolated {
		c.waitForAll("the hosts inside report stale data", c.inside, func(s app.Status) bool { return s.Stale })
	}
	for _, d := range c.inside {
		response, failure := caller.Send(c.Context(), d.Address("callers"), standin.PipelineGuidebook, testbed.Customer, "", json.RawMessage(`"inside the cut"`))
		if response == nil {
			c.Errorf("a partitioned host does not serve: %+v", failure)
		}
	}
	version := c.applyNote()
	if isolated {
		testbed.Until(c, "the release is active outside the partition", func() bool { return c.allAtVersion(c.outside, version) })
		if !c.allAtVersion(c.inside, version-1) {
			c.Error("the release reached hosts inside the partition")
		}
	} else {
		testbed.Until(c, "the release is active everywhere despite the partition", func() bool { return c.allAtVersion(c.cluster.Hosts, version) })
	}
	before := load.Completed()
	testbed.Until(c, "more requests complete", func() bool { return load.Completed() > before+requestsPerStep })

	c.cluster.Heal()
	testbed.Until(c, "the release is active everywhere", func() bool { return c.allAtVersion(c.cluster.Hosts, version) })
	c.waitForAll("no host has stale data", c.cluster.Hosts, func(s app.Status) bool { return !s.Stale })
	c.finish(load)
}

// applyNote applies a release note outside the partition and returns its version.
func (c *partitionTest) applyNote() uint64 {
	note := release.Note{ID: "during-the-cut", Author: "ana", Base: 1}
	note.Added.Customers = []release.Customer{{Name: "guest", Share: 1, Pipelines: []string{standin.PipelineGuidebook}}}
	accepted, err := c.outside[0].App().ApplyNote(c.Context(), note)
	if err != nil {
		c.Fatal(err)
	}
	return accepted.Version
}

func (c *partitionTest) finish(load *testbed.Load) {
	failed := 0
	results := load.Stop()
	for _, r := range results {
		if r.Response != nil {
			continue
		}
		failed++
		c.Logf("request failed: %+v", r.Failures)
		lost := func(failure testbed.Failure) bool {
			return failure.Code == verdict.CodeStoreUnavailable && failure.Verdict == verdict.MayHaveRun
		}
		if !slices.ContainsFunc(r.Failures, lost) {
			c.Errorf("a request failed although its claim was not in progress when the partition began: %+v", r.Failures)
		}
	}
	// The response to a claim that is in progress when the partition begins may be
	// lost. Its key stays claimed until the host inside can release it, so retries
	// outside cannot run: at most one request per worker fails that way.
	if failed > loadWorkers {
		c.Errorf("%d requests failed, at most %d may", failed, loadWorkers)
	}
	c.Logf("%d requests sent, %d failed", len(results), failed)
	for _, line := range c.recorder.Violations(c.cluster.Fleet) {
		c.Error(line)
	}
}

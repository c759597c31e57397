package routing

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// testRelease returns a release with perZone engines in each zone. The first
// two zones are in one region, the others in another.
func testRelease(perZone int, zones ...string) *release.Release {
	r := &release.Release{Services: []release.Service{{Name: "llm", Kind: release.KindEngine}}}
	for i, z := range zones {
		region := "r"
		if i > 1 {
			region = "far"
		}
		r.Zones = append(r.Zones, release.Zone{Name: z, Region: region})
		for n := range perZone {
			r.Endpoints = append(r.Endpoints, release.Endpoint{
				ID: fmt.Sprintf("%s%d", z, n), Service: "llm", AvailabilityZone: z, Slots: 8, ColdLimit: 1,
			})
		}
	}
	return r
}

// newPicker returns a Picker of a host in zone a.
func newPicker(r *release.Release, seed uint64) *Picker {
	p := New("a", port.SystemClock{}, rand.New(rand.NewPCG(seed, seed)), NewIndex())
	p.Update(r, nil)
	return p
}

// testAttempt is an attempt whose prompt has no complete block.
var testAttempt = pipeline.AttemptInfo{Stage: release.Stage{Name: "generate", Service: "llm"}, Input: json.RawMessage(`"short"`)}

// pickedZone picks an endpoint and returns its zone.
func pickedZone(t *testing.T, p *Picker, info pipeline.AttemptInfo) string {
	t.Helper()
	e, err := p.Pick(info)
	is.New(t).NoErr(err)
	return e.AvailabilityZone
}

func TestNearestZoneWithCapacityIsPicked(t *testing.T) {
	is := is.New(t)
	r := testRelease(2, "a", "b", "c")
	p := newPicker(r, 1)
	for range 20 {
		is.Equal(pickedZone(t, p, testAttempt), "a")
	}
	for _, id := range []string{"a0", "a1"} {
		for range 8 { // the number of slots
			p.Begin(id)
		}
	}
	is.Equal(pickedZone(t, p, testAttempt), "b") // the host's own zone is full
	out := *r
	out.Zones = slices.Clone(r.Zones)
	out.Zones[1].OutOfService = true
	p.Update(&out, nil)
	is.Equal(pickedZone(t, p, testAttempt), "c")
	p.Update(&out, map[string]bool{"c0": true, "c1": true})
	is.Equal(pickedZone(t, p, testAttempt), "a") // full, but no other zone is left
	out.Zones[0].OutOfService = true
	out.Zones[2].OutOfService = true
	p.Update(&out, nil)
	_, err := p.Pick(testAttempt)
	is.Equal(verdict.Of(err), verdict.NotRun)
}

func TestFailedLeavingAndTriedEndpointsAreSkipped(t *testing.T) {
	is := is.New(t)
	p := newPicker(testRelease(2, "a"), 1)
	end := func(id string, o pipeline.Outcome) {
		p.Begin(id)
		p.End(id, testAttempt, o)
	}
	pick := func(w pipeline.AttemptInfo) string {
		e, err := p.Pick(w)
		is.NoErr(err)
		return e.ID
	}
	end("a0", pipeline.Outcome{Err: verdict.New(verdict.CodeEndpointFailed, verdict.NotRun, "refused")})
	for range 20 {
		is.Equal(pick(testAttempt), "a1")
	}
	avoiding := testAttempt
	avoiding.Avoid = []string{"a1"}
	is.Equal(pick(avoiding), "a0") // a paused endpoint is preferred to one to avoid
	avoiding.Avoid = []string{"a0", "a1"}
	pick(avoiding)
	avoiding.Cause = cost.CauseHedge
	_, err := p.Pick(avoiding)
	is.Equal(verdict.Of(err), verdict.NotRun)
	end("a1", pipeline.Outcome{Response: port.AttemptResult{Load: &port.LoadReport{Draining: true}}})
	is.Equal(pick(testAttempt), "a0")
}

// TestOldReportDoesNotClearLeaving ends a stream whose load report was made
// before another host reported that the endpoint is leaving.
func TestOldReportDoesNotClearLeaving(t *testing.T) {
	is := is.New(t)
	p := newPicker(testRelease(2, "a"), 1)
	var notified []bool
	p.OnLeaving(func(_ string, leaving bool) { notified = append(notified, leaving) })
	p.Begin("a0")
	p.SetLeaving("a0", true)
	p.End("a0", testAttempt, pipeline.Outcome{Response: port.AttemptResult{Load: &port.LoadReport{}}, Duration: time.Second})
	is.Equal(len(p.LeavingEndpoints()), 1)
	p.RecordReport("a0", port.LoadReport{})
	is.Equal(len(p.LeavingEndpoints()), 0)
	is.Equal(notified, []bool{false})
}

func TestIndexHandlesLateEventsAndGaps(t *testing.T) {
	is := is.New(t)
	x := NewIndex()
	stored := func(from, to uint64) (out []port.CacheEvent) {
		for s := from; s <= to; s++ {
			out = append(out, port.CacheEvent{Sequence: s, Block: s, Stored: true})
		}
		return out
	}
	x.Apply("e", stored(1, 10))
	x.Apply("e", stored(4, 6)) // duplicates
	is.Equal(x.CachedPrefix("e", []uint64{1, 2, 3, 11}), 3)
	is.Equal(x.LastSequence("e"), uint64(10))
	x.Apply("e", stored(13, 13)) // a gap of two events: the two oldest blocks may be evicted
	is.Equal(x.CachedPrefix("e", []uint64{1}), 0)
	is.Equal(x.CachedPrefix("e", []uint64{3, 4}), 2)
	x.Apply("e", stored(10_000, 10_000+2*maxBlocksPerEngine))
	is.Equal(x.CachedPrefix("e", []uint64{3}), 0)
	is.Equal(len(x.engines["e"].blocks), maxBlocksPerEngine)
	x.Apply("e", stored(1, 1)) // the numbering restarts with a new incarnation
	is.Equal(len(x.engines["e"].blocks), 1)
	for i := range 2 * maxIndexedEngines {
		x.AddBlocks(fmt.Sprint(i), []uint64{1})
	}
	is.Equal(len(x.engines), maxIndexedEngines)
}

// policy is a way of choosing endpoints on one host.
type policy interface {
	Pick(w pipeline.AttemptInfo) (release.Endpoint, error)
	Begin(id string)
	End(id string, w pipeline.AttemptInfo, o pipeline.Outcome)
}

// roundRobin picks the endpoints in turn.
type roundRobin struct {
	endpoints []release.Endpoint
	next      int
}

func (r *roundRobin) Pick(pipeline.AttemptInfo) (release.Endpoint, error) {
	r.next++
	return r.endpoints[r.next%len(r.endpoints)], nil
}
func (*roundRobin) Begin(string)                                       {}
func (*roundRobin) End(string, pipeline.AttemptInfo, pipeline.Outcome) {}

// leastLoaded picks the endpoint with the lowest reported load.
type leastLoaded struct {
	mu        sync.Mutex
	endpoints []release.Endpoint
	// reported holds the running and waiting requests of the last report, by
	// endpoint id.
	reported map[string]int
}

func (l *leastLoaded) Pick(pipeline.AttemptInfo) (release.Endpoint, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.MinFunc(l.endpoints, func(a, b release.Endpoint) int { return l.reported[a.ID] - l.reported[b.ID] }), nil
}
func (*leastLoaded) Begin(string) {}
func (l *leastLoaded) End(id string, _ pipeline.AttemptInfo, o pipeline.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported[id] = o.Response.Load.Running + o.Response.Load.Waiting
}

// results holds the measurements of one policy.
type results struct {
	// hitRatio is the fraction of prompt blocks served from a cache.
	hitRatio float64
	// maxLoadRatio is the number of prompts that the most loaded engine served,
	// divided by the mean over the engines.
	maxLoadRatio float64
	// p50 and p99 are percentiles of the prompts' latency.
	p50 time.Duration
	p99 time.Duration
}

const (
	hostCount    = 6
	engineCount  = 10
	requestCount = 2000
	// requestRate, per second, is about four fifths of the engines' capacity
	// with empty caches.
	requestRate = 200.0
	// slowEngineFactor multiplies the time that one of the engines takes.
	slowEngineFactor = 2.0
)

// TestRoutingAgainstBaselines checks that the Picker has a higher hit ratio and
// no higher p99 latency than simpler policies on the same prompts, and that no
// engine serves far more prompts than the mean.
func TestRoutingAgainstBaselines(t *testing.T) {
	is := is.New(t)
	r := testRelease(engineCount, "a")
	pickerResults := simulate(t, r, func(host int) policy { return newPicker(r, uint64(host)) })
	roundRobinResults := simulate(t, r, func(host int) policy { return &roundRobin{endpoints: r.Endpoints, next: host} })
	leastLoadedResults := simulate(t, r, func(int) policy { return &leastLoaded{endpoints: r.Endpoints, reported: map[string]int{}} })
	for name, res := range map[string]results{"own": pickerResults, "round robin": roundRobinResults, "least loaded": leastLoadedResults} {
		t.Logf("%-12s hit share %.3f, most loaded over average %.2f, p50 %v, p99 %v", name, res.hitRatio, res.maxLoadRatio, res.p50, res.p99)
	}
	is.True(pickerResults.hitRatio > roundRobinResults.hitRatio)
	is.True(pickerResults.hitRatio > leastLoadedResults.hitRatio)
	is.True(pickerResults.p99 <= roundRobinResults.p99)
	is.True(pickerResults.p99 <= leastLoadedResults.p99)
	is.True(pickerResults.maxLoadRatio <= imbalanceFactor+imbalanceSlack)
}

// simulate sends prompts with shared prefixes at requestRate through all hosts.
func simulate(t *testing.T, r *release.Release, newPolicy func(host int) policy) (out results) {
	synctest.Test(t, func(t *testing.T) {
		fakes := map[string]*fakeEngine{}
		for i, e := range r.Endpoints {
			// 400 blocks hold 25 of the 150 shared prefixes.
			fakes[e.ID] = newFakeEngine(e.Slots, 400, uint64(i))
		}
		fakes[r.Endpoints[0].ID].slowdown = slowEngineFactor
		var policies []policy
		for h := range hostCount {
			policies = append(policies, newPolicy(h))
		}
		stop := make(chan struct{})
		feedCacheEvents(policies, fakes, stop)
		latencies := sendPrompts(policies, fakes)
		close(stop)
		out = summarize(fakes, latencies)
	})
	return out
}

// feedCacheEvents applies the engines' events to the hosts' indexes once a
// second.
func feedCacheEvents(policies []policy, fakes map[string]*fakeEngine, stop chan struct{}) {
	for _, pol := range policies {
		p, ok := pol.(*Picker)
		if !ok {
			continue
		}
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
				for id, e := range fakes {
					p.index.Apply(id, e.eventsAfter(p.index.LastSequence(id)))
				}
			}
		}()
	}
}

// sendPrompts sends requestCount prompts, each of 16 blocks that it shares with
// others and 2 of its own, through random hosts and returns their latencies.
// The 150 shared prefixes are Zipf-distributed.
func sendPrompts(policies []policy, fakes map[string]*fakeEngine) []time.Duration {
	rnd := rand.New(rand.NewPCG(7, 7))
	prefix := rand.NewZipf(rnd, 1.1, 4, 149)
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	for i := range requestCount {
		time.Sleep(time.Duration(rnd.ExpFloat64() / requestRate * float64(time.Second)))
		w := testAttempt
		shared := strings.Repeat(fmt.Sprintf("p%d ", prefix.Uint64()), 16*wordsPerBlock)
		w.Input, _ = json.Marshal(shared + strings.Repeat(fmt.Sprintf("u%d ", i), 2*wordsPerBlock))
		p := policies[rnd.IntN(len(policies))]
		e, _ := p.Pick(w)
		p.Begin(e.ID)
		decodeFactor := rnd.ExpFloat64()
		wg.Go(func() {
			start := time.Now()
			load := fakes[e.ID].serve(Blocks(w.Input), decodeFactor)
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(start))
			p.End(e.ID, w, pipeline.Outcome{Response: port.AttemptResult{Load: &load}})
		})
	}
	wg.Wait()
	return latencies
}

// summarize computes the results from the engines' counts and the latencies.
func summarize(fakes map[string]*fakeEngine, latencies []time.Duration) results {
	hits, total, maxServed := 0, 0, 0
	for _, e := range fakes {
		hits += e.prefixHitBlocks
		total += e.totalBlocks
		maxServed = max(maxServed, e.servedPrompts)
	}
	slices.Sort(latencies)
	return results{
		hitRatio:     float64(hits) / float64(total),
		maxLoadRatio: float64(maxServed) * engineCount / requestCount,
		p50:          latencies[len(latencies)/2],
		p99:          latencies[len(latencies)*99/100],
	}
}

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

func newPicker(r *release.Release, seed uint64) *Picker {
	p := New("a", port.SystemClock{}, rand.New(rand.NewPCG(seed, seed)), NewIndex())
	p.Update(r, nil)
	return p
}

var work = pipeline.AttemptInfo{Stage: release.Stage{Name: "generate", Service: "llm"}, Input: json.RawMessage(`"short"`)}

func pickedZone(t *testing.T, p *Picker, w pipeline.AttemptInfo) string {
	t.Helper()
	e, err := p.Pick(w)
	is.New(t).NoErr(err)
	return e.AvailabilityZone
}

func TestNearestZoneWithCapacityIsPicked(t *testing.T) {
	is := is.New(t)
	r := testRelease(2, "a", "b", "c")
	p := newPicker(r, 1)
	for range 20 {
		is.Equal(pickedZone(t, p, work), "a")
	}
	for _, id := range []string{"a0", "a1"} {
		for range 8 {
			p.Begin(id)
		}
	}
	is.Equal(pickedZone(t, p, work), "b") // the own zone is full
	out := *r
	out.Zones = slices.Clone(r.Zones)
	out.Zones[1].OutOfService = true
	p.Update(&out, nil)
	is.Equal(pickedZone(t, p, work), "c")
	p.Update(&out, map[string]bool{"c0": true, "c1": true})
	is.Equal(pickedZone(t, p, work), "a") // full, but all that is left
	out.Zones[0].OutOfService = true
	out.Zones[2].OutOfService = true
	p.Update(&out, nil)
	_, err := p.Pick(work)
	is.Equal(verdict.Of(err), verdict.NotRun)
}

func TestFailedLeavingAndTriedEndpointsAreSkipped(t *testing.T) {
	is := is.New(t)
	p := newPicker(testRelease(2, "a"), 1)
	end := func(id string, o pipeline.Outcome) {
		p.Begin(id)
		p.End(id, work, o)
	}
	pick := func(w pipeline.AttemptInfo) string {
		e, err := p.Pick(w)
		is.NoErr(err)
		return e.ID
	}
	end("a0", pipeline.Outcome{Err: verdict.New(verdict.CodeEndpointFailed, verdict.NotRun, "refused")})
	for range 20 {
		is.Equal(pick(work), "a1")
	}
	tried := work
	tried.Avoid = []string{"a1"}
	is.Equal(pick(tried), "a0") // paused goes before tried
	tried.Avoid = []string{"a0", "a1"}
	pick(tried)
	tried.Cause = cost.CauseHedge
	_, err := p.Pick(tried)
	is.Equal(verdict.Of(err), verdict.NotRun)
	end("a1", pipeline.Outcome{Answer: port.AttemptResult{Load: &port.LoadReport{Draining: true}}})
	is.Equal(pick(work), "a0")
}

// TestOldReportDoesNotClearLeaving has a stream end whose report was made
// before the endpoint began to leave.
func TestOldReportDoesNotClearLeaving(t *testing.T) {
	is := is.New(t)
	p := newPicker(testRelease(2, "a"), 1)
	var told []bool
	p.OnLeaving(func(_ string, leaving bool) { told = append(told, leaving) })
	p.Begin("a0")
	p.SetLeaving("a0", true)
	p.End("a0", work, pipeline.Outcome{Answer: port.AttemptResult{Load: &port.LoadReport{}}, Duration: time.Second})
	is.Equal(len(p.LeavingEndpoints()), 1)
	p.RecordReport("a0", port.LoadReport{})
	is.Equal(len(p.LeavingEndpoints()), 0)
	is.Equal(told, []bool{false})
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
	x.Apply("e", stored(4, 6)) // repeated
	is.Equal(x.CachedPrefix("e", []uint64{1, 2, 3, 11}), 3)
	is.Equal(x.LastSequence("e"), uint64(10))
	x.Apply("e", stored(13, 13)) // a gap of two: the two oldest may be gone
	is.Equal(x.CachedPrefix("e", []uint64{1}), 0)
	is.Equal(x.CachedPrefix("e", []uint64{3, 4}), 2)
	x.Apply("e", stored(10_000, 10_000+2*maxBlocksPerEngine))
	is.Equal(x.CachedPrefix("e", []uint64{3}), 0)
	is.Equal(len(x.engines["e"].blocks), maxBlocksPerEngine)
	x.Apply("e", stored(1, 1)) // a new incarnation
	is.Equal(len(x.engines["e"].blocks), 1)
	for i := range 2 * maxIndexedEngines {
		x.AddBlocks(fmt.Sprint(i), []uint64{1})
	}
	is.Equal(len(x.engines), maxIndexedEngines)
}

// chooser is a way of choosing an endpoint, on one host.
type policy interface {
	Pick(w pipeline.AttemptInfo) (release.Endpoint, error)
	Begin(id string)
	End(id string, w pipeline.AttemptInfo, o pipeline.Outcome)
}

// roundRobin takes the endpoints in turn.
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

// leastLoaded takes the endpoint with the least reported load.
type leastLoaded struct {
	mu        sync.Mutex
	endpoints []release.Endpoint
	reported  map[string]int
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
	l.reported[id] = o.Answer.Load.Running + o.Answer.Load.Waiting
}

// figures are what one way of choosing gave.
type results struct {
	hitRatio     float64
	maxLoadRatio float64
	p50          time.Duration
	p99          time.Duration
}

const (
	hostCount    = 6
	engineCount  = 10
	requestCount = 2000
	// rate is about four fifths of what the engines bear with cold caches.
	requestRate = 200.0
	// slowEngineFactor is how much longer one of the engines takes.
	slowEngineFactor = 2.0
)

// TestRoutingAgainstBaselines runs the same prompts through each way.
func TestRoutingAgainstBaselines(t *testing.T) {
	is := is.New(t)
	r := testRelease(engineCount, "a")
	own := simulate(t, r, func(host int) policy { return newPicker(r, uint64(host)) })
	turn := simulate(t, r, func(host int) policy { return &roundRobin{endpoints: r.Endpoints, next: host} })
	least := simulate(t, r, func(int) policy { return &leastLoaded{endpoints: r.Endpoints, reported: map[string]int{}} })
	for name, f := range map[string]results{"own": own, "round robin": turn, "least loaded": least} {
		t.Logf("%-12s hit share %.3f, most loaded over average %.2f, p50 %v, p99 %v", name, f.hitRatio, f.maxLoadRatio, f.p50, f.p99)
	}
	is.True(own.hitRatio > turn.hitRatio)
	is.True(own.hitRatio > least.hitRatio)
	is.True(own.p99 <= turn.p99)
	is.True(own.p99 <= least.p99)
	is.True(own.maxLoadRatio <= imbalanceFactor+imbalanceSlack)
}

// measure sends prompts with shared prefixes at the rate, through all hosts.
func simulate(t *testing.T, r *release.Release, newChooser func(host int) policy) (out results) {
	synctest.Test(t, func(t *testing.T) {
		backs := map[string]*fakeEngine{}
		for i, e := range r.Endpoints {
			backs[e.ID] = newFakeEngine(e.Slots, 400, uint64(i))
		}
		backs[r.Endpoints[0].ID].slowdown = slowEngineFactor
		var choosers []policy
		for h := range hostCount {
			choosers = append(choosers, newChooser(h))
		}
		stop := make(chan struct{})
		feedCacheEvents(choosers, backs, stop)
		took := sendPrompts(choosers, backs)
		close(stop)
		out = summarize(backs, took)
	})
	return out
}

// follow feeds the engines' events to the hosts' indexes once a second.
func feedCacheEvents(choosers []policy, backs map[string]*fakeEngine, stop chan struct{}) {
	for _, c := range choosers {
		p, ok := c.(*Picker)
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
				for id, e := range backs {
					p.index.Apply(id, e.eventsAfter(p.index.LastSequence(id)))
				}
			}
		}()
	}
}

func sendPrompts(choosers []policy, backs map[string]*fakeEngine) []time.Duration {
	rnd := rand.New(rand.NewPCG(7, 7))
	prefix := rand.NewZipf(rnd, 1.1, 4, 149)
	var mu sync.Mutex
	var took []time.Duration
	var wg sync.WaitGroup
	for i := range requestCount {
		time.Sleep(time.Duration(rnd.ExpFloat64() / requestRate * float64(time.Second)))
		w := work
		shared := strings.Repeat(fmt.Sprintf("p%d ", prefix.Uint64()), 16*wordsPerBlock)
		w.Input, _ = json.Marshal(shared + strings.Repeat(fmt.Sprintf("u%d ", i), 2*wordsPerBlock))
		c := choosers[rnd.IntN(len(choosers))]
		e, _ := c.Pick(w)
		c.Begin(e.ID)
		decode := rnd.ExpFloat64()
		wg.Go(func() {
			began := time.Now()
			load := backs[e.ID].serve(Blocks(w.Input), decode)
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(began))
			c.End(e.ID, w, pipeline.Outcome{Answer: port.AttemptResult{Load: &load}})
		})
	}
	wg.Wait()
	return took
}

func summarize(backs map[string]*fakeEngine, took []time.Duration) results {
	hits, total, most := 0, 0, 0
	for _, e := range backs {
		hits += e.hitBlocks
		total += e.totalBlocks
		most = max(most, e.servedPrompts)
	}
	slices.Sort(took)
	return results{
		hitRatio:     float64(hits) / float64(total),
		maxLoadRatio: float64(most) * engineCount / requestCount,
		p50:          took[len(took)/2],
		p99:          took[len(took)*99/100],
	}
}

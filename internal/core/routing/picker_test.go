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

func zoneOf(t *testing.T, p *Picker, w pipeline.AttemptInfo) string {
	t.Helper()
	e, err := p.Pick(w)
	is.New(t).NoErr(err)
	return e.AvailabilityZone
}

func TestZonesByDistance(t *testing.T) {
	is := is.New(t)
	r := testRelease(2, "a", "b", "c")
	p := newPicker(r, 1)
	for range 20 {
		is.Equal(zoneOf(t, p, work), "a")
	}
	for _, id := range []string{"a0", "a1"} {
		for range 8 {
			p.Begin(id)
		}
	}
	is.Equal(zoneOf(t, p, work), "b") // the own zone is full
	out := *r
	out.Zones = slices.Clone(r.Zones)
	out.Zones[1].OutOfService = true
	p.Update(&out, nil)
	is.Equal(zoneOf(t, p, work), "c")
	p.Update(&out, map[string]bool{"c0": true, "c1": true})
	is.Equal(zoneOf(t, p, work), "a") // full, but all that is left
	out.Zones[0].OutOfService = true
	out.Zones[2].OutOfService = true
	p.Update(&out, nil)
	_, err := p.Pick(work)
	is.Equal(verdict.Of(err), verdict.NotRun)
}

func TestFailedLeavingAndTriedEndpointsAreLeftOut(t *testing.T) {
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
	end("a1", pipeline.Outcome{Answer: port.Answer{Load: &port.Load{Leaving: true}}})
	is.Equal(pick(work), "a0")
}

// TestLeavingIsNotUndoneByAnOldReport has a stream end whose report was made
// before the endpoint began to leave.
func TestLeavingIsNotUndoneByAnOldReport(t *testing.T) {
	is := is.New(t)
	p := newPicker(testRelease(2, "a"), 1)
	var told []bool
	p.OnLeaving(func(_ string, leaving bool) { told = append(told, leaving) })
	p.Begin("a0")
	p.Heard("a0", true)
	p.End("a0", work, pipeline.Outcome{Answer: port.Answer{Load: &port.Load{}}, Duration: time.Second})
	is.Equal(len(p.Leaving()), 1)
	p.Reported("a0", port.Load{})
	is.Equal(len(p.Leaving()), 0)
	is.Equal(told, []bool{false})
}

func TestIndexWithLateEventsAndGaps(t *testing.T) {
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
	is.Equal(x.Held("e", []uint64{1, 2, 3, 11}), 3)
	is.Equal(x.After("e"), uint64(10))
	x.Apply("e", stored(13, 13)) // a gap of two: the two oldest may be gone
	is.Equal(x.Held("e", []uint64{1}), 0)
	is.Equal(x.Held("e", []uint64{3, 4}), 2)
	x.Apply("e", stored(10_000, 10_000+2*maxBlocksEach))
	is.Equal(x.Held("e", []uint64{3}), 0)
	is.Equal(len(x.engines["e"].blocks), maxBlocksEach)
	x.Apply("e", stored(1, 1)) // a new incarnation
	is.Equal(len(x.engines["e"].blocks), 1)
	for i := range 2 * maxIndexed {
		x.Answered(fmt.Sprint(i), []uint64{1})
	}
	is.Equal(len(x.engines), maxIndexed)
}

// chooser is a way of choosing an endpoint, on one host.
type chooser interface {
	Pick(w pipeline.AttemptInfo) (release.Endpoint, error)
	Begin(id string)
	End(id string, w pipeline.AttemptInfo, o pipeline.Outcome)
}

// roundRobin takes the endpoints in turn.
type roundRobin struct {
	all  []release.Endpoint
	turn int
}

func (r *roundRobin) Pick(pipeline.AttemptInfo) (release.Endpoint, error) {
	r.turn++
	return r.all[r.turn%len(r.all)], nil
}
func (*roundRobin) Begin(string)                                       {}
func (*roundRobin) End(string, pipeline.AttemptInfo, pipeline.Outcome) {}

// leastLoaded takes the endpoint with the least reported load.
type leastLoaded struct {
	mu       sync.Mutex
	all      []release.Endpoint
	reported map[string]int
}

func (l *leastLoaded) Pick(pipeline.AttemptInfo) (release.Endpoint, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.MinFunc(l.all, func(a, b release.Endpoint) int { return l.reported[a.ID] - l.reported[b.ID] }), nil
}
func (*leastLoaded) Begin(string) {}
func (l *leastLoaded) End(id string, _ pipeline.AttemptInfo, o pipeline.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported[id] = o.Answer.Load.Running + o.Answer.Load.Waiting
}

// figures are what one way of choosing gave.
type figures struct {
	hits   float64
	spread float64
	p50    time.Duration
	p99    time.Duration
}

const (
	hosts    = 6
	engines  = 10
	requests = 2000
	// rate is about four fifths of what the engines bear with cold caches.
	rate = 200.0
	// slowEngine is how much longer one of the engines takes.
	slowEngine = 2.0
)

// TestRoutingAgainstBaselines runs the same prompts through each way.
func TestRoutingAgainstBaselines(t *testing.T) {
	is := is.New(t)
	r := testRelease(engines, "a")
	own := measure(t, r, func(host int) chooser { return newPicker(r, uint64(host)) })
	turn := measure(t, r, func(host int) chooser { return &roundRobin{all: r.Endpoints, turn: host} })
	least := measure(t, r, func(int) chooser { return &leastLoaded{all: r.Endpoints, reported: map[string]int{}} })
	for name, f := range map[string]figures{"own": own, "round robin": turn, "least loaded": least} {
		t.Logf("%-12s hit share %.3f, most loaded over average %.2f, p50 %v, p99 %v", name, f.hits, f.spread, f.p50, f.p99)
	}
	is.True(own.hits > turn.hits)
	is.True(own.hits > least.hits)
	is.True(own.p99 <= turn.p99)
	is.True(own.p99 <= least.p99)
	is.True(own.spread <= imbalanceFactor+imbalanceSlack)
}

// measure sends prompts with shared prefixes at the rate, through all hosts.
func measure(t *testing.T, r *release.Release, newChooser func(host int) chooser) (out figures) {
	synctest.Test(t, func(t *testing.T) {
		backs := map[string]*fakeEngine{}
		for i, e := range r.Endpoints {
			backs[e.ID] = newFakeEngine(e.Slots, 400, uint64(i))
		}
		backs[r.Endpoints[0].ID].slow = slowEngine
		var choosers []chooser
		for h := range hosts {
			choosers = append(choosers, newChooser(h))
		}
		stop := make(chan struct{})
		follow(choosers, backs, stop)
		took := send(choosers, backs)
		close(stop)
		out = summarize(backs, took)
	})
	return out
}

// follow feeds the engines' events to the hosts' indexes once a second.
func follow(choosers []chooser, backs map[string]*fakeEngine, stop chan struct{}) {
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
					p.index.Apply(id, e.eventsAfter(p.index.After(id)))
				}
			}
		}()
	}
}

func send(choosers []chooser, backs map[string]*fakeEngine) []time.Duration {
	rnd := rand.New(rand.NewPCG(7, 7))
	prefix := rand.NewZipf(rnd, 1.1, 4, 149)
	var mu sync.Mutex
	var took []time.Duration
	var wg sync.WaitGroup
	for i := range requests {
		time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		w := work
		shared := strings.Repeat(fmt.Sprintf("p%d ", prefix.Uint64()), 16*blockWords)
		w.Input, _ = json.Marshal(shared + strings.Repeat(fmt.Sprintf("u%d ", i), 2*blockWords))
		c := choosers[rnd.IntN(len(choosers))]
		e, _ := c.Pick(w)
		c.Begin(e.ID)
		decode := rnd.ExpFloat64()
		wg.Go(func() {
			began := time.Now()
			load := backs[e.ID].run(Blocks(w.Input), decode)
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(began))
			c.End(e.ID, w, pipeline.Outcome{Answer: port.Answer{Load: &load}})
		})
	}
	wg.Wait()
	return took
}

func summarize(backs map[string]*fakeEngine, took []time.Duration) figures {
	hits, total, most := 0, 0, 0
	for _, e := range backs {
		hits += e.hits
		total += e.total
		most = max(most, e.served)
	}
	slices.Sort(took)
	return figures{
		hits:   float64(hits) / float64(total),
		spread: float64(most) * engines / requests,
		p50:    took[len(took)/2],
		p99:    took[len(took)*99/100],
	}
}

package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pimentorill/pimentorill/internal/eventloop"
	"github.com/pimentorill/pimentorill/internal/port"
)

// server is an endpoint with slots and a first-in-first-out queue.
type server struct {
	loop    *eventloop.Loop
	rng     *rand.Rand
	slots   int
	mean    time.Duration
	running int
	waiting []*job
}

type job struct {
	done      func(port.LoadReport)
	cancelled bool
}

const serviceSigma = 0.5

func (s *server) serviceTime() time.Duration {
	return time.Duration(float64(s.mean) * math.Exp(serviceSigma*s.rng.NormFloat64()-serviceSigma*serviceSigma/2))
}

func (s *server) submit(j *job) {
	s.waiting = append(s.waiting, j)
	s.fill()
}

func (s *server) fill() {
	for s.running < s.slots && len(s.waiting) > 0 {
		j := s.waiting[0]
		s.waiting = s.waiting[1:]
		if j.cancelled {
			continue
		}
		s.running++
		s.loop.After(s.serviceTime(), func() { s.finish(j) })
	}
}

func (s *server) finish(j *job) {
	s.running--
	s.fill()
	if !j.cancelled {
		j.done(port.LoadReport{Running: s.running, Waiting: len(s.waiting), Slots: s.slots})
	}
}

// benchStages size four stages so that the last one is the bottleneck, at
// benchCapacity requests a second.
var benchStages = []struct {
	mean           time.Duration
	servers, slots int
}{
	{20 * time.Millisecond, 2, 1}, {60 * time.Millisecond, 2, 2},
	{120 * time.Millisecond, 2, 4}, {900 * time.Millisecond, 6, 8},
}

const (
	benchCapacity = 6 * 8 / 0.9
	benchDeadline = 4 * time.Second
	benchHosts    = 4
	benchWarmup   = 15 * time.Second
)

type tally struct {
	offered, attained, refused int
	span                       time.Duration
}

// add adds what earlier runs counted; nil adds nothing.
func (t *tally) add(earlier *tally) {
	if earlier == nil {
		return
	}
	t.offered += earlier.offered
	t.attained += earlier.attained
	t.refused += earlier.refused
	t.span += earlier.span
}

func (t tally) attainment() float64 { return float64(t.attained) / float64(t.offered) }

func (t tally) goodput() float64 { return float64(t.attained) / t.span.Seconds() }

func (t tally) String() string {
	return fmt.Sprintf("attainment %.4f of %d, goodput %.1f/s, refused %d",
		t.attainment(), t.offered, t.goodput(), t.refused)
}

// entry is one host: its queue, or first in first out without checks.
type entry struct {
	queue   *Queue
	fifo    []func()
	running int
	own     map[*server]int
	seen    map[*server]port.LoadReport
}

type bench struct {
	loop    *eventloop.Loop
	rng     *rand.Rand
	stages  [][]*server
	entries []*entry
	plain   bool
	counts  map[string]*tally
	started time.Time
	span    time.Duration
}

func newBench(seed uint64, span time.Duration, plain, static bool) *bench {
	rng := rand.New(rand.NewPCG(seed, 1))
	b := &bench{loop: eventloop.New(time.Unix(0, 0)), rng: rng, plain: plain, counts: map[string]*tally{}, span: span}
	b.started = b.loop.Now()
	slots := 0
	for _, st := range benchStages {
		var servers []*server
		for range st.servers {
			servers = append(servers, &server{loop: b.loop, rng: rng, slots: st.slots, mean: st.mean})
		}
		slots += st.servers * st.slots
		b.stages = append(b.stages, servers)
	}
	cfg := Config{QueueLimit: 128, InitialLimit: slots / benchHosts, MinLimit: 1, MaxLimit: slots, StaticLimit: static}
	for range benchHosts {
		e := &entry{queue: New(cfg, b.loop, rng), own: map[*server]int{}, seen: map[*server]port.LoadReport{}}
		b.entries = append(b.entries, e)
		b.expire(e)
	}
	return b
}

// expire stands for the timers of waiting callers.
func (b *bench) expire(e *entry) {
	e.queue.Expire()
	b.loop.After(100*time.Millisecond, func() { b.expire(e) })
}

// offer sends Poisson arrivals of a customer at a rate a second.
func (b *bench) offer(customer string, share int, rate float64) {
	b.counts[customer] = &tally{span: b.span}
	gap := time.Duration(b.rng.ExpFloat64() / rate * float64(time.Second))
	b.loop.After(gap, func() { b.arrive(customer, share, rate) })
}

func (b *bench) arrive(customer string, share int, rate float64) {
	gap := time.Duration(b.rng.ExpFloat64() / rate * float64(time.Second))
	b.loop.After(gap, func() { b.arrive(customer, share, rate) })
	counted := &tally{}
	if age := b.loop.Now().Sub(b.started); age > benchWarmup && age < benchWarmup+b.span {
		counted = b.counts[customer]
	}
	counted.offered++
	e := b.entries[b.rng.IntN(benchHosts)]
	deadline := b.loop.Now().Add(benchDeadline)
	r := &run{b: b, e: e, deadline: deadline, counted: counted}
	if b.plain {
		e.fifo = append(e.fifo, r.next)
		e.startPlain()
		return
	}
	e.queue.Offer(Request{Customer: customer, Share: share, Pipeline: "guidebook", Deadline: deadline}, r.begin)
}

func (e *entry) startPlain() {
	for e.running < 16 && len(e.fifo) > 0 {
		next := e.fifo[0]
		e.fifo = e.fifo[1:]
		e.running++
		next()
	}
}

// run is one request on its way over the stages.
type run struct {
	b        *bench
	e        *entry
	grant    *Grant
	deadline time.Time
	counted  *tally
	stage    int
}

func (r *run) begin(g *Grant, err error) {
	if err != nil {
		r.counted.refused++
		return
	}
	r.grant = g
	r.next()
}

func (r *run) next() {
	if r.stage == len(benchStages) {
		r.end(Answered)
		return
	}
	if r.grant != nil && r.e.queue.Least("guidebook", r.stage) > r.deadline.Sub(r.b.loop.Now()) {
		r.end(Missed)
		return
	}
	s := r.pick()
	r.e.own[s]++
	j := &job{}
	j.done = func(load port.LoadReport) { r.answered(s, load) }
	stage := r.stage
	if r.grant != nil {
		r.grant.StageStarted(stage)
		limit := r.deadline.Sub(r.b.loop.Now()) - r.e.queue.Least("guidebook", stage+1)
		r.b.loop.After(limit, func() { r.giveUp(s, j, stage) })
	}
	s.submit(j)
}

func (r *run) giveUp(s *server, j *job, stage int) {
	if r.stage != stage || j.cancelled {
		return
	}
	j.cancelled = true
	r.e.own[s]--
	r.stage = -1
	r.end(Missed)
}

func (r *run) answered(s *server, load port.LoadReport) {
	r.e.own[s]--
	r.e.seen[s] = load
	if r.grant != nil {
		r.e.queue.Observe("guidebook", r.stage, load)
	}
	r.stage++
	r.next()
}

func (r *run) end(o Outcome) {
	if o == Answered && r.b.loop.Now().After(r.deadline) {
		o = Missed
	}
	if o == Answered {
		r.counted.attained++
	}
	if r.grant != nil {
		r.grant.Done(o)
		return
	}
	r.e.running--
	r.e.startPlain()
}

func (r *run) pick() *server {
	servers := r.b.stages[r.stage]
	a, b := servers[r.b.rng.IntN(len(servers))], servers[r.b.rng.IntN(len(servers))]
	if r.e.cost(b) < r.e.cost(a) {
		return b
	}
	return a
}

func (e *entry) cost(s *server) int { return e.own[s] + e.seen[s].Waiting }

// measure runs the bench and returns the counts per customer and in sum.
func (b *bench) measure() (map[string]*tally, tally) {
	b.loop.RunUntil(b.started.Add(benchWarmup + b.span + 2*benchDeadline))
	sum := tally{span: b.span}
	for _, t := range b.counts {
		sum.offered += t.offered
		sum.attained += t.attained
		sum.refused += t.refused
	}
	return b.counts, sum
}

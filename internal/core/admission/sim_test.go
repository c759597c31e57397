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
type simEndpoint struct {
	loop            *eventloop.Loop
	rng             *rand.Rand
	slots           int
	meanServiceTime time.Duration
	running         int
	waiting         []*stageRequest
}

type stageRequest struct {
	onResponse func(port.LoadReport)
	cancelled  bool
}

const serviceTimeSigma = 0.5

func (s *simEndpoint) serviceTime() time.Duration {
	return time.Duration(float64(s.meanServiceTime) * math.Exp(serviceTimeSigma*s.rng.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2))
}

func (s *simEndpoint) submit(j *stageRequest) {
	s.waiting = append(s.waiting, j)
	s.startWaiting()
}

func (s *simEndpoint) startWaiting() {
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

func (s *simEndpoint) finish(j *stageRequest) {
	s.running--
	s.startWaiting()
	if !j.cancelled {
		j.onResponse(port.LoadReport{Running: s.running, Waiting: len(s.waiting), Slots: s.slots})
	}
}

// simStages sizes four stages so that the last one is the bottleneck, at
// simCapacity requests per second.
var simStages = []struct {
	mean           time.Duration
	servers, slots int
}{
	{20 * time.Millisecond, 2, 1}, {60 * time.Millisecond, 2, 2},
	{120 * time.Millisecond, 2, 4}, {900 * time.Millisecond, 6, 8},
}

const (
	simCapacity  = 6 * 8 / 0.9
	simDeadline  = 4 * time.Second
	simHostCount = 4
	simWarmup    = 15 * time.Second
)

type loadStats struct {
	offered, attained, refused int
	duration                   time.Duration
}

// add adds the counts of an earlier simulation; nil adds nothing.
func (t *loadStats) add(earlier *loadStats) {
	if earlier == nil {
		return
	}
	t.offered += earlier.offered
	t.attained += earlier.attained
	t.refused += earlier.refused
	t.duration += earlier.duration
}

func (t loadStats) attainment() float64 { return float64(t.attained) / float64(t.offered) }

func (t loadStats) goodput() float64 { return float64(t.attained) / t.duration.Seconds() }

func (t loadStats) String() string {
	return fmt.Sprintf("attainment %.4f of %d, goodput %.1f/s, refused %d",
		t.attainment(), t.offered, t.goodput(), t.refused)
}

// simHost is one host, with admission control or with a plain FIFO queue.
type simHost struct {
	queue       *Queue
	fifoQueue   []func()
	running     int
	inFlight    map[*simEndpoint]int
	lastReports map[*simEndpoint]port.LoadReport
}

type simulation struct {
	loop            *eventloop.Loop
	rng             *rand.Rand
	stages          [][]*simEndpoint
	hosts           []*simHost
	fifo            bool
	statsByCustomer map[string]*loadStats
	started         time.Time
	duration        time.Duration
}

func newSimulation(seed uint64, duration time.Duration, fifo, staticLimit bool) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{loop: eventloop.New(time.Unix(0, 0)), rng: rng, fifo: fifo, statsByCustomer: map[string]*loadStats{}, duration: duration}
	s.started = s.loop.Now()
	slots := 0
	for _, st := range simStages {
		var servers []*simEndpoint
		for range st.servers {
			servers = append(servers, &simEndpoint{loop: s.loop, rng: rng, slots: st.slots, meanServiceTime: st.mean})
		}
		slots += st.servers * st.slots
		s.stages = append(s.stages, servers)
	}
	cfg := Config{QueueLimit: 128, InitialLimit: slots / simHostCount, MinLimit: 1, MaxLimit: slots, StaticLimit: staticLimit}
	for range simHostCount {
		h := &simHost{queue: New(cfg, s.loop, rng), inFlight: map[*simEndpoint]int{}, lastReports: map[*simEndpoint]port.LoadReport{}}
		s.hosts = append(s.hosts, h)
		s.scheduleExpiry(h)
	}
	return s
}

// scheduleExpiry calls Expire periodically, in place of the timers of waiting
// callers.
func (s *simulation) scheduleExpiry(h *simHost) {
	h.queue.Expire()
	s.loop.After(100*time.Millisecond, func() { s.scheduleExpiry(h) })
}

// startArrivals generates Poisson arrivals of a customer at rate requests per
// second.
func (s *simulation) startArrivals(customer string, share int, rate float64) {
	s.statsByCustomer[customer] = &loadStats{duration: s.duration}
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	s.loop.After(gap, func() { s.arrive(customer, share, rate) })
}

func (s *simulation) arrive(customer string, share int, rate float64) {
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	s.loop.After(gap, func() { s.arrive(customer, share, rate) })
	stats := &loadStats{}
	if age := s.loop.Now().Sub(s.started); age > simWarmup && age < simWarmup+s.duration {
		stats = s.statsByCustomer[customer]
	}
	stats.offered++
	h := s.hosts[s.rng.IntN(simHostCount)]
	deadline := s.loop.Now().Add(simDeadline)
	r := &simRun{sim: s, host: h, deadline: deadline, stats: stats}
	if s.fifo {
		h.fifoQueue = append(h.fifoQueue, r.startNextStage)
		h.startFIFO()
		return
	}
	h.queue.Enqueue(Request{Customer: customer, Share: share, Pipeline: "guidebook", Deadline: deadline}, r.handleAdmission)
}

func (h *simHost) startFIFO() {
	for h.running < 16 && len(h.fifoQueue) > 0 {
		next := h.fifoQueue[0]
		h.fifoQueue = h.fifoQueue[1:]
		h.running++
		next()
	}
}

// simRun is one request on its way through the stages.
type simRun struct {
	sim      *simulation
	host     *simHost
	grant    *Grant
	deadline time.Time
	stats    *loadStats
	stage    int
}

func (r *simRun) handleAdmission(g *Grant, err error) {
	if err != nil {
		r.stats.refused++
		return
	}
	r.grant = g
	r.startNextStage()
}

func (r *simRun) startNextStage() {
	if r.stage == len(simStages) {
		r.end(Completed)
		return
	}
	if r.grant != nil && r.host.queue.MinRemainingTime("guidebook", r.stage) > r.deadline.Sub(r.sim.loop.Now()) {
		r.end(DeadlineMissed)
		return
	}
	s := r.pickEndpoint()
	r.host.inFlight[s]++
	j := &stageRequest{}
	j.onResponse = func(load port.LoadReport) { r.stageCompleted(s, load) }
	stage := r.stage
	if r.grant != nil {
		r.grant.StageStarted(stage)
		limit := r.deadline.Sub(r.sim.loop.Now()) - r.host.queue.MinRemainingTime("guidebook", stage+1)
		r.sim.loop.After(limit, func() { r.abandon(s, j, stage) })
	}
	s.submit(j)
}

func (r *simRun) abandon(s *simEndpoint, j *stageRequest, stage int) {
	if r.stage != stage || j.cancelled {
		return
	}
	j.cancelled = true
	r.host.inFlight[s]--
	r.stage = -1
	r.end(DeadlineMissed)
}

func (r *simRun) stageCompleted(s *simEndpoint, load port.LoadReport) {
	r.host.inFlight[s]--
	r.host.lastReports[s] = load
	if r.grant != nil {
		r.host.queue.RecordLoad("guidebook", r.stage, load)
	}
	r.stage++
	r.startNextStage()
}

func (r *simRun) end(o Outcome) {
	if o == Completed && r.sim.loop.Now().After(r.deadline) {
		o = DeadlineMissed
	}
	if o == Completed {
		r.stats.attained++
	}
	if r.grant != nil {
		r.grant.Done(o)
		return
	}
	r.host.running--
	r.host.startFIFO()
}

func (r *simRun) pickEndpoint() *simEndpoint {
	servers := r.sim.stages[r.stage]
	a, b := servers[r.sim.rng.IntN(len(servers))], servers[r.sim.rng.IntN(len(servers))]
	if r.host.estimatedLoad(b) < r.host.estimatedLoad(a) {
		return b
	}
	return a
}

func (h *simHost) estimatedLoad(target *simEndpoint) int {
	return h.inFlight[target] + h.lastReports[target].Waiting
}

// measure runs the simulation and returns the counts per customer and in total.
func (s *simulation) measure() (map[string]*loadStats, loadStats) {
	s.loop.RunUntil(s.started.Add(simWarmup + s.duration + 2*simDeadline))
	sum := loadStats{duration: s.duration}
	for _, t := range s.statsByCustomer {
		sum.offered += t.offered
		sum.attained += t.attained
		sum.refused += t.refused
	}
	return s.statsByCustomer, sum
}

package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pimentorill/pimentorill/internal/eventloop"
	"github.com/pimentorill/pimentorill/internal/port"
)

// simEndpoint is an endpoint with slots and a first-in-first-out queue.
type simEndpoint struct {
	loop            *eventloop.Loop
	rng             *rand.Rand
	slots           int
	meanServiceTime time.Duration
	running         int
	waiting         []*stageRequest
}

// stageRequest is the request of one stage of a run to an endpoint.
type stageRequest struct {
	onResponse func(port.LoadReport)
	cancelled  bool
}

// serviceTimeSigma is the standard deviation of the logarithm of service times.
const serviceTimeSigma = 0.5

// serviceTime draws a service time from a log-normal distribution.
func (s *simEndpoint) serviceTime() time.Duration {
	return time.Duration(float64(s.meanServiceTime) * math.Exp(serviceTimeSigma*s.rng.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2))
}

func (s *simEndpoint) submit(request *stageRequest) {
	s.waiting = append(s.waiting, request)
	s.startWaiting()
}

func (s *simEndpoint) startWaiting() {
	for s.running < s.slots && len(s.waiting) > 0 {
		request := s.waiting[0]
		s.waiting = s.waiting[1:]
		if request.cancelled {
			continue
		}
		s.running++
		s.loop.After(s.serviceTime(), func() { s.finish(request) })
	}
}

func (s *simEndpoint) finish(request *stageRequest) {
	s.running--
	s.startWaiting()
	if !request.cancelled {
		request.onResponse(port.LoadReport{Running: s.running, Waiting: len(s.waiting), Slots: s.slots})
	}
}

// simStages sizes four stages so that the last one is the bottleneck, at
// simCapacity requests per second.
var simStages = []struct {
	meanServiceTime  time.Duration
	endpoints, slots int
}{
	{20 * time.Millisecond, 2, 1}, {60 * time.Millisecond, 2, 2},
	{120 * time.Millisecond, 2, 4}, {900 * time.Millisecond, 6, 8},
}

const (
	// simCapacity is the number of slots of the last stage divided by the stage's
	// mean service time in seconds.
	simCapacity  = 6 * 8 / 0.9
	simDeadline  = 4 * time.Second
	simHostCount = 4
	simWarmup    = 15 * time.Second
)

// loadStats counts the requests that arrive in the measured part of a
// simulation.
type loadStats struct {
	// attained is the number of requests completed before their deadline.
	offered, attained, refused int
	duration                   time.Duration
}

// add adds the counts and the duration of an earlier simulation; nil adds
// nothing.
func (s *loadStats) add(earlier *loadStats) {
	if earlier == nil {
		return
	}
	s.offered += earlier.offered
	s.attained += earlier.attained
	s.refused += earlier.refused
	s.duration += earlier.duration
}

// attainment returns the fraction of requests completed before their deadline.
func (s loadStats) attainment() float64 { return float64(s.attained) / float64(s.offered) }

// goodput returns the requests completed before their deadline per second.
func (s loadStats) goodput() float64 { return float64(s.attained) / s.duration.Seconds() }

func (s loadStats) String() string {
	return fmt.Sprintf("attainment %.4f of %d, goodput %.1f/s, refused %d",
		s.attainment(), s.offered, s.goodput(), s.refused)
}

// simHost is one host, with admission control or with a plain FIFO queue.
// fifoQueue and running are used only with the latter.
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
		var endpoints []*simEndpoint
		for range st.endpoints {
			endpoints = append(endpoints, &simEndpoint{loop: s.loop, rng: rng, slots: st.slots, meanServiceTime: st.meanServiceTime})
		}
		slots += st.endpoints * st.slots
		s.stages = append(s.stages, endpoints)
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

// startFIFO starts requests of the FIFO queue, up to 16 concurrent runs.
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

// handleAdmission is the run's notify function for Enqueue.
func (r *simRun) handleAdmission(g *Grant, err error) {
	if err != nil {
		r.stats.refused++
		return
	}
	r.grant = g
	r.startNextStage()
}

// startNextStage sends the next stage to an endpoint, or ends the run if there
// is no stage left or the run cannot meet its deadline any more.
func (r *simRun) startNextStage() {
	if r.stage == len(simStages) {
		r.end(Completed)
		return
	}
	if r.grant != nil && r.host.queue.MinRemainingTime("guidebook", r.stage) > r.deadline.Sub(r.sim.loop.Now()) {
		r.end(DeadlineMissed)
		return
	}
	endpoint := r.pickEndpoint()
	r.host.inFlight[endpoint]++
	request := &stageRequest{}
	request.onResponse = func(load port.LoadReport) { r.stageCompleted(endpoint, load) }
	stage := r.stage
	if r.grant != nil {
		r.grant.StageStarted(stage)
		timeLimit := r.deadline.Sub(r.sim.loop.Now()) - r.host.queue.MinRemainingTime("guidebook", stage+1)
		r.sim.loop.After(timeLimit, func() { r.abandon(endpoint, request, stage) })
	}
	endpoint.submit(request)
}

// abandon ends the run if it still waits for the response of the stage.
func (r *simRun) abandon(endpoint *simEndpoint, request *stageRequest, stage int) {
	if r.stage != stage || request.cancelled {
		return
	}
	request.cancelled = true
	r.host.inFlight[endpoint]--
	r.stage = -1
	r.end(DeadlineMissed)
}

func (r *simRun) stageCompleted(endpoint *simEndpoint, load port.LoadReport) {
	r.host.inFlight[endpoint]--
	r.host.lastReports[endpoint] = load
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

// pickEndpoint returns the less loaded of two endpoints drawn at random.
func (r *simRun) pickEndpoint() *simEndpoint {
	endpoints := r.sim.stages[r.stage]
	a, b := endpoints[r.sim.rng.IntN(len(endpoints))], endpoints[r.sim.rng.IntN(len(endpoints))]
	if r.host.estimatedLoad(b) < r.host.estimatedLoad(a) {
		return b
	}
	return a
}

// estimatedLoad returns the host's requests in flight at the endpoint plus the
// requests that waited there at its last report.
func (h *simHost) estimatedLoad(e *simEndpoint) int { return h.inFlight[e] + h.lastReports[e].Waiting }

// measure runs the simulation and returns the results by customer and in total.
func (s *simulation) measure() (map[string]*loadStats, loadStats) {
	s.loop.RunUntil(s.started.Add(simWarmup + s.duration + 2*simDeadline))
	sum := loadStats{duration: s.duration}
	for _, stats := range s.statsByCustomer {
		sum.offered += stats.offered
		sum.attained += stats.attained
		sum.refused += stats.refused
	}
	return s.statsByCustomer, sum
}

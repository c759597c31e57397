package coldstart

import (
	"math/rand/v2"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/eventloop"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	leaseTTL        = 10 * time.Second
	leaseDrift      = time.Second
	attemptDeadline = 4 * time.Second
)

var testEndpoint = release.Endpoint{ID: "e", Slots: 8, ColdLimit: 2, WarmAfter: 6}

// server is an endpoint that counts what it holds.
type server struct {
	loop        *eventloop.Loop
	rng         *rand.Rand
	incarnation int
	cold        bool
	answered    int
	jobs        map[*job]bool

	overruns, lost, worked, warmed int
	maxCold                        int
	warmAt                         time.Time
	// dies makes it restart when it holds more than it bears.
	dies bool
	// closes is the part of the attempts whose connection it closes.
	closes float64
}

// job is one attempt. It ends once, by an answer, a restart or its deadline;
// the server may go on with it after the deadline.
type job struct {
	host *host
	pass *Pass
	over bool
}

func (s *server) begin(j *job, work time.Duration) {
	s.jobs[j] = true
	if s.cold {
		s.maxCold = max(s.maxCold, len(s.jobs))
		if len(s.jobs) > testEndpoint.ColdLimit {
			s.overruns++
			if s.dies {
				s.restart()
				return
			}
		}
	}
	if s.rng.Float64() < s.closes {
		s.loop.After(work/2, func() { s.closeConnection(j) })
	}
	s.loop.After(work, func() { s.finish(j) })
	s.loop.After(attemptDeadline, func() { s.giveUp(j) })
}

func (s *server) finish(j *job) {
	if !s.jobs[j] {
		return
	}
	delete(s.jobs, j)
	s.worked++
	if s.answered++; s.cold && s.answered >= testEndpoint.WarmAfter {
		s.cold = false
		s.warmed++
		s.warmAt = s.loop.Now()
	}
	load := port.Load{Incarnation: string(rune('a' + s.incarnation)), Running: len(s.jobs), Slots: testEndpoint.Slots, Cold: s.cold}
	j.end(End{Stopped: true, Answered: true, Load: &load})
}

// giveUp cancels the attempt; the server stops it some time later.
func (s *server) giveUp(j *job) {
	if j.over {
		return
	}
	j.end(End{})
	s.loop.After(time.Duration(s.rng.Int64N(int64(StopGrace))), func() { delete(s.jobs, j) })
}

// closeConnection ends the attempt for its caller and goes on for a while.
func (s *server) closeConnection(j *job) {
	if j.over {
		return
	}
	j.end(End{Reset: true})
	s.loop.After(time.Duration(s.rng.Int64N(int64(ResetGrace))), func() { delete(s.jobs, j) })
}

// restart loses all work. Whoever has work there sees its connection break.
func (s *server) restart() {
	s.incarnation++
	s.cold, s.answered = true, 0
	cut := s.jobs
	s.jobs = map[*job]bool{}
	for j := range cut {
		s.lost++
		s.loop.After(time.Millisecond, func() { j.end(End{Reset: true}) })
	}
}

func (j *job) end(e End) {
	if j.over {
		return
	}
	j.over = true
	if j.host.pausedUntil.After(j.host.fleet.loop.Now()) {
		j.host.fleet.loop.After(j.host.pausedUntil.Sub(j.host.fleet.loop.Now()), func() { j.leave(e) })
		return
	}
	j.leave(e)
}

func (j *job) leave(e End) {
	if j.pass == nil {
		return
	}
	if j.pass.Leave(j.host.now(), e) {
		j.host.ask(0)
	}
}

// host is one process: a Gate, a Holder and what it believes of the lease.
type host struct {
	fleet *fleet
	gate  *Gate
	own   *Holder
	lease Lease
	// stall is how far its clock is behind after a pause.
	stall       time.Duration
	pausedUntil time.Time
	// met is the incarnation of the endpoint that it has a connection to; every
	// host has one from its start.
	met    int
	asking bool
	dead   bool
}

func (h *host) now() time.Time { return h.fleet.loop.Now().Add(-h.stall) }

func (h *host) paused() bool { return h.dead || h.pausedUntil.After(h.fleet.loop.Now()) }

// fleet is several hosts, one endpoint and the lease in the store.
type fleet struct {
	loop   *eventloop.Loop
	rng    *rand.Rand
	server *server
	hosts  []*host
	// plain sends without a Gate.
	plain bool
	// loss is the part of the messages that is lost, delay the longest delay.
	loss  float64
	delay time.Duration
	// spare is the most that a permit lasts beyond the attempt that it was
	// asked for, so that one that came late serves a later attempt.
	spare time.Duration
	// endless is the part of the attempts that only their deadline ends, lag
	// the part of the Asks that go to a host that is not the holder.
	endless, lag float64

	holder     *host
	fence      uint64
	leaseUntil time.Time
	marked     bool
	failed     int
	// asks counts the Asks sent until the endpoint was warm.
	asks int
}

func newFleet(seed uint64, hosts int) *fleet {
	f := &fleet{loop: eventloop.New(time.Unix(1000, 0)), rng: rand.New(rand.NewPCG(seed, 2)), delay: time.Millisecond, spare: time.Second}
	f.server = &server{loop: f.loop, rng: f.rng, cold: true, jobs: map[*job]bool{}}
	for range hosts {
		f.hosts = append(f.hosts, f.newHost())
	}
	f.keepLease()
	return f
}

func (f *fleet) newHost() *host {
	h := &host{fleet: f, met: f.server.incarnation}
	h.gate = NewGate(func(d Doubt) { f.spread(func(o *host) { o.gate.HearDoubt(d) }) })
	h.own = NewHolder(h.gate.Known, func(w Word) { f.spread(func(o *host) { o.gate.Hear(o.now(), w) }) })
	return h
}

// spread brings a message to every host, late and with loss.
func (f *fleet) spread(deliver func(o *host)) {
	for _, o := range f.hosts {
		f.send(func() {
			if !o.paused() {
				deliver(o)
			}
		})
	}
}

// send delivers a message after a delay, or loses it.
func (f *fleet) send(deliver func()) {
	if f.rng.Float64() < f.loss {
		return
	}
	f.loop.After(time.Duration(f.rng.Int64N(int64(f.delay))), deliver)
}

// keepLease lets a host take the free lease and the holder renew it.
func (f *fleet) keepLease() {
	now := f.loop.Now()
	if !f.leaseUntil.After(now) {
		if h := f.hosts[f.rng.IntN(len(f.hosts))]; !h.paused() {
			f.fence++
			f.holder = h
			h.lease = Lease{Fence: f.fence, Since: h.now(), First: !f.marked}
			f.marked = true
		}
	}
	if f.holder != nil && !f.holder.paused() && f.holder.lease.Fence == f.fence {
		f.leaseUntil = now.Add(leaseTTL)
		f.holder.lease.Until = f.holder.now().Add(leaseTTL - leaseDrift)
		f.holder.own.SetLease(f.holder.lease)
	}
	f.loop.After(leaseTTL/3, f.keepLease)
}

// offer lets the host send attempts at a mean rate a second.
func (f *fleet) offer(h *host, rate float64) {
	f.loop.After(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if h.dead {
			return
		}
		f.offer(h, rate)
		if !h.paused() {
			h.try()
		}
	})
}

func (h *host) try() {
	f := h.fleet
	work := time.Duration(f.rng.Int64N(int64(2 * time.Second)))
	if f.rng.Float64() < f.endless {
		work = 2 * attemptDeadline
	}
	j := &job{host: h}
	if f.plain {
		f.server.begin(j, work)
		return
	}
	pass, err := h.gate.Enter(h.now(), testEndpoint, h.now().Add(attemptDeadline))
	if err == ErrNoPermit {
		f.failed++
		h.ask(1)
	}
	if err != nil {
		return
	}
	j.pass = pass
	if pass.permit == nil && h.met != f.server.incarnation {
		h.met = f.server.incarnation
		j.end(End{Stopped: true, Reset: true})
		return
	}
	h.met = f.server.incarnation
	f.server.begin(j, work)
}

// ask sends an Ask to the holder, or to whom a lagging host takes for it.
func (h *host) ask(count int) {
	f := h.fleet
	to := f.holder
	if f.rng.Float64() < f.lag {
		to = f.hosts[f.rng.IntN(len(f.hosts))]
	}
	if to == nil || (h.asking && count > 0) {
		return
	}
	h.asking = true
	sent := h.now()
	if f.server.cold {
		f.asks++
	}
	f.loop.After(denied, func() { h.asking = false })
	spare := time.Duration(f.rng.Int64N(int64(f.spare)))
	ask := h.gate.Ask(sent, testEndpoint.ID, count, sent.Add(attemptDeadline+spare))
	f.send(func() { to.answer(h, sent, ask) })
}

// answer is the holder's side; a paused host answers when it wakes.
func (h *host) answer(from *host, sent time.Time, ask Ask) {
	f := h.fleet
	if h.dead {
		return
	}
	if h.paused() {
		f.loop.After(h.pausedUntil.Sub(f.loop.Now()), func() { h.answer(from, sent, ask) })
		return
	}
	reply, err := h.own.Grant(h.now(), testEndpoint, ask)
	if err != nil {
		return
	}
	f.send(func() {
		if !from.dead {
			from.gate.Take(sent, ask, reply)
		}
	})
}

// replace ends a host's process and starts one without memory.
func (f *fleet) replace(i int, rate float64) {
	f.hosts[i].dead = true
	f.hosts[i] = f.newHost()
	f.offer(f.hosts[i], rate)
}

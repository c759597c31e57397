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
	leaseMargin     = time.Second
	attemptDeadline = 4 * time.Second
)

var testEndpoint = release.Endpoint{ID: "e", Slots: 8, ColdLimit: 2, WarmAfter: 6}

// server is an endpoint that counts what it holds.
type testServer struct {
	loop                 *eventloop.Loop
	rng                  *rand.Rand
	incarnation          int
	cold                 bool
	answeredSinceRestart int
	attempts             map[*testAttempt]bool

	overloads, lostAttempts, answeredTotal, coldStartsEnded int
	maxCold                                                 int
	warmAt                                                  time.Time
	// dies makes it restart when it holds more than it bears.
	restartsOnOverload bool
	// closes is the part of the attempts whose connection it closes.
	closeRate float64
}

// job is one attempt. It ends once, by an answer, a restart or its deadline;
// the server may go on with it after the deadline.
type testAttempt struct {
	host      *testHost
	admission *Admission
	ended     bool
}

func (s *testServer) start(j *testAttempt, work time.Duration) {
	s.attempts[j] = true
	if s.cold {
		s.maxCold = max(s.maxCold, len(s.attempts))
		if len(s.attempts) > testEndpoint.ColdLimit {
			s.overloads++
			if s.restartsOnOverload {
				s.restart()
				return
			}
		}
	}
	if s.rng.Float64() < s.closeRate {
		s.loop.After(work/2, func() { s.closeConnection(j) })
	}
	s.loop.After(work, func() { s.finish(j) })
	s.loop.After(attemptDeadline, func() { s.timeOut(j) })
}

func (s *testServer) finish(j *testAttempt) {
	if !s.attempts[j] {
		return
	}
	delete(s.attempts, j)
	s.answeredTotal++
	if s.answeredSinceRestart++; s.cold && s.answeredSinceRestart >= testEndpoint.WarmAfter {
		s.cold = false
		s.coldStartsEnded++
		s.warmAt = s.loop.Now()
	}
	load := port.Load{Incarnation: string(rune('a' + s.incarnation)), Running: len(s.attempts), Slots: testEndpoint.Slots, Cold: s.cold}
	j.end(Outcome{Stopped: true, Answered: true, Load: &load})
}

// timeOut cancels the attempt; the server stops it some time later.
func (s *testServer) timeOut(j *testAttempt) {
	if j.ended {
		return
	}
	j.end(Outcome{})
	s.loop.After(time.Duration(s.rng.Int64N(int64(CancelGrace))), func() { delete(s.attempts, j) })
}

// closeConnection ends the attempt for its caller and goes on for a while.
func (s *testServer) closeConnection(j *testAttempt) {
	if j.ended {
		return
	}
	j.end(Outcome{ConnectionClosed: true})
	s.loop.After(time.Duration(s.rng.Int64N(int64(ResetGrace))), func() { delete(s.attempts, j) })
}

// restart loses all work. Whoever has work there sees its connection break.
func (s *testServer) restart() {
	s.incarnation++
	s.cold, s.answeredSinceRestart = true, 0
	cut := s.attempts
	s.attempts = map[*testAttempt]bool{}
	for j := range cut {
		s.lostAttempts++
		s.loop.After(time.Millisecond, func() { j.end(Outcome{ConnectionClosed: true}) })
	}
}

func (j *testAttempt) end(e Outcome) {
	if j.ended {
		return
	}
	j.ended = true
	if j.host.pausedUntil.After(j.host.fleet.loop.Now()) {
		j.host.fleet.loop.After(j.host.pausedUntil.Sub(j.host.fleet.loop.Now()), func() { j.finishAdmission(e) })
		return
	}
	j.finishAdmission(e)
}

func (j *testAttempt) finishAdmission(e Outcome) {
	if j.admission == nil {
		return
	}
	if j.admission.Finish(j.host.now(), e) {
		j.host.requestPermits(0)
	}
}

// host is one process: a Gate, a Holder and what it believes of the lease.
type testHost struct {
	fleet   *testFleet
	limiter *Limiter
	issuer  *PermitIssuer
	lease   Lease
	// stall is how far its clock is behind after a pause.
	clockLag    time.Duration
	pausedUntil time.Time
	// met is the incarnation of the endpoint that it has a connection to; every
	// host has one from its start.
	connectedTo    int
	requestPending bool
	stopped        bool
}

func (h *testHost) now() time.Time { return h.fleet.loop.Now().Add(-h.clockLag) }

func (h *testHost) paused() bool { return h.stopped || h.pausedUntil.After(h.fleet.loop.Now()) }

// fleet is several hosts, one endpoint and the lease in the store.
type testFleet struct {
	loop   *eventloop.Loop
	rng    *rand.Rand
	server *testServer
	hosts  []*testHost
	// plain sends without a Gate.
	unlimited bool
	// loss is the part of the messages that is lost, delay the longest delay.
	lossRate float64
	maxDelay time.Duration
	// spare is the most that a permit lasts beyond the attempt that it was
	// asked for, so that one that came late serves a later attempt.
	maxPermitSlack time.Duration
	// endless is the part of the attempts that only their deadline ends, lag
	// the part of the Asks that go to a host that is not the holder.
	hangRate, misroutedRate float64

	holder       *testHost
	fence        uint64
	leaseUntil   time.Time
	issuedBefore bool
	rejected     int
	// asks counts the Asks sent until the endpoint was warm.
	requests int
}

func newTestFleet(seed uint64, hosts int) *testFleet {
	f := &testFleet{loop: eventloop.New(time.Unix(1000, 0)), rng: rand.New(rand.NewPCG(seed, 2)), maxDelay: time.Millisecond, maxPermitSlack: time.Second}
	f.server = &testServer{loop: f.loop, rng: f.rng, cold: true, attempts: map[*testAttempt]bool{}}
	for range hosts {
		f.hosts = append(f.hosts, f.newHost())
	}
	f.runLease()
	return f
}

func (f *testFleet) newHost() *testHost {
	h := &testHost{fleet: f, connectedTo: f.server.incarnation}
	h.limiter = NewLimiter(func(d Suspicion) { f.broadcast(func(o *testHost) { o.limiter.ApplySuspicion(d) }) })
	h.issuer = NewPermitIssuer(h.limiter.Status, func(w Status) { f.broadcast(func(o *testHost) { o.limiter.ApplyStatus(o.now(), w) }) })
	return h
}

// spread brings a message to every host, late and with loss.
func (f *testFleet) broadcast(deliver func(o *testHost)) {
	for _, o := range f.hosts {
		f.send(func() {
			if !o.paused() {
				deliver(o)
			}
		})
	}
}

// send delivers a message after a delay, or loses it.
func (f *testFleet) send(deliver func()) {
	if f.rng.Float64() < f.lossRate {
		return
	}
	f.loop.After(time.Duration(f.rng.Int64N(int64(f.maxDelay))), deliver)
}

// runLease lets a host take the free lease and the holder renew it.
func (f *testFleet) runLease() {
	now := f.loop.Now()
	if !f.leaseUntil.After(now) {
		if h := f.hosts[f.rng.IntN(len(f.hosts))]; !h.paused() {
			f.fence++
			f.holder = h
			h.lease = Lease{Fence: f.fence, Since: h.now(), NoEarlierPermits: !f.issuedBefore}
			f.issuedBefore = true
		}
	}
	if f.holder != nil && !f.holder.paused() && f.holder.lease.Fence == f.fence {
		f.leaseUntil = now.Add(leaseTTL)
		f.holder.lease.Until = f.holder.now().Add(leaseTTL - leaseMargin)
		f.holder.issuer.SetLease(f.holder.lease)
	}
	f.loop.After(leaseTTL/3, f.runLease)
}

// offer lets the host send attempts at a mean rate a second.
func (f *testFleet) startLoad(h *testHost, rate float64) {
	f.loop.After(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if h.stopped {
			return
		}
		f.startLoad(h, rate)
		if !h.paused() {
			h.sendAttempt()
		}
	})
}

func (h *testHost) sendAttempt() {
	f := h.fleet
	work := time.Duration(f.rng.Int64N(int64(2 * time.Second)))
	if f.rng.Float64() < f.hangRate {
		work = 2 * attemptDeadline
	}
	j := &testAttempt{host: h}
	if f.unlimited {
		f.server.start(j, work)
		return
	}
	pass, err := h.limiter.Admit(h.now(), testEndpoint, h.now().Add(attemptDeadline))
	if err == ErrNoPermit {
		f.rejected++
		h.requestPermits(1)
	}
	if err != nil {
		return
	}
	j.admission = pass
	if pass.permit == nil && h.connectedTo != f.server.incarnation {
		h.connectedTo = f.server.incarnation
		j.end(Outcome{Stopped: true, ConnectionClosed: true})
		return
	}
	h.connectedTo = f.server.incarnation
	f.server.start(j, work)
}

// ask sends an Ask to the holder, or to whom a lagging host takes for it.
func (h *testHost) requestPermits(count int) {
	f := h.fleet
	to := f.holder
	if f.rng.Float64() < f.misroutedRate {
		to = f.hosts[f.rng.IntN(len(f.hosts))]
	}
	if to == nil || (h.requestPending && count > 0) {
		return
	}
	h.requestPending = true
	sent := h.now()
	if f.server.cold {
		f.requests++
	}
	f.loop.After(permitRetryDelay, func() { h.requestPending = false })
	spare := time.Duration(f.rng.Int64N(int64(f.maxPermitSlack)))
	ask := h.limiter.NewPermitRequest(sent, testEndpoint.ID, count, sent.Add(attemptDeadline+spare))
	f.send(func() { to.handleRequest(h, sent, ask) })
}

// answer is the holder's side; a paused host answers when it wakes.
func (h *testHost) handleRequest(from *testHost, sent time.Time, ask PermitRequest) {
	f := h.fleet
	if h.stopped {
		return
	}
	if h.paused() {
		f.loop.After(h.pausedUntil.Sub(f.loop.Now()), func() { h.handleRequest(from, sent, ask) })
		return
	}
	reply, err := h.issuer.Grant(h.now(), testEndpoint, ask)
	if err != nil {
		return
	}
	f.send(func() {
		if !from.stopped {
			from.limiter.ApplyReply(sent, ask, reply)
		}
	})
}

// replace ends a host's process and starts one without memory.
func (f *testFleet) replaceHost(i int, rate float64) {
	f.hosts[i].stopped = true
	f.hosts[i] = f.newHost()
	f.startLoad(f.hosts[i], rate)
}

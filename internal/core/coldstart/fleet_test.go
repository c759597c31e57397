package coldstart

import (
	"math/rand/v2"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/eventloop"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	leaseTTL = 10 * time.Second
	// leaseMargin is how long before its expiry the holder stops using the lease.
	leaseMargin    = time.Second
	attemptTimeout = 4 * time.Second
)

var testEndpoint = release.Endpoint{ID: "e", Slots: 8, ColdLimit: 2, WarmAfter: 6}

// testServer simulates an endpoint and counts the attempts beyond its cold limit.
type testServer struct {
	loop                 *eventloop.Loop
	rng                  *rand.Rand
	incarnation          int
	cold                 bool
	answeredSinceRestart int
	// attempts are the attempts that the server is running.
	attempts map[*testAttempt]bool

	// overloads counts the attempts started beyond the cold limit, lostAttempts
	// those running at a restart.
	overloads, lostAttempts, answeredTotal, coldStartsEnded int
	maxColdAttempts                                         int
	// warmAt is when the server last became warm.
	warmAt time.Time
	// restartsOnOverload makes the server restart when it gets more attempts than
	// its cold limit.
	restartsOnOverload bool
	// closeRate is the fraction of attempts whose connection the server closes.
	closeRate float64
}

// testAttempt is one attempt. It ends once for its host: by a response, a closed
// connection, a restart or its deadline. The server may keep running it after that.
type testAttempt struct {
	host      *testHost
	admission *Admission
	ended     bool
}

func (s *testServer) start(a *testAttempt, work time.Duration) {
	s.attempts[a] = true
	if s.cold {
		s.maxColdAttempts = max(s.maxColdAttempts, len(s.attempts))
		if len(s.attempts) > testEndpoint.ColdLimit {
			s.overloads++
			if s.restartsOnOverload {
				s.restart()
				return
			}
		}
	}
	if s.rng.Float64() < s.closeRate {
		s.loop.After(work/2, func() { s.closeConnection(a) })
	}
	s.loop.After(work, func() { s.finish(a) })
	s.loop.After(attemptTimeout, func() { s.timeOut(a) })
}

func (s *testServer) finish(a *testAttempt) {
	if !s.attempts[a] {
		return
	}
	delete(s.attempts, a)
	s.answeredTotal++
	if s.answeredSinceRestart++; s.cold && s.answeredSinceRestart >= testEndpoint.WarmAfter {
		s.cold = false
		s.coldStartsEnded++
		s.warmAt = s.loop.Now()
	}
	load := port.LoadReport{Incarnation: string(rune('a' + s.incarnation)), Running: len(s.attempts), Slots: testEndpoint.Slots, Cold: s.cold}
	a.end(Outcome{Stopped: true, Answered: true, Load: &load})
}

// timeOut cancels the attempt; the server stops it within CancelGrace.
func (s *testServer) timeOut(a *testAttempt) {
	if a.ended {
		return
	}
	a.end(Outcome{})
	s.loop.After(time.Duration(s.rng.Int64N(int64(CancelGrace))), func() { delete(s.attempts, a) })
}

// closeConnection ends the attempt for its host; the server stops it within
// ResetGrace.
func (s *testServer) closeConnection(a *testAttempt) {
	if a.ended {
		return
	}
	a.end(Outcome{ConnectionClosed: true})
	s.loop.After(time.Duration(s.rng.Int64N(int64(ResetGrace))), func() { delete(s.attempts, a) })
}

// restart starts a cold process and drops all attempts. Their hosts see the
// connections close.
func (s *testServer) restart() {
	s.incarnation++
	s.cold, s.answeredSinceRestart = true, 0
	lost := s.attempts
	s.attempts = map[*testAttempt]bool{}
	for a := range lost {
		s.lostAttempts++
		s.loop.After(time.Millisecond, func() { a.end(Outcome{ConnectionClosed: true}) })
	}
}

// end ends the attempt for its host unless it has ended; a paused host notices
// when it resumes.
func (a *testAttempt) end(outcome Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	if a.host.pausedUntil.After(a.host.fleet.loop.Now()) {
		a.host.fleet.loop.After(a.host.pausedUntil.Sub(a.host.fleet.loop.Now()), func() { a.finishAdmission(outcome) })
		return
	}
	a.finishAdmission(outcome)
}

func (a *testAttempt) finishAdmission(outcome Outcome) {
	if a.admission == nil {
		return
	}
	if a.admission.Finish(a.host.now(), outcome) {
		a.host.requestPermits(0)
	}
}

// testHost is one host process: a Limiter, a PermitIssuer and the lease as the
// host sees it.
type testHost struct {
	fleet   *testFleet
	limiter *Limiter
	issuer  *PermitIssuer
	lease   Lease
	// clockLag is how far its clock is behind after a pause.
	clockLag    time.Duration
	pausedUntil time.Time
	// connectedTo is the endpoint's incarnation to which the host has a
	// connection; every host has one from its start.
	connectedTo int
	// requestedRecently says that the host sent a permit request less than
	// permitRetryDelay ago.
	requestedRecently bool
	stopped           bool
}

func (h *testHost) now() time.Time { return h.fleet.loop.Now().Add(-h.clockLag) }

func (h *testHost) paused() bool { return h.stopped || h.pausedUntil.After(h.fleet.loop.Now()) }

// testFleet simulates several hosts, one endpoint and the lease in the store, in
// virtual time.
type testFleet struct {
	loop   *eventloop.Loop
	rng    *rand.Rand
	server *testServer
	hosts  []*testHost
	// unlimited makes the hosts send attempts without a Limiter.
	unlimited bool
	// lossRate is the fraction of messages lost, maxDelay the longest delay.
	lossRate float64
	maxDelay time.Duration
	// maxPermitSlack bounds how much longer a permit is requested for than its
	// attempt needs, so that a late permit serves a later attempt.
	maxPermitSlack time.Duration
	// hangRate is the fraction of attempts that only their deadline ends,
	// misroutedRate the fraction of permit requests sent to a random host
	// instead of the lease holder.
	hangRate, misroutedRate float64

	// holder is the host that last acquired the lease, fence its fencing token,
	// leaseUntil when the lease expires in the store.
	holder     *testHost
	fence      uint64
	leaseUntil time.Time
	// leaseHeldBefore says that a host has held the lease before.
	leaseHeldBefore bool
	// rejectedAttempts counts the attempts that got ErrNoPermit.
	rejectedAttempts int
	// coldPermitRequests counts the permit requests sent while the endpoint was
	// cold.
	coldPermitRequests int
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
	h.limiter = NewLimiter(func(suspicion Suspicion) { f.broadcast(func(o *testHost) { o.limiter.ApplySuspicion(suspicion) }) })
	h.issuer = NewPermitIssuer(h.limiter.Status, func(status Status) { f.broadcast(func(o *testHost) { o.limiter.ApplyStatus(o.now(), status) }) })
	return h
}

// broadcast sends a message to every host, with delay and loss.
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

// runLease lets a random host acquire a free lease and the holder renew its own.
func (f *testFleet) runLease() {
	now := f.loop.Now()
	if !f.leaseUntil.After(now) {
		if h := f.hosts[f.rng.IntN(len(f.hosts))]; !h.paused() {
			f.fence++
			f.holder = h
			h.lease = Lease{Fence: f.fence, Since: h.now(), NoEarlierPermits: !f.leaseHeldBefore}
			f.leaseHeldBefore = true
		}
	}
	if f.holder != nil && !f.holder.paused() && f.holder.lease.Fence == f.fence {
		f.leaseUntil = now.Add(leaseTTL)
		f.holder.lease.Until = f.holder.now().Add(leaseTTL - leaseMargin)
		f.holder.issuer.SetLease(f.holder.lease)
	}
	f.loop.After(leaseTTL/3, f.runLease)
}

// startLoad makes the host send attempts at a mean rate per second, at random times.
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
		work = 2 * attemptTimeout
	}
	a := &testAttempt{host: h}
	if f.unlimited {
		f.server.start(a, work)
		return
	}
	admission, err := h.limiter.Admit(h.now(), testEndpoint, h.now().Add(attemptTimeout))
	if err == ErrNoPermit {
		f.rejectedAttempts++
		h.requestPermits(1)
	}
	if err != nil {
		return
	}
	a.admission = admission
	if admission.permit == nil && h.connectedTo != f.server.incarnation {
		h.connectedTo = f.server.incarnation
		// The host's connection was to the process before the restart.
		a.end(Outcome{Stopped: true, ConnectionClosed: true})
		return
	}
	h.connectedTo = f.server.incarnation
	f.server.start(a, work)
}

// requestPermits sends a permit request to the lease holder, or to a random host
// if it is misrouted.
func (h *testHost) requestPermits(count int) {
	f := h.fleet
	to := f.holder
	if f.rng.Float64() < f.misroutedRate {
		to = f.hosts[f.rng.IntN(len(f.hosts))]
	}
	if to == nil || (h.requestedRecently && count > 0) {
		return
	}
	h.requestedRecently = true
	sent := h.now()
	if f.server.cold {
		f.coldPermitRequests++
	}
	f.loop.After(permitRetryDelay, func() { h.requestedRecently = false })
	slack := time.Duration(f.rng.Int64N(int64(f.maxPermitSlack)))
	req := h.limiter.NewPermitRequest(sent, testEndpoint.ID, count, sent.Add(attemptTimeout+slack))
	f.send(func() { to.handleRequest(h, sent, req) })
}

// handleRequest replies to a permit request, which a paused host does when it
// resumes.
func (h *testHost) handleRequest(from *testHost, sent time.Time, req PermitRequest) {
	f := h.fleet
	if h.stopped {
		return
	}
	if h.paused() {
		f.loop.After(h.pausedUntil.Sub(f.loop.Now()), func() { h.handleRequest(from, sent, req) })
		return
	}
	reply, err := h.issuer.Grant(h.now(), testEndpoint, req)
	if err != nil {
		return
	}
	f.send(func() {
		if !from.stopped {
			from.limiter.ApplyReply(sent, req, reply)
		}
	})
}

// replaceHost stops a host's process and starts one without state under its index,
// with a load of rate attempts per second.
func (f *testFleet) replaceHost(i int, rate float64) {
	f.hosts[i].stopped = true
	f.hosts[i] = f.newHost()
	f.startLoad(f.hosts[i], rate)
}

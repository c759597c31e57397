package app

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/coldstart"
	"github.com/pimentorill/pimentorill/internal/core/cost"
	"github.com/pimentorill/pimentorill/internal/core/pipeline"
	"github.com/pimentorill/pimentorill/internal/core/release"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

// Bounds of waiting for a slot or a permit of an endpoint.
const (
	// An attempt waits for a slot or a permit for 1/slotWaitDivisor of its
	// remaining time, at most maxSlotWait, before another endpoint is tried.
	slotWaitDivisor = 4
	maxSlotWait     = time.Second
	// slotPollInterval bounds the time between two tries of a waiting attempt.
	slotPollInterval = 50 * time.Millisecond
	// permitRequestTimeout bounds one permit request to a lease holder.
	permitRequestTimeout = 500 * time.Millisecond
	// holderRetryDelay is how long waiting attempts request no permits for an
	// endpoint after a request to its zone's lease holder failed.
	holderRetryDelay = time.Second
	// maxPermitFailureTime is how long all permit requests for an endpoint may
	// fail before attempts that need a permit no longer wait for one.
	maxPermitFailureTime = 10 * time.Second
)

// permitRequester sends permit requests to the lease holder of the endpoint's
// availability zone.
type permitRequester interface {
	// requestPermits returns the lease holder's reply, or an error if no holder is
	// known, it does not respond or it does not hold the lease.
	requestPermits(ctx context.Context, e release.Endpoint, req coldstart.PermitRequest) (coldstart.PermitReply, error)
}

// coldStartGate implements pipeline.Gate. It admits attempts as the
// coldstart.Limiter allows and requests permits when they are needed. It is safe
// for concurrent use.
type coldStartGate struct {
	limiter   *coldstart.Limiter
	requester permitRequester
	clock     port.Clock
	// spawn runs fn on another goroutine.
	spawn func(fn func())
	// reportLoad receives the load report that came with a response. It must be
	// set before the first call of Acquire.
	reportLoad func(info pipeline.AttemptInfo, load port.LoadReport)

	mu        sync.Mutex
	endpoints map[string]*endpointState // by endpoint id
}

// endpointState holds the waiting attempts and the state of the permit requests
// of one endpoint. The gate's mu guards it.
type endpointState struct {
	// zone is the endpoint's availability zone; empty until a permit is first requested.
	zone string
	// holderChanges counts the announcements of a new holder of the zone's lease.
	holderChanges int
	// waiting is the number of attempts that wait for a slot or a permit.
	waiting         int
	requestInFlight bool
	// requestAgain says that another request must follow the one in flight, to
	// return permits or pass on a suspicion.
	requestAgain bool
	// nextRequestAt is the earliest time of the next request for waiting attempts;
	// requests that return permits or pass on a suspicion do not wait for it.
	// failingSince is the time of the first of consecutive failed requests, zero
	// if the last one succeeded.
	nextRequestAt time.Time
	failingSince  time.Time
	// changed is closed and replaced to make the waiting attempts try again.
	changed chan struct{}
}

func newColdStartGate(limiter *coldstart.Limiter, requester permitRequester, clock port.Clock, spawn func(fn func())) *coldStartGate {
	return &coldStartGate{limiter: limiter, requester: requester, clock: clock, spawn: spawn, endpoints: make(map[string]*endpointState)}
}

// Acquire implements pipeline.Gate. A hedge does not wait for a slot or a permit.
// The error is a *verdict.Error with NotRun.
func (g *coldStartGate) Acquire(ctx context.Context, info pipeline.AttemptInfo, e release.Endpoint) (func(pipeline.Outcome), error) {
	now := g.clock.Now()
	maxWait := min(info.Deadline.Sub(now)/slotWaitDivisor, maxSlotWait)
	if info.Cause == cost.CauseHedge {
		maxWait = 0
	}
	waitUntil := now.Add(maxWait)
	for {
		admission, err := g.limiter.Admit(g.clock.Now(), e, info.Deadline)
		if err == nil {
			return g.releaseFunc(info, e, admission), nil
		}
		if !g.waitForChange(ctx, e, info.Deadline, waitUntil, errors.Is(err, coldstart.ErrNoPermit)) {
			return nil, noSlotError(ctx, err)
		}
	}
}

// releaseFunc returns the function to call when the attempt has ended. An attempt
// that would outlast its permit is cancelled when the permit expires.
func (g *coldStartGate) releaseFunc(info pipeline.AttemptInfo, e release.Endpoint, admission *coldstart.Admission) func(pipeline.Outcome) {
	stopTimer := func() bool { return true }
	if expiresAt, bounded := admission.PermitExpiry(); bounded && expiresAt.Before(info.Deadline) && info.Cancel != nil {
		stopTimer = time.AfterFunc(expiresAt.Sub(g.clock.Now()), info.Cancel).Stop
	}
	return func(o pipeline.Outcome) {
		stopTimer()
		g.finishAttempt(info, e, admission, o)
	}
}

// noSlotError returns the error of an attempt that got no slot or permit: err is
// the limiter's reason. It has no RetryAfter: the attempt has waited already, and the
// stage may try again at once.
func noSlotError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return verdict.Wrap(ctx.Err(), verdict.CodeDeadlineExceeded, verdict.NotRun, "no place on the endpoint in time")
	}
	return verdict.Wrap(err, verdict.CodeNoCapacity, verdict.NotRun, "the endpoint has no place")
}

// waitForChange waits until the attempt should try again: after a change of the
// endpoint's state, at most for slotPollInterval. It first requests permits if
// needed, also for an attempt without time to wait, since a later one can use them.
// It returns false if the attempt should give up on this endpoint.
func (g *coldStartGate) waitForChange(ctx context.Context, e release.Endpoint, deadline, waitUntil time.Time, needsPermit bool) bool {
	remaining := waitUntil.Sub(g.clock.Now())
	changed, holderUnavailable := g.startWaiting(e, deadline, needsPermit)
	defer g.stopWaiting(e.ID)
	if remaining <= 0 || holderUnavailable {
		return false
	}
	poll := time.NewTimer(min(remaining, slotPollInterval))
	defer poll.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-poll.C:
	}
	return true
}

// startWaiting counts a waiting attempt and requests permits if it needs one.
// holderUnavailable says that the attempt needs a permit and that requests for them
// have failed for longer than maxPermitFailureTime.
func (g *coldStartGate) startWaiting(e release.Endpoint, deadline time.Time, needsPermit bool) (changed chan struct{}, holderUnavailable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.stateLocked(e.ID)
	state.waiting++
	if needsPermit && !state.requestInFlight && !g.clock.Now().Before(state.nextRequestAt) {
		g.startPermitRequestLocked(e, state, deadline)
	}
	return state.changed, needsPermit && !state.failingSince.IsZero() && g.clock.Now().Sub(state.failingSince) > maxPermitFailureTime
}

func (g *coldStartGate) stopWaiting(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stateLocked(endpoint).waiting--
}

// startPermitRequestLocked sends a permit request on another goroutine. The
// caller holds mu and ensures that no other request of the endpoint is in flight.
func (g *coldStartGate) startPermitRequestLocked(e release.Endpoint, state *endpointState, deadline time.Time) {
	state.requestInFlight = true
	state.zone = e.AvailabilityZone
	holderChanges := state.holderChanges
	g.spawn(func() { g.sendPermitRequest(e, deadline, holderChanges) })
}

// leaseHolderChanged makes the attempts that wait for permits of the zone's endpoints
// ask its new lease holder at once.
func (g *coldStartGate) leaseHolderChanged(zone string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range g.endpoints {
		if state.zone == zone {
			state.holderChanges++
			state.nextRequestAt, state.failingSince = time.Time{}, time.Time{}
			state.wakeWaiters()
		}
	}
}

// sendPermitRequest requests permits for all waiting attempts, to last until
// deadline, and applies the reply. holderChanges is the endpoint's count when the
// request was started.
func (g *coldStartGate) sendPermitRequest(e release.Endpoint, deadline time.Time, holderChanges int) {
	ctx, cancel := context.WithTimeout(context.Background(), permitRequestTimeout)
	defer cancel()
	sent := g.clock.Now()
	request := g.limiter.NewPermitRequest(sent, e.ID, g.waitingCount(e.ID), deadline)
	reply, err := g.requester.requestPermits(ctx, e, request)
	if err == nil {
		g.limiter.ApplyReply(sent, request, reply)
	}
	g.permitRequestDone(e, deadline, holderChanges, reply, err)
}

func (g *coldStartGate) waitingCount(endpoint string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stateLocked(endpoint).waiting
}

// permitRequestDone records the result of a permit request, sends the next one if
// requestAgain is set and the request succeeded, and wakes the waiting attempts. A
// failure says nothing of a lease holder announced since the request was started.
func (g *coldStartGate) permitRequestDone(e release.Endpoint, deadline time.Time, holderChanges int, reply coldstart.PermitReply, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.stateLocked(e.ID)
	state.requestInFlight = false
	state.nextRequestAt = g.clock.Now().Add(reply.RetryAfter)
	switch {
	case err != nil && state.holderChanges != holderChanges:
	case err != nil:
		state.recordRequestFailure(g.clock.Now())
	case state.requestAgain:
		state.requestAgain = false
		state.failingSince = time.Time{}
		g.startPermitRequestLocked(e, state, deadline)
	default:
		state.failingSince = time.Time{}
	}
	state.wakeWaiters()
}

// finishAttempt ends an attempt, sends a permit request if the lease holder must
// be notified, and wakes the waiting attempts.
func (g *coldStartGate) finishAttempt(info pipeline.AttemptInfo, e release.Endpoint, admission *coldstart.Admission, o pipeline.Outcome) {
	if o.Response.Load != nil {
		g.reportLoad(info, *o.Response.Load)
	}
	sendRequest := admission.Finish(g.clock.Now(), coldStartOutcome(o))
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.stateLocked(e.ID)
	switch {
	case sendRequest && state.requestInFlight:
		state.requestAgain = true
	case sendRequest:
		g.startPermitRequestLocked(e, state, info.Deadline)
	}
	state.wakeWaiters()
}

// coldStartOutcome converts an attempt's outcome. An error with a cause comes from
// the transport; an endpoint's own refusal has no cause.
func coldStartOutcome(o pipeline.Outcome) coldstart.Outcome {
	outcome := coldstart.Outcome{Load: o.Response.Load}
	if o.Err == nil {
		outcome.Stopped, outcome.Answered = true, true
		return outcome
	}
	failure := verdict.From(o.Err)
	outcome.Stopped = failure.Verdict == verdict.NotRun
	outcome.ConnectionClosed = failure.Code == verdict.CodeEndpointFailed && failure.Cause != nil
	return outcome
}

// isBackingOff reports whether the endpoint may be cold and waiting attempts may
// not request permits for it yet, so that attempts should use another endpoint.
func (g *coldStartGate) isBackingOff(endpoint string) bool {
	g.mu.Lock()
	state, ok := g.endpoints[endpoint]
	backingOff := ok && g.clock.Now().Before(state.nextRequestAt)
	g.mu.Unlock()
	return backingOff && !g.limiter.Status(endpoint).Warm
}

// stateLocked returns the endpoint's state and creates it if there is none. The
// caller holds mu.
func (g *coldStartGate) stateLocked(endpoint string) *endpointState {
	state, ok := g.endpoints[endpoint]
	if !ok {
		state = &endpointState{changed: make(chan struct{})}
		g.endpoints[endpoint] = state
	}
	return state
}

// recordRequestFailure records a failed permit request. The caller holds the gate's
// mu.
func (s *endpointState) recordRequestFailure(now time.Time) {
	s.nextRequestAt = now.Add(holderRetryDelay)
	if s.failingSince.IsZero() {
		s.failingSince = now
	}
}

// wakeWaiters makes all waiting attempts try again. The caller holds the gate's mu.
func (s *endpointState) wakeWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

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

// Bounds of waiting for a place on an endpoint.
const (
	// slotWaitDivisor is the part of the time left, one in slotWaitDivisor, that
	// an attempt waits for a place before another endpoint is tried.
	slotWaitDivisor = 4
	maxSlotWait     = time.Second
	// slotPollInterval is the longest time between two looks for a place.
	slotPollInterval = 50 * time.Millisecond
	// permitRequestTimeout bounds one message to a permit holder.
	permitRequestTimeout = 500 * time.Millisecond
	// holderRetryDelay is how long an endpoint is avoided after its zone's permit
	// holder could not be asked.
	holderRetryDelay = time.Second
	// maxHolderUnreachable is how long the holder could not be asked when attempts no
	// longer wait for it.
	maxHolderUnreachable = 10 * time.Second
)

// permitRequester brings an Ask to the permit holder of an availability zone.
type permitRequester interface {
	requestPermits(ctx context.Context, e release.Endpoint, a coldstart.PermitRequest) (coldstart.PermitReply, error)
}

// coldStartGate is the pipeline.Gate: it lets attempts in as the coldstart.Limiter
// allows, and asks for permits where it needs them. It is safe for concurrent use.
type coldStartGate struct {
	limiter   *coldstart.Limiter
	requester permitRequester
	clock     port.Clock
	spawn     func(fn func())
	// report takes the load that came with an answer.
	reportLoad func(w pipeline.AttemptInfo, l port.LoadReport)

	mu        sync.Mutex
	endpoints map[string]*endpointState
}

// door is one endpoint's waiting attempts and the asking for them.
type endpointState struct {
	waiting         int
	requestInFlight bool
	// again says that there is more to tell once the Ask under way has ended.
	requestAgain bool
	// nextRequestAt is when the holder may be asked again; unreachableSince is when it
	// could first not be asked, zero if it could the last time.
	nextRequestAt    time.Time
	unreachableSince time.Time
	changed          chan struct{}
}

func newColdStartGate(core *coldstart.Limiter, holder permitRequester, clock port.Clock, spawn func(fn func())) *coldStartGate {
	return &coldStartGate{limiter: core, requester: holder, clock: clock, spawn: spawn, endpoints: make(map[string]*endpointState)}
}

// Enter implements pipeline.Gate.
func (g *coldStartGate) Acquire(ctx context.Context, w pipeline.AttemptInfo, e release.Endpoint) (func(pipeline.Outcome), error) {
	now := g.clock.Now()
	patience := min(w.Deadline.Sub(now)/slotWaitDivisor, maxSlotWait)
	if w.Cause == cost.CauseHedge {
		patience = 0
	}
	giveUp := now.Add(patience)
	for {
		pass, err := g.limiter.Admit(g.clock.Now(), e, w.Deadline)
		if err == nil {
			return g.releaseFunc(w, e, pass), nil
		}
		if !g.waitForChange(ctx, e, w.Deadline, giveUp, errors.Is(err, coldstart.ErrNoPermit)) {
			return nil, noSlotError(ctx, err)
		}
	}
}

// passed returns the function that ends the attempt. An attempt that would
// outlast its permit is cancelled in time.
func (g *coldStartGate) releaseFunc(w pipeline.AttemptInfo, e release.Endpoint, pass *coldstart.Admission) func(pipeline.Outcome) {
	stop := func() bool { return true }
	if until, bounded := pass.PermitExpiry(); bounded && until.Before(w.Deadline) && w.Cancel != nil {
		stop = time.AfterFunc(until.Sub(g.clock.Now()), w.Cancel).Stop
	}
	return func(o pipeline.Outcome) {
		stop()
		g.finishAttempt(w, e, pass, o)
	}
}

func noSlotError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return verdict.Wrap(ctx.Err(), verdict.CodeDeadlineExceeded, verdict.NotRun, "no place on the endpoint in time")
	}
	return verdict.Wrap(err, verdict.CodeNoCapacity, verdict.NotRun, "the endpoint has no place").WithRetryAfter(holderRetryDelay)
}

// wait waits until it is worth looking again; false if the wait is over.
func (g *coldStartGate) waitForChange(ctx context.Context, e release.Endpoint, deadline, giveUp time.Time, cold bool) bool {
	left := giveUp.Sub(g.clock.Now())
	changed, gone := g.startWaiting(e, deadline, cold)
	defer g.stopWaiting(e.ID)
	if left <= 0 || gone {
		return false
	}
	look := time.NewTimer(min(left, slotPollInterval))
	defer look.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-look.C:
	}
	return true
}

// join counts a waiting attempt and asks for a permit if one is needed. gone
// says that the holder could not be asked for long.
func (g *coldStartGate) startWaiting(e release.Endpoint, deadline time.Time, cold bool) (changed chan struct{}, gone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.stateLocked(e.ID)
	d.waiting++
	if cold && !d.requestInFlight && !g.clock.Now().Before(d.nextRequestAt) {
		g.startPermitRequestLocked(e, d, deadline)
	}
	return d.changed, cold && !d.unreachableSince.IsZero() && g.clock.Now().Sub(d.unreachableSince) > maxHolderUnreachable
}

func (g *coldStartGate) stopWaiting(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stateLocked(endpoint).waiting--
}

// startPermitRequestLocked sends an Ask on a goroutine of its own. One is under way at a time.
func (g *coldStartGate) startPermitRequestLocked(e release.Endpoint, d *endpointState, deadline time.Time) {
	d.requestInFlight = true
	g.spawn(func() { g.sendPermitRequest(e, deadline) })
}

func (g *coldStartGate) sendPermitRequest(e release.Endpoint, deadline time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), permitRequestTimeout)
	defer cancel()
	sent := g.clock.Now()
	ask := g.limiter.NewPermitRequest(sent, e.ID, g.waitingCount(e.ID), deadline)
	reply, err := g.requester.requestPermits(ctx, e, ask)
	if err == nil {
		g.limiter.ApplyReply(sent, ask, reply)
	}
	g.permitRequestDone(e, deadline, reply, err)
}

func (g *coldStartGate) waitingCount(endpoint string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stateLocked(endpoint).waiting
}

// asked notes the end of an Ask and wakes who waits.
func (g *coldStartGate) permitRequestDone(e release.Endpoint, deadline time.Time, r coldstart.PermitReply, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.stateLocked(e.ID)
	d.requestInFlight = false
	d.nextRequestAt = g.clock.Now().Add(r.RetryAfter)
	switch {
	case err != nil:
		d.markHolderUnreachable(g.clock.Now())
	case d.requestAgain:
		d.requestAgain = false
		d.unreachableSince = time.Time{}
		g.startPermitRequestLocked(e, d, deadline)
	default:
		d.unreachableSince = time.Time{}
	}
	d.wakeWaiters()
}

// leave ends an attempt, tells the holder what it has to know and lets the
// next one look for a place.
func (g *coldStartGate) finishAttempt(w pipeline.AttemptInfo, e release.Endpoint, pass *coldstart.Admission, o pipeline.Outcome) {
	if o.Answer.Load != nil {
		g.reportLoad(w, *o.Answer.Load)
	}
	tell := pass.Finish(g.clock.Now(), coldStartOutcome(o))
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.stateLocked(e.ID)
	switch {
	case tell && d.requestInFlight:
		d.requestAgain = true
	case tell:
		g.startPermitRequestLocked(e, d, w.Deadline)
	}
	d.wakeWaiters()
}

// coldStartOutcome tells what an attempt's outcome means for the endpoint. Only a
// transport's failure has a cause; an endpoint's own refusal has none.
func coldStartOutcome(o pipeline.Outcome) coldstart.Outcome {
	end := coldstart.Outcome{Load: o.Answer.Load}
	if o.Err == nil {
		end.Stopped, end.Answered = true, true
		return end
	}
	failure := verdict.From(o.Err)
	end.Stopped = failure.Verdict == verdict.NotRun
	end.ConnectionClosed = failure.Code == verdict.CodeEndpointFailed && failure.Cause != nil
	return end
}

// closed reports whether attempts should rather go to another endpoint.
func (g *coldStartGate) isBackingOff(endpoint string) bool {
	g.mu.Lock()
	d, ok := g.endpoints[endpoint]
	shut := ok && g.clock.Now().Before(d.nextRequestAt)
	g.mu.Unlock()
	return shut && !g.limiter.Status(endpoint).Warm
}

func (g *coldStartGate) stateLocked(endpoint string) *endpointState {
	d, ok := g.endpoints[endpoint]
	if !ok {
		d = &endpointState{changed: make(chan struct{})}
		g.endpoints[endpoint] = d
	}
	return d
}

// lost notes that the holder could not be asked.
func (d *endpointState) markHolderUnreachable(now time.Time) {
	d.nextRequestAt = now.Add(holderRetryDelay)
	if d.unreachableSince.IsZero() {
		d.unreachableSince = now
	}
}

// wake lets all waiting attempts look again.
func (d *endpointState) wakeWaiters() {
	close(d.changed)
	d.changed = make(chan struct{})
}

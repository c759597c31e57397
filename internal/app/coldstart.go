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
	// placeWaitParts is the part of the time left, one in placeWaitParts, that
	// an attempt waits for a place before another endpoint is tried.
	placeWaitParts = 4
	placeWaitMax   = time.Second
	// placeLook is the longest time between two looks for a place.
	placeLook = 50 * time.Millisecond
	// permitTimeout bounds one message to a permit holder.
	permitTimeout = 500 * time.Millisecond
	// noHolderPause is how long an endpoint is avoided after its zone's permit
	// holder could not be asked.
	noHolderPause = time.Second
	// goneAfter is how long the holder could not be asked when attempts no
	// longer wait for it.
	goneAfter = 10 * time.Second
)

// permitAsker brings an Ask to the permit holder of an availability zone.
type permitAsker interface {
	ask(ctx context.Context, e release.Endpoint, a coldstart.PermitRequest) (coldstart.PermitReply, error)
}

// coldGate is the pipeline.Gate: it lets attempts in as the coldstart.Limiter
// allows, and asks for permits where it needs them. It is safe for concurrent use.
type coldGate struct {
	core   *coldstart.Limiter
	holder permitAsker
	clock  port.Clock
	spawn  func(fn func())
	// report takes the load that came with an answer.
	report func(w pipeline.AttemptInfo, l port.LoadReport)

	mu    sync.Mutex
	doors map[string]*door
}

// door is one endpoint's waiting attempts and the asking for them.
type door struct {
	waiting int
	asking  bool
	// again says that there is more to tell once the Ask under way has ended.
	again bool
	// shutTill is when the holder may be asked again; goneSince is when it
	// could first not be asked, zero if it could the last time.
	shutTill  time.Time
	goneSince time.Time
	changed   chan struct{}
}

func newColdGate(core *coldstart.Limiter, holder permitAsker, clock port.Clock, spawn func(fn func())) *coldGate {
	return &coldGate{core: core, holder: holder, clock: clock, spawn: spawn, doors: make(map[string]*door)}
}

// Enter implements pipeline.Gate.
func (g *coldGate) Acquire(ctx context.Context, w pipeline.AttemptInfo, e release.Endpoint) (func(pipeline.Outcome), error) {
	now := g.clock.Now()
	patience := min(w.Deadline.Sub(now)/placeWaitParts, placeWaitMax)
	if w.Cause == cost.CauseHedge {
		patience = 0
	}
	giveUp := now.Add(patience)
	for {
		pass, err := g.core.Admit(g.clock.Now(), e, w.Deadline)
		if err == nil {
			return g.passed(w, e, pass), nil
		}
		if !g.wait(ctx, e, w.Deadline, giveUp, errors.Is(err, coldstart.ErrNoPermit)) {
			return nil, noPlace(ctx, err)
		}
	}
}

// passed returns the function that ends the attempt. An attempt that would
// outlast its permit is cancelled in time.
func (g *coldGate) passed(w pipeline.AttemptInfo, e release.Endpoint, pass *coldstart.Admission) func(pipeline.Outcome) {
	stop := func() bool { return true }
	if until, bounded := pass.PermitExpiry(); bounded && until.Before(w.Deadline) && w.Cancel != nil {
		stop = time.AfterFunc(until.Sub(g.clock.Now()), w.Cancel).Stop
	}
	return func(o pipeline.Outcome) {
		stop()
		g.leave(w, e, pass, o)
	}
}

func noPlace(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return verdict.Wrap(ctx.Err(), verdict.CodeDeadlineExceeded, verdict.NotRun, "no place on the endpoint in time")
	}
	return verdict.Wrap(err, verdict.CodeNoCapacity, verdict.NotRun, "the endpoint has no place").WithRetryAfter(noHolderPause)
}

// wait waits until it is worth looking again; false if the wait is over.
func (g *coldGate) wait(ctx context.Context, e release.Endpoint, deadline, giveUp time.Time, cold bool) bool {
	left := giveUp.Sub(g.clock.Now())
	changed, gone := g.join(e, deadline, cold)
	defer g.quit(e.ID)
	if left <= 0 || gone {
		return false
	}
	look := time.NewTimer(min(left, placeLook))
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
func (g *coldGate) join(e release.Endpoint, deadline time.Time, cold bool) (changed chan struct{}, gone bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.door(e.ID)
	d.waiting++
	if cold && !d.asking && !g.clock.Now().Before(d.shutTill) {
		g.startAsk(e, d, deadline)
	}
	return d.changed, cold && !d.goneSince.IsZero() && g.clock.Now().Sub(d.goneSince) > goneAfter
}

func (g *coldGate) quit(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.door(endpoint).waiting--
}

// startAsk sends an Ask on a goroutine of its own. One is under way at a time.
func (g *coldGate) startAsk(e release.Endpoint, d *door, deadline time.Time) {
	d.asking = true
	g.spawn(func() { g.exchange(e, deadline) })
}

func (g *coldGate) exchange(e release.Endpoint, deadline time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	sent := g.clock.Now()
	ask := g.core.NewPermitRequest(sent, e.ID, g.wanted(e.ID), deadline)
	reply, err := g.holder.ask(ctx, e, ask)
	if err == nil {
		g.core.ApplyReply(sent, ask, reply)
	}
	g.asked(e, deadline, reply, err)
}

func (g *coldGate) wanted(endpoint string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.door(endpoint).waiting
}

// asked notes the end of an Ask and wakes who waits.
func (g *coldGate) asked(e release.Endpoint, deadline time.Time, r coldstart.PermitReply, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.door(e.ID)
	d.asking = false
	d.shutTill = g.clock.Now().Add(r.RetryAfter)
	switch {
	case err != nil:
		d.lost(g.clock.Now())
	case d.again:
		d.again = false
		d.goneSince = time.Time{}
		g.startAsk(e, d, deadline)
	default:
		d.goneSince = time.Time{}
	}
	d.wake()
}

// leave ends an attempt, tells the holder what it has to know and lets the
// next one look for a place.
func (g *coldGate) leave(w pipeline.AttemptInfo, e release.Endpoint, pass *coldstart.Admission, o pipeline.Outcome) {
	if o.Answer.Load != nil {
		g.report(w, *o.Answer.Load)
	}
	tell := pass.Finish(g.clock.Now(), endOf(o))
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.door(e.ID)
	switch {
	case tell && d.asking:
		d.again = true
	case tell:
		g.startAsk(e, d, w.Deadline)
	}
	d.wake()
}

// endOf tells what an attempt's outcome means for the endpoint. Only a
// transport's failure has a cause; an endpoint's own refusal has none.
func endOf(o pipeline.Outcome) coldstart.Outcome {
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
func (g *coldGate) closed(endpoint string) bool {
	g.mu.Lock()
	d, ok := g.doors[endpoint]
	shut := ok && g.clock.Now().Before(d.shutTill)
	g.mu.Unlock()
	return shut && !g.core.Status(endpoint).Warm
}

func (g *coldGate) door(endpoint string) *door {
	d, ok := g.doors[endpoint]
	if !ok {
		d = &door{changed: make(chan struct{})}
		g.doors[endpoint] = d
	}
	return d
}

// lost notes that the holder could not be asked.
func (d *door) lost(now time.Time) {
	d.shutTill = now.Add(noHolderPause)
	if d.goneSince.IsZero() {
		d.goneSince = now
	}
}

// wake lets all waiting attempts look again.
func (d *door) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

package exchange

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/balance"
	"github.com/pimentorill/pimentorill/internal/core/catalog"
	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/health"
	"github.com/pimentorill/pimentorill/internal/port"
)

// A sound endpoint may fall silent for a while and go on, so silence alone never ends a
// response. An attempt at a request that may be repeated is doubted while its endpoint is
// unreachable, its stream makes no progress or its time is up. It is given up only once
// its successor is certain: the results of the stages are there, an endpoint is picked and
// the retry is taken from the budget. Until then it goes on, while a successor is looked
// for. Once an attempt was given up, refusals by other endpoints don't end the exchange: it
// tries on until its deadline.

const (
	// failoverInterval is the first time between two searches for a successor. It grows by
	// half up to maxFailoverInterval: many exchanges may search at once.
	failoverInterval    = 100 * time.Millisecond
	maxFailoverInterval = 500 * time.Millisecond
	// maxSilence is the time from which an endpoint that stays unreachable counts as gone:
	// an exchange whose response has not begun then ends without a successor too, so that
	// the caller can retry.
	maxSilence = 4 * time.Second
	// maxFailedPlans bounds the times that the stages of an exchange fail as they run
	// again; the time between two of them doubles.
	maxFailedPlans = 3
)

// Causes for which this host gives up an attempt.
var (
	errTooSlow     = errors.New("no answer within the attempt's time")
	errStalled     = errors.New("stream makes no progress")
	errUnreachable = errors.New("endpoint can't be reached")
)

// errNotResumable ends a stream of which the caller has an event that it would get again.
var errNotResumable = verdict.New(verdict.CodeEndpointFailed, verdict.MayHaveRun, "stream can't be resumed after an event without an id")

// failover watches one attempt and looks for its successor while the attempt is doubted.
type failover struct {
	run      *exchangeRun
	endpoint *catalog.Endpoint
	// path is that on which the attempt was made.
	path health.Path
	// ctx is the context of the attempt; cancel gives the attempt up.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// wasUnreachable is set from the time at which the endpoint is found unreachable until
	// it responds.
	wasUnreachable atomic.Bool

	mu sync.Mutex
	// ended is set once the attempt has ended: no further search starts.
	ended bool
	// doubts are the reasons to give the attempt up; a search runs while there are any.
	doubts    []doubt
	searching bool
	searches  sync.WaitGroup
	// gaveUp is why a search gave the attempt up; nil if none did.
	gaveUp error
	// stops end what may start a search.
	stops []func()
}

// doubt is a reason to give up an attempt for as long as holds returns true.
type doubt struct {
	cause error
	holds func() bool
}

// watch returns the context of an attempt at the endpoint and its failover, which never
// gives up the attempt at a request that may not be repeated. The caller must call end.
func (r *exchangeRun) watch(parent context.Context, e *catalog.Endpoint) (context.Context, *failover) {
	ctx, cancel := context.WithCancelCause(parent)
	f := &failover{run: r, endpoint: e, ctx: ctx, cancel: cancel}
	if !r.route.Repeatable() {
		f.ended = true
		return ctx, f
	}
	f.path = r.cfg.Health.PathTo(e)
	f.watchReachability()
	if r.route.Kind == catalog.Idempotent {
		timeout := max(minAttemptTimeout, time.Duration(attemptTimeoutTargets*float64(r.route.TargetLatency)))
		f.after(timeout, errTooSlow, func() bool { return true })
	}
	return ctx, f
}

// after doubts the attempt once d has passed and the doubt holds. The timer returned may be
// reset.
func (f *failover) after(d time.Duration, cause error, holds func() bool) *time.Timer {
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(d, func() {
		<-ready
		if !holds() && f.ctx.Err() == nil {
			timer.Reset(failoverInterval)
			return
		}
		f.raise(doubt{cause, holds})
	})
	close(ready)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, func() { timer.Stop() })
	return timer
}

// watchReachability doubts the attempt once its endpoint becomes unreachable.
func (f *failover) watchReachability() {
	reachable, release := f.run.cfg.Health.WhileReachable(f.ctx, f.endpoint, f.path)
	stop := context.AfterFunc(reachable, func() {
		f.raise(doubt{errUnreachable, f.unreachable})
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, func() { stop() }, release)
}

// unreachable reports whether the endpoint is unreachable, or was until its entry left
// the snapshot: then nobody probes it any more, which is no sign of life.
func (f *failover) unreachable() bool {
	if f.run.cfg.Health.Unreachable(f.endpoint, f.path) {
		f.wasUnreachable.Store(true)
		return true
	}
	if f.wasUnreachable.Load() && f.run.isUsable(f.endpoint.Incarnation()) {
		f.wasUnreachable.Store(false)
	}
	return f.wasUnreachable.Load()
}

// isUsable reports whether an endpoint of the service is in the newest snapshot.
func (r *exchangeRun) isUsable(i catalog.Incarnation) bool {
	return slices.ContainsFunc(r.cfg.Snapshot().Usable[r.service.Name], func(e *catalog.Endpoint) bool { return e.Incarnation() == i })
}

// raise adds a doubt and starts a search for a successor unless one runs.
func (f *failover) raise(d doubt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended || f.ctx.Err() != nil {
		return
	}
	f.doubts = append(f.doubts, d)
	if !f.searching {
		f.searching = true
		f.searches.Go(f.search)
	}
}

// currentDoubt returns a doubt that holds and drops those that don't. Without any it
// ends the search.
func (f *failover) currentDoubt() (doubt, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.doubts = slices.DeleteFunc(f.doubts, func(d doubt) bool { return !d.holds() })
	if len(f.doubts) == 0 || f.ctx.Err() != nil {
		f.searching = false
		return doubt{}, false
	}
	return f.doubts[0], true
}

// search looks for a successor until there is one and gives the attempt up then.
func (f *failover) search() {
	var unreachableSince time.Time
	rewatch := false
	for interval := failoverInterval; ; interval = min(maxFailoverInterval, interval*3/2) {
		d, ok := f.currentDoubt()
		if !ok {
			break
		}
		if f.run.secureSuccessor(f.ctx, d.holds) {
			f.giveUp(d.cause)
			return
		}
		now := f.run.cfg.Clock.Now()
		switch {
		case !f.unreachable():
			unreachableSince = time.Time{}
		case unreachableSince.IsZero():
			unreachableSince, rewatch = now, true
		case now.Sub(unreachableSince) >= maxSilence && !f.run.streamStarted():
			f.giveUp(errUnreachable)
			return
		}
		port.Sleep(f.ctx, interval)
	}
	if rewatch && f.ctx.Err() == nil {
		f.watchReachability()
	}
}

// giveUp ends the attempt. Only a search calls it.
func (f *failover) giveUp(cause error) {
	f.gaveUp = cause
	f.cancel(cause)
}

// end ends the watch and the context of the attempt, and waits for a search that runs. It
// returns why the attempt was given up, nil if it was not.
func (f *failover) end() error {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	f.cancel(nil)
	f.searches.Wait()
	for _, stop := range f.stops {
		stop()
	}
	return f.gaveUp
}

// secureSuccessor makes the next attempt certain and reports whether it is. It runs
// concurrently with the attempt, whose context is ctx, and does nothing once the attempt
// is no longer doubted.
func (r *exchangeRun) secureSuccessor(ctx context.Context, doubted func() bool) bool {
	if r.cfg.Crashes.Check(r.request) != nil || !r.hedging.beginReplacing() {
		return false
	}
	defer func() {
		if r.successor == nil {
			r.hedging.endReplacing()
		}
	}()
	if r.executedAttempts+1 >= r.route.MaxAttempts || !r.mayGoOn() || !r.cfg.Balancer.CanPick(r.eligibleEndpoints(), r.criteria(r.currentResults().zone)) {
		return false
	}
	if !r.takeRetry() || !r.resultsAvailable() && r.remakeResults(ctx) != nil || !doubted() {
		return false
	}
	// Endpoints may have left while the stages ran.
	r.successor = r.cfg.Balancer.Pick(r.eligibleEndpoints(), r.criteria(r.currentResults().zone))
	return r.successor != nil
}

// takeRetry takes one retry from the service's budget, unless one is left of an attempt
// that did not take place.
func (r *exchangeRun) takeRetry() bool {
	r.retryTaken = r.retryTaken || r.cfg.RetryBudgets.TryTake(r.service.Name, 1)
	return r.retryTaken
}

// nextEndpoint returns the endpoint of the next attempt, which the balancer counts as
// sent to, once the results of the stages are available. lastErr is the error of the last
// attempt; nil before the first one. The error is a *verdict.Error. An exchange that must
// go on gets one only at the end of ctx, or if its stages fail again and again.
func (r *exchangeRun) nextEndpoint(ctx context.Context, lastErr error) (*catalog.Endpoint, error) {
	if !r.mayGoOn() { // the event came after the successor was picked
		return nil, errNotResumable
	}
	for {
		if err := r.checkSend(); err != nil {
			return nil, err
		}
		err := r.rerunStages(ctx, lastErr)
		if err == nil {
			if err := r.checkSend(); err != nil {
				return nil, err
			}
			lastErr = nil
			endpoints, criteria := r.candidates()
			if e := r.takeSuccessor(); e != nil {
				return e, nil
			}
			if e := r.cfg.Balancer.Pick(endpoints, criteria); e != nil {
				return e, nil
			}
			err = r.noEndpointError()
			if r.mustGoOn {
				clear(r.attempted) // an endpoint that refused once, or was silent, may do
			}
		}
		if !r.mustGoOn || r.failedPlans >= maxFailedPlans || ctx.Err() != nil || r.ending.Err() != nil {
			return nil, err
		}
		r.pause(ctx, failoverInterval<<r.failedPlans)
	}
}

// checkSend returns a *verdict.Error if the exchange is not to be sent to another endpoint: it may
// crash it, or this host would cut it.
func (r *exchangeRun) checkSend() error {
	if err := r.cfg.Crashes.Check(r.request); err != nil {
		return err
	}
	return r.checkTimeLeft()
}

// pause waits until d has passed, ctx ends or waiting exchanges are refused.
func (r *exchangeRun) pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.ending, cancel)()
	port.Sleep(ctx, d)
}

// takeSuccessor returns the successor of the attempt that was given up, nil if there is
// none or the exchange may not go on there: the stream may have begun, at another software
// version, after the successor was picked.
func (r *exchangeRun) takeSuccessor() *catalog.Endpoint {
	e := r.successor
	r.successor = nil
	if e == nil {
		return nil
	}
	if slices.ContainsFunc(r.eligibleEndpoints(), func(o *catalog.Endpoint) bool { return o.Incarnation() == e.Incarnation() }) {
		return e
	}
	r.cfg.Balancer.Done(e, balance.Cancelled, nil)
	return nil
}

// releaseSuccessor gives a successor back that is not needed.
func (r *exchangeRun) releaseSuccessor() {
	if r.successor != nil {
		r.cfg.Balancer.Done(r.successor, balance.Cancelled, nil)
		r.successor = nil
	}
}

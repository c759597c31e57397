// Package admission decides which requests a host runs, and when. It refuses a
// request that is likely to miss its deadline before any work is done for it.
// Each pipeline has a limit of concurrent runs on the host, which its requests
// use in proportion to their customers' shares, with the earliest deadline
// first within a customer. Capacity that a customer leaves unused is available
// to the others.
package admission

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pimentorill/pimentorill/internal/core/verdict"
	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// admitQuantile is the quantile of the run duration that must fit before
	// the deadline for a request to start.
	admitQuantile = 0.75
	// abandonQuantile is the quantile of the remaining time of a run that must
	// fit before the deadline for the run to continue.
	abandonQuantile = 0.05
	// maxWaitFraction is the largest fraction of a request's slack that its
	// predicted wait in the queue may take. The slack is the time to the
	// deadline less the admitQuantile of the run duration.
	maxWaitFraction = 0.5
	// minRetryAfter is the shortest retry delay that a refusal asks for.
	minRetryAfter = 250 * time.Millisecond
)

// Config holds the limits of a Queue.
type Config struct {
	// QueueLimit is the maximum number of requests queued on the host, for all
	// pipelines together.
	QueueLimit int
	// InitialLimit, MinLimit and MaxLimit set the limit of concurrent runs per
	// pipeline on this host. SetLimits replaces InitialLimit and MaxLimit for one
	// pipeline.
	InitialLimit, MinLimit, MaxLimit int
	// StaticLimit disables the adaptation of the limit.
	StaticLimit bool
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	Customer string
	// Share is the customer's share of the capacity relative to the shares of
	// the other customers; values below 1 count as 1.
	Share    int
	Pipeline string
	// Deadline is when the run must have ended.
	Deadline time.Time
}

// Outcome is how a run ended.
type Outcome uint8

const (
	// Failed is a run that ended early for a reason other than its deadline. Its
	// durations are not recorded.
	Failed Outcome = iota
	// Completed is a run that delivered its complete response before the
	// deadline.
	Completed
	// DeadlineMissed is a run that was abandoned because of its deadline, or
	// completed after it.
	DeadlineMissed
)

// Queue is a host's admission queue. It is safe for concurrent use.
type Queue struct {
	clock port.Clock

	// mu also guards the schedulers, their flows and limiters, and the Grants.
	mu  sync.Mutex
	rng *rand.Rand
	cfg Config
	// schedulers holds the scheduler of each pipeline, by pipeline name.
	schedulers map[string]*scheduler
	// waiting is the number of queued requests of all pipelines.
	waiting int
	// notifications holds the calls that report results to waiters; they are
	// made after mu is released.
	notifications []func()
}

// New returns an empty Queue. The Queue uses rng for jitter in retry delays,
// under its own lock.
func New(cfg Config, clock port.Clock, rng *rand.Rand) *Queue {
	return &Queue{clock: clock, rng: rng, cfg: cfg, schedulers: make(map[string]*scheduler)}
}

// SetQueueLimit sets the maximum number of requests queued on the host.
// Requests that are already queued stay queued.
func (q *Queue) SetQueueLimit(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cfg.QueueLimit = n
}

// SetLimits sets the initial value and the maximum of a pipeline's limit of
// concurrent runs. The current limit keeps its ratio to the initial value, and
// the queueing delay above which it decreases depends on that ratio. Values
// below 1 count as 1.
func (q *Queue) SetLimits(pipeline string, initialLimit, maxLimit int) {
	q.mu.Lock()
	defer q.unlockAndNotify()
	s := q.schedulerFor(pipeline)
	s.limiter.rescale(float64(max(1, initialLimit)), float64(max(1, maxLimit)))
	q.dispatch(q.clock.Now(), s)
}

// RemainingTime returns the given quantile, from 0 to 1, of the recently
// measured time from the start of a stage to the end of the run, or 0 if there
// are too few samples. Stages count from 0.
func (q *Queue) RemainingTime(pipeline string, stage int, quantile float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.schedulerFor(pipeline).remainingTime(q.clock.Now(), stage, quantile)
}

// MinRemainingTime returns the time that nearly every run needs from the start
// of a stage to the end of the run, or 0 if there are too few samples. A run
// with less time left is almost certain to miss its deadline.
func (q *Queue) MinRemainingTime(pipeline string, stage int) time.Duration {
	return q.RemainingTime(pipeline, stage, abandonQuantile)
}

// RecordLoad records the load that an endpoint reported with its response for a
// stage.
func (q *Queue) RecordLoad(pipeline string, stage int, load port.LoadReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.schedulerFor(pipeline).limiter.recordLoad(stage, load.Waiting, load.Slots)
}

// PipelineStatus is the admission state of one pipeline.
type PipelineStatus struct {
	Pipeline string `json:"pipeline"`
	// Limit is the current limit of concurrent runs, rounded down, and Running
	// the number of runs in progress.
	Limit   int `json:"limit"`
	Running int `json:"running"`
	// Waiting is the number of queued requests.
	Waiting int `json:"waiting"`
	// RunDurationMs is the admitQuantile (75 %) of the recent durations of whole
	// runs, in milliseconds; 0 if there are too few samples.
	RunDurationMs int64 `json:"ahead_ms"`
}

// Status returns the state of all pipelines that the Queue has a scheduler for,
// sorted by name. A pipeline gets one with its first request, limit, load
// report or query for the remaining time.
func (q *Queue) Status() []PipelineStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []PipelineStatus
	for name, s := range q.schedulers {
		runDuration := s.remainingTime(q.clock.Now(), 0, admitQuantile)
		out = append(out, PipelineStatus{name, int(s.limiter.limit), s.running, s.waitingCount(), runDuration.Milliseconds()})
	}
	slices.SortFunc(out, func(a, b PipelineStatus) int { return strings.Compare(a.Pipeline, b.Pipeline) })
	return out
}

// Admit blocks until the request may run, is refused or ctx ends. The error is
// a *verdict.Error with verdict NotRun; its code is CodeDeadlineExceeded,
// CodeNoCapacity, CodeShareExceeded or CodeCallerCancelled. The caller must
// call Done on the Grant.
func (q *Queue) Admit(ctx context.Context, r Request) (*Grant, error) {
	type result struct {
		grant *Grant
		err   error
	}
	done := make(chan result, 1)
	ticket := q.Enqueue(r, func(g *Grant, err error) { done <- result{g, err} })
	for {
		timer := time.NewTimer(q.timeToExpiry(ticket))
		select {
		case res := <-done:
			timer.Stop()
			return res.grant, res.err
		case <-ctx.Done():
			q.cancel(ticket)
		case <-timer.C:
			q.Expire()
		}
		timer.Stop()
	}
}

// Enqueue queues or refuses a request. It calls notify exactly once, with a
// Grant or a *verdict.Error, possibly before Enqueue returns and never with the
// Queue locked. Enqueue sets no timer: the caller calls Expire from time to
// time, so that a queued request is refused once it is likely to miss its
// deadline.
func (q *Queue) Enqueue(r Request, notify func(*Grant, error)) *Ticket {
	q.mu.Lock()
	defer q.unlockAndNotify()
	now := q.clock.Now()
	s := q.schedulerFor(r.Pipeline)
	f := s.flowFor(r)
	s.raiseIdleStartTag(f)
	w := &waiter{request: r, flow: f, scheduler: s, heapIndex: -1, notify: notify}
	if err := q.checkAdmission(now, w); err != nil {
		q.addNotification(w, nil, err)
		return &Ticket{w}
	}
	f.push(w)
	q.waiting++
	q.dispatch(now, s)
	return &Ticket{w}
}

// Ticket identifies a request passed to Enqueue.
type Ticket struct{ waiter *waiter }

// Expire refuses all queued requests that are likely to miss their deadline
// even if they start now.
func (q *Queue) Expire() {
	q.mu.Lock()
	defer q.unlockAndNotify()
	now := q.clock.Now()
	for _, s := range q.schedulers {
		for _, f := range s.flows {
			q.expire(now, s, f)
		}
	}
}

// expire refuses the queued requests of one flow that are likely to miss their
// deadline. The caller holds q.mu.
func (q *Queue) expire(now time.Time, s *scheduler, f *flow) {
	for len(f.queue) > 0 {
		first := f.queue[0]
		if !likelyMissesDeadline(now, s, first.request.Deadline) {
			return
		}
		f.pop()
		q.waiting--
		q.addNotification(first, nil, q.noCapacityError(s, "the deadline cannot be made any more"))
	}
}

// checkAdmission returns the error with which the request is refused, or nil if
// it may be queued. If the queue is full, it may evict another request. The
// caller holds q.mu.
func (q *Queue) checkAdmission(now time.Time, w *waiter) error {
	s, f := w.scheduler, w.flow
	if likelyMissesDeadline(now, s, w.request.Deadline) {
		return verdict.New(verdict.CodeDeadlineExceeded, verdict.NotRun, "runs of this pipeline take longer now than the deadline allows").WithRetryAfter(s.timeToNextWindow(now))
	}
	slack := max(0, w.request.Deadline.Sub(now)-s.remainingTime(now, 0, admitQuantile))
	wait := s.predictWait(s.requestsAhead(f, f.countDueBy(w.request.Deadline)))
	if wait > time.Duration(maxWaitFraction*float64(slack)) {
		return q.capacityError(s, f, "the queue is too long for the deadline")
	}
	if q.waiting < q.cfg.QueueLimit || s.limiter.checkLimit(s.running) {
		return nil
	}
	return q.evictFor(w)
}

// evictFor makes room for w in the full queue: it evicts the request with the
// latest deadline from the flow with the highest load per share among those
// with queued requests. If that flow's load per share is not higher than that
// of w's flow, it evicts none and returns the error with which w is refused.
// The caller holds q.mu.
func (q *Queue) evictFor(w *waiter) error {
	var heaviest *flow
	for _, s := range q.schedulers {
		for _, f := range s.flows {
			if len(f.queue) > 0 && (heaviest == nil || hasHigherLoad(f, heaviest)) {
				heaviest = f
			}
		}
	}
	if heaviest == nil || heaviest == w.flow || heaviest.loadPerShare() <= w.flow.loadPerShare() {
		return q.capacityError(w.scheduler, w.flow, "the queue is full")
	}
	evicted := heaviest.latestWaiter()
	heaviest.remove(evicted)
	q.waiting--
	q.addNotification(evicted, nil, q.shareExceededError(evicted.scheduler, "the queue is full and the customer is over its share"))
	return nil
}

// hasHigherLoad compares two flows by load per share and breaks ties by
// customer.
func hasHigherLoad(a, b *flow) bool {
	if a.loadPerShare() != b.loadPerShare() {
		return a.loadPerShare() > b.loadPerShare()
	}
	return a.customer > b.customer
}

// likelyMissesDeadline reports whether a run that starts now is likely to miss
// the deadline. A pipeline without runs in progress admits a request that has a
// small chance to meet it, so that the pipeline's estimates are refreshed. The
// caller holds the Queue's mu.
func likelyMissesDeadline(now time.Time, s *scheduler, deadline time.Time) bool {
	timeLeft := deadline.Sub(now)
	if timeLeft <= 0 || s.remainingTime(now, 0, abandonQuantile) > timeLeft {
		return true
	}
	return s.running > 0 && s.remainingTime(now, 0, admitQuantile) > timeLeft
}

// capacityError returns a share-exceeded error if one more request puts the
// customer above its share, otherwise a no-capacity error. The caller holds
// q.mu.
func (q *Queue) capacityError(s *scheduler, f *flow, message string) error {
	if s.exceedsShare(f) {
		return q.shareExceededError(s, message)
	}
	return q.noCapacityError(s, message)
}

func (q *Queue) shareExceededError(s *scheduler, message string) error {
	return verdict.New(verdict.CodeShareExceeded, verdict.NotRun, message).WithRetryAfter(q.retryAfter(s))
}

func (q *Queue) noCapacityError(s *scheduler, message string) error {
	return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, message).WithRetryAfter(q.retryAfter(s))
}

// retryAfter returns between one and two times the predicted time for the
// pipeline's queued requests to start, which counts as at least minRetryAfter.
// The jitter keeps callers refused together from retrying together. The caller
// holds q.mu.
func (q *Queue) retryAfter(s *scheduler) time.Duration {
	drain := max(minRetryAfter, s.predictWait(float64(s.waitingCount())))
	return drain + time.Duration(q.rng.Int64N(int64(drain)))
}

// dispatch starts queued requests of the pipeline while its limit allows, and
// refuses those that are likely to miss their deadline. The caller holds q.mu.
func (q *Queue) dispatch(now time.Time, s *scheduler) {
	for {
		f := s.nextFlow()
		if f == nil || !s.limiter.checkLimit(s.running) {
			return
		}
		q.expire(now, s, f)
		if len(f.queue) == 0 {
			continue
		}
		w := f.pop()
		q.waiting--
		s.start(f)
		q.addNotification(w, &Grant{queue: q, scheduler: s, flow: f, deadline: w.request.Deadline}, nil)
	}
}

// addNotification records a call of the waiter's notify for unlockAndNotify.
// The caller holds q.mu.
func (q *Queue) addNotification(w *waiter, g *Grant, err error) {
	q.notifications = append(q.notifications, func() { w.notify(g, err) })
}

// unlockAndNotify releases q.mu, which the caller holds, and then makes the
// recorded notifications.
func (q *Queue) unlockAndNotify() {
	notifications := q.notifications
	q.notifications = nil
	q.mu.Unlock()
	for _, notify := range notifications {
		notify()
	}
}

// cancel removes a request from the queue because its caller has cancelled it.
// It has no effect on a request that is no longer queued.
func (q *Queue) cancel(ticket *Ticket) {
	q.mu.Lock()
	defer q.unlockAndNotify()
	if !ticket.waiter.queued() {
		return
	}
	ticket.waiter.flow.remove(ticket.waiter)
	q.waiting--
	q.addNotification(ticket.waiter, nil, verdict.New(verdict.CodeCallerCancelled, verdict.NotRun, "the caller went away"))
}

// timeToExpiry returns the time until the admitQuantile of the run duration no
// longer fits before the request's deadline, and at least 1 ms, so that Admit
// does not poll without a pause.
func (q *Queue) timeToExpiry(ticket *Ticket) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	runDuration := ticket.waiter.scheduler.remainingTime(now, 0, admitQuantile)
	return max(time.Millisecond, ticket.waiter.request.Deadline.Add(-runDuration).Sub(now))
}

// schedulerFor returns the pipeline's scheduler and creates it if needed. The
// caller holds q.mu.
func (q *Queue) schedulerFor(pipeline string) *scheduler {
	s, ok := q.schedulers[pipeline]
	if !ok {
		s = newScheduler(pipeline, q.cfg)
		q.schedulers[pipeline] = s
	}
	return s
}

// Package admission decides which requests a host runs, and when. It refuses a
// request that cannot meet its deadline before any work is done for it. The
// others share the host's run limit by customer weight, with the earliest
// deadline first within a customer. Capacity that a customer leaves unused is
// available to the others.
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
	// admitQuantile is the quantile of the remaining run time that must fit
	// before the deadline for a request to start.
	admitQuantile = 0.75
	// abandonQuantile is the quantile of the remaining run time that must fit
	// before the deadline for a run to continue.
	abandonQuantile = 0.05
	// maxWaitFraction is the largest fraction of a request's slack that it may
	// spend in the queue.
	maxWaitFraction = 0.5
	// minRetryAfter is the shortest retry delay that a refusal asks for.
	minRetryAfter = 250 * time.Millisecond
)

// Config holds the limits of a Queue.
type Config struct {
	// QueueLimit is the maximum number of requests queued on the host.
	QueueLimit int
	// InitialLimit, MinLimit and MaxLimit set the limit of concurrent runs per
	// pipeline.
	InitialLimit, MinLimit, MaxLimit int
	// StaticLimit disables the adaptation of the limit.
	StaticLimit bool
}

// Request holds the properties of a request that admission depends on.
type Request struct {
	Customer string
	// Share is the customer's weight; values below 1 count as 1.
	Share    int
	Pipeline string
	Deadline time.Time
}

// Outcome is how a run ended.
type Outcome uint8

const (
	// Failed is a run that ended early for a reason other than its deadline.
	Failed Outcome = iota
	// Completed is a run that delivered its complete response before the
	// deadline.
	Completed
	// DeadlineMissed is a run that was abandoned because of its deadline, or
	// answered after it.
	DeadlineMissed
)

// Queue is a host's admission queue. It is safe for concurrent use.
type Queue struct {
	clock port.Clock

	mu         sync.Mutex
	rng        *rand.Rand
	cfg        Config
	schedulers map[string]*scheduler
	waiting    int
	// notifications holds the calls that report results to waiters; they are
	// made after mu is released.
	notifications []func()
}

// New returns an empty Queue. It uses rng for jitter in retry delays, under the
// Queue's lock.
func New(cfg Config, clock port.Clock, rng *rand.Rand) *Queue {
	return &Queue{clock: clock, rng: rng, cfg: cfg, schedulers: make(map[string]*scheduler)}
}

// SetQueueLimit sets the maximum number of queued requests.
func (q *Queue) SetQueueLimit(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cfg.QueueLimit = n
}

// SetLimits sets the initial value of a pipeline's limit of concurrent runs,
// which the limit is adapted relative to, and its maximum. Values below 1 count
// as 1.
func (q *Queue) SetLimits(pipeline string, initial, maximum int) {
	q.mu.Lock()
	defer q.unlockAndNotify()
	s := q.schedulerFor(pipeline)
	s.limiter.rescale(float64(max(1, initial)), float64(max(1, maximum)))
	q.dispatch(q.clock.Now(), s)
}

// RemainingTime returns the given quantile of the recently measured time from
// the start of a stage to the end of the run, or 0 if there are too few
// samples.
func (q *Queue) RemainingTime(pipeline string, stage int, quantile float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.schedulerFor(pipeline).remainingTime(q.clock.Now(), stage, quantile)
}

// MinRemainingTime returns the time that nearly every run needs from the start
// of a stage to the end of the run. A run with less time left is almost certain
// to miss its deadline.
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
	// Limit is the maximum of Running, the number of concurrent runs.
	Limit   int `json:"limit"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// RunDurationMs is the admitQuantile of a whole run's duration, in
	// milliseconds.
	RunDurationMs int64 `json:"ahead_ms"`
}

// Status returns the state of all pipelines that have had requests, sorted by
// name.
func (q *Queue) Status() []PipelineStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []PipelineStatus
	for name, s := range q.schedulers {
		remaining := s.remainingTime(q.clock.Now(), 0, admitQuantile)
		out = append(out, PipelineStatus{name, int(s.limiter.limit), s.running, s.waitingCount(), remaining.Milliseconds()})
	}
	slices.SortFunc(out, func(a, b PipelineStatus) int { return strings.Compare(a.Pipeline, b.Pipeline) })
	return out
}

// Admit blocks until the request may run, is refused or ctx ends. The error is
// a *verdict.Error with verdict NotRun. The caller must call Done on the Grant.
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
// Queue locked.
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

// Expire refuses all queued requests that can no longer meet their deadline.
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

// checkAdmission returns the reason why the request may not be queued, or nil.
// If the queue is full, it may evict another request.
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

// evictFor makes room in a full queue by evicting a request of the customer
// with the highest load per share, or refuses the new request.
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

func hasHigherLoad(a, b *flow) bool {
	if a.loadPerShare() != b.loadPerShare() {
		return a.loadPerShare() > b.loadPerShare()
	}
	return a.customer > b.customer
}

// likelyMissesDeadline reports whether a run that starts now is likely to miss
// the deadline. A pipeline without running requests admits one that has a small
// chance, so that its estimates are refreshed.
func likelyMissesDeadline(now time.Time, s *scheduler, deadline time.Time) bool {
	timeLeft := deadline.Sub(now)
	if timeLeft <= 0 || s.remainingTime(now, 0, abandonQuantile) > timeLeft {
		return true
	}
	return s.running > 0 && s.remainingTime(now, 0, admitQuantile) > timeLeft
}

// capacityError returns an over-share error if the customer exceeds its share,
// otherwise a no-capacity error.
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

// retryAfter returns between one and two times the predicted time for the queue
// to drain. The jitter keeps callers refused together from retrying together.
func (q *Queue) retryAfter(s *scheduler) time.Duration {
	drain := max(minRetryAfter, s.predictWait(float64(s.waitingCount())))
	return drain + time.Duration(q.rng.Int64N(int64(drain)))
}

// dispatch starts queued requests of the pipeline while its limit allows.
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

func (q *Queue) addNotification(w *waiter, g *Grant, err error) {
	q.notifications = append(q.notifications, func() { w.notify(g, err) })
}

// unlockAndNotify releases the lock and then calls the due notifications.
func (q *Queue) unlockAndNotify() {
	notifications := q.notifications
	q.notifications = nil
	q.mu.Unlock()
	for _, notify := range notifications {
		notify()
	}
}

// cancel removes a request whose caller is gone from the queue.
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

// timeToExpiry returns how long the request may stay queued, at least 1 ms.
func (q *Queue) timeToExpiry(ticket *Ticket) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	remaining := ticket.waiter.scheduler.remainingTime(now, 0, admitQuantile)
	return max(time.Millisecond, ticket.waiter.request.Deadline.Add(-remaining).Sub(now))
}

func (q *Queue) schedulerFor(pipeline string) *scheduler {
	s, ok := q.schedulers[pipeline]
	if !ok {
		s = newScheduler(pipeline, q.cfg)
		q.schedulers[pipeline] = s
	}
	return s
}

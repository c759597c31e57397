// Package admission decides which requests a host lets run, and when. A
// request that cannot make its deadline is refused before it costs anything;
// the rest share the host's runs by their customers' weights, the earliest
// deadline first within one customer, and what one customer leaves unused is
// lent to the others.
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
	// admitQuantile of the time ahead has to fit for a request to start.
	admitQuantile = 0.75
	// abandonQuantile of the time ahead has to fit for a run to go on.
	abandonQuantile = 0.05
	// maxWaitFraction is the part of a request's slack that it may spend waiting.
	maxWaitFraction = 0.5
	// minRetryAfter is the shortest wait that a refusal asks for.
	minRetryAfter = 250 * time.Millisecond
)

// Config bounds a Queue.
type Config struct {
	// QueueLimit is the number of requests that may wait on the host.
	QueueLimit int
	// InitialLimit, MinLimit and MaxLimit bound the runs under way per pipeline.
	InitialLimit, MinLimit, MaxLimit int
	// StaticLimit keeps the limit at InitialLimit.
	StaticLimit bool
}

// Request is what admission needs to know of a request.
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
	// Failed is a run that ended for a reason other than time.
	Failed Outcome = iota
	// Answered is a run whose whole answer came in time.
	Answered
	// DeadlineMissed is a run that was given up or answered too late.
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
	// pending are answers to waiting requests, sent when mu is released.
	notifications []func()
}

// New returns an empty Queue. rng spreads the times that refusals name.
func New(cfg Config, clock port.Clock, rng *rand.Rand) *Queue {
	return &Queue{clock: clock, rng: rng, cfg: cfg, schedulers: make(map[string]*scheduler)}
}

// SetQueueLimit changes the number of requests that may wait.
func (q *Queue) SetQueueLimit(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cfg.QueueLimit = n
}

// SetLimit sets the limit of a pipeline's runs under way that its adaptation
// starts from and is measured against, and the most that it may grow to.
func (q *Queue) SetLimit(pipeline string, initial, most int) {
	q.mu.Lock()
	defer q.unlockAndNotify()
	l := q.schedulerFor(pipeline)
	l.limiter.rescale(float64(max(1, initial)), float64(max(1, most)))
	q.dispatch(q.clock.Now(), l)
}

// RemainingTime returns the quantile of the time from the start of a stage to the
// end of the run, as measured lately; 0 if too little is known.
func (q *Queue) RemainingTime(pipeline string, stage int, quantile float64) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.schedulerFor(pipeline).remainingTime(q.clock.Now(), stage, quantile)
}

// MinRemainingTime returns the time that nearly every run needs from the start of a
// stage to its end: a run with less time left is hopeless.
func (q *Queue) MinRemainingTime(pipeline string, stage int) time.Duration {
	return q.RemainingTime(pipeline, stage, abandonQuantile)
}

// Observe takes the load that an endpoint reported with a stage's answer.
func (q *Queue) Observe(pipeline string, stage int, load port.LoadReport) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.schedulerFor(pipeline).limiter.recordLoad(stage, load.Waiting, load.Slots)
}

// PipelineStatus is one pipeline's state.
type PipelineStatus struct {
	Pipeline string `json:"pipeline"`
	// Limit bounds Running, the runs under way.
	Limit   int `json:"limit"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// RemainingMs is the time that three in four runs need, in milliseconds.
	RemainingMs int64 `json:"ahead_ms"`
}

// Status returns the state of all pipelines that had requests, by name.
func (q *Queue) Status() []PipelineStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []PipelineStatus
	for name, l := range q.schedulers {
		ahead := l.remainingTime(q.clock.Now(), 0, admitQuantile)
		out = append(out, PipelineStatus{name, int(l.limiter.limit), l.running, l.waitingCount(), ahead.Milliseconds()})
	}
	slices.SortFunc(out, func(a, b PipelineStatus) int { return strings.Compare(a.Pipeline, b.Pipeline) })
	return out
}

// Admit waits until the request may run. The error is a *verdict.Error with
// NotRun. The caller ends the Grant with Done.
func (q *Queue) Admit(ctx context.Context, r Request) (*Grant, error) {
	type answer struct {
		grant *Grant
		err   error
	}
	done := make(chan answer, 1)
	t := q.Enqueue(r, func(g *Grant, err error) { done <- answer{g, err} })
	for {
		timer := time.NewTimer(q.remainingWait(t))
		select {
		case a := <-done:
			timer.Stop()
			return a.grant, a.err
		case <-ctx.Done():
			q.cancel(t)
		case <-timer.C:
			q.Expire()
		}
		timer.Stop()
	}
}

// Enqueue queues a request. notify is called exactly once, with a Grant or with
// a *verdict.Error, possibly before Offer returns, never with the Queue locked.
func (q *Queue) Enqueue(r Request, notify func(*Grant, error)) *Ticket {
	q.mu.Lock()
	defer q.unlockAndNotify()
	now := q.clock.Now()
	l := q.schedulerFor(r.Pipeline)
	f := l.flowFor(r)
	l.updateIdleTag(f)
	t := &waiter{request: r, flow: f, scheduler: l, heapIndex: -1, notify: notify}
	if err := q.checkAdmission(now, t); err != nil {
		q.addNotification(t, nil, err)
		return &Ticket{t}
	}
	f.push(t)
	q.waiting++
	q.dispatch(now, l)
	return &Ticket{t}
}

// Ticket stands for an offered request.
type Ticket struct{ waiter *waiter }

// Expire answers all waiting requests that can no longer make their deadline.
func (q *Queue) Expire() {
	q.mu.Lock()
	defer q.unlockAndNotify()
	now := q.clock.Now()
	for _, l := range q.schedulers {
		for _, f := range l.flows {
			q.expire(now, l, f)
		}
	}
}

func (q *Queue) expire(now time.Time, l *scheduler, f *flow) {
	for len(f.queue) > 0 {
		first := f.queue[0]
		if !deadlineInfeasible(now, l, first.request.Deadline) {
			return
		}
		f.pop()
		q.waiting--
		q.addNotification(first, nil, q.noCapacityError(l, "the deadline cannot be made any more"))
	}
}

// refuse returns why the request may not wait, nil if it may.
func (q *Queue) checkAdmission(now time.Time, t *waiter) error {
	l, f := t.scheduler, t.flow
	if deadlineInfeasible(now, l, t.request.Deadline) {
		return verdict.New(verdict.CodeDeadlineExceeded, verdict.NotRun, "runs of this pipeline take longer now than the deadline allows").WithRetryAfter(l.timeToNextWindow(now))
	}
	slack := max(0, t.request.Deadline.Sub(now)-l.remainingTime(now, 0, admitQuantile))
	wait := l.predictWait(l.requestsAhead(f, f.countDueBy(t.request.Deadline)))
	if wait > time.Duration(maxWaitFraction*float64(slack)) {
		return q.capacityError(l, f, "the queue is too long for the deadline")
	}
	if q.waiting < q.cfg.QueueLimit || l.limiter.allows(l.running) {
		return nil
	}
	return q.evictFor(t)
}

// evictFor makes room in a full queue at the cost of the customer that is
// furthest over its share, or refuses the request.
func (q *Queue) evictFor(t *waiter) error {
	var worst *flow
	for _, l := range q.schedulers {
		for _, f := range l.flows {
			if len(f.queue) > 0 && (worst == nil || hasHigherLoad(f, worst)) {
				worst = f
			}
		}
	}
	if worst == nil || worst == t.flow || worst.loadPerShare() <= t.flow.loadPerShare() {
		return q.capacityError(t.scheduler, t.flow, "the queue is full")
	}
	victim := worst.latestWaiter()
	worst.remove(victim)
	q.waiting--
	q.addNotification(victim, nil, q.overShareError(victim.scheduler, "the queue is full and the customer is over its share"))
	return nil
}

func hasHigherLoad(a, b *flow) bool {
	if a.loadPerShare() != b.loadPerShare() {
		return a.loadPerShare() > b.loadPerShare()
	}
	return a.customer > b.customer
}

// late reports whether a run that starts now would hardly make the deadline.
// A pipeline without runs lets one through that may just make it, so that its
// figures are renewed.
func deadlineInfeasible(now time.Time, l *scheduler, deadline time.Time) bool {
	left := deadline.Sub(now)
	if left <= 0 || l.remainingTime(now, 0, abandonQuantile) > left {
		return true
	}
	return l.running > 0 && l.remainingTime(now, 0, admitQuantile) > left
}

func (q *Queue) capacityError(l *scheduler, f *flow, message string) error {
	if l.exceedsShare(f) {
		return q.overShareError(l, message)
	}
	return q.noCapacityError(l, message)
}

func (q *Queue) overShareError(l *scheduler, message string) error {
	return verdict.New(verdict.CodeShareExceeded, verdict.NotRun, message).WithRetryAfter(q.retryAfter(l))
}

func (q *Queue) noCapacityError(l *scheduler, message string) error {
	return verdict.New(verdict.CodeNoCapacity, verdict.NotRun, message).WithRetryAfter(q.retryAfter(l))
}

// retryAfter returns about the time in which the present queue drains, spread
// so that the callers refused together do not come back together.
func (q *Queue) retryAfter(l *scheduler) time.Duration {
	drain := max(minRetryAfter, l.predictWait(float64(l.waitingCount())))
	return drain + time.Duration(q.rng.Int64N(int64(drain)))
}

func (q *Queue) dispatch(now time.Time, l *scheduler) {
	for {
		f := l.nextFlow()
		if f == nil || !l.limiter.allows(l.running) {
			return
		}
		q.expire(now, l, f)
		if len(f.queue) == 0 {
			continue
		}
		t := f.pop()
		q.waiting--
		l.start(f)
		q.addNotification(t, &Grant{queue: q, scheduler: l, flow: f, deadline: t.request.Deadline}, nil)
	}
}

func (q *Queue) addNotification(t *waiter, g *Grant, err error) {
	q.notifications = append(q.notifications, func() { t.notify(g, err) })
}

// flush releases the lock and sends the answers that are due.
func (q *Queue) unlockAndNotify() {
	due := q.notifications
	q.notifications = nil
	q.mu.Unlock()
	for _, send := range due {
		send()
	}
}

func (q *Queue) cancel(t *Ticket) {
	q.mu.Lock()
	defer q.unlockAndNotify()
	if !t.waiter.queued() {
		return
	}
	t.waiter.flow.remove(t.waiter)
	q.waiting--
	q.addNotification(t.waiter, nil, verdict.New(verdict.CodeCallerCancelled, verdict.NotRun, "the caller went away"))
}

// patience returns how long the ticket may still wait.
func (q *Queue) remainingWait(t *Ticket) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	ahead := t.waiter.scheduler.remainingTime(now, 0, admitQuantile)
	return max(time.Millisecond, t.waiter.request.Deadline.Add(-ahead).Sub(now))
}

func (q *Queue) schedulerFor(pipeline string) *scheduler {
	l, ok := q.schedulers[pipeline]
	if !ok {
		l = newScheduler(pipeline, q.cfg)
		q.schedulers[pipeline] = l
	}
	return l
}
